#include <algorithm>
#include <cmath>

#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

namespace {

std::uint32_t distance_of(const router_settings& self, const hello& peer) {
    if (peer.region != self.region) {
        return 2;
    }
    return peer.zone == self.zone ? 0 : 1;
}

} // namespace

void router_core::state::record_agent_loss(const request_record& it, time_point now) {
    // If an endpoint crashes together with its agent, the agent can't report the crash, so the loss of the agent counts
    // as one. A crash that this agent reported since the submission is not counted again. All routers and equal
    // requests that lose the agent derive the same crash id.
    const auto id = make_crash_id(it.run.agent, agents_.at(it.run.agent).incarnation, 0);
    const auto known_crashes = crashes_.suspicion_of(it.request.fingerprint).crashes;
    const bool is_reported = std::ranges::any_of(known_crashes, [&](const crash_id& other) {
        return is_same_agent_incarnation(id, other) &&
               std::ranges::find(it.run.known_crashes, other) == it.run.known_crashes.end();
    });
    const bool was_refused = crashes_.is_refused(it.request.fingerprint);
    if (!is_reported && crashes_.record_crash(it.request.fingerprint, id, now)) {
        metrics_->add("suspicions_total", "agent_lost");
        announce_suspicion(it.request.fingerprint, was_refused, host_id{});
        end_refused_requests(it.request.fingerprint, now);
    }
}

void router_core::state::fail_runs_of(const host_id& agent, time_point now) {
    std::vector<sequence_type> lost;
    for (const auto& [id, it] : requests_) {
        if (it.phase == request_phase::running && it.run.agent == agent) {
            lost.push_back(id);
        }
    }
    for (const auto& id : lost) {
        auto& it = requests_.at(id);
        metrics_->add("runs_lost_total", "agent");
        record_agent_loss(it, now);
        const bool has_started = it.run.progress.has_head();
        handle_run_failure(it, has_started ? result_code::answer_incomplete : result_code::outcome_unknown,
                           has_started ? executed::yes : executed::unknown, now);
    }
}

void router_core::state::handle_agent_up(const hello& peer, time_point now) {
    auto& agent = agents_[peer.host];
    if (agent.incarnation != peer.incarnation) {
        // The agent was restarted, so its former runs have ended.
        fail_runs_of(peer.host, now);
        for (auto& [id, pool] : pools_) {
            pool.grants.remove_all_of(peer.host, now);
        }
    }
    suspect_agents_.clear();
    agent.host = peer.host;
    agent.incarnation = peer.incarnation;
    agent.endpoint = peer.endpoint;
    agent.distance = distance_of(settings_, peer);
    agent.is_up = true;
    agent.sent_demands.clear();
    for (const auto& pool : access_.pools_of(agent.endpoint)) {
        agent.sent_demands[pool] = sent_demand{};
        pool_of(pool).is_dirty = true;
    }
    for (auto& [id, it] : requests_) {
        if (it.phase == request_phase::running && it.run.agent == peer.host) {
            it.run.link_deadline = time_point::max();
            metrics_->add("resumes_total", "link");
            send(peer.host, resume{it.run.wire_id, it.run.progress.offset(), !it.run.progress.has_head()});
            reschedule(it);
        }
    }
    for (const auto& it : crashes_.refused_suspicions()) {
        send(peer.host, it);
    }
    next_demand_ = std::min(next_demand_, now);
}

void router_core::state::open_link(const hello& peer) {
    // The encoding's table of names starts empty on a new connection.
    const hello self{.host = settings_.host, .role = host_role::router, .incarnation = settings_.incarnation};
    links_.insert_or_assign(peer.host, frame_sizer{{self, peer}});
}

router_core::actions router_core::state::link_up(const hello& peer, time_point now) {
    open_link(peer);
    if (peer.role == host_role::agent) {
        handle_agent_up(peer, now);
    } else if (peer.host != settings_.host) {
        routers_up_.insert(peer.host);
        fully_sent_peers_.erase(peer.host);
        fully_received_peers_.erase(peer.host);
        rate_valid_from_ = now + 2 * maintenance_interval;
        update_sync_state(now);
        if (exchange_peers_.contains(peer.host)) {
            ledger_.add_peer(peer.host);
            for (const auto& it : crashes_.all_suspicions()) {
                send(peer.host, it);
            }
        }
    }
    return finish_event(now);
}

