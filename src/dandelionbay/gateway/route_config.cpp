#include "dandelionbay/gateway/route_config.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

const route* route_config::find_route(std::string_view host, std::string_view path) const {
    const auto it = routes_by_host.find(std::string{host});
    if (it == routes_by_host.end()) {
        return nullptr;
    }
    const auto match =
        std::ranges::find_if(it->second, [&](std::size_t index) { return path.starts_with(routes.at(index).prefix); });
    return match == it->second.end() ? nullptr : &routes.at(*match);
}

const team_entry* route_config::find_team(const std::string& key) const {
    const auto it = team_by_key.find(key);
    return it == team_by_key.end() ? nullptr : &teams.at(it->second);
}

const endpoint_service* route_config::find_service(const service_id& id) const {
    const auto it = service_by_id.find(id);
    return it == service_by_id.end() ? nullptr : &services.at(it->second);
}

route_config make_route_config(route_config it) {
    it.routes_by_host.clear();
    it.team_by_key.clear();
    it.service_by_id.clear();
    for (std::size_t n = 0; n < it.routes.size(); ++n) {
        it.routes_by_host[it.routes[n].host].push_back(n);
    }
    for (auto& [host, list] : it.routes_by_host) {
        std::ranges::stable_sort(list, std::ranges::greater{},
                                 [&](std::size_t n) { return it.routes[n].prefix.size(); });
    }
    for (std::size_t n = 0; n < it.teams.size(); ++n) {
        for (const auto& key : it.teams[n].keys) {
            it.team_by_key.emplace(key, n);
        }
    }
    for (std::size_t n = 0; n < it.services.size(); ++n) {
        it.service_by_id.emplace(it.services[n].id, n);
    }
    return it;
}

} // namespace dandelionbay
