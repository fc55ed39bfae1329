#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Decides whether a host accepts new connections, so that refusing calls leaves most of its time for serving.
 *
 * Refusing a call costs a fraction of serving one, but the number of calls to refuse has no bound. A refusal budget
 * therefore limits the time spent on refusing. A host that has exhausted the budget is under pressure: it accepts the
 * connections that are waiting, and no others until it has read these and everything that arrived meanwhile. While it
 * accepts none, the operating system refuses connections at no cost to the process, and callers know at once that
 * nothing was run. Calls that were read and wait to begin do not close the port: with more pending calls than it can
 * begin, a host can choose those of the teams with the least service.
 */
class accept_controller {
    using precise_duration = std::chrono::duration<double, duration::period>;

public:
    /*! @brief Share of time available for refusing; sufficient at twice the load that the host can serve. */
    static constexpr double refusal_time_share = 1.0 / 6.0;
    /*! @brief Maximum unused refusal time kept for a burst. */
    static constexpr duration max_refusal_budget = std::chrono::milliseconds{50};
    /*! @brief Maximum overdraft of the budget: a pause of the whole process may be counted as refusal time. */
    static constexpr duration max_refusal_debt = std::chrono::milliseconds{100};
    /*! @brief Budget needed to accept connections again. */
    static constexpr duration min_reopen_budget = std::chrono::milliseconds{5};
    /*! @brief Maximum read delay at which a host that is idle or under pressure reopens the port. */
    static constexpr duration max_read_delay = std::chrono::milliseconds{50};
    /*! @brief Duration of the pressure after the budget was last exhausted, or reading last was behind. */
    static constexpr duration pressure_window = std::chrono::seconds{2};

    /**
     * @brief Updates the decision.
     * @param refusal_time Time spent on refused calls since the last update.
     * @param unread Accepted connections that are not read yet, plus calls that are still to be refused.
     * @param waiting Calls that were read and wait to begin.
     * @param read_delay Time for which received bytes wait to be read.
     * @param now Current time.
     */
    void update(duration refusal_time, std::size_t unread, std::size_t waiting, duration read_delay,
                time_point now) noexcept {
        const auto earned = precise_duration{std::max(duration{}, now - updated_at_)} * refusal_time_share;
        updated_at_ = now;
        budget_ = std::max<precise_duration>(
            -max_refusal_debt, std::min<precise_duration>(max_refusal_budget, budget_ + earned) - refusal_time);
        const bool is_behind = !is_accepting_ && read_delay > max_read_delay;
        if (budget_ <= precise_duration{} || (is_behind && is_under_pressure(now))) {
            pressure_until_ = now + pressure_window;
        }
        const bool is_busy = is_under_pressure(now) && (unread > 0 || is_behind);
        const bool has_budget = budget_ > (is_accepting_ ? precise_duration{} : precise_duration{min_reopen_budget});
        const bool is_idle = unread == 0 && waiting == 0 && read_delay <= max_read_delay;
        is_accepting_ = !is_busy && (has_budget || is_idle);
    }

    /*! @brief Returns whether connections are accepted. */
    [[nodiscard]] bool is_accepting() const noexcept { return is_accepting_; }

    /*! @brief Returns whether connections are accepted only while nothing waits to be read. @param now Current time. */
    [[nodiscard]] bool is_under_pressure(time_point now) const noexcept { return now < pressure_until_; }

    /*! @brief Returns whether less than half of the refusal budget is left. */
    [[nodiscard]] bool is_refusal_budget_low() const noexcept {
        return budget_ < precise_duration{max_refusal_budget} / 2;
    }

private:
    precise_duration budget_{max_refusal_budget}; //!< Negative while overdrawn.
    time_point updated_at_{};
    time_point pressure_until_{};
    bool is_accepting_{true};
};

} // namespace dandelionbay
