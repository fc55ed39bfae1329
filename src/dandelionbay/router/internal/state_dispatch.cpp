#include <algorithm>

#include "dandelionbay/base/name_hash.hpp"
#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

router_core::state::pool_record& router_core::state::pool_of(const pool_id& id) {
    const auto [it, created] = pools_.try_emplace(id);
    if (created) {
        it->second.id = id;
    }
    return it->second;
}

void router_core::state::sync_counters() {
    for (const auto& key : ledger_.take_changed_teams()) {
        const auto pool = pools_.find(key.pool);
        if (pool != pools_.end()) {
            pool->second.queues.set_counter(key.team, ledger_.counter(key));
            pool->second.is_dirty = pool->second.is_dirty || pool->second.queues.size(key.team) > 0;
        }
    }
}

const host_id& router_core::state::suspect_agent(const pool_id& pool, const accepted_request& request) const {
    const auto [entry, is_new] = suspect_agents_.try_emplace(std::pair{pool, request.fingerprint});
    if (!is_new) {
        return entry->second;
    }
    std::uint64_t highest = 0;
    const auto group = access_.group_of(request.team);
    for (const auto& [host, agent] : agents_) {
        const auto& groups = access_.allowed_groups(agent.endpoint);
        const auto* const endpoint = config_->find(agent.endpoint);
        if (!agent.is_up || !agent.sent_demands.contains(pool) || std::ranges::find(groups, group) == groups.end() ||
            endpoint == nullptr || config_->zone_out(endpoint->zone) || config_->leaving(agent.endpoint)) {
            continue;
        }
        const auto hash = name_hash(agent.endpoint.value, request.fingerprint);
        if (entry->second.empty() || hash > highest) {
            highest = hash;
            entry->second = host;
        }
    }
    return entry->second;
}

bool router_core::state::can_run(const request_id& id, const agent_record& agent, time_point now) const {
    const auto& it = requests_.at(id.sequence);
    if (crashes_.crash_count(it.request.fingerprint) == 0) {
        return true;
    }
    return now >= agent.suspect_backoff_until && suspect_agent(it.pool, it.request) == agent.host;
}

std::optional<team_id> router_core::state::choose_team(pool_record& pool, const agent_record& agent, time_point now) {
    const auto& groups = access_.allowed_groups(agent.endpoint);
    const auto next = pool.scheduler.choose_team(pool.queues, groups, pool.max_counter_gap(max_exchange_delay));
    if (!next) {
        return std::nullopt;
    }
    // A team is skipped if none of its waiting requests may run at this endpoint because all are crash suspects.
    const auto runnable = [&](const request_id& id) { return can_run(id, agent, now); };
    if (crashes_.size() == 0 || pool.queues.any_of(next->second, runnable)) {
        return next->second;
    }
    for (const auto& [counter, team] : pool.queues.lowest_teams(groups, pool.queues.backlogged_teams())) {
        if (pool.queues.any_of(team, runnable)) {
            return team;
        }
    }
    return std::nullopt;
}

bool router_core::state::has_runnable(const pool_record& pool, const agent_record& agent, time_point now) const {
    if (crashes_.size() == 0) {
        return true;
    }
    const auto teams = pool.queues.lowest_teams(access_.allowed_groups(agent.endpoint), pool.queues.backlogged_teams());
    return std::ranges::any_of(teams, [&](const auto& it) {
        return pool.queues.any_of(it.second, [&](const request_id& id) { return can_run(id, agent, now); });
    });
}

bool router_core::state::is_owed_elsewhere(const pool_record& pool, const agent_record& agent,
                                           const team_id& team) const {
    const auto other = ledger_.lowest_remote(pool.id);
    if (!other || other->second == team) {
        return false;
    }
    // Differences up to the cost of the largest request are ignored; otherwise grants would go back and forth.
    if (other->first + pool.max_weighted_cost >= ledger_.counter(team_key{pool.id, team})) {
        return false;
    }
    return std::ranges::find(access_.allowed_groups(agent.endpoint), access_.group_of(other->second)) !=
           access_.allowed_groups(agent.endpoint).end();
}

bool router_core::state::serve_one(pool_record& pool, time_point now) {
    std::vector<held_grant> owed_grants;
    bool served = false;
    for (const auto& grant : pool.grants.held()) {
        const auto& agent = agents_.at(grant.agent);
        const auto team = choose_team(pool, agent, now);
        if (!team) {
            continue;
        }
        if (grant.spare && is_owed_elsewhere(pool, agent, *team)) {
            owed_grants.push_back(grant);
            continue;
        }
        const auto id = pool.queues.take_first_if(*team, [&](const request_id& it) { return can_run(it, agent, now); });
        check_invariant(id.has_value(), "chosen_team_has_no_request");
        if (id) {
            submit_request(pool, requests_.at(id->sequence), held_grant{grant}, now);
            served = true;
        }
        break;
    }
    return_grants(pool, owed_grants, "owed_elsewhere", now);
    return served;
}

void router_core::state::serve(pool_record& pool, time_point now) {
    pool.grants.remove_expired(now);
    while (pool.queues.total() > 0 && !pool.grants.held().empty() && serve_one(pool, now)) {
        sync_counters();
    }
    return_idle_grants(pool, now);
}

