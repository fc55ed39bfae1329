#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Detects from the lateness of the event loop whether this host keeps up with its callers.
 *
 * A balancer that spreads callers by a hash may send one small host several times its capacity while its neighbours are
 * idle. Such a host should leave the rotation, and stay out for longer each time its callers return and overload it
 * again.
 */
class overload_detector {
public:
    /*! @brief Mean lateness above which the host is overloaded: a call takes four turns to its first event, usually due
     *  in 600 ms. */
    static constexpr duration max_mean_lateness = std::chrono::milliseconds{60};
    /*! @brief Mean lateness below which an overload ends. */
    static constexpr duration recovery_mean_lateness = std::chrono::milliseconds{15};
    /*! @brief Time over which lateness is averaged; long enough to process a burst of calls. */
    static constexpr duration averaging_window = std::chrono::seconds{1};
    /*! @brief Maximum lateness counted for one turn: about half of the usual target latency. */
    static constexpr duration max_turn_lateness = std::chrono::milliseconds{250};
    /*! @brief Maximum time counted for one turn, so that a single pause of the process is not an overload. */
    static constexpr duration max_turn_interval = std::chrono::milliseconds{100};
    /*! @brief Initial time out of the rotation: the balancer takes two seconds to notice, and callers as long to move.
     */
    static constexpr duration initial_backoff = std::chrono::seconds{8};
    /*! @brief Time after which the balancer has noticed that this host is not ready. */
    static constexpr duration balancer_delay = std::chrono::milliseconds{2'200};
    /*! @brief Maximum time out of the rotation. */
    static constexpr duration max_backoff = std::chrono::seconds{64};
    /*! @brief An overload that begins this soon after the end of the previous one doubles the time out of the rotation.
     */
    static constexpr duration relapse_window = std::chrono::seconds{30};

    /*! @brief Turns of the loop until a call's first event: accept, read, forward, and read the answer. */
    static constexpr int turns_per_call = 4;

    /*! @brief Returns the lateness that refusals count as, although no call is late: the overload threshold if half of
     *  the calls are refused. */
    [[nodiscard]] static duration equivalent_lateness(std::uint64_t refused, std::uint64_t begun) noexcept {
        const auto all = static_cast<duration::rep>(refused + begun);
        return all == 0 ? duration{} : max_mean_lateness * 2 * static_cast<duration::rep>(refused) / all;
    }

    /*! @brief Sets when the next turn of the loop is due. */
    void set_next_turn(time_point due) noexcept { due_ = due; }

    /**
     * @brief Records a turn of the loop.
     * @param late Time by which the turn came after it was due; negative counts as on time.
     * @param now Current time.
     * @param unread Maximum time for which received bytes have waited to be read, possibly over several turns.
     * @param refusal_lateness Lateness that the refusals of this turn count as.
     * @return True if this changed whether the host is overloaded.
     */
    bool note_turn(duration late, time_point now, duration unread = {}, duration refusal_lateness = {}) noexcept;

    /*! @brief Returns the time until the balancer sends new connections elsewhere: zero if it does so already, nothing
     *  if the host is not overloaded. @param now Current time. */
    [[nodiscard]] std::optional<duration> time_until_rotation_exit(time_point now) const noexcept {
        return is_overloaded_ ? std::optional{std::max(duration{}, overloaded_at_ + balancer_delay - now)}
                              : std::nullopt;
    }

    /*! @brief Returns whether callers should use other hosts. */
    [[nodiscard]] bool is_overloaded() const noexcept { return is_overloaded_; }

    /*! @brief Returns the maximum time for which bytes that are read now may have waited for the loop. @param now
     *  Current time. */
    [[nodiscard]] duration read_delay(time_point now) const noexcept {
        return std::max({duration{}, last_lateness_, now - due_});
    }

    /*! @brief Returns whether a call can begin in time despite the loop's lateness. @param age Time since the call
     *  arrived. @param target Target latency of the call. @param now Current time. */
    [[nodiscard]] bool can_begin(duration age, duration target, time_point now) const noexcept {
        return age + repeated_lateness(now) * (turns_per_call - 1) <= target;
    }

    /*! @brief Returns the mean lateness of the loop over the averaging window. */
    [[nodiscard]] duration mean_lateness() const noexcept {
        return std::chrono::duration_cast<duration>(mean_lateness_);
    }

private:
    /*! Lateness of two consecutive turns: a single late turn is over by the call's next turn. */
    [[nodiscard]] duration repeated_lateness(time_point now) const noexcept {
        return std::max(std::min(previous_delay_, last_delay_), std::min(last_delay_, now - due_));
    }

    using precise_duration = std::chrono::duration<double, duration::period>;

    precise_duration mean_lateness_{};
    duration last_lateness_{};
    duration last_delay_{};     //!< Lateness of the last turn, or time for which bytes were unread if that is longer.
    duration previous_delay_{}; //!< The same for the turn before the last.
    time_point due_{time_point::max()};
    time_point last_turn_at_{};
    time_point backoff_until_{};
    time_point overloaded_at_{};                    //!< Start of the latest overload.
    std::optional<time_point> overload_ended_at_{}; //!< End of the previous overload.
    duration backoff_{initial_backoff};
    bool is_overloaded_{};
};

} // namespace dandelionbay
