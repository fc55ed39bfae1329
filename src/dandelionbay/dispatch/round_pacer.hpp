#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Limits the load of decision rounds: how often they run, and how many calls may wait for them.
 *
 * The duration of a round is proportional to the number of pairs of waiting call and endpoint. On a host with little
 * processor time, rounds at a fixed interval would leave none for connections, and callers would time out and retry. A
 * long round also decides by the state at its start, which is outdated at its end.
 */
class round_pacer {
public:
    /*! @brief Interval while no call waits; too short for a caller to notice. */
    static constexpr duration idle_interval = std::chrono::milliseconds{25};
    /*! @brief Minimum interval while calls wait; a prefill takes several times as long. */
    static constexpr duration busy_interval = std::chrono::milliseconds{8};
    /*! @brief Maximum interval; half of the usual target of a first event. */
    static constexpr duration max_interval = std::chrono::milliseconds{250};
    /*! @brief Rounds use at most one part in this many of the time; the rest is for connections. */
    static constexpr int time_divisor = 2;
    /*! @brief Maximum time of a round; a tenth of the time within which a departed caller must be noticed. */
    static constexpr duration max_round_time = std::chrono::milliseconds{50};
    /*! @brief Minimum of max_waiting(), however long a round takes: some calls of each kind and team. */
    static constexpr std::size_t min_waiting = 16;

    /*! @brief Records a round. @param round Its wall-clock duration. @param waiting Number of calls it handled. */
    void record_round(duration round, std::size_t waiting) noexcept {
        round_ = round;
        if (waiting >= min_waiting) { // With fewer calls, other work of the round dominates.
            const auto per_call = std::max(duration{1}, round / static_cast<duration::rep>(waiting));
            max_waiting_ = std::max(min_waiting, static_cast<std::size_t>(max_round_time / per_call));
        }
    }

    /*! @brief Returns the time from the end of a round to the next one. @param waiting Whether calls wait. */
    [[nodiscard]] duration interval(bool waiting) const noexcept {
        return waiting ? std::clamp(round_ * (time_divisor - 1), busy_interval, max_interval) : idle_interval;
    }

    /*! @brief Returns how many calls may wait, so that the next round is not too long. */
    [[nodiscard]] std::size_t max_waiting() const noexcept { return max_waiting_; }

private:
    duration round_{};
    std::size_t max_waiting_{std::numeric_limits<std::size_t>::max()};
};

} // namespace dandelionbay
