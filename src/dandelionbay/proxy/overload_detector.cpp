#include "dandelionbay/proxy/overload_detector.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

bool overload_detector::note_turn(duration late, time_point now, duration unread, duration refusal_lateness) noexcept {
    const auto elapsed = std::clamp(now - last_turn_at_, duration{}, max_turn_interval);
    last_turn_at_ = now;
    last_lateness_ = std::max(duration{}, late);
    previous_delay_ = std::exchange(last_delay_, std::max(last_lateness_, unread));
    const double weight = precise_duration{elapsed} / precise_duration{averaging_window};
    mean_lateness_ +=
        weight * (precise_duration{std::clamp(std::max(last_delay_, refusal_lateness), duration{}, max_turn_lateness)} -
                  mean_lateness_);
    if (!is_overloaded_ && mean_lateness_ > max_mean_lateness) {
        backoff_ = overload_ended_at_ && now - *overload_ended_at_ < relapse_window
                       ? std::min(backoff_ * 2, max_backoff)
                       : initial_backoff;
        backoff_until_ = now + backoff_;
        overloaded_at_ = now;
        is_overloaded_ = true;
        return true;
    }
    if (is_overloaded_ && now >= backoff_until_ && mean_lateness_ < recovery_mean_lateness) {
        overload_ended_at_ = now;
        is_overloaded_ = false;
        return true;
    }
    return false;
}

} // namespace dandelionbay
