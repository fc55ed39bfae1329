#pragma once

#include <memory>

#include "absl/status/status.h"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/claim/claim_service.hpp"
#include "dandelionbay/config/config_editor.hpp"
#include "dandelionbay/http/admin_api.hpp"
#include "dandelionbay/http/admin_front.hpp"
#include "dandelionbay/http/caller_front.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/node/node_environment.hpp"
#include "dandelionbay/node/node_options.hpp"
#include "dandelionbay/node/router_driver.hpp"

namespace dandelionbay {

/**
 * @brief An entry router.
 *
 * Services in its kernel: "clock", "counters", "store", "router", "links", "polling", "claims", "callers", "admin"
 * (only with a token for operators).
 */
class router_node {
public:
    /*! @brief Creates a router that does not run yet. @param options Settings. @param environment What it uses. */
    explicit router_node(router_node_options options, node_environment environment = {});
    router_node(const router_node&) = delete;
    router_node(router_node&&) = delete;
    router_node& operator=(const router_node&) = delete;
    router_node& operator=(router_node&&) = delete;

    /*! @brief Stops at once, without the graceful stop. */
    ~router_node();

    /*! @brief Starts all services. @return The first error. */
    [[nodiscard]] absl::Status start();

    /*! @brief Graceful stop; blocks for at most the balancer's delay and the stop limit, then ends all services. */
    void stop() noexcept;

    /*! @brief Where callers connect; valid after start(). */
    [[nodiscard]] std::uint16_t caller_port() const noexcept { return callers_->port(); }

    /*! @brief Where operators connect; valid after start(); zero without a token for operators. */
    [[nodiscard]] std::uint16_t admin_port() const noexcept { return admin_ != nullptr ? admin_->port() : 0; }

    /*! @brief Where other hosts connect; valid after start(). */
    [[nodiscard]] std::uint16_t peer_port() noexcept { return driver_->links().port(); }

    /*! @brief The router's view of the fleet. */
    [[nodiscard]] fleet_view& view() noexcept { return *driver_; }

    /*! @brief The table service that the router uses. */
    [[nodiscard]] table_store& store() noexcept { return *environment_.store; }

    /*! @brief Processor time of the control work; see node_driver. @return Microseconds. */
    [[nodiscard]] duration control_cpu_time() const noexcept { return driver_->control_cpu_time(); }

    /*! @brief The router's counters. */
    [[nodiscard]] counters& metrics() noexcept { return *counters_; }

    /*! @brief The router's services; more may be added before start(). */
    [[nodiscard]] kernel& services() noexcept { return kernel_; }

private:
    router_node_options options_;
    node_environment environment_;
    std::shared_ptr<counters> counters_;
    std::unique_ptr<router_driver> driver_;
    std::unique_ptr<claim_service> claims_;
    std::unique_ptr<caller_front> callers_;
    std::unique_ptr<config_editor> editor_;
    std::unique_ptr<admin_api> admin_api_;
    std::unique_ptr<admin_front> admin_;
    absl::Status built_;
    kernel kernel_;
};

} // namespace dandelionbay