router_core::actions router_core::state::link_down(const host_id& peer, time_point now) {
    links_.erase(peer);
    if (routers_up_.erase(peer) > 0) {
        ledger_.remove_peer(peer);
        fully_sent_peers_.erase(peer);
        fully_received_peers_.erase(peer);
        update_sync_state(now);
    }
    const auto found = agents_.find(peer);
    if (found != agents_.end() && found->second.is_up) {
        found->second.is_up = false;
        suspect_agents_.clear();
        for (auto& [id, pool] : pools_) {
            pool.grants.remove_all_of(peer, now);
        }
        for (auto& [id, it] : requests_) {
            if (it.phase == request_phase::running && it.run.agent == peer) {
                it.run.link_deadline = now + link_recovery_timeout;
                reschedule(it);
            }
        }
    }
    return finish_event(now);
}

router_core::actions router_core::state::set_exchange_peers(const std::vector<host_id>& peers, time_point now) {
    std::set<host_id> next{peers.begin(), peers.end()};
    next.erase(settings_.host);
    for (const auto& host : exchange_peers_) {
        if (!next.contains(host)) {
            ledger_.remove_peer(host);
            fully_sent_peers_.erase(host);
            fully_received_peers_.erase(host);
        }
    }
    for (const auto& host : next) {
        if (!exchange_peers_.contains(host) && routers_up_.contains(host)) {
            ledger_.add_peer(host);
            fully_sent_peers_.erase(host);
            for (const auto& it : crashes_.all_suspicions()) {
                send(host, it);
            }
        }
    }
    exchange_peers_ = std::move(next);
    update_sync_state(now);
    return finish_event(now);
}

std::vector<team_demand> router_core::state::demand_for(pool_record& pool, const agent_record& agent, time_point now) {
    std::vector<team_demand> teams;
    if (agent.distance == 2 && !should_ask_remote(pool, now)) {
        return teams;
    }
    const bool has_suspects = crashes_.size() > 0;
    const double affordable_teams =
        demand_bytes_per_second / (encoded_team_bytes * static_cast<double>(agents_.size()));
    const auto team_count = static_cast<std::size_t>(
        std::clamp(affordable_teams, static_cast<double>(min_demand_teams), static_cast<double>(max_demand_teams)));
    for (const auto& [counter, team] : pool.queues.lowest_teams(access_.allowed_groups(agent.endpoint), team_count)) {
        const team_key key{pool.id, team};
        const bool suspects_only = has_suspects && !pool.queues.any_of(team, [&](const request_id& id) {
            return crashes_.crash_count(requests_.at(id.sequence).request.fingerprint) == 0;
        });
        if (suspects_only && !pool.queues.any_of(team, [&](const request_id& id) { return can_run(id, agent, now); })) {
            continue;
        }
        teams.push_back(team_demand{team, static_cast<std::uint32_t>(pool.queues.size(team)), counter,
                                    ledger_.charged(key), suspects_only});
    }
    return teams;
}

bool router_core::state::should_ask_remote(const pool_record& pool, time_point now) const {
    if (pool.waiting_by_age.empty()) {
        return false;
    }
    const bool has_near_agent = std::ranges::any_of(agents_, [&](const auto& it) {
        return it.second.is_up && it.second.distance < 2 && it.second.sent_demands.contains(pool.id);
    });
    return !has_near_agent || now - pool.waiting_by_age.begin()->first >= remote_demand_delay;
}

bool router_core::state::has_demand_changed(const pool_record& pool, const sent_demand& last_sent,
                                            const std::vector<team_demand>& teams, bool exact) {
    if (exact || last_sent.teams.size() != teams.size()) {
        return last_sent.teams != teams;
    }
    // A counter change of up to half the largest request's cost shifts an agent's choice by no more than that cost.
    return !std::ranges::equal(last_sent.teams, teams, [&](const team_demand& a, const team_demand& b) {
        const auto low = std::min(a.queued, b.queued);
        const auto high = std::max(a.queued, b.queued);
        return a.team == b.team && a.suspects_only == b.suspects_only && high <= 2 * low &&
               std::abs(a.counter - b.counter) <= pool.max_weighted_cost / 2.0;
    });
}

