#pragma once

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Token bucket in bytes on injected time.
 *
 * Amounts known only afterwards are charged and may put the bucket into debt; nothing can be taken until the debt is
 * repaid.
 */
class byte_budget {
    void refill(time_point now) noexcept;

public:
    /**
     * @brief Creates a full bucket.
     * @param bytes_per_second Rate; not negative.
     * @param burst Capacity in bytes.
     * @param now Current time.
     */
    byte_budget(double bytes_per_second, double burst, time_point now) noexcept;

    /*! @brief Changes rate and capacity; what is in the bucket stays, up to the capacity. */
    void configure(double bytes_per_second, double burst, time_point now) noexcept;

    /**
     * @brief Takes bytes if they are there. More bytes than the capacity can be taken from a full bucket.
     * @param bytes Amount.
     * @param now Current time.
     * @return True if they were taken.
     */
    [[nodiscard]] bool try_take(double bytes, time_point now) noexcept;

    /**
     * @brief Takes bytes, if need be into debt, while more than a reserve is there.
     * @param bytes Amount.
     * @param reserve Share of the capacity that is left to more urgent uses, from 0 to 1.
     * @param now Current time.
     * @return False if only the reserve is left.
     */
    [[nodiscard]] bool take_above_reserve(double bytes, double reserve, time_point now) noexcept;

    /*! @brief Takes bytes in any case; a negative amount gives them back. @param bytes Amount. @param now Time. */
    void charge(double bytes, time_point now) noexcept;

    /*! @brief Bytes in the bucket; negative in debt. @param now Current time. @return The amount. */
    [[nodiscard]] double available(time_point now) const noexcept;

    /*! @brief When try_take() would succeed. @param bytes Amount. @param now Current time. @return The time. */
    [[nodiscard]] time_point ready_at(double bytes, time_point now) const noexcept;

private:
    double rate_;
    double burst_;
    double level_;
    time_point filled_at_;
};

} // namespace dandelionbay
