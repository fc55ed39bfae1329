#include "dandelionbay/limit/byte_budget.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionbay {

namespace {

using seconds = std::chrono::duration<double>;

// Waits longer than this are not told apart; keeps the arithmetic on times in range.
constexpr double longest_wait_s = 3600.0;

} // namespace

void byte_budget::refill(time_point now) noexcept {
    level_ = available(now);
    filled_at_ = std::max(filled_at_, now);
}

byte_budget::byte_budget(double bytes_per_second, double burst, time_point now) noexcept
    : rate_{bytes_per_second}, burst_{burst}, level_{burst}, filled_at_{now} {}

void byte_budget::configure(double bytes_per_second, double burst, time_point now) noexcept {
    refill(now);
    rate_ = bytes_per_second;
    burst_ = burst;
    level_ = std::min(level_, burst_);
}

bool byte_budget::try_take(double bytes, time_point now) noexcept {
    refill(now);
    if (level_ < std::min(bytes, burst_)) {
        return false;
    }
    level_ -= bytes;
    return true;
}

bool byte_budget::take_above_reserve(double bytes, double reserve, time_point now) noexcept {
    if (available(now) <= reserve * burst_) {
        return false;
    }
    charge(bytes, now);
    return true;
}

void byte_budget::charge(double bytes, time_point now) noexcept {
    refill(now);
    level_ = std::min(burst_, level_ - bytes);
}

double byte_budget::available(time_point now) const noexcept {
    const auto elapsed = std::max(0.0, seconds{now - filled_at_}.count());
    return std::min(burst_, level_ + rate_ * elapsed);
}

time_point byte_budget::ready_at(double bytes, time_point now) const noexcept {
    const auto missing = std::min(bytes, burst_) - available(now);
    if (missing <= 0) {
        return now;
    }
    const auto wait = rate_ > 0 ? std::min(longest_wait_s, missing / rate_) : longest_wait_s;
    return now + duration{static_cast<duration::rep>(std::ceil(wait * 1e6))};
}

} // namespace dandelionbay
