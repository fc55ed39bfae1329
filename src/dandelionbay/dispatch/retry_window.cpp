#include "dandelionbay/dispatch/retry_window.hpp"

#include <algorithm>

namespace dandelionbay {

void retry_window::expire(time_point now) {
    for (auto* const list : {&calls_, &repeats_}) {
        while (!list->empty() && now - list->front() >= limits_.window) {
            list->pop_front();
        }
    }
}

void retry_window::record_call(time_point now) {
    expire(now);
    calls_.push_back(now);
}

bool retry_window::try_acquire(std::size_t routers, time_point now) {
    expire(now);
    const auto earned = limits_.ratio * static_cast<double>(calls_.size());
    const auto free = limits_.slack / static_cast<double>(std::max<std::size_t>(1, routers));
    if (static_cast<double>(repeats_.size()) + 1.0 > usable_share * (earned + free)) {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

} // namespace dandelionbay
