#include "dandelionbay/router/internal/access_groups.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace dandelionbay::internal {

bool access_groups::intersects(const rule_set& a, const rule_set& b) noexcept {
    for (std::size_t n = 0; n < a.size(); ++n) {
        if (a[n] && b[n]) {
            return true;
        }
    }
    return false;
}

access_groups::access_groups(const fleet_config& config) {
    using label = implicit_labels::value_type;
    // Without rules every team may use every endpoint; this is represented by one rule that applies to all.
    const auto rule_count = std::max<std::size_t>(config.access.size(), 1);

    std::map<rule_set, group_type> groups{{rule_set(rule_count, config.access.empty()), 0}};
    for (const auto& team : config.teams) {
        rule_set matching_rules(rule_count, config.access.empty());
        const std::array implicit{label{"name", team.id.value}};
        for (std::size_t n = 0; n < config.access.size(); ++n) {
            matching_rules[n] = config.access[n].teams.matches(team.labels, implicit);
        }
        const auto next = static_cast<group_type>(groups.size());
        teams_[team.id] = groups.try_emplace(matching_rules, next).first->second;
    }
    for (const auto& endpoint : config.endpoints) {
        rule_set matching_rules(rule_count, config.access.empty());
        const auto* const zone = config.find(endpoint.zone);
        const std::array implicit{label{"name", endpoint.id.value}, label{"zone", endpoint.zone.value},
                                  label{"region", zone != nullptr ? std::string_view{zone->region.value} : ""}};
        for (std::size_t n = 0; n < config.access.size(); ++n) {
            matching_rules[n] = config.access[n].endpoints.matches(endpoint.labels, implicit);
        }
        auto& allowed_groups = allowed_groups_[endpoint.id];
        for (const auto& [team_rules, group] : groups) {
            if (intersects(team_rules, matching_rules)) {
                allowed_groups.push_back(group);
            }
        }
        const bool is_in_service = !config.zone_out(endpoint.zone) && !config.leaving(endpoint.id);
        for (const auto& pool : config.pools) {
            if (!config.in_pool(endpoint, pool)) {
                continue;
            }
            pools_[endpoint.id].push_back(pool.id);
            for (const auto group : allowed_groups) {
                auto& it = availability_[std::pair{pool.id, group}];
                it.is_permitted = true;
                it.has_endpoint_in_service = it.has_endpoint_in_service || is_in_service;
            }
        }
    }
}

access_groups::group_type access_groups::group_of(const team_id& team) const {
    const auto it = teams_.find(team);
    return it != teams_.end() ? it->second : 0;
}

const std::vector<access_groups::group_type>& access_groups::allowed_groups(const endpoint_id& endpoint) const {
    static const std::vector<group_type> none;
    const auto it = allowed_groups_.find(endpoint);
    return it != allowed_groups_.end() ? it->second : none;
}

const std::vector<pool_id>& access_groups::pools_of(const endpoint_id& endpoint) const {
    static const std::vector<pool_id> none;
    const auto it = pools_.find(endpoint);
    return it != pools_.end() ? it->second : none;
}

bool access_groups::is_permitted(const pool_id& pool, group_type group) const {
    const auto it = availability_.find(std::pair{pool, group});
    return it != availability_.end() && it->second.is_permitted;
}

bool access_groups::has_endpoint_in_service(const pool_id& pool, group_type group) const {
    const auto it = availability_.find(std::pair{pool, group});
    return it != availability_.end() && it->second.has_endpoint_in_service;
}

} // namespace dandelionbay::internal
