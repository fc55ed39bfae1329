#pragma once

#include <memory>

#include "absl/status/status.h"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/node/agent_driver.hpp"
#include "dandelionbay/node/node_environment.hpp"
#include "dandelionbay/node/node_options.hpp"

namespace dandelionbay {

/**
 * @brief An endpoint agent.
 *
 * Services in its kernel: "clock", "counters", "store", "agent", "links", "polling".
 */
class agent_node {
public:
    /*! @brief Creates an agent that does not run yet. @param options Settings. @param environment What it uses. */
    explicit agent_node(agent_node_options options, node_environment environment = {});
    agent_node(const agent_node&) = delete;
    agent_node(agent_node&&) = delete;
    agent_node& operator=(const agent_node&) = delete;
    agent_node& operator=(agent_node&&) = delete;

    /*! @brief Stops at once, without the graceful stop. */
    ~agent_node();

    /*! @brief Starts all services. @return The first error. */
    [[nodiscard]] absl::Status start();

    /*! @brief Graceful stop: announces leaving, drains running requests, ends all services. */
    void stop() noexcept;

    /*! @brief Where other hosts connect; valid after start(). */
    [[nodiscard]] std::uint16_t peer_port() noexcept { return driver_->links().port(); }

    /*! @brief Processor time of the control work; see node_driver. @return Microseconds. */
    [[nodiscard]] duration control_cpu_time() const noexcept { return driver_->control_cpu_time(); }

    /*! @brief The agent's counters. */
    [[nodiscard]] counters& metrics() noexcept { return *counters_; }

    /*! @brief The agent's services; more may be added before start(). */
    [[nodiscard]] kernel& services() noexcept { return kernel_; }

private:
    agent_node_options options_;
    node_environment environment_;
    std::shared_ptr<counters> counters_;
    std::unique_ptr<agent_driver> driver_;
    absl::Status built_;
    kernel kernel_;
};

} // namespace dandelionbay
