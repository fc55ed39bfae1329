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

void fairness_meter::extend(std::size_t a, std::size_t b, const sample& now) {
    auto& pair = pairs_.at(a).at(b);
    const auto difference = now.at(a).tokens - now.at(b).tokens;
    const auto cost = now.at(a).cost - now.at(b).cost;
    if (!pair.open) {
        pair = {true, difference, difference, cost, cost, elapsed_, elapsed_};
    }
    pair.lowest = std::min(pair.lowest, difference);
    pair.highest = std::max(pair.highest, difference);
    if (cost < pair.lowest_cost) {
        pair.lowest_cost = cost;
        pair.lowest_cost_at = elapsed_;
    }
    if (cost > pair.highest_cost) {
        pair.highest_cost = cost;
        pair.highest_cost_at = elapsed_;
    }
    gap_ = std::max(gap_, pair.highest - pair.lowest);
    if (pair.highest_cost - pair.lowest_cost > cost_gap_) {
        cost_gap_ = pair.highest_cost - pair.lowest_cost;
        widest_ = pair.lowest_cost_at <= pair.highest_cost_at
                      ? widest_gap{a, b, pair.lowest_cost_at, pair.highest_cost_at}
                      : widest_gap{b, a, pair.highest_cost_at, pair.lowest_cost_at};
    }
}

void fairness_meter::add(const sample& now, duration step) {
    elapsed_ += step;
    bool contended = false;
    for (std::size_t a = 0; a < team_count; ++a) {
        for (std::size_t b = a + 1; b < team_count; ++b) {
            if (now.at(a).backlogged && now.at(b).backlogged) {
                contended = true;
                extend(a, b, now);
            } else {
                pairs_.at(a).at(b).open = false;
            }
        }
    }
    add_to_rate(now, step);
    if (contended) {
        contended_ += step;
    }
}

} // namespace dandelionbay::bench
