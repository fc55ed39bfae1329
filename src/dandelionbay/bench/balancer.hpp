#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>

#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/**
 * @brief Load balancer before the routers: asks each for its health and sends the calls for one that is stopping or
 *        does not answer to another.
 */
class balancer {
    void check_all();
    void run();

public:
    using port_list = std::array<std::uint16_t, router_count>;

    /*! @brief Takes all routers for healthy; asks none before start(). @param ports Of the routers for callers. */
    explicit balancer(const port_list& ports) noexcept;
    balancer(const balancer&) = delete;
    balancer(balancer&&) = delete;
    balancer& operator=(const balancer&) = delete;
    balancer& operator=(balancer&&) = delete;

    /*! @brief Ends the checks. */
    ~balancer();

    /*! @brief Starts to check each router every 50 ms. */
    void start();

    /**
     * @brief Where to send a call.
     * @param router For which it was planned.
     * @return Port of this router, or of the next healthy one; of this router too if none is healthy.
     */
    [[nodiscard]] std::uint16_t port_for(std::size_t router) const;

private:
    port_list ports_;
    std::array<std::atomic<bool>, router_count> unhealthy_{};
    std::atomic<bool> stopped_{};
    std::thread thread_;
};

} // namespace dandelionbay::bench
