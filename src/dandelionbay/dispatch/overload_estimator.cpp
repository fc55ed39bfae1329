#include "dandelionbay/dispatch/overload_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "dandelionbay/dispatch/work.hpp"

namespace dandelionbay {

namespace {

/*! A peer's samples are dropped when they weigh less than this. */
constexpr double min_peer_weight = 0.01;

[[nodiscard]] double decay(duration age) noexcept {
    return std::exp(-to_ms(std::max(duration{}, age)) / to_ms(overload_estimator::decay_time));
}

} // namespace

double overload_estimator::observation::weight(time_point now) const noexcept {
    return samples * decay(now - newest);
}

double overload_estimator::observation::decayed_delay_ms(time_point now) const noexcept {
    return delay_ms * decay(now - newest - hold_time);
}

bool overload_estimator::has_own_samples(time_point now) const noexcept {
    return own_.samples >= min_samples && now - own_.newest <= hold_time;
}

overload_estimator::observation overload_estimator::deciding(time_point now) const noexcept {
    if (has_own_samples(now)) {
        return own_;
    }
    observation out;
    double sum_ms = 0.0;
    const auto add = [&](const observation& it) {
        const double weight = it.weight(now);
        out.samples += weight;
        sum_ms += weight * it.delay_ms;
        out.newest = std::max(out.newest, it.newest);
    };
    add(own_);
    for (const auto& [peer, it] : peers_) {
        add(it);
    }
    out.delay_ms = out.samples > 0.0 ? sum_ms / out.samples : 0.0;
    return out;
}

void overload_estimator::record_wait(double waited_ms, const dispatch_limits& limits, time_point now) noexcept {
    const double sample_ms = std::min(waited_ms, limits.max_queueing_delay_ms * max_sample_factor);
    const double before_ms = own_.decayed_delay_ms(now);
    own_ = {before_ms + sample_weight * (sample_ms - before_ms), own_.weight(now) + 1.0, now};
}

void overload_estimator::update_peer(const host_id& peer, const service_delay& observed, time_point now) {
    peers_[peer] = observation{observed.delay_ms, observed.samples, now - std::max(duration{}, observed.age)};
    std::erase_if(peers_, [&](const auto& it) { return it.second.weight(now) < min_peer_weight; });
}

service_delay overload_estimator::own(time_point now) const {
    return {{}, own_.delay_ms, own_.samples, now - own_.newest};
}

double overload_estimator::queueing_delay_ms(time_point now) const noexcept {
    return deciding(now).decayed_delay_ms(now);
}

std::optional<double> overload_estimator::capacity(const dispatch_limits& limits, time_point now) const noexcept {
    const auto observed = deciding(now);
    const double above_ms = observed.decayed_delay_ms(now) - limits.queueing_delay_ms;
    if (above_ms <= 0.0 || observed.samples < min_samples) {
        return std::nullopt;
    }
    const double range_ms = std::max(1.0, limits.max_queueing_delay_ms - limits.queueing_delay_ms);
    return std::lerp(limits.most_admission, limits.least_admission, std::min(1.0, above_ms / range_ms));
}

} // namespace dandelionbay
