#pragma once

#include <cstddef>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/socket_address.hpp"
#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/dispatch/retry_window.hpp"

namespace dandelionbay {

/*! @brief What operators are promised; intervals and limits of a gateway follow from these. */
struct gateway_bounds {
    duration key_withdrawal{std::chrono::seconds{5}};   //!< A withdrawn API key admits no call after this time.
    duration leaving{std::chrono::milliseconds{2'500}}; //!< An endpoint that leaves gets no call after this time.
    duration config{std::chrono::milliseconds{2'500}};  //!< A configuration is in force after this time.
    duration stop_grace{std::chrono::seconds{8}};       //!< Time between the request to stop and the kill.

    friend bool operator==(const gateway_bounds&, const gateway_bounds&) = default;
};

/*! @brief Settings of a gateway: an entry router whose fleet is described by the platform's registry. */
struct gateway_options {
    router_location place{};
    socket_address caller_listen{};
    socket_address ready_listen{};
    socket_address peer_listen{};
    socket_address metrics_listen{};
    std::vector<socket_address> first_peers{}; //!< Routers to begin with; they may be gone.
    socket_address store{};
    gateway_bounds bounds{};
    std::size_t max_connections{3'000}; //!< Connections of callers; below the descriptors of the smallest hosts.
    retry_limits retry{};
    dispatch_limits dispatch{};

    friend bool operator==(const gateway_options&, const gateway_options&) = default;
};

} // namespace dandelionbay
