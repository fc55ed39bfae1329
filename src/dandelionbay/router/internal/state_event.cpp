#include <algorithm>
#include <cassert>

#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

router_core::state::state(router_settings settings, counters& metrics)
    : settings_{std::move(settings)}, metrics_{&metrics}, random_{settings_.seed}, ledger_{settings_.host,
                                                                                           settings_.incarnation},
      demand_budget_{demand_bytes_per_second, demand_burst_bytes, time_point{}},
      exchange_budget_{exchange_bytes_per_second, exchange_burst_bytes, time_point{}} {}

double router_core::state::send(const host_id& to, message body) {
    const auto link = links_.find(to);
    const auto bytes = link == links_.end() ? 0 : link->second.add(body);
    actions_.emplace_back(send_message{to, std::move(body)});
    return static_cast<double>(bytes);
}

void router_core::state::check_invariant(bool condition, std::string_view reason) {
    if (!condition) {
        metrics_->add("invariant_violations_total", reason);
        assert(false && "router invariant violated; invariant_violations_total has the reason");
    }
}

router_core::actions router_core::state::finish_event(time_point now) {
    sync_counters();
    while (!pools_to_serve_.empty()) {
        const auto id = *pools_to_serve_.begin();
        pools_to_serve_.erase(pools_to_serve_.begin());
        serve(pool_of(id), now);
        // Submissions add the pool again, but serve() has already used all grants that it can use.
        pools_to_serve_.erase(id);
    }
    sync_counters();
    send_demand(now);
    return std::exchange(actions_, {});
}

router_core::actions router_core::state::apply(std::shared_ptr<const fleet_config> config, time_point now) {
    assert(config != nullptr && "configuration must not be null");
    config_ = std::move(config);
    access_ = access_groups{*config_};
    suspect_agents_.clear();
    for (auto& [id, pool] : pools_) {
        for (const auto& [counter, team] : pool.queues.lowest_teams_in_all_groups(pool.queues.backlogged_teams())) {
            pool.queues.set_team(team, access_.group_of(team), counter);
        }
    }
    for (auto& [host, agent] : agents_) {
        std::map<pool_id, sent_demand> sent_demands;
        for (const auto& id : access_.pools_of(agent.endpoint)) {
            sent_demands[id] = agent.sent_demands.contains(id) ? agent.sent_demands[id] : sent_demand{};
        }
        agent.sent_demands = std::move(sent_demands);
    }
    for (auto& [id, pool] : pools_) {
        pool.is_dirty = true;
        pools_to_serve_.insert(id);
    }
    return finish_event(now);
}

router_core::actions router_core::state::receive(const host_id& from, const message& body, time_point now) {
    const auto agent = agents_.find(from);
    if (const auto* const rows = std::get_if<ledger_rows>(&body)) {
        const auto refused = ledger_.merge(from, *rows, now);
        metrics_->add("ledger_rows_refused_total", {}, static_cast<counters::value_type>(refused));
        if (rows->rows.empty() && rows->lifts.empty() && exchange_peers_.contains(from)) {
            fully_received_peers_.insert(from);
            update_sync_state(now);
        }
    } else if (const auto* const suspect = std::get_if<suspicion>(&body)) {
        handle_suspicion(from, *suspect, now);
    } else if (agent == agents_.end()) {
        metrics_->add("foreign_messages_total", "unknown_sender");
    } else if (const auto* const granted = std::get_if<grant>(&body)) {
        handle_grant(agent->second, *granted, now);
    } else if (const auto* const recalled = std::get_if<recall>(&body)) {
        handle_recall(agent->second, *recalled, now);
    } else if (const auto* const refused = std::get_if<rejected>(&body)) {
        handle_rejected(from, *refused, now);
    } else if (const auto* const start = std::get_if<head>(&body)) {
        handle_head(from, *start, now);
    } else if (const auto* const piece = std::get_if<chunk>(&body)) {
        handle_chunk(from, *piece, now);
    } else if (const auto* const last = std::get_if<finish>(&body)) {
        handle_finish(from, *last, now);
    } else {
        metrics_->add("foreign_messages_total", "type");
    }
    return finish_event(now);
}

