#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/fair/cost_model.hpp"
#include "dandelionbay/fair/ledger.hpp"
#include "dandelionbay/limit/byte_budget.hpp"
#include "dandelionbay/limit/crash_registry.hpp"
#include "dandelionbay/limit/retry_budget.hpp"
#include "dandelionbay/router/internal/access_groups.hpp"
#include "dandelionbay/router/internal/limits.hpp"
#include "dandelionbay/router/internal/records.hpp"
#include "dandelionbay/router/router_core.hpp"
#include "dandelionbay/wire/codec.hpp"

namespace dandelionbay {

/*! @brief Implementation of router_core, divided by subject into the state_*.cpp files. */
class router_core::state {
    using agent_record = internal::agent_record;
    using attempt = internal::attempt;
    using held_grant = internal::held_grant;
    using pool_record = internal::pool_record;
    using request_phase = internal::request_phase;
    using request_record = internal::request_record;
    using group_type = team_queues::group_type;
    using sequence_type = std::uint64_t;

    // state_request.cpp: lifecycle of a request
    [[nodiscard]] bool is_own_id(const request_id& id) const;
    [[nodiscard]] request_record* find_run(const host_id& from, const request_id& wire_id, std::string_view kind);
    [[nodiscard]] double team_weight(const team_id& team) const;
    [[nodiscard]] duration retry_after(const request_record& it, result_code code, time_point now) const;
    void reschedule(request_record& it);
    void enqueue(request_record& it, bool at_head, time_point now);
    void remove_from_queue(request_record& it, time_point now);
    void handle_queue_change(pool_record& pool, const team_id& team, time_point now);
    void end_request(request_record& it, result_code code, executed outcome, time_point now);
    void close_run(request_record& it, double final_cost, time_point now);
    void handle_run_failure(request_record& it, result_code code, executed outcome, time_point now);
    void requeue(request_record& it, time_point now);
    void handle_timer(request_record& it, time_point now);
    [[nodiscard]] result_code admit(const request_record& it, const service_config& service, time_point now);

    // state_dispatch.cpp: scheduling and grants
    [[nodiscard]] pool_record& pool_of(const pool_id& id);
    void sync_counters();
    void serve(pool_record& pool, time_point now);
    [[nodiscard]] bool serve_one(pool_record& pool, time_point now);
    [[nodiscard]] std::optional<team_id> choose_team(pool_record& pool, const agent_record& agent, time_point now);
    /*!
     * @brief Returns the agent of the one endpoint at which a request suspected of crashing endpoints may run.
     *
     * All routers with the same links choose the same agent. Otherwise copies of a request that were sent through
     * several routers would crash several endpoints before every router knows of the first crash.
     */
    [[nodiscard]] const host_id& suspect_agent(const pool_id& pool, const accepted_request& request) const;
    [[nodiscard]] bool can_run(const request_id& id, const agent_record& agent, time_point now) const;
    [[nodiscard]] bool has_runnable(const pool_record& pool, const agent_record& agent, time_point now) const;
    [[nodiscard]] bool is_owed_elsewhere(const pool_record& pool, const agent_record& agent, const team_id& team) const;
    void submit_request(pool_record& pool, request_record& it, const held_grant& grant, time_point now);
    void return_grants(pool_record& pool, const std::vector<held_grant>& grants, std::string_view reason,
                       time_point now);
    void return_idle_grants(pool_record& pool, time_point now);
    void handle_grant(agent_record& agent, const grant& in, time_point now);
    void handle_recall(agent_record& agent, const recall& in, time_point now);

    // state_answer.cpp: answers
    void handle_rejected(const host_id& from, const rejected& in, time_point now);
    void end_rejected(request_record& it, result_code code, time_point now);
    void handle_head(const host_id& from, const head& in, time_point now);
    void handle_chunk(const host_id& from, const chunk& in, time_point now);
    void handle_finish(const host_id& from, const finish& in, time_point now);
    void finish_if_complete(request_record& it, time_point now);
    void request_missing_bytes(request_record& it, time_point now);
    void abort_answer(request_record& it, std::string_view reason, time_point now);
    [[nodiscard]] double exact_cost(const request_record& it) const;

