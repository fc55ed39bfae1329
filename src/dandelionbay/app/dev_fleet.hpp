#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "dandelionbay/net/reserved_address.hpp"
#include "dandelionbay/node/agent_node.hpp"
#include "dandelionbay/node/router_node.hpp"
#include "dandelionbay/standin/standin_engine.hpp"
#include "dandelionbay/standin/standin_platform.hpp"
#include "dandelionbay/standin/standin_service.hpp"
#include "dandelionbay/standin/tcp_relay.hpp"

namespace dandelionbay::app {

/*! @brief Ports and token of a development fleet. */
struct dev_options {
    std::uint16_t port{};       //!< Callers of the first router.
    std::uint16_t admin_port{}; //!< Operators of the first router.
    std::string admin_token{"dev-admin"};
    bool relays{}; //!< Links and calls to the store pass relays, which split_regions() needs.

    friend bool operator==(const dev_options&, const dev_options&) = default;
};

/**
 * @brief A whole fleet in one process over loopback sockets.
 *
 * 2 entry routers, 3 zones in 2 regions, 4 agents in front of model engine stand-ins, 2 in front of order service
 * stand-ins, and a platform stand-in.
 */
class dev_fleet {
    /*! Takes an address for the life of the fleet. */
    [[nodiscard]] socket_address reserve_address();
    [[nodiscard]] absl::Status start_platform();
    [[nodiscard]] absl::Status start_relays();
    [[nodiscard]] node_options common_options(std::size_t host) const;
    [[nodiscard]] absl::Status start_endpoints();
    [[nodiscard]] std::unique_ptr<agent_node> make_agent(std::size_t index) const;
    [[nodiscard]] std::unique_ptr<router_node> make_router(std::size_t index, std::uint16_t port,
                                                           std::uint16_t admin_port) const;
    [[nodiscard]] absl::Status start_agents();
    [[nodiscard]] absl::Status start_routers();
    [[nodiscard]] absl::Status wait_until_serving();
    [[nodiscard]] bool serving();

public:
    /*! @brief Creates a fleet that does not run yet. @param options Ports and token. */
    explicit dev_fleet(dev_options options);
    dev_fleet(const dev_fleet&) = delete;
    dev_fleet(dev_fleet&&) = delete;
    dev_fleet& operator=(const dev_fleet&) = delete;
    dev_fleet& operator=(dev_fleet&&) = delete;
    ~dev_fleet();

    /*! @brief Starts everything and waits until calls are served. @return The first error. */
    [[nodiscard]] absl::Status start();

    /*! @brief Graceful stop of all routers, then of all agents, then of the stand-ins. */
    void stop() noexcept;

    /*! @brief Where each host listens for its peers, also while it does not run. */
    [[nodiscard]] const std::vector<socket_address>& peer_addresses() const noexcept { return peer_listen_; }

    /*! @brief The routers; empty unless the fleet runs. */
    [[nodiscard]] const std::vector<std::unique_ptr<router_node>>& routers() const noexcept { return routers_; }

    /*! @brief The agents; empty unless the fleet runs. */
    [[nodiscard]] const std::vector<std::unique_ptr<agent_node>>& agents() const noexcept { return agents_; }

    /*! @brief The model engine stand-ins; empty unless the fleet runs. */
    [[nodiscard]] const std::vector<std::unique_ptr<standin_engine>>& engines() const noexcept { return engines_; }

    /*! @brief The order service stand-ins; empty unless the fleet runs. */
    [[nodiscard]] const std::vector<std::unique_ptr<standin_service>>& services() const noexcept { return services_; }

    /*! @brief The platform stand-in; only while the fleet runs. */
    [[nodiscard]] standin_platform& platform() noexcept { return *platform_; }

    /**
     * @brief Stops an agent gracefully and starts its host again with a new life.
     * @param index Of the agent in agents(), which must not be read meanwhile.
     * @return The stopped agent, or the error that kept the new one from starting.
     */
    [[nodiscard]] absl::StatusOr<std::unique_ptr<agent_node>> restart_agent(std::size_t index);

    /**
     * @brief Stops a router gracefully and starts its host again with a new life and the same ports.
     * @param index Of the router in routers(), which must not be read meanwhile.
     * @return The stopped router, or the error that kept the new one from starting or from hearing all hosts in 20 s.
     */
    [[nodiscard]] absl::StatusOr<std::unique_ptr<router_node>> restart_router(std::size_t index);

    /**
     * @brief Makes all connections between the regions silent, the east's connections to the store included, or lets
     *        them move again. Needs dev_options::relays.
     * @param split Whether the regions are split from now on.
     */
    void split_regions(bool split);

    /*! @brief Region of a router. @param index Of the router in routers(). */
    [[nodiscard]] static std::string region_of_router(std::size_t index);

    /*! @brief The model engine stand-ins of a zone. @param zone Name of the zone. @return Valid until stop(). */
    [[nodiscard]] std::vector<const standin_engine*> engines_in(std::string_view zone) const;

private:
    dev_options options_;
    std::list<reserved_address> reserved_;           //!< Else another program could take a port while a host is down.
    std::vector<host_entry> hosts_;                  //!< With the addresses to dial: of the relays, if there are any.
    std::vector<socket_address> peer_listen_;        //!< Where each of the hosts listens.
    std::vector<std::unique_ptr<tcp_relay>> relays_; //!< One before each of the hosts.
    std::unique_ptr<tcp_relay> east_store_;
    std::uint16_t east_store_port_{};
    std::unique_ptr<standin_platform> platform_;
    std::vector<std::unique_ptr<standin_engine>> engines_;
    std::vector<std::unique_ptr<standin_service>> services_;
    std::vector<std::unique_ptr<agent_node>> agents_;
    std::vector<std::unique_ptr<router_node>> routers_;
};

} // namespace dandelionbay::app
