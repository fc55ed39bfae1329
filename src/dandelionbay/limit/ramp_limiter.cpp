#include "dandelionbay/limit/ramp_limiter.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

void ramp_limiter::raise(time_point now) {
    while (!raises_.empty() && raises_.front() + min_doubling_interval <= now) {
        raises_.pop_front();
    }
    const auto before = position_ - std::min<std::size_t>(raises_.size(), position_);
    if (reported_cold_ || position_ >= slots_ || position_ + 1 > 2 * before) {
        return;
    }
    ++position_;
    raises_.push_back(now);
}

void ramp_limiter::configure(std::uint32_t slots, std::uint32_t cold_slots, duration expected_first_token) noexcept {
    const auto old_bound = cold_slots_;
    slots_ = slots;
    cold_slots_ = std::max(1U, cold_slots);
    expected_ = expected_first_token;
    // More slots than before have to be reached by the ramp; the position never stays above the slots.
    position_ = position_ <= old_bound ? cold_slots_ : std::max(position_, cold_slots_);
    position_ = std::min(position_, std::max(1U, slots_));
    if (slots_ > 0 && std::exchange(raise_when_configured_, false)) {
        raise_to_quarter();
    }
}

void ramp_limiter::reset(time_point now) {
    position_ = std::min(cold_slots_, std::max(1U, slots_));
    reset_at_ = now;
    raise_when_configured_ = false;
    raises_.clear();
}

void ramp_limiter::set_reported_cold(bool cold, time_point now) {
    reported_cold_ = cold;
    if (cold) {
        reset(now);
    }
}

void ramp_limiter::lower_to_quarter() {
    position_ = std::min(position_, std::max(cold_slots_, slots_ / 4));
    raises_.clear();
}

void ramp_limiter::raise_to_quarter() {
    raise_when_configured_ = slots_ == 0;
    position_ = std::max(position_, slots_ / 4);
    raises_.clear();
}

void ramp_limiter::record_first_token(time_point started, time_point now) {
    if (started <= reset_at_) {
        return;
    }
    if (is_overdue(started, now)) {
        reset(now);
    } else if (now - started <= expected_) {
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
    return started + cold_latency_factor * expected_;
}

std::uint32_t ramp_limiter::limit() const noexcept {
    return std::min(slots_, position_);
}

} // namespace dandelionbay