    // state_link.cpp: links and demand
    void handle_agent_up(const hello& peer, time_point now);
    void record_agent_loss(const request_record& it, time_point now);
    void fail_runs_of(const host_id& agent, time_point now);
    void send_demand(time_point now);
    [[nodiscard]] std::vector<team_demand> demand_for(pool_record& pool, const agent_record& agent, time_point now);
    [[nodiscard]] bool should_ask_remote(const pool_record& pool, time_point now) const;
    [[nodiscard]] static bool has_demand_changed(const pool_record& pool, const internal::sent_demand& last_sent,
                                                 const std::vector<team_demand>& teams, bool exact);
    void send_pool_demand(pool_record& pool, agent_record& agent, std::vector<team_demand> teams, time_point now);
    void send_demand_with_submission(pool_record& pool, agent_record& agent, time_point now);

    // state_event.cpp: events, ledger exchange, timers
    void exchange(time_point now);
    void update_sync_state(time_point now);
    void handle_suspicion(const host_id& from, const suspicion& in, time_point now);
    void announce_suspicion(std::uint64_t fingerprint, bool was_refused, const host_id& except);
    void end_refused_requests(std::uint64_t fingerprint, time_point now);
    void end_waiting_requests(result_code code, time_point now);
    void run_maintenance(time_point now);
    void erase_unused_agents();
    void check_invariants();

    void open_link(const hello& peer);
    // Returns the size of the message's frame in bytes; zero if there is no link, in which case the message is dropped.
    double send(const host_id& to, message body);
    void check_invariant(bool condition, std::string_view reason);
    [[nodiscard]] actions finish_event(time_point now);

public:
    state(router_settings settings, counters& metrics);

    [[nodiscard]] actions apply(std::shared_ptr<const fleet_config> config, time_point now);
    [[nodiscard]] actions set_fresh(bool fresh, time_point now);
    [[nodiscard]] actions accept(accepted_request request, time_point now, request_id& id);
    [[nodiscard]] actions caller_gone(const request_id& id, time_point now);
    [[nodiscard]] actions link_up(const hello& peer, time_point now);
    [[nodiscard]] actions link_down(const host_id& peer, time_point now);
    [[nodiscard]] actions receive(const host_id& from, const message& body, time_point now);
    [[nodiscard]] actions tick(time_point now);
    [[nodiscard]] actions begin_stop(time_point now);
    [[nodiscard]] actions set_exchange_peers(const std::vector<host_id>& peers, time_point now);
    [[nodiscard]] bool idle() const noexcept { return requests_.empty(); }
    [[nodiscard]] time_point next_deadline() const noexcept;

private:
    router_settings settings_;
    counters* metrics_;
    std::mt19937_64 random_;
    std::shared_ptr<const fleet_config> config_;
    internal::access_groups access_;
    ledger ledger_;
    cost_model costs_;
    retry_budget retries_;
    crash_registry crashes_;
    sequence_type next_sequence_{1};
    std::uint64_t demand_version_{};
    // All ids created here have the same router and incarnation, so the sequence number is a sufficient key.
    std::map<sequence_type, request_record> requests_;
    std::map<sequence_type, sequence_type> runs_; // id in messages to agents -> id in answer events
    std::set<std::pair<time_point, sequence_type>> timers_;
    std::map<pool_id, pool_record> pools_;
    std::map<host_id, agent_record> agents_;
    // Cache of suspect_agent(); cleared when a link or the configuration changes.
    mutable std::map<std::pair<pool_id, std::uint64_t>, host_id> suspect_agents_;
    std::map<host_id, frame_sizer> links_; // must see all messages that the link's encoder sees
    std::set<host_id> routers_up_;
    std::set<host_id> exchange_peers_;
    std::set<host_id> fully_sent_peers_;     // peers to which the end of the initial exchange was sent
    std::set<host_id> fully_received_peers_; // peers that sent the end of the initial exchange
    std::set<pool_id> pools_to_serve_;
    byte_budget demand_budget_;
    byte_budget exchange_budget_;
    time_point next_demand_{};
    time_point next_exchange_{};
    time_point next_maintenance_{};
    time_point rate_valid_from_{};  // until then, received rows include earlier service and do not show the rate
    host_id last_demand_agent_;     // the next round of demands starts behind this agent
    host_id last_exchange_peer_;    // the next exchange starts behind this peer
    bool is_configuration_fresh_{}; // initial value as in the driver, which reports only changes
    bool is_stopping_{};
    actions actions_;
};

} // namespace dandelionbay
