#pragma once

namespace dandelionbay {

/**
 * @brief Slot credit of the leading teams while the deficit of the lagging teams is repaid.
 *
 * Leading teams keep half of their share of the slots: each slot earns them half of their share as credit, and a
 * credit of 1 pays for one slot.
 */
class leading_credit {
public:
    /**
     * @brief Tells whether the next slot goes to a leading team.
     * @param share Share of the slots that the leading teams are entitled to, from 0 to 1.
     * @return True if the credit pays for a slot.
     */
    [[nodiscard]] bool is_due(double share) const noexcept { return credit_ + share / 2.0 >= 1.0; }

    /**
     * @brief Records the assignment of a slot.
     * @param share As for is_due().
     * @param leading True if the slot went to a leading team.
     */
    void record(double share, bool leading) noexcept { credit_ = credit_ + share / 2.0 - (leading ? 1.0 : 0.0); }

private:
    double credit_{};
};

} // namespace dandelionbay
