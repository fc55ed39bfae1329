#pragma once

#include <atomic>
#include <memory>

#include "dandelionbay/agent/agent_core.hpp"
#include "dandelionbay/node/endpoint_client.hpp"
#include "dandelionbay/node/node_driver.hpp"

namespace dandelionbay {

/*! @brief Driver of an agent's decision core. */
class agent_driver final : public node_driver, private run_events {
    void perform(agent_core::actions actions);
    void poll_endpoint();

    void run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers) override;
    void run_data(const request_id& id, std::string data, std::uint32_t tokens) override;
    void run_broke(const request_id& id) override;
    void run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) override;

protected:
    void on_config(const std::shared_ptr<const fleet_config>& config, time_point now) override;
    void on_host_list(bool leaving, time_point now) override;
    void on_link_up(const hello& peer, time_point now) override;
    void on_link_down(const host_id& peer, time_point now) override;
    void on_message(const host_id& from, const message& body, time_point now) override;
    void on_fresh(bool fresh, time_point now) override;
    void on_tick(time_point now) override;
    void on_begin_stop(time_point now) override;

public:
    /*! @brief Creates a driver. @param options Settings. @param endpoint The endpoint. The rest as for node_driver. */
    agent_driver(const agent_node_options& options, endpoint_client& endpoint, const clock& time, counters& metrics,
                 table_store& store, host_list& hosts);
    agent_driver(const agent_driver&) = delete;
    agent_driver(agent_driver&&) = delete;
    agent_driver& operator=(const agent_driver&) = delete;
    agent_driver& operator=(agent_driver&&) = delete;
    ~agent_driver() override;

    [[nodiscard]] absl::Status start(kernel& host) override;
    void stop() noexcept override;

    /*! @brief Tells whether no run and no unread answer is left, as of the last tick. */
    [[nodiscard]] bool idle() const noexcept { return idle_; }

private:
    endpoint_client* endpoint_;
    agent_core core_;
    repeater endpoint_poller_;
    std::atomic<std::uint32_t> checks_ordered_{0};
    std::atomic<bool> idle_{true};
};

} // namespace dandelionbay