void router_core::state::announce_suspicion(std::uint64_t fingerprint, bool was_refused, const host_id& except) {
    const auto update = crashes_.suspicion_of(fingerprint);
    for (const auto& host : exchange_peers_) {
        if (host != except && routers_up_.contains(host)) {
            send(host, update);
        }
    }
    // Agents reject refused requests that a paused or disconnected router still submits. Other suspicions are not sent
    // to agents: one crash with 100 running requests would cause 100 messages to each of 340 agents, which exceeds the
    // limit of 9 KB/s for control traffic.
    if (was_refused != crashes_.is_refused(fingerprint)) {
        for (const auto& [host, agent] : agents_) {
            if (agent.is_up) {
                send(host, update);
            }
        }
    }
}

void router_core::state::handle_suspicion(const host_id& from, const suspicion& in, time_point now) {
    const auto crashes = crashes_.crash_count(in.fingerprint);
    const bool was_refused = crashes_.is_refused(in.fingerprint);
    if (!crashes_.merge(in, now)) {
        return;
    }
    metrics_->add("suspicions_total", crashes_.crash_count(in.fingerprint) > crashes ? "crash" : "cleared");
    announce_suspicion(in.fingerprint, was_refused, from);
    end_refused_requests(in.fingerprint, now);
}

void router_core::state::end_refused_requests(std::uint64_t fingerprint, time_point now) {
    if (!crashes_.is_refused(fingerprint)) {
        return;
    }
    std::vector<sequence_type> refused;
    for (const auto& [id, it] : requests_) {
        if (it.request.fingerprint == fingerprint && it.phase != request_phase::running) {
            refused.push_back(id);
        }
    }
    for (const auto& id : refused) {
        auto& it = requests_.at(id);
        end_request(it, result_code::crashes_endpoints, it.combined_outcome, now);
    }
}

void router_core::state::end_waiting_requests(result_code code, time_point now) {
    std::vector<sequence_type> waiting;
    for (const auto& [id, it] : requests_) {
        if (it.phase != request_phase::running) {
            waiting.push_back(id);
        }
    }
    for (const auto& id : waiting) {
        auto& it = requests_.at(id);
        end_request(it, code, it.combined_outcome, now);
    }
}

router_core::actions router_core::state::set_fresh(bool fresh, time_point now) {
    is_configuration_fresh_ = fresh;
    if (!fresh) {
        // Reachable agents don't admit requests now either. An immediate error lets callers switch to a router in the
        // other part of the network.
        end_waiting_requests(result_code::configuration_stale, now);
    }
    return finish_event(now);
}

void router_core::state::exchange(time_point now) {
    if (now < next_exchange_) {
        return;
    }
    next_exchange_ = now + exchange_interval;
    const auto visit = [&](const host_id& host) {
        if (!routers_up_.contains(host) || !exchange_budget_.take_above_reserve(0.0, 0.0, now)) {
            return;
        }
        auto rows = ledger_.take_changes(host, max_rows_per_exchange, unchanged_rows_per_exchange);
        const auto count = rows.rows.size() + rows.lifts.size();
        if (count > 0) {
            metrics_->add("ledger_rows_sent_total", {}, static_cast<counters::value_type>(count));
            message body{std::move(rows)};
            exchange_budget_.charge(send(host, std::move(body)), now);
            last_exchange_peer_ = host;
        }
        // An empty message marks the end of the initial exchange.
        if (ledger_.has_sent_initial_rows(host) && fully_sent_peers_.insert(host).second) {
            send(host, ledger_rows{});
        }
    };
    // While the byte budget allows only one message at a time, a fixed order would send all of them to the first peer.
    const auto begin = exchange_peers_.upper_bound(host_id{last_exchange_peer_});
    std::for_each(begin, exchange_peers_.end(), visit);
    std::for_each(exchange_peers_.begin(), begin, visit);
}

