#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "dandelionbay/http/caller_gate.hpp"
#include "dandelionbay/node/answer_queue.hpp"
#include "dandelionbay/node/node_driver.hpp"
#include "dandelionbay/router/router_core.hpp"

namespace dandelionbay {

/*! @brief Driver of a router's decision core. */
class router_driver final : public node_driver, public caller_gate {
    using ticket_type = std::uint64_t;

    void perform(router_core::actions actions, time_point now);
    void deliver(answer_event event, time_point now);
    void accept(ticket_type ticket, const std::shared_ptr<answer_queue>& queue, accepted_request request);
    void cancel(ticket_type ticket);
    void refresh_exchange(time_point now);

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
    /*! @brief Creates a driver. @param options Settings. The rest as for node_driver. */
    router_driver(const router_node_options& options, const clock& time, counters& metrics, table_store& store,
                  host_list& hosts);
    router_driver(const router_driver&) = delete;
    router_driver(router_driver&&) = delete;
    router_driver& operator=(const router_driver&) = delete;
    router_driver& operator=(router_driver&&) = delete;
    ~router_driver() override;

    [[nodiscard]] std::shared_ptr<const fleet_config> config() const override;
    [[nodiscard]] bool stopping() const noexcept override { return is_stopping(); }
    [[nodiscard]] bool config_fresh() const noexcept override { return told_fresh(); }
    [[nodiscard]] std::shared_ptr<answer_source> submit(accepted_request request) override;

    /*! @brief Tells whether no request is left, as of the last tick. */
    [[nodiscard]] bool idle() const noexcept { return idle_; }

    /*! @brief Ends all answers in progress with the code "stopping". @return Their number. */
    std::size_t cut_answers();

private:
    struct open_answer {
        ticket_type ticket{};
        std::shared_ptr<answer_queue> queue;
    };

    router_core core_;
    mutable std::mutex config_mutex_;
    std::shared_ptr<const fleet_config> config_;
    std::atomic<ticket_type> last_ticket_{0};
    std::map<request_id, open_answer> answers_;
    std::map<ticket_type, request_id> tickets_;
    std::vector<host_id> exchange_peers_;
    time_point next_exchange_{};
    std::atomic<bool> idle_{true};
};

} // namespace dandelionbay
