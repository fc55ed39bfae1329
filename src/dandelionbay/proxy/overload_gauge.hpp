#pragma once

#include <chrono>
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
class overload_gauge {
public:
    /*! @brief Mean lateness of an overloaded loop: a call takes four turns to its first event, usually due in 600 ms.
     */
    static constexpr duration most_late = std::chrono::milliseconds{60};
    /*! @brief Mean lateness of a loop that keeps up. */
    static constexpr duration least_late = std::chrono::milliseconds{15};
    /*! @brief Time over which lateness is averaged; a burst of calls is worked off within it. */
    static constexpr duration memory = std::chrono::seconds{1};
    /*! @brief A turn counts as this late at most: about half of the usual target. */
    static constexpr duration latest = std::chrono::milliseconds{250};
    /*! @brief A turn stands for this time at most, so that a pause of the whole process alone is no overload. */
    static constexpr duration longest_turn = std::chrono::milliseconds{100};
    /*! @brief Time out of the rotation: the balancer takes two seconds to notice and callers as long to move. */
    static constexpr duration first_rest = std::chrono::seconds{8};
    /*! @brief Longest time out of the rotation. */
    static constexpr duration longest_rest = std::chrono::seconds{64};
    /*! @brief An overload this soon after the last one doubles the time. */
    static constexpr duration relapse_within = std::chrono::seconds{30};

    /**
     * @brief A turn of the loop that was due at a known time came.
     * @param late How much later it came; negative counts as on time.
     * @param now Time.
     * @return True if this changed whether the host is overloaded.
     */
    bool turned(duration late, time_point now) noexcept;

    /*! @brief Tells whether callers should go elsewhere. */
    [[nodiscard]] bool overloaded() const noexcept { return overloaded_; }

    /*! @brief Lateness of the loop in the mean of the last second. */
    [[nodiscard]] duration lateness() const noexcept { return std::chrono::duration_cast<duration>(late_); }

private:
    using precise = std::chrono::duration<double, duration::period>;

    precise late_{};
    time_point turned_{};
    time_point rests_until_{};
    std::optional<time_point> ended_{}; //!< End of the last overload.
    duration rest_{first_rest};
    bool overloaded_{};
};

} // namespace dandelionbay
