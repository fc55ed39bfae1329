#include "dandelionbay/dispatch/cold_rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionbay {

std::size_t cold_rate_limiter::share(double calls_per_s, std::size_t routers, std::size_t rank) noexcept {
    const auto calls = static_cast<std::size_t>(std::max(1.0, std::floor(calls_per_s)));
    const auto count = std::max<std::size_t>(1, routers);
    return calls / count + (rank < calls % count ? 1 : 0);
}

bool cold_rate_limiter::allows(std::size_t share, time_point now) {
    while (!sent_.empty() && now - sent_.front() >= window) {
        sent_.pop_front();
    }
    return sent_.size() < share;
}

void cold_rate_limiter::sent(time_point now) {
    while (!sent_.empty() && now - sent_.front() >= window) {
        sent_.pop_front();
    }
    sent_.push_back(now);
}

} // namespace dandelionbay
