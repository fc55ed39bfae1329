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

route_config make_route_config(route_config config) {
    config.routes_by_host.clear();
    config.team_by_key.clear();
    config.service_by_id.clear();
    for (std::size_t index = 0; index < config.routes.size(); ++index) {
        config.routes_by_host[config.routes[index].host].push_back(index);
    }
    for (auto& [host, indices] : config.routes_by_host) {
        std::ranges::stable_sort(indices, std::ranges::greater{},
                                 [&](std::size_t index) { return config.routes[index].prefix.size(); });
    }
    for (std::size_t index = 0; index < config.teams.size(); ++index) {
        for (const auto& key : config.teams[index].keys) {
            config.team_by_key.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < config.services.size(); ++index) {
        config.service_by_id.emplace(config.services[index].id, index);
    }
    return config;
}

} // namespace dandelionbay
