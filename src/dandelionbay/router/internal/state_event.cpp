#include <algorithm>
#include <cassert>

#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

router_core::state::state(router_settings settings, counters& metrics)
    : settings_{std::move(settings)}, metrics_{&metrics}, random_{settings_.seed}, ledger_{settings_.host,
                                                                                           settings_.incarnation},
      demand_pace_{demand_bytes_per_second, demand_burst, time_point{}}, exchange_pace_{exchange_bytes_per_second,
                                                                                        exchange_burst, time_point{}} {}

double router_core::state::send(const host_id& to, message body) {
    const auto link = links_.find(to);
    const auto bytes = link == links_.end() ? 0 : link->second.add(body);
    out_.emplace_back(send_message{to, std::move(body)});
    return static_cast<double>(bytes);
}

void router_core::state::check(bool holds, std::string_view reason) {
    if (!holds) {
        metrics_->add("invariant_violations_total", reason);
        assert(false && "an invariant of the router does not hold; see the counter's reason");
    }
}

router_core::actions router_core::state::finish_event(time_point now) {
    sync_counters();
    while (!to_serve_.empty()) {
        const auto id = *to_serve_.begin();
        to_serve_.erase(to_serve_.begin());
        serve(pool_of(id), now);
        // A submission marks its own pool again; all it could use has just been used.
        to_serve_.erase(id);
    }
    sync_counters();
    send_demand(now);
    return std::exchange(out_, {});
}

router_core::actions router_core::state::apply(std::shared_ptr<const fleet_config> config, time_point now) {
    assert(config != nullptr && "a configuration is given");
    config_ = std::move(config);
    access_ = access_groups{*config_};
    suspect_homes_.clear();
    for (auto& [id, pool] : pools_) {
        for (const auto& [counter, team] : pool.queues.lowest_teams_in_all_groups(pool.queues.backlogged_teams())) {
            pool.queues.set_team(team, access_.group_of(team), counter);
        }
    }
    for (auto& [host, agent] : agents_) {
        std::map<pool_id, told_demand> told;
        for (const auto& id : access_.pools_of(agent.endpoint)) {
            told[id] = agent.told.contains(id) ? agent.told[id] : told_demand{};
        }
        agent.told = std::move(told);
    }
    for (auto& [id, pool] : pools_) {
        pool.dirty = true;
        to_serve_.insert(id);
    }
    return finish_event(now);
}

router_core::actions router_core::state::receive(const host_id& from, const message& body, time_point now) {
    const auto agent = agents_.find(from);
    if (const auto* const rows = std::get_if<ledger_rows>(&body)) {
        const auto refused = ledger_.merge(from, *rows, now);
        metrics_->add("ledger_rows_refused_total", {}, static_cast<counters::value_type>(refused));
        if (rows->rows.empty() && rows->lifts.empty() && exchange_peers_.contains(from)) {
            peers_heard_all_.insert(from);
            update_sync(now);
        }
    } else if (const auto* const suspect = std::get_if<suspicion>(&body)) {
        take_suspicion(from, *suspect, now);
    } else if (agent == agents_.end()) {
        metrics_->add("foreign_messages_total", "unknown_sender");
    } else if (const auto* const granted = std::get_if<grant>(&body)) {
        take_grant(agent->second, *granted, now);
    } else if (const auto* const recalled = std::get_if<recall>(&body)) {
        take_recall(agent->second, *recalled, now);
    } else if (const auto* const refused = std::get_if<rejected>(&body)) {
        take_rejected(from, *refused, now);
    } else if (const auto* const start = std::get_if<head>(&body)) {
        take_head(from, *start, now);
    } else if (const auto* const piece = std::get_if<chunk>(&body)) {
        take_chunk(from, *piece, now);
    } else if (const auto* const last = std::get_if<finish>(&body)) {
        take_finish(from, *last, now);
    } else {
        metrics_->add("foreign_messages_total", "type");
    }
    return finish_event(now);
}

void router_core::state::announce(std::uint64_t fingerprint, bool was_refused, const host_id& except) {
    const auto news = crashes_.suspicion_of(fingerprint);
    for (const auto& host : exchange_peers_) {
        if (host != except && routers_up_.contains(host)) {
            send(host, news);
        }
    }
    // A router that was paused or cut off still submits a request that was refused elsewhere; agents stop it. They are
    // not told of other suspicions: one crash with 100 running requests would be 100 messages to each of 340 agents,
    // more than the control traffic of 9 KB/s allows.
    if (was_refused != crashes_.is_refused(fingerprint)) {
        for (const auto& [host, agent] : agents_) {
            if (agent.up) {
                send(host, news);
            }
        }
    }
}

void router_core::state::take_suspicion(const host_id& from, const suspicion& in, time_point now) {
    const auto crashes = crashes_.crash_count(in.fingerprint);
    const bool was_refused = crashes_.is_refused(in.fingerprint);
    if (!crashes_.merge(in, now)) {
        return;
    }
    metrics_->add("suspicions_total", crashes_.crash_count(in.fingerprint) > crashes ? "crash" : "cleared");
    announce(in.fingerprint, was_refused, from);
    end_refused(in.fingerprint, now);
}

void router_core::state::end_refused(std::uint64_t fingerprint, time_point now) {
    if (!crashes_.is_refused(fingerprint)) {
        return;
    }
    std::vector<sequence_type> refused;
    for (const auto& [id, it] : requests_) {
        if (it.order.fingerprint == fingerprint && it.phase != request_phase::running) {
            refused.push_back(id);
        }
    }
    for (const auto& id : refused) {
        auto& it = requests_.at(id);
        end(it, result_code::crashes_endpoints, it.ran, now);
    }
}

