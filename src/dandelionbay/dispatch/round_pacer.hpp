#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Bounds what rounds of decisions take: how often they come, and how many calls may wait for them.
 *
 * A round takes time for each pair of waiting call and endpoint. On a host with little processor time rounds at a fixed
 * interval would leave none for connections, whose callers then give up and come again; and a long round decides by
 * what was true at its beginning.
 */
class round_pacer {
public:
    /*! @brief Interval while nothing waits; a caller does not notice a delay this short. */
    static constexpr duration idle_interval = std::chrono::milliseconds{25};
    /*! @brief Shortest interval while calls wait; reading a prompt takes several times as long. */
    static constexpr duration busy_interval = std::chrono::milliseconds{8};
    /*! @brief Longest interval; half of the usual target of a first event. */
    static constexpr duration max_interval = std::chrono::milliseconds{250};
    /*! @brief Rounds take one part in this many of the time at most; the rest is for connections. */
    static constexpr int parts = 2;
    /*! @brief Time that a round may take; a tenth of the time within which a caller that left must be noticed. */
    static constexpr duration max_round_time = std::chrono::milliseconds{50};
    /*! @brief Calls that may wait however long a round takes: some of each kind and team. */
    static constexpr std::size_t min_waiting = 16;

    /*! @brief A round took this long, waits for the processor included. @param waiting Calls that it looked at. */
    void record_round(duration round, std::size_t waiting) noexcept {
        round_ = round;
        if (waiting >= min_waiting) { // With fewer, other work of the round prevails.
            const auto each = std::max(duration{1}, round / static_cast<duration::rep>(waiting));
            limit_ = std::max(min_waiting, static_cast<std::size_t>(max_round_time / each));
        }
    }

    /*! @brief Time from the end of a round to the next one. @param waiting Whether calls wait. */
    [[nodiscard]] duration interval(bool waiting) const noexcept {
        return waiting ? std::clamp(round_ * (parts - 1), busy_interval, max_interval) : idle_interval;
    }

    /*! @brief Calls that may wait, so that the next round is not too long. */
    [[nodiscard]] std::size_t max_waiting() const noexcept { return limit_; }

private:
    duration round_{};
    std::size_t limit_{std::numeric_limits<std::size_t>::max()};
};

} // namespace dandelionbay
