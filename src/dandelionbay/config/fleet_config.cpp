#include "dandelionbay/config/fleet_config.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace dandelionbay {

namespace {

template<typename Object>
[[nodiscard]] const std::string& name_of(const Object& object) noexcept {
    return object.id.value;
}

template<typename Object, typename Id>
[[nodiscard]] const Object* find_by_id(const std::vector<Object>& objects, const Id& id, bool ordered) noexcept {
    const auto it = ordered ? std::ranges::lower_bound(objects, id.value, std::less<>{}, name_of<Object>)
                            : std::ranges::find(objects, id, &Object::id);
    return it != objects.end() && it->id == id ? &*it : nullptr;
}

[[nodiscard]] bool matches_endpoint(const fleet_config& config, const selector& condition,
                                    const endpoint_config& endpoint) {
    const auto* const zone = config.find(endpoint.zone);
    using label = implicit_labels::value_type;
    const std::array implicit{label{"name", endpoint.id.value}, label{"zone", endpoint.zone.value},
                              label{"region", zone != nullptr ? std::string_view{zone->region.value} : ""}};
    return condition.matches(endpoint.labels, implicit);
}

} // namespace

const team_config* fleet_config::team_by_token(std::string_view token) const noexcept {
    const auto token_of = [this](std::uint32_t position) -> std::string_view { return teams[position].token; };
    if (token_order.size() != teams.size()) {
        const auto it = std::ranges::find(teams, token, &team_config::token);
        return it != teams.end() ? &*it : nullptr;
    }
    const auto it = std::ranges::lower_bound(token_order, token, std::less<>{}, token_of);
    return it != token_order.end() && token_of(*it) == token ? &teams[*it] : nullptr;
}

const team_config* fleet_config::find(const team_id& id) const noexcept {
    return find_by_id(teams, id, ordered);
}

const service_config* fleet_config::find(const service_id& id) const noexcept {
    return find_by_id(services, id, ordered);
}

const pool_config* fleet_config::find(const pool_id& id) const noexcept {
    return find_by_id(pools, id, ordered);
}

const endpoint_config* fleet_config::find(const endpoint_id& id) const noexcept {
    return find_by_id(endpoints, id, ordered);
}

const zone_config* fleet_config::find(const zone_id& id) const noexcept {
    return find_by_id(zones, id, ordered);
}

const service_config* fleet_config::service_by_model(std::string_view model) const noexcept {
    const auto it = std::ranges::find_if(
        services, [&](const auto& s) { return s.kind == service_kind::model && s.model == model; });
    return it != services.end() ? &*it : nullptr;
}

bool fleet_config::in_pool(const endpoint_config& endpoint, const pool_config& pool) const {
    return matches_endpoint(*this, pool.endpoints, endpoint);
}

bool fleet_config::may_use(const team_config& team, const endpoint_config& endpoint) const {
    const std::array implicit{implicit_labels::value_type{"name", team.id.value}};
    return access.empty() || std::ranges::any_of(access, [&](const access_rule& rule) {
               return rule.teams.matches(team.labels, implicit) && matches_endpoint(*this, rule.endpoints, endpoint);
           });
}

bool fleet_config::zone_out(const zone_id& zone) const {
    const auto* const it = find(zone);
    if (it == nullptr) {
        return true;
    }
    using label = implicit_labels::value_type;
    const std::array implicit{label{"name", it->id.value}, label{"region", it->region.value}};
    return zones_out.matches(it->labels, implicit);
}

bool fleet_config::leaving(const endpoint_id& endpoint) const {
    const auto* const it = find(endpoint);
    return it == nullptr || matches_endpoint(*this, endpoints_leaving, *it);
}

} // namespace dandelionbay
