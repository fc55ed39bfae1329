#include "dandelionbay/agent/floor_table.hpp"

#include <algorithm>

namespace dandelionbay::internal {

void floor_table::merge(const pool_id& pool, const team_demand& report) {
    auto& floor = floors_[key_type{pool, report.team}];
    floor = std::max(floor, report.charged);
}

double floor_table::floor(const pool_id& pool, const team_id& team) const {
    const auto it = floors_.find(key_type{pool, team});
    return it != floors_.end() ? it->second : 0.0;
}

std::vector<team_floor> floor_table::take_updates(const host_id& router, const pool_id& pool, double step) {
    auto& told = sent_[router];
    std::vector<team_floor> result;
    for (auto it = floors_.lower_bound(key_type{pool, team_id{}}); it != floors_.end() && it->first.first == pool;
         ++it) {
        if (result.size() == max_floors_per_grant) {
            break;
        }
        const auto before = told.find(it->first);
        if (it->second > 0 && (before == told.end() || it->second > before->second + step)) {
            told.insert_or_assign(it->first, it->second);
            result.push_back(team_floor{.pool = pool, .team = it->first.second, .charged = it->second});
        }
    }
    return result;
}

void floor_table::forget_router(const host_id& router) {
    sent_.erase(router);
}

} // namespace dandelionbay::internal
