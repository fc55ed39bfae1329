#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Decides whether a host takes new connections, so that refusing calls leaves most of its time for serving them.
 *
 * A refused call costs its host a fraction of a served one, but there is no bound on how many come. So refusing has a
 * budget of time. A host that has used it up is pressed: it takes the connections that wait, and no others until it has
 * read these and all that came meanwhile. While it takes none, the system refuses connections at no cost, and their
 * callers know at once that nothing was run. Calls that were read and wait to begin don't close the port: with more of
 * them than it can begin, a host can choose those of the teams with the least service.
 */
class intake_gate {
    using precise = std::chrono::duration<double, duration::period>;

public:
    /*! @brief Share of the time for refusing: on a host that gets twice what it can serve it is enough. */
    static constexpr double refusing_share = 1.0 / 6.0;
    /*! @brief Unused time that is kept for a burst. */
    static constexpr duration most_kept = std::chrono::milliseconds{50};
    /*! @brief Time used beyond the budget that counts: a pause of the whole process may be taken for refusing. */
    static constexpr duration most_owed = std::chrono::milliseconds{100};
    /*! @brief Unused time with which connections are taken again. */
    static constexpr duration least_kept = std::chrono::milliseconds{5};
    /*! @brief Time for which bytes may wait to be read when a pressed or idle host takes connections. */
    static constexpr duration most_delay = std::chrono::milliseconds{50};
    /*! @brief Time for which a host is pressed after it last had more to do than time. */
    static constexpr duration pressed_for = std::chrono::seconds{2};

    /**
     * @brief Decides again.
     * @param refusing Time that went into refused calls since the last decision.
     * @param pending Connections that were taken and are not read, and calls that are yet to be refused.
     * @param waiting Calls that were read and wait to begin.
     * @param delay Time for which bytes wait to be read.
     * @param now Time.
     */
    void decide(duration refusing, std::size_t pending, std::size_t waiting, duration delay, time_point now) noexcept {
        const auto earned = precise{std::max(duration{}, now - decided_)} * refusing_share;
        decided_ = now;
        kept_ = std::max<precise>(-most_owed, std::min<precise>(most_kept, kept_ + earned) - refusing);
        const bool behind = !open_ && delay > most_delay;
        if (kept_ <= precise{} || (behind && pressed(now))) {
            pressed_until_ = now + pressed_for;
        }
        const bool busy = pressed(now) && (pending > 0 || behind);
        const bool affordable = kept_ > (open_ ? precise{} : precise{least_kept});
        const bool idle = pending == 0 && waiting == 0 && delay <= most_delay;
        open_ = !busy && (affordable || idle);
    }

    /*! @brief Tells whether connections are taken. */
    [[nodiscard]] bool open() const noexcept { return open_; }

    /*! @brief Tells whether connections are taken only when there is time. @param now Time. */
    [[nodiscard]] bool pressed(time_point now) const noexcept { return now < pressed_until_; }

    /*! @brief Tells whether refusing has taken more than its share lately. */
    [[nodiscard]] bool strained() const noexcept { return kept_ < precise{most_kept} / 2; }

private:
    precise kept_{most_kept};
    time_point decided_{};
    time_point pressed_until_{};
    bool open_{true};
};

} // namespace dandelionbay
