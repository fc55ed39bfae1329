#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Limits the rate at which a host begins calls, so that it reads received bytes in time.
 *
 * The cost of a call is spread over the turns until its answer ends, so it is unknown when the call begins. While the
 * read delay exceeds its limit in consecutive periods, the rate is set below the recent one; otherwise it is raised.
 */
class admission_rate_limiter {
    using precise_seconds = std::chrono::duration<double>;

public:
    /*! @brief Maximum read delay: two turns in which reading, deciding and beginning calls each take their maximum
     *  time. */
    static constexpr duration max_read_delay = std::chrono::milliseconds{120};
    /*! @brief Time in which the rate changes by one step. */
    static constexpr duration step_interval = std::chrono::milliseconds{100};
    /*! @brief Factors of the rate for one step down and one step up. */
    static constexpr double decrease_factor = 0.8;
    static constexpr double increase_factor = 1.15;
    /*! @brief Minimum rate: a fifth of what a host with a tenth of a core can serve. */
    static constexpr double min_calls_per_s = 40.0;
    /*! @brief Calls of this time may begin at once. */
    static constexpr duration burst_window = std::chrono::milliseconds{100};
    /*! @brief Time over which the rate of begun calls is averaged. */
    static constexpr duration averaging_window = std::chrono::milliseconds{500};
    /*! @brief Time without excessive read delay after which the rate is unlimited again. */
    static constexpr duration recovery_window = std::chrono::seconds{2};

    /*! @brief Records that everything received before some moment was read. @param delay Maximum time for which it
     *  waited. @param now Current time. @param is_refusing Whether the delay may come from the time spent on refusing
     *  calls rather than from the calls that began. */
    void note_read_delay(duration delay, time_point now, bool is_refusing) noexcept {
        max_delay_ = std::max(max_delay_, delay);
        const auto elapsed = now - evaluated_at_;
        if (elapsed < step_interval / 4) {
            return;
        }
        evaluated_at_ = now;
        const bool is_late = max_delay_ > max_read_delay;
        const bool was_late_before = std::exchange(was_late_, is_late);
        max_delay_ = {};
        const double begun_per_s = begun_ / precise_seconds{elapsed}.count();
        begun_ = 0.0;
        mean_begun_per_s_ += std::min(1.0, precise_seconds{elapsed} / precise_seconds{averaging_window}) *
                             (begun_per_s - mean_begun_per_s_);
        if (is_late && (!was_late_before || is_refusing)) {
            return; // A single slow turn or a pause of the process does not show what the host can begin either.
        }
        const auto steps = std::min(2.0, precise_seconds{elapsed} / precise_seconds{step_interval});
        if (is_late) {
            last_late_at_ = now;
            const double recent_rate = std::max(begun_per_s, mean_begun_per_s_);
            calls_per_s_ = std::max(min_calls_per_s,
                                    std::min(calls_per_s_, recent_rate) * (1.0 - (1.0 - decrease_factor) * steps));
        } else if (calls_per_s_ < unlimited) {
            calls_per_s_ = now - last_late_at_ >= recovery_window
                               ? unlimited
                               : calls_per_s_ * (1.0 + (increase_factor - 1.0) * steps);
        }
    }

    /*! @brief Returns the number of calls that may begin now. @param now Current time. */
    [[nodiscard]] double available_calls(time_point now) noexcept {
        const auto elapsed = std::max(duration{}, now - refilled_at_);
        refilled_at_ = now;
        const double max_tokens = std::max(1.0, calls_per_s_ * precise_seconds{burst_window}.count());
        tokens_ = calls_per_s_ >= unlimited
                      ? max_tokens
                      : std::min(max_tokens, tokens_ + calls_per_s_ * precise_seconds{elapsed}.count());
        return tokens_;
    }

    /*! @brief Records that a call began. */
    void note_begun() noexcept {
        begun_ += 1.0;
        tokens_ -= 1.0;
    }

    /*! @brief Returns the maximum number of calls that may begin in a second. */
    [[nodiscard]] double calls_per_s() const noexcept { return calls_per_s_; }

    /*! @brief Returns whether the rate is limited. */
    [[nodiscard]] bool is_limited() const noexcept { return calls_per_s_ < unlimited; }

private:
    static constexpr double unlimited = 1e9;

    double calls_per_s_{unlimited};
    double tokens_{};
    double begun_{}; //!< Calls since the last evaluation.
    double mean_begun_per_s_{};
    duration max_delay_{}; //!< Maximum read delay since the last evaluation.
    time_point evaluated_at_{};
    time_point refilled_at_{};
    time_point last_late_at_{};
    bool was_late_{};
};

} // namespace dandelionbay