void router_core::state::update_sync_state(time_point now) {
    const auto is_reachable = [this](const host_id& host) { return routers_up_.contains(host); };
    const auto is_complete = [this](const host_id& host) { return fully_received_peers_.contains(host); };
    const bool has_reachable_peer = std::ranges::any_of(exchange_peers_, is_reachable);
    const bool are_all_synced = std::ranges::all_of(
        exchange_peers_, [&](const host_id& host) { return !is_reachable(host) || is_complete(host); });
    ledger_.set_synced(has_reachable_peer && are_all_synced, now);
}

void router_core::state::run_maintenance(time_point now) {
    if (now < next_maintenance_) {
        return;
    }
    const double seconds = std::chrono::duration<double>{now - (next_maintenance_ - maintenance_interval)}.count();
    const bool is_first = next_maintenance_ == time_point{};
    next_maintenance_ = now + maintenance_interval;
    ledger_.tick(now);
    crashes_.expire(now);
    suspect_agents_.clear();
    erase_unused_agents();
    for (auto& [id, pool] : pools_) {
        constexpr double sample_weight = 0.2;
        const double service = ledger_.service(id);
        if (!is_first && now >= rate_valid_from_) {
            pool.service_rate += sample_weight * ((service - pool.last_total_service) / seconds - pool.service_rate);
        }
        pool.last_total_service = service;

        double total_weight = 0.0;
        double leading_weight = 0.0;
        team_scheduler::weight_map weights;
        const auto teams = pool.queues.lowest_teams_in_all_groups(pool.queues.backlogged_teams());
        for (const auto& [counter, team] : teams) {
            const double weight = team_weight(team);
            total_weight += weight;
            if (counter > teams.front().first + pool.max_counter_gap(max_exchange_delay)) {
                leading_weight += weight;
                weights.emplace(team, weight);
            }
        }
        pool.scheduler.set_leading_share(total_weight > 0.0 ? leading_weight / total_weight : 0.0, std::move(weights));
        pools_to_serve_.insert(id);
    }
    check_invariants();
}

void router_core::state::erase_unused_agents() {
    std::set<host_id> used;
    for (const auto& [id, it] : requests_) {
        if (it.phase == request_phase::running) {
            used.insert(it.run.agent);
        }
    }
    std::erase_if(agents_, [&](const auto& it) { return !it.second.is_up && !used.contains(it.first); });
}

void router_core::state::check_invariants() {
    std::size_t waiting = 0;
    std::size_t running = 0;
    for (const auto& [id, it] : requests_) {
        waiting += it.phase == request_phase::queued ? 1 : 0;
        running += it.phase == request_phase::running ? 1 : 0;
    }
    std::size_t queued = 0;
    std::size_t in_waiting_index = 0;
    for (const auto& [id, pool] : pools_) {
        queued += pool.queues.total();
        in_waiting_index += pool.waiting_by_age.size();
    }
    check_invariant(waiting == queued && waiting == in_waiting_index, "queue_content");
    check_invariant(timers_.size() == requests_.size(), "request_timers");
    check_invariant(running == runs_.size(), "run_index");
}

router_core::actions router_core::state::tick(time_point now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        handle_timer(requests_.at(timers_.begin()->second), now);
    }
    run_maintenance(now);
    exchange(now);
    return finish_event(now);
}

router_core::actions router_core::state::begin_stop(time_point now) {
    is_stopping_ = true;
    for (const auto& [id, pool] : pools_) {
        pools_to_serve_.insert(id);
    }
    return finish_event(now);
}

time_point router_core::state::next_deadline() const noexcept {
    auto next = std::min(next_maintenance_, next_exchange_);
    if (!timers_.empty()) {
        next = std::min(next, timers_.begin()->first);
    }
    for (const auto& [id, pool] : pools_) {
        if (pool.is_dirty || pool.queues.total() > 0) {
            next = std::min(next, next_demand_);
        }
    }
    return next;
}

} // namespace dandelionbay
