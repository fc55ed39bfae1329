#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Bounds how many calls a host begins, so that what comes is read in time.
 *
 * What a call costs its host is spread over the turns until its answer ends, so it is not known when the call begins.
 * While bytes wait for longer than they should, turn after turn, fewer calls are begun than lately; else more.
 */
class admission_rate_limiter {
    using seconds_type = std::chrono::duration<double>;

public:
    /*! @brief Time for which bytes may wait to be read: two turns that read, decide and begin calls as long as each
     * of these may take. */
    static constexpr duration max_read_delay = std::chrono::milliseconds{120};
    /*! @brief Time in which the pace is changed by one step. */
    static constexpr duration step_interval = std::chrono::milliseconds{100};
    /*! @brief One step down and one up. */
    static constexpr double decrease_factor = 0.8;
    static constexpr double increase_factor = 1.15;
    /*! @brief Calls in a second that are begun in any case: a fifth of what a host of a tenth of a core can serve. */
    static constexpr double min_calls_per_s = 40.0;
    /*! @brief Time whose calls may begin at once. */
    static constexpr duration burst_window = std::chrono::milliseconds{100};
    /*! @brief Memory of the rate at which calls began. */
    static constexpr duration averaging_window = std::chrono::milliseconds{500};
    /*! @brief Time without late turns after which nothing is bounded any more. */
    static constexpr duration recovery_window = std::chrono::seconds{2};

    /*! @brief All that came before some moment was read. @param delay Longest time for which it waited. @param refusing
     * Whether refusing calls has taken so long that it may be the reason, and not the calls that were begun. */
    void note_read_delay(duration delay, time_point now, bool refusing) noexcept {
        worst_ = std::max(worst_, delay);
        const auto passed = now - swept_;
        if (passed < step_interval / 4) {
            return;
        }
        swept_ = now;
        const bool late = worst_ > max_read_delay;
        const bool again = std::exchange(was_late_, late);
        worst_ = {};
        const double began = begun_ / seconds_type{passed}.count();
        begun_ = 0.0;
        begun_rate_ += std::min(1.0, seconds_type{passed} / seconds_type{averaging_window}) * (began - begun_rate_);
        if (late && (!again || refusing)) {
            return; // Nor does a single slow turn, or a pause of the process, tell what the host can begin.
        }
        const auto steps = std::min(2.0, seconds_type{passed} / seconds_type{step_interval});
        if (late) {
            late_at_ = now;
            const double lately = std::max(began, begun_rate_);
            rate_ = std::max(min_calls_per_s, std::min(rate_, lately) * (1.0 - (1.0 - decrease_factor) * steps));
        } else if (rate_ < unlimited) {
            rate_ = now - late_at_ >= recovery_window ? unlimited : rate_ * (1.0 + (increase_factor - 1.0) * steps);
        }
    }

    /*! @brief Calls that may begin now. @param now Time. */
    [[nodiscard]] double available_calls(time_point now) noexcept {
        const auto passed = std::max(duration{}, now - filled_);
        filled_ = now;
        const double most = std::max(1.0, rate_ * seconds_type{burst_window}.count());
        tokens_ = rate_ >= unlimited ? most : std::min(most, tokens_ + rate_ * seconds_type{passed}.count());
        return tokens_;
    }

    /*! @brief A call began. */
    void note_begun() noexcept {
        begun_ += 1.0;
        tokens_ -= 1.0;
    }

    /*! @brief Calls in a second that may begin. */
    [[nodiscard]] double calls_per_s() const noexcept { return rate_; }

    /*! @brief Tells whether that is bounded. */
    [[nodiscard]] bool is_limited() const noexcept { return rate_ < unlimited; }

private:
    static constexpr double unlimited = 1e9;

    double rate_{unlimited};
    double tokens_{};
    double begun_{}; //!< Since the last look.
    double begun_rate_{};
    duration worst_{}; //!< Delay since the last look.
    time_point swept_{};
    time_point filled_{};
    time_point late_at_{};
    bool was_late_{};
};

} // namespace dandelionbay
