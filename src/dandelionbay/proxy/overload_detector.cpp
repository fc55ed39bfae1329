#include "dandelionbay/proxy/overload_detector.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

bool overload_detector::note_turn(duration late, time_point now, duration unread, duration pressure) noexcept {
    const auto passed = std::clamp(now - turned_, duration{}, max_turn_interval);
    turned_ = now;
    last_late_ = std::max(duration{}, late);
    turn_before_ = std::exchange(last_turn_, std::max(last_late_, unread));
    const double weight = precise{passed} / precise{averaging_window};
    late_ += weight * (precise{std::clamp(std::max(last_turn_, pressure), duration{}, max_turn_lateness)} - late_);
    if (!overloaded_ && late_ > max_mean_lateness) {
        rest_ = ended_ && now - *ended_ < relapse_window ? std::min(rest_ * 2, max_backoff) : initial_backoff;
        rests_until_ = now + rest_;
        began_ = now;
        overloaded_ = true;
        return true;
    }
    if (overloaded_ && now >= rests_until_ && late_ < recovery_mean_lateness) {
        ended_ = now;
        overloaded_ = false;
        return true;
    }
    return false;
}

} // namespace dandelionbay
