#include "dandelionbay/bench/fairness_meter.hpp"

#include <algorithm>

namespace dandelionbay::bench {

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
            pair = pair.open ? pair_state{true, std::min(pair.lowest, difference), std::max(pair.highest, difference)}
                             : pair_state{true, difference, difference};
            gap_ = std::max(gap_, pair.highest - pair.lowest);
        }
    }
    if (contended) {
        contended_ += step;
    }
}

} // namespace dandelionbay::bench
