#pragma once

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Token bucket that counts bytes; the caller supplies the time.
 *
 * Amounts that are known only afterwards are charged and may make the level negative; nothing can be taken until it is
 * refilled.
 */
class byte_budget {
    void refill(time_point now) noexcept;

public:
    /**
     * @brief Creates a full bucket.
     * @param bytes_per_second Refill rate in bytes per second; not negative.
     * @param burst Capacity in bytes.
     * @param now Current time.
     */
    byte_budget(double bytes_per_second, double burst, time_point now) noexcept;

    /*! @brief Changes rate (bytes per second) and capacity (bytes); keeps the level, up to the new capacity. */
    void configure(double bytes_per_second, double burst, time_point now) noexcept;

    /**
     * @brief Takes bytes if they are available. An amount above the capacity can be taken from a full bucket.
     * @param bytes Number of bytes.
     * @param now Current time.
     * @return True if they were taken.
     */
    [[nodiscard]] bool try_take(double bytes, time_point now) noexcept;

    /**
     * @brief Takes bytes while the level is above a reserve; the level may become negative.
     * @param bytes Number of bytes.
     * @param reserve Fraction of the capacity that is reserved for more urgent uses, from 0 to 1.
     * @param now Current time.
     * @return False if the level is not above the reserve.
     */
    [[nodiscard]] bool take_above_reserve(double bytes, double reserve, time_point now) noexcept;

    /**
     * @brief Takes bytes unconditionally.
     * @param bytes Number of bytes; negative to return them.
     * @param now Current time.
     */
    void charge(double bytes, time_point now) noexcept;

    /*! @brief Returns the level of the bucket. @param now Current time. @return Bytes; may be negative. */
    [[nodiscard]] double available(time_point now) const noexcept;

    /**
     * @brief Returns the time at which try_take() can succeed, capped to one hour from now.
     * @param bytes Number of bytes.
     * @param now Current time.
     * @return The time.
     */
    [[nodiscard]] time_point ready_at(double bytes, time_point now) const noexcept;

private:
    double rate_;
    double burst_;
    double level_;
    time_point refilled_at_;
};

} // namespace dandelionbay
