#include "dandelionbay/proxy/overload_gauge.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

bool overload_gauge::turned(duration late, time_point now, duration unread, duration pressure) noexcept {
    const auto passed = std::clamp(now - turned_, duration{}, longest_turn);
    turned_ = now;
    last_late_ = std::max(duration{}, late);
    turn_before_ = std::exchange(last_turn_, std::max(last_late_, unread));
    const double weight = precise{passed} / precise{memory};
    late_ += weight * (precise{std::clamp(std::max(last_turn_, pressure), duration{}, latest)} - late_);
    if (!overloaded_ && late_ > most_late) {
        rest_ = ended_ && now - *ended_ < relapse_within ? std::min(rest_ * 2, longest_rest) : first_rest;
        rests_until_ = now + rest_;
        began_ = now;
        overloaded_ = true;
        return true;
    }
    if (overloaded_ && now >= rests_until_ && late_ < least_late) {
        ended_ = now;
        overloaded_ = false;
        return true;
    }
    return false;
}

} // namespace dandelionbay
