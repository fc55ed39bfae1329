#include "dandelionbay/limit/ramp_limiter.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

void ramp_limiter::raise(time_point now) {
    while (!raised_at_.empty() && raised_at_.front() + min_doubling_interval <= now) {
        raised_at_.pop_front();
    }
    const auto limit_before = current_limit_ - std::min<std::size_t>(raised_at_.size(), current_limit_);
    if (is_reported_cold_ || current_limit_ >= slots_ || current_limit_ + 1 > 2 * limit_before) {
        return;
    }
    ++current_limit_;
    raised_at_.push_back(now);
}

void ramp_limiter::configure(std::uint32_t slots, std::uint32_t cold_slots, duration expected_first_token) noexcept {
    const auto old_cold_slots = cold_slots_;
    slots_ = slots;
    cold_slots_ = std::max(1U, cold_slots);
    expected_first_token_ = expected_first_token;
    // Additional slots have to be reached step by step; the limit never stays above the slots.
    current_limit_ = current_limit_ <= old_cold_slots ? cold_slots_ : std::max(current_limit_, cold_slots_);
    current_limit_ = std::min(current_limit_, std::max(1U, slots_));
    if (slots_ > 0 && std::exchange(should_raise_when_configured_, false)) {
        raise_to_quarter();
    }
}

void ramp_limiter::reset(time_point now) {
    current_limit_ = std::min(cold_slots_, std::max(1U, slots_));
    reset_at_ = now;
    should_raise_when_configured_ = false;
    raised_at_.clear();
}

void ramp_limiter::set_reported_cold(bool cold, time_point now) {
    is_reported_cold_ = cold;
    if (cold) {
        reset(now);
    }
}

void ramp_limiter::lower_to_quarter() {
    current_limit_ = std::min(current_limit_, std::max(cold_slots_, slots_ / 4));
    raised_at_.clear();
}

void ramp_limiter::raise_to_quarter() {
    should_raise_when_configured_ = slots_ == 0;
    current_limit_ = std::max(current_limit_, slots_ / 4);
    raised_at_.clear();
}

void ramp_limiter::record_first_token(time_point started, time_point now) {
    if (started <= reset_at_) {
        return;
    }
    if (is_overdue(started, now)) {
        reset(now);
    } else if (now - started <= expected_first_token_) {
        raise(now);
    }
}

void ramp_limiter::record_completion(time_point started, time_point now) {
    if (started > reset_at_) {
        raise(now);
    }
}

bool ramp_limiter::is_overdue(time_point started, time_point now) const noexcept {
    return started > reset_at_ && now > overdue_at(started);
}

time_point ramp_limiter::overdue_at(time_point started) const noexcept {
    return started + cold_latency_factor * expected_first_token_;
}

std::uint32_t ramp_limiter::limit() const noexcept {
    return std::min(slots_, current_limit_);
}

} // namespace dandelionbay
