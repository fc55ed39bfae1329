#pragma once

#include <httplib.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "dandelionbay/app/admin_client.hpp"
#include "dandelionbay/process/child_process.hpp"
#include "dandelionbay/standin/tcp_relay.hpp"

namespace dandelionbay::testing {

/**
 * @brief A fleet of real processes: two routers, three engines and an order service with an agent each, and the store.
 *
 * The west has the store, "router-1", "agent-1", "agent-2" and "agent-orders", four of six hosts; the east has
 * "router-2" and "agent-3". All links between hosts and all connections to the store pass a relay.
 */
class process_fleet : public ::testing::Test {
    void add_process(const std::string& name, std::vector<std::string> command, const nlohmann::json& settings);
    void add_engine(const std::string& name);
    void add_agent(const std::string& name, const std::string& endpoint, const std::string& zone);
    void add_router(const std::string& name, const std::string& zone);
    [[nodiscard]] nlohmann::json node_settings(const std::string& name, const std::string& zone) const;
    [[nodiscard]] std::string at(const std::string& port_name) const;
    void expect_stop(const std::string& name);

public:
    process_fleet();
    ~process_fleet() override;
    process_fleet(const process_fleet&) = delete;
    process_fleet(process_fleet&&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;
    process_fleet& operator=(process_fleet&&) = delete;

    /*! @brief Starts all processes and waits until both routers serve calls and orders. */
    void SetUp() override;

    /*! @brief Stops all processes by SIGTERM; each must end with status 0 and without a sanitizer's report. */
    void TearDown() override;

    /*! @brief Starts a process, also again after its end, and waits until it is ready. @param name Of the process. */
    void start(const std::string& name);

    /*! @brief A running process. @param name Its name. */
    [[nodiscard]] child_process& process(const std::string& name) { return *processes_.at(name); }

    /*! @brief Relay in front of a host, or "store-west" and "store-east". @param name Its name. */
    [[nodiscard]] tcp_relay& relay(const std::string& name) { return *relays_.at(name); }

    /*! @brief Client of a router's callers, or of a stand-in. @param name Name of the process. */
    [[nodiscard]] httplib::Client client(const std::string& name) const;

    /*! @brief Operator at a router. @param router Name of the router. */
    [[nodiscard]] app::admin_client operators(const std::string& router) const;

    /*! @brief Tells whether a router answers a chat call and a call to the order service. @param router Its name. */
    [[nodiscard]] bool serves(const std::string& router) const;

    /*! @brief State of a host as a router's status shows it. @return It; empty if the router does not answer. */
    [[nodiscard]] std::string state_of(const std::string& router, const std::string& host) const;

    /*! @brief Tells whether all hosts are live with one revision at least. @param revision The revision. */
    [[nodiscard]] bool in_force(const std::string& router, std::uint64_t revision) const;

    /*! @brief Takes a zone out of service or back. @return Reply of the router. */
    [[nodiscard]] app::admin_reply set_zone(const std::string& router, const std::string& zone, bool out) const;

    /*! @brief Number of runs that an engine has started. @param engine Its name. */
    [[nodiscard]] std::uint64_t started(const std::string& engine) const;

    /*! @brief Runs of all orders by the record of the service. */
    [[nodiscard]] std::map<std::string, std::uint64_t> order_runs() const;

    /*! @brief Waits for a condition. @param limit Longest wait. @return False if it did not come true. */
    [[nodiscard]] static bool wait_until(const std::function<bool()>& condition,
                                         std::chrono::milliseconds limit = std::chrono::seconds{30});

private:
    std::string address_;
    std::string directory_;
    std::uint16_t next_port_;
    nlohmann::json hosts_;
    std::map<std::string, std::uint16_t> ports_;
    std::map<std::string, std::vector<std::string>> commands_;
    std::vector<std::string> order_;
    std::map<std::string, std::unique_ptr<tcp_relay>> relays_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

} // namespace dandelionbay::testing
