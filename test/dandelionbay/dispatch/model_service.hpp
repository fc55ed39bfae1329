#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "dandelionbay/gateway/registry_view.hpp"

namespace dandelionbay {

/*! @brief Returns a configuration with one service, "model". */
[[nodiscard]] inline std::shared_ptr<const route_config> model_config() {
    route_config config;
    config.version = 1;
    endpoint_service model;
    model.id = service_id{"model"};
    model.engine = engine_profile{64, 300'000, 4};
    config.services = {model};
    return std::make_shared<const route_config>(make_route_config(std::move(config)));
}

/*! @brief Returns the engines of that service, "e0" and so on. @param count Number. @param zone Of all of them. */
[[nodiscard]] inline endpoint_list model_endpoints(std::size_t count, const zone_id& zone = {}) {
    endpoint_list list;
    list.as_of = 1;
    for (std::size_t n = 0; n < count; ++n) {
        endpoint_entry it;
        it.id = endpoint_id{"e" + std::to_string(n)};
        it.service = service_id{"model"};
        it.zone = zone;
        it.slots = 64;
        it.row_version = 1;
        list.entries.push_back(std::move(it));
    }
    return list;
}

} // namespace dandelionbay