void router_core::state::send_pool_demand(pool_record& pool, agent_record& agent, std::vector<team_demand> teams,
                                          time_point now) {
    auto& last_sent = agent.sent_demands[pool.id];
    last_sent.teams = teams;
    last_sent.sent_at = now;
    last_sent.is_known = true;
    metrics_->add("demands_sent_total");
    message body{demand{pool.id, ++demand_version_, std::move(teams), pool.max_counter_gap(max_exchange_delay)}};
    demand_budget_.charge(send(agent.host, std::move(body)), now);
}

void router_core::state::send_demand_with_submission(pool_record& pool, agent_record& agent, time_point now) {
    const auto last_sent = agent.sent_demands.find(pool.id);
    if (!agent.is_up || last_sent == agent.sent_demands.end() ||
        (last_sent->second.is_known && now - last_sent->second.sent_at < min_demand_interval)) {
        return;
    }
    auto teams = demand_for(pool, agent, now);
    if (has_demand_changed(pool, last_sent->second, teams, true) &&
        demand_budget_.take_above_reserve(0.0, piggyback_reserve_share, now)) {
        send_pool_demand(pool, agent, std::move(teams), now);
    }
}

void router_core::state::send_demand(time_point now) {
    if (now < next_demand_) {
        return;
    }
    next_demand_ = now + min_demand_interval;
    bool is_delayed = false;
    // Most agents may serve the same teams, so demands are computed once for each set of allowed groups.
    std::map<std::pair<pool_id, std::vector<group_type>>, std::vector<team_demand>> demands;
    std::vector<team_demand> agent_demand;
    const auto demand_of = [&](pool_record& pool, const agent_record& agent) -> const std::vector<team_demand>& {
        if (agent.distance == 2 || crashes_.size() > 0) {
            agent_demand = demand_for(pool, agent, now);
            return agent_demand;
        }
        const auto [it, is_new] = demands.try_emplace(std::pair{pool.id, access_.allowed_groups(agent.endpoint)});
        if (is_new) {
            it->second = demand_for(pool, agent, now);
        }
        return it->second;
    };
    const auto visit = [&](agent_record& agent) {
        if (!agent.is_up) {
            return;
        }
        for (auto& [id, last_sent] : agent.sent_demands) {
            auto& pool = pool_of(id);
            const bool needs_refresh = !last_sent.teams.empty() && now - last_sent.sent_at >= demand_refresh_interval;
            if (last_sent.teams.empty() && pool.queues.total() == 0) {
                continue;
            }
            const bool is_remote_candidate = agent.distance == 2 && pool.queues.total() > 0;
            if ((!pool.is_dirty && !needs_refresh && !is_remote_candidate) ||
                (last_sent.is_known && now - last_sent.sent_at < min_demand_interval)) {
                continue;
            }
            const auto& teams = demand_of(pool, agent);
            const bool is_first = !last_sent.is_known && !teams.empty();
            if (!is_first && !needs_refresh && !has_demand_changed(pool, last_sent, teams, false)) {
                continue;
            }
            const double reserve = teams.empty() != last_sent.teams.empty() ? 0.0 : refresh_reserve_share;
            if (!demand_budget_.take_above_reserve(0.0, reserve, now)) {
                is_delayed = true;
                continue;
            }
            send_pool_demand(pool, agent, teams, now);
            last_demand_agent_ = agent.host;
        }
    };
    // Starts behind the agent that was sent a demand last, so that an exhausted byte budget does not always delay the
    // same agents.
    const auto begin = agents_.upper_bound(last_demand_agent_);
    std::for_each(begin, agents_.end(), [&](auto& it) { visit(it.second); });
    std::for_each(agents_.begin(), begin, [&](auto& it) { visit(it.second); });
    if (is_delayed) {
        metrics_->add("demands_delayed_total");
        return;
    }
    for (auto& [id, pool] : pools_) {
        pool.is_dirty = false;
    }
}

} // namespace dandelionbay