void router_core::state::submit_request(pool_record& pool, request_record& it, const held_grant& grant,
                                        time_point now) {
    const auto* const service = config_->find(it.request.service);
    const auto timeout_ms = service != nullptr ? service->run_timeout_ms : 0U;
    const team_key key{pool.id, it.request.team};
    auto& agent = agents_.at(grant.agent);

    pool.waiting_by_age.erase(std::pair{it.accepted_at, it.id.sequence});
    handle_queue_change(pool, it.request.team, now);
    pool.grants.remove(grant, true, now);
    check_invariant(grant.usable_until > now, "expired_grant_used");
    check_invariant(it.request.idempotent || it.attempts == 0, "second_run_of_non_idempotent_request");

    double input = costs_.plain_call_cost(it.request.request.body.size());
    double output = 0.0;
    if (it.is_model_call) {
        input = costs_.token_cost(it.request.input_tokens, 0.0);
        output = costs_.token_cost(0.0, costs_.expected_output(key, it.request.max_output_tokens));
    }
    pool.max_weighted_cost = std::max(pool.max_weighted_cost, (input + output) / team_weight(it.request.team));
    it.run = attempt{};
    it.run.wire_id = it.id;
    if (it.attempts > 0 || it.has_been_submitted) {
        it.run.wire_id.sequence = next_sequence_++;
    }
    it.has_been_submitted = true;
    ++it.attempts;
    it.phase = request_phase::running;
    it.run.agent = grant.agent;
    it.run.grant = grant.id;
    it.run.run_deadline = now + std::chrono::milliseconds{timeout_ms} + run_timeout_margin;
    it.run.account =
        cost_account{key, team_weight(it.request.team), costs_.apply_refund(key, input), output, ledger_, now};
    runs_.emplace(it.run.wire_id.sequence, it.id.sequence);
    reschedule(it);

    submit work;
    work.id = it.run.wire_id;
    work.grant = grant.id;
    work.team = it.request.team;
    work.service = it.request.service;
    work.model_call = it.is_model_call;
    work.idempotent = it.request.idempotent;
    work.fingerprint = it.request.fingerprint;
    it.run.known_crashes = crashes_.suspicion_of(it.request.fingerprint).crashes;
    work.crashes = it.run.known_crashes;
    work.suspicion = static_cast<std::uint32_t>(work.crashes.size());
    work.timeout_ms = timeout_ms;
    work.request = it.request.request;
    metrics_->add("submitted_total", grant.spare ? "spare" : "granted");
    send(grant.agent, std::move(work));
    send_demand_with_submission(pool, agent, now);
}

void router_core::state::return_grants(pool_record& pool, const std::vector<held_grant>& grants,
                                       std::string_view reason, time_point now) {
    std::map<host_id, returned> messages;
    for (const auto& it : grants) {
        pool.grants.remove(it, false, now);
        messages[it.agent].ids.push_back(it.id);
        metrics_->add("grants_returned_total", reason);
    }
    for (auto& [host, body] : messages) {
        send(host, std::move(body));
    }
}

void router_core::state::return_idle_grants(pool_record& pool, time_point now) {
    std::vector<held_grant> idle;
    for (const auto& it : pool.grants.held()) {
        if (it.spare && !is_stopping_) {
            continue;
        }
        // A requested grant that is not needed blocks a slot, as does a spare grant at a stopping router.
        auto& agent = agents_.at(it.agent);
        if (!pool.queues.lowest(access_.allowed_groups(agent.endpoint)) || !has_runnable(pool, agent, now)) {
            idle.push_back(it);
            // The agent handles a returned grant like an empty demand.
            agent.sent_demands[pool.id].teams.clear();
        }
    }
    return_grants(pool, idle, is_stopping_ ? "stopping" : "not_needed", now);
}

void router_core::state::handle_grant(agent_record& agent, const grant& in, time_point now) {
    for (const auto& floor : in.floors) {
        ledger_.merge_floor(floor, now);
    }
    sync_counters();
    auto& pool = pool_of(in.pool);
    const duration lifetime = std::chrono::milliseconds{in.lifetime_ms};
    const auto usable_time = lifetime - std::min(grant_expiry_margin, lifetime / 3);
    for (const auto& id : in.ids) {
        const held_grant received{agent.distance, now + usable_time, agent.host, id, in.spare};
        if (!agent.is_up || !pool.grants.add(received)) {
            metrics_->add("duplicate_messages_total", "grant");
        }
    }
    pools_to_serve_.insert(pool.id);
}

void router_core::state::handle_recall(agent_record& agent, const recall& in, time_point now) {
    returned out;
    for (const auto& id : in.ids) {
        bool unused = true;
        for (auto& [name, pool] : pools_) {
            unused = pool.grants.recall(agent.host, id, now) && unused;
        }
        if (unused) {
            out.ids.push_back(id);
        }
    }
    metrics_->add("grants_recalled_total", {}, static_cast<counters::value_type>(in.ids.size()));
    if (!out.ids.empty()) {
        send(agent.host, std::move(out));
    }
}

} // namespace dandelionbay
