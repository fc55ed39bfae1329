#include "dandelionbay/dispatch/overload_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "dandelionbay/dispatch/work.hpp"

namespace dandelionbay {

void overload_estimator::record_wait(double waited_ms, const dispatch_limits& limits, time_point now) noexcept {
    const double before_ms = queueing_delay_ms(now);
    const double sample_ms = std::min(waited_ms, limits.max_queueing_delay_ms * max_sample_factor);
    samples_ = samples_ * std::exp(-to_ms(now - sampled_at_) / to_ms(decay_time)) + 1.0;
    delay_ms_ = before_ms + sample_weight * (sample_ms - before_ms);
    sampled_at_ = now;
}

double overload_estimator::queueing_delay_ms(time_point now) const noexcept {
    const auto idle = std::max(duration{}, now - sampled_at_ - hold_time);
    return delay_ms_ * std::exp(-to_ms(idle) / to_ms(decay_time));
}

std::optional<double> overload_estimator::capacity(const dispatch_limits& limits, time_point now) const noexcept {
    const double above_ms = queueing_delay_ms(now) - limits.queueing_delay_ms;
    if (above_ms <= 0.0 || samples_ < min_samples) {
        return std::nullopt;
    }
    const double range_ms = std::max(1.0, limits.max_queueing_delay_ms - limits.queueing_delay_ms);
    return std::lerp(limits.most_admission, limits.least_admission, std::min(1.0, above_ms / range_ms));
}

} // namespace dandelionbay
