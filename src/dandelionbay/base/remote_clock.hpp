#pragma once

#include <deque>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Tells when a moment of another host's steady clock was, from questions that it answered with its time.
 *
 * An answer was made after its question was sent, so the quickest one of late bounds how far the other clock is ahead.
 */
class remote_clock {
    struct bound {
        duration most_ahead{};
        time_point at{};
    };

public:
    /*! @brief Answers count for this time; the clocks may drift apart. */
    static constexpr duration kept = std::chrono::seconds{30};
    /*! @brief Allowance for the drift within that time, and for times in whole milliseconds. */
    static constexpr duration allowance = std::chrono::milliseconds{5};

    /*! @brief An answer came. @param sent When its question was sent. @param remote Time that it holds. */
    void observe(time_point sent, duration remote);

    /*! @brief Tells when a moment was. @param remote It. @return A moment that is not later; the first of all
     *  without answers. */
    [[nodiscard]] time_point earliest(duration remote) const noexcept;

private:
    std::deque<bound> bounds_{}; //!< Later ones are larger.
};

} // namespace dandelionbay
