#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Tells from how late the event loop runs whether this host keeps up with its callers.
 *
 * A balancer that spreads callers by a hash may send one small host several times what it can carry while its
 * neighbours are idle. Such a host should leave the rotation, and stay out for longer each time its callers come back
 * and overload it again.
 */
class overload_detector {
public:
    /*! @brief Mean lateness of an overloaded loop: a call takes four turns to its first event, usually due in 600 ms.
     */
    static constexpr duration max_mean_lateness = std::chrono::milliseconds{60};
    /*! @brief Mean lateness of a loop that keeps up. */
    static constexpr duration recovery_mean_lateness = std::chrono::milliseconds{15};
    /*! @brief Time over which lateness is averaged; a burst of calls is worked off within it. */
    static constexpr duration averaging_window = std::chrono::seconds{1};
    /*! @brief A turn counts as this late at most: about half of the usual target. */
    static constexpr duration max_turn_lateness = std::chrono::milliseconds{250};
    /*! @brief A turn stands for this time at most, so that a pause of the whole process alone is no overload. */
    static constexpr duration max_turn_interval = std::chrono::milliseconds{100};
    /*! @brief Time out of the rotation: the balancer takes two seconds to notice and callers as long to move. */
    static constexpr duration initial_backoff = std::chrono::seconds{8};
    /*! @brief Time after which the balancer has noticed that this host is not ready. */
    static constexpr duration balancer_delay = std::chrono::milliseconds{2'200};
    /*! @brief Longest time out of the rotation. */
    static constexpr duration max_backoff = std::chrono::seconds{64};
    /*! @brief An overload this soon after the last one doubles the time. */
    static constexpr duration relapse_window = std::chrono::seconds{30};

    /*! @brief Turns of the loop until a call's first event: to accept it, to read it, to send it on and to read its
     * answer. */
    static constexpr int turns_per_call = 4;

    /*! @brief Lateness for which it counts that calls are turned away, before any is late: too much from half of them
     *  on. */
    [[nodiscard]] static duration equivalent_lateness(std::uint64_t turned_away, std::uint64_t begun) noexcept {
        const auto all = static_cast<duration::rep>(turned_away + begun);
        return all == 0 ? duration{} : max_mean_lateness * 2 * static_cast<duration::rep>(turned_away) / all;
    }

    /*! @brief The next turn is due at a known time. */
    void set_next_turn(time_point due) noexcept { due_ = due; }

    /**
     * @brief A turn of the loop that was due at a known time came.
     * @param late How much later it came; negative counts as on time.
     * @param now Time.
     * @param unread Longest time for which bytes wait to be read, over however many turns.
     * @param pressure Lateness for which it counts that calls are turned away.
     * @return True if this changed whether the host is overloaded.
     */
    bool note_turn(duration late, time_point now, duration unread = {}, duration pressure = {}) noexcept;

    /*! @brief Time until the balancer sends new connections elsewhere. @param now Time. @return Zero if it does;
     *  nothing if it has no reason to. */
    [[nodiscard]] std::optional<duration> time_until_rotation_exit(time_point now) const noexcept {
        return overloaded_ ? std::optional{std::max(duration{}, began_ + balancer_delay - now)} : std::nullopt;
    }

    /*! @brief Tells whether callers should go elsewhere. */
    [[nodiscard]] bool is_overloaded() const noexcept { return overloaded_; }

    /*! @brief Longest time for which bytes that are read now may have waited for the loop. @param now Time. */
    [[nodiscard]] duration read_delay(time_point now) const noexcept {
        return std::max({duration{}, last_late_, now - due_});
    }

    /*! @brief Tells whether the loop lets a call that was read begin in time. @param age Since it came. @param target
     * Of the call. */
    [[nodiscard]] bool can_begin(duration age, duration target, time_point now) const noexcept {
        return age + repeated_lateness(now) * (turns_per_call - 1) <= target;
    }

    /*! @brief Lateness of the loop in the mean of the last second. */
    [[nodiscard]] duration mean_lateness() const noexcept { return std::chrono::duration_cast<duration>(late_); }

private:
    /*! Lateness of two turns that follow each other: a single one is past when the call comes to its next turn. */
    [[nodiscard]] duration repeated_lateness(time_point now) const noexcept {
        return std::max(std::min(turn_before_, last_turn_), std::min(last_turn_, now - due_));
    }

    using precise = std::chrono::duration<double, duration::period>;

    precise late_{};
    duration last_late_{};   //!< Of the last turn.
    duration last_turn_{};   //!< The same, or how long bytes waited then.
    duration turn_before_{}; //!< Of the turn before it.
    time_point due_{time_point::max()};
    time_point turned_{};
    time_point rests_until_{};
    time_point began_{};                //!< The newest overload.
    std::optional<time_point> ended_{}; //!< End of the last overload.
    duration rest_{initial_backoff};
    bool overloaded_{};
};

} // namespace dandelionbay
