#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionbay/agent/agent_core.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/router/router_core.hpp"
#include "soak/checker.hpp"
#include "soak/sim_driver.hpp"
#include "soak/sim_endpoint.hpp"

namespace dandelionbay::soak {

/*! @brief Router process: its core, driven on paused time. */
class sim_router final : public sim_driver {
    void perform(const router_core::actions& actions);
    void update_freshness(bool fresh);
    void refresh_exchange();

    void on_config(const std::shared_ptr<const fleet_config>& config) override;
    void on_link_up(const hello& peer) override;
    void on_link_down(const host_id& peer) override;
    void on_message(const host_id& from, const message& body) override;
    void on_tick(bool fresh) override;

public:
    sim_router(world& shared, router_settings settings);

    void submit_request(accepted_request request, const std::string& key, std::uint32_t tokens);
    void caller_leaves(const request_id& id);
    void begin_stop();
    /*! @brief Ends the process without warning and starts it again. */
    void restart();

    [[nodiscard]] bool idle() const noexcept { return core_->idle(); }
    [[nodiscard]] std::set<request_id> open() const { return open_; }

private:
    router_settings settings_;
    std::vector<host_id> peers_;
    std::unique_ptr<router_core> core_;
    std::set<request_id> open_;
    bool fresh_{};
};

/*! @brief Agent process with its endpoint. */
class sim_agent final : public sim_driver, private endpoint_events {
    void perform(const agent_core::actions& actions);
    void start(const submit& work);
    void measure();

    void on_config(const std::shared_ptr<const fleet_config>& config) override;
    void on_link_up(const hello& peer) override;
    void on_link_down(const host_id& peer) override;
    void on_message(const host_id& from, const message& body) override;
    void on_tick(bool fresh) override;

    void run_head(const request_id& id) override;
    void run_data(const request_id& id, std::string data) override;
    void run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) override;
    void reported(const load_report& state) override;
    void unreachable() override;

public:
    sim_agent(world& shared, agent_settings settings, std::uint32_t slots);

    void begin_stop();
    void restart();
    /*! @brief Time at which a change that took the zone out was accepted; none while the zone is in service. */
    void zone_out_since(std::optional<time_point> since) { zone_out_since_ = since; }

    [[nodiscard]] const agent_settings& settings() const noexcept { return settings_; }
    [[nodiscard]] sim_endpoint& endpoint() noexcept { return *endpoint_; }
    [[nodiscard]] bool idle() const noexcept { return core_->idle(); }
    [[nodiscard]] duration busy() const noexcept { return busy_; }

private:
    agent_settings settings_;
    std::unique_ptr<agent_core> core_;
    std::unique_ptr<sim_endpoint> endpoint_;
    std::optional<time_point> zone_out_since_;
    std::map<request_id, team_id> teams_;
    duration busy_{};
    bool fresh_{};
};

} // namespace dandelionbay::soak