void router_core::state::end_waiting(result_code code, time_point now) {
    std::vector<sequence_type> waiting;
    for (const auto& [id, it] : requests_) {
        if (it.phase != request_phase::running) {
            waiting.push_back(id);
        }
    }
    for (const auto& id : waiting) {
        auto& it = requests_.at(id);
        end(it, code, it.ran, now);
    }
}

router_core::actions router_core::state::set_fresh(bool fresh, time_point now) {
    fresh_ = fresh;
    if (!fresh) {
        // No agent in reach admits work now either. A caller told at once can go to a router on the other side.
        end_waiting(result_code::configuration_stale, now);
    }
    return finish_event(now);
}

void router_core::state::exchange(time_point now) {
    if (now < next_exchange_) {
        return;
    }
    next_exchange_ = now + exchange_interval;
    const auto visit = [&](const host_id& host) {
        if (!routers_up_.contains(host) || !exchange_pace_.take_above_reserve(0.0, 0.0, now)) {
            return;
        }
        auto rows = ledger_.take_changes(host, exchange_rows, repair_rows);
        const auto count = rows.rows.size() + rows.lifts.size();
        if (count > 0) {
            metrics_->add("ledger_rows_sent_total", {}, static_cast<counters::value_type>(count));
            message body{std::move(rows)};
            exchange_pace_.charge(send(host, std::move(body)), now);
            exchange_turn_ = host;
        }
        // An empty message marks the end of the first full exchange.
        if (ledger_.has_sent_initial_rows(host) && peers_told_all_.insert(host).second) {
            send(host, ledger_rows{});
        }
    };
    // When the pace allows one message at a time, a fixed order would send all of them to the first peer.
    const auto begin = exchange_peers_.upper_bound(host_id{exchange_turn_});
    std::for_each(begin, exchange_peers_.end(), visit);
    std::for_each(exchange_peers_.begin(), begin, visit);
}

void router_core::state::update_sync(time_point now) {
    const auto reachable = [this](const host_id& host) { return routers_up_.contains(host); };
    const auto complete = [this](const host_id& host) { return peers_heard_all_.contains(host); };
    const bool any = std::ranges::any_of(exchange_peers_, reachable);
    const bool all =
        std::ranges::all_of(exchange_peers_, [&](const host_id& host) { return !reachable(host) || complete(host); });
    ledger_.set_synced(any && all, now);
}

void router_core::state::slow_work(time_point now) {
    if (now < next_slow_) {
        return;
    }
    const double seconds = std::chrono::duration<double>{now - (next_slow_ - slow_interval)}.count();
    const bool first = next_slow_ == time_point{};
    next_slow_ = now + slow_interval;
    ledger_.tick(now);
    crashes_.expire(now);
    suspect_homes_.clear();
    forget_agents();
    for (auto& [id, pool] : pools_) {
        constexpr double newest_share = 0.2;
        const double service = ledger_.service(id);
        if (!first && now >= rate_from_) {
            pool.rate += newest_share * ((service - pool.last_service) / seconds - pool.rate);
        }
        pool.last_service = service;

        double all = 0.0;
        double ahead = 0.0;
        team_scheduler::weight_map weights;
        const auto teams = pool.queues.lowest_teams_in_all_groups(pool.queues.backlogged_teams());
        for (const auto& [counter, team] : teams) {
            const double weight = weight_of(team);
            all += weight;
            if (counter > teams.front().first + pool.gap(exchange_delay)) {
                ahead += weight;
                weights.emplace(team, weight);
            }
        }
        pool.turn.set_leading_share(all > 0.0 ? ahead / all : 0.0, std::move(weights));
        to_serve_.insert(id);
    }
    check_invariants();
}

void router_core::state::forget_agents() {
    std::set<host_id> used;
    for (const auto& [id, it] : requests_) {
        if (it.phase == request_phase::running) {
            used.insert(it.run.agent);
        }
    }
    std::erase_if(agents_, [&](const auto& it) { return !it.second.up && !used.contains(it.first); });
}

void router_core::state::check_invariants() {
    std::size_t waiting = 0;
    std::size_t running = 0;
    for (const auto& [id, it] : requests_) {
        waiting += it.phase == request_phase::queued ? 1 : 0;
        running += it.phase == request_phase::running ? 1 : 0;
    }
    std::size_t queued = 0;
    std::size_t listed = 0;
    for (const auto& [id, pool] : pools_) {
        queued += pool.queues.total();
        listed += pool.waiting_since.size();
    }
    check(waiting == queued && waiting == listed, "queue_content");
    check(timers_.size() == requests_.size(), "request_timers");
    check(running == runs_.size(), "run_index");
}

router_core::actions router_core::state::tick(time_point now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        timed_out(requests_.at(timers_.begin()->second), now);
    }
    slow_work(now);
    exchange(now);
    return finish_event(now);
}

router_core::actions router_core::state::begin_stop(time_point now) {
    stopping_ = true;
    for (const auto& [id, pool] : pools_) {
        to_serve_.insert(id);
    }
    return finish_event(now);
}

time_point router_core::state::next_deadline() const noexcept {
    auto next = std::min(next_slow_, next_exchange_);
    if (!timers_.empty()) {
        next = std::min(next, timers_.begin()->first);
    }
    for (const auto& [id, pool] : pools_) {
        if (pool.dirty || pool.queues.total() > 0) {
            next = std::min(next, next_demand_);
        }
    }
    return next;
}

} // namespace dandelionbay
