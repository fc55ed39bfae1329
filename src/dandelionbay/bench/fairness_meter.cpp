#include "dandelionbay/bench/fairness_meter.hpp"

#include <algorithm>

namespace dandelionbay::bench {

void fairness_meter::add_to_rate(const sample& now, duration step) {
    std::int64_t cost = 0;
    for (const auto& it : now) {
        cost += it.cost;
    }
    const std::chrono::duration<double> seconds = window_ ? *window_ + step : duration{0};
    if (window_ && seconds < std::chrono::seconds{1}) {
        *window_ += step;
        return;
    }
    if (window_) {
        rate_ = std::max(rate_, static_cast<double>(cost - window_cost_) / seconds.count());
    }
    window_ = duration{0};
    window_cost_ = cost;
}

void fairness_meter::add(const sample& now, duration step) {
    bool contended = false;
    for (std::size_t a = 0; a < team_count; ++a) {
        for (std::size_t b = a + 1; b < team_count; ++b) {
            auto& pair = pairs_.at(a).at(b);
            if (!now.at(a).backlogged || !now.at(b).backlogged) {
                pair.open = false;
                continue;
            }
            contended = true;
            const auto difference = now.at(a).tokens - now.at(b).tokens;
            const auto cost = now.at(a).cost - now.at(b).cost;
            if (!pair.open) {
                pair = {true, difference, difference, cost, cost};
            }
            pair = {true, std::min(pair.lowest, difference), std::max(pair.highest, difference),
                    std::min(pair.lowest_cost, cost), std::max(pair.highest_cost, cost)};
            gap_ = std::max(gap_, pair.highest - pair.lowest);
            cost_gap_ = std::max(cost_gap_, pair.highest_cost - pair.lowest_cost);
        }
    }
    add_to_rate(now, step);
    if (contended) {
        contended_ += step;
    }
}

} // namespace dandelionbay::bench
