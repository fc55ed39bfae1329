#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/node/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief What a node does while it has no evidence that its configuration is the newest one. */
enum class isolated_policy : std::uint8_t { stop, serve };

/*! @brief Settings that both roles share. */
struct node_options {
    host_id host{};
    region_id region{};
    zone_id zone{};
    socket_address peer_listen{};    //!< Where links from other hosts are taken.
    socket_address store{};          //!< The platform's table service and host list (HTTP).
    std::vector<host_entry> hosts{}; //!< Hosts known before the host list is read.
    isolated_policy isolated{isolated_policy::stop};
    std::chrono::milliseconds poll_interval{2'000}; //!< Between two reads of the configuration.
    std::chrono::milliseconds stop_limit{120'000};  //!< Longest graceful stop.

    friend bool operator==(const node_options&, const node_options&) = default;
};

/*! @brief Settings of an entry router. */
struct router_node_options {
    node_options common{};
    socket_address caller_listen{};
    socket_address admin_listen{};
    std::string admin_token{};
    std::uint32_t caller_threads{512};               //!< Caller connections served at once.
    std::chrono::milliseconds balancer_delay{5'000}; //!< Time the balancer needs to stop sending new connections.

    friend bool operator==(const router_node_options&, const router_node_options&) = default;
};

/*! @brief Settings of an endpoint agent. */
struct agent_node_options {
    node_options common{};
    endpoint_id endpoint{};
    socket_address endpoint_address{}; //!< Where the endpoint serves HTTP.

    friend bool operator==(const agent_node_options&, const agent_node_options&) = default;
};

} // namespace dandelionbay
