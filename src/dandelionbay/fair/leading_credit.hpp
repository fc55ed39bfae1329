#pragma once

namespace dandelionbay {

/**
 * @brief Part of a turn that the teams ahead have earned during a repayment.
 *
 * They keep half of their share of the slots: each choice earns half of the share, and a full credit is one turn.
 */
class leading_credit {
public:
    /*! @brief Tells whose the next choice is. @param share Of the teams ahead, from 0 to 1. @return True if theirs. */
    [[nodiscard]] bool is_due(double share) const noexcept { return value_ + share / 2.0 >= 1.0; }

    /*! @brief Books a choice. @param share As for is_due(). @param ahead Whether a team ahead was chosen. */
    void record(double share, bool ahead) noexcept { value_ = value_ + share / 2.0 - (ahead ? 1.0 : 0.0); }

private:
    double value_{};
};

} // namespace dandelionbay
