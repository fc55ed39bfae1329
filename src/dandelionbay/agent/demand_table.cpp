#include "dandelionbay/agent/demand_table.hpp"

#include <algorithm>

namespace dandelionbay::internal {

bool demand_table::update(const host_id& router, const demand& report, time_point now) {
    auto [it, added] = work_.try_emplace(key_type{router, report.pool});
    auto& work = it->second;
    if (!added && report.version <= work.version) {
        return false;
    }
    const auto waits = [](const waiting_team& team) { return team.waiting() > 0; };
    const bool waited = std::ranges::any_of(work.teams, waits);
    work.version = report.version;
    work.expired_grants = 0;
    work.ignored_until = time_point{};

    work.gap = report.gap;
    work.teams.clear();
    for (const auto& team : report.teams) {
        work.teams.push_back(waiting_team{.reported = team});
    }
    if (!waited && std::ranges::any_of(work.teams, waits)) {
        work.waiting_since = now;
    }
    return true;
}

void demand_table::record_submission(const host_id& router, const pool_id& pool, const team_id& team) {
    const auto it = work_.find(key_type{router, pool});
    if (it == work_.end()) {
        return;
    }
    const auto entry =
        std::ranges::find_if(it->second.teams, [&](const waiting_team& n) { return n.reported.team == team; });
    if (entry != it->second.teams.end()) {
        ++entry->submitted;
    }
}

void demand_table::record_expired_grant(const host_id& router, const pool_id& pool, time_point now) {
    constexpr std::uint32_t most_doublings = 5;
    if (const auto it = work_.find(key_type{router, pool}); it != work_.end()) {
        it->second.ignored_until =
            now + (std::chrono::seconds{1} * (1U << std::min(it->second.expired_grants, most_doublings)));
        ++it->second.expired_grants;
    }
}

void demand_table::clear(const host_id& router, const pool_id& pool) {
    if (const auto it = work_.find(key_type{router, pool}); it != work_.end()) {
        it->second.teams.clear();
    }
}

void demand_table::erase(const host_id& router) {
    std::erase_if(work_, [&](const auto& entry) { return entry.first.first == router; });
}

} // namespace dandelionbay::internal
