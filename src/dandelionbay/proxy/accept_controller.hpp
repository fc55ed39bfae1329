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
class accept_controller {
    using precise = std::chrono::duration<double, duration::period>;

public:
    /*! @brief Share of the time for refusing: on a host that gets twice what it can serve it is enough. */
    static constexpr double refusal_time_share = 1.0 / 6.0;
    /*! @brief Unused time that is kept for a burst. */
    static constexpr duration max_refusal_budget = std::chrono::milliseconds{50};
    /*! @brief Time used beyond the budget that counts: a pause of the whole process may be taken for refusing. */
    static constexpr duration max_refusal_debt = std::chrono::milliseconds{100};
    /*! @brief Unused time with which connections are taken again. */
    static constexpr duration min_reopen_budget = std::chrono::milliseconds{5};
    /*! @brief Time for which bytes may wait to be read when a pressed or idle host takes connections. */
    static constexpr duration max_read_delay = std::chrono::milliseconds{50};
    /*! @brief Time for which a host is pressed after it last had more to do than time. */
    static constexpr duration pressure_window = std::chrono::seconds{2};

    /**
     * @brief Decides again.
     * @param refusing Time that went into refused calls since the last decision.
     * @param pending Connections that were taken and are not read, and calls that are yet to be refused.
     * @param waiting Calls that were read and wait to begin.
     * @param delay Time for which bytes wait to be read.
     * @param now Time.
     */
    void update(duration refusing, std::size_t pending, std::size_t waiting, duration delay, time_point now) noexcept {
        const auto earned = precise{std::max(duration{}, now - decided_)} * refusal_time_share;
        decided_ = now;
        kept_ = std::max<precise>(-max_refusal_debt, std::min<precise>(max_refusal_budget, kept_ + earned) - refusing);
        const bool behind = !open_ && delay > max_read_delay;
        if (kept_ <= precise{} || (behind && is_under_pressure(now))) {
            pressed_until_ = now + pressure_window;
        }
        const bool busy = is_under_pressure(now) && (pending > 0 || behind);
        const bool affordable = kept_ > (open_ ? precise{} : precise{min_reopen_budget});
        const bool idle = pending == 0 && waiting == 0 && delay <= max_read_delay;
        open_ = !busy && (affordable || idle);
    }

    /*! @brief Tells whether connections are taken. */
    [[nodiscard]] bool is_accepting() const noexcept { return open_; }

    /*! @brief Tells whether connections are taken only when there is time. @param now Time. */
    [[nodiscard]] bool is_under_pressure(time_point now) const noexcept { return now < pressed_until_; }

    /*! @brief Tells whether refusing has taken more than its share lately. */
    [[nodiscard]] bool is_refusal_budget_low() const noexcept { return kept_ < precise{max_refusal_budget} / 2; }

private:
    precise kept_{max_refusal_budget};
    time_point decided_{};
    time_point pressed_until_{};
    bool open_{true};
};

} // namespace dandelionbay
