#include <algorithm>
#include <cassert>
#include <tuple>

#include "dandelionbay/agent/agent_state.hpp"
#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

namespace {

// A router of another region is served before waiting work of the own region only if its team lags by more than this
// many mean requests; a smaller difference isn't worth traffic between regions.
constexpr double min_remote_lead = 2.0;

// A router is told of a floor again when it grew by this many mean requests; routers also tell each other.
constexpr double min_floor_step = 4.0;

// Grants ahead of need: at least this many per endpoint, or this part of its slots. At 340 agents and 3 s lifetime two
// of them are about 23 messages per second at each of 10 routers.
constexpr std::uint32_t min_spare_grants = 2;
constexpr std::uint32_t spare_slots_divisor = 4;

std::uint64_t spread(const host_id& agent, const host_id& router) {
    return name_hash(agent.value + '\0' + router.value);
}

} // namespace

bool agent_core::state::is_allowed(const team_id& team) const {
    const auto it = teams_.find(team);
    return it != teams_.end() && it->second.allowed;
}

double agent_core::state::team_weight(const team_id& team) const {
    const auto it = teams_.find(team);
    return it != teams_.end() && it->second.weight > 0 ? it->second.weight : 1.0;
}

bool agent_core::state::has_suspect() const {
    return std::ranges::any_of(runs_, [](const auto& it) { return it.second.crashes > 0; }) ||
           std::ranges::any_of(grants_.all(), [](const auto& it) { return it.suspects_only; });
}

double agent_core::state::effective_counter(const pool_id& pool, const internal::waiting_team& team) const {
    // Grants and submissions that the reported counter does not yet reflect are added at the mean cost; otherwise all
    // free slots would go to one team.
    const auto unreported = grants_.pending_count(pool, team.reported.team) + team.submitted;
    return std::max(team.reported.counter, floors_.floor(pool, team.reported.team)) +
           unreported * mean_cost_ / team_weight(team.reported.team);
}

std::uint32_t agent_core::state::unmet_demand(const host_id& router, const pool_id& pool,
                                              const internal::waiting_work& work, bool suspects_allowed) const {
    std::uint32_t sum = 0;
    for (const auto& team : work.teams) {
        if (!is_allowed(team.reported.team) || (team.reported.suspects_only && !suspects_allowed)) {
            continue;
        }
        const auto held = grants_.held_count(router, pool, team.reported.team);
        const auto waiting = team.reported.suspects_only ? std::min(1U, team.waiting()) : team.waiting();
        sum += waiting > held ? waiting - held : 0;
    }
    const auto spares = grants_.spare_count(router, pool);
    return sum > spares ? sum - spares : 0;
}

bool agent_core::state::is_reachable(const host_id& router, const internal::waiting_work& work, time_point now) const {
    const auto it = links_.find(router);
    if (it == links_.end() || !it->second.up || now < work.ignored_until) {
        return false;
    }
    // Work that waits for longer than an exchange shows that the agents of the router's own region have no capacity.
    return !it->second.remote || (now - work.waiting_since >= internal::max_exchange_duration &&
                                  remote_budget_.ready_at(mean_bytes_, now) <= now);
}

void agent_core::state::consider_router(
    const internal::demand_table::key_type& key, const internal::waiting_work& work, time_point now,
    std::map<pool_id, std::pair<std::optional<candidate>, std::optional<candidate>>>& best) const {
    const auto& [router, pool] = key;
    const bool suspects_allowed = !has_suspect();
    if (!pools_.contains(pool) || !is_reachable(router, work, now) ||
        unmet_demand(router, pool, work, suspects_allowed) == 0) {
        return;
    }
    const auto& link = links_.at(router);
    for (const auto& team : work.teams) {
        const auto& it = team.reported;
        if (!is_allowed(it.team) || (it.suspects_only && !suspects_allowed) ||
            team.waiting() <= grants_.held_count(router, pool, it.team)) {
            continue;
        }
        const candidate option{.router = router,
                               .pool = pool,
                               .team = it.team,
                               .counter = effective_counter(pool, team),
                               .suspects_only = it.suspects_only,
                               .remote = link.remote,
                               .other_zone = link.other_zone,
                               .last_grant = link.last_grant};
        auto& pair = best[pool];
        auto& place = link.remote ? pair.second : pair.first;
        const auto order = [](const candidate& n) { return std::tie(n.counter, n.other_zone, n.last_grant, n.router); };
        if (!place.has_value() || order(option) < order(*place)) {
            place = option;
        }
    }
}

agent_core::state::candidate agent_core::state::limit_catch_up(candidate first, time_point now) const {
    double gap = 0.0;
    for (const auto& [key, work] : demands_.all()) {
        gap = key.second == first.pool && !work.teams.empty() ? std::max(gap, work.gap) : gap;
    }
    if (gap <= 0.0) {
        return first;
    }
    // A router with a team that is owed service limits the repayment among its own teams. Only the teams ahead that
    // wait at no such router depend on the choice made here.
    const double bound = first.counter + gap;
    const bool suspects_allowed = !has_suspect();
    const auto eligible = [&](const internal::waiting_team& it) {
        return it.waiting() > 0 && is_allowed(it.reported.team) && (!it.reported.suspects_only || suspects_allowed);
    };
    std::set<team_id> elsewhere;
    std::vector<internal::demand_table::key_type> routers_ahead;
    for (const auto& [key, work] : demands_.all()) {
        if (key.second != first.pool || !is_reachable(key.first, work, now)) {
            continue;
        }
        const auto owed = [&](const auto& it) { return eligible(it) && effective_counter(first.pool, it) <= bound; };
        if (std::ranges::none_of(work.teams, owed)) {
            routers_ahead.push_back(key);
            continue;
        }
        for (const auto& it : work.teams) {
            if (eligible(it)) {
                elsewhere.insert(it.reported.team);
            }
        }
    }
    const auto turns = ahead_turns_.find(first.pool);
    std::set<team_id> ahead;
    std::optional<candidate> best;
    for (const auto& key : routers_ahead) {
        const auto& work = demands_.all().at(key);
        const auto& link = links_.at(key.first);
        for (const auto& it : work.teams) {
            const auto& team = it.reported.team;
            if (!eligible(it) || elsewhere.contains(team)) {
                continue;
            }
            ahead.insert(team);
            candidate option{.router = key.first,
                             .pool = key.second,
                             .team = team,
                             .counter = effective_counter(key.second, it),
                             .suspects_only = it.reported.suspects_only,
                             .remote = link.remote,
                             .other_zone = link.other_zone,
                             .last_grant = link.last_grant,
                             .ahead = true,
                             .ahead_position = turns != ahead_turns_.end() ? turns->second.virtual_time(team) : 0.0};
            // They take turns by weight: by the counter, the team that is furthest ahead would wait for all.
            const auto order = [](const candidate& n) {
                return std::tie(n.remote, n.ahead_position, n.last_grant, n.counter, n.other_zone, n.router);
            };
            if (it.waiting() > grants_.held_count(key.first, key.second, team) &&
                unmet_demand(key.first, key.second, work, suspects_allowed) > 0 &&
                (!best.has_value() || order(option) < order(*best))) {
                best = std::move(option);
            }
        }
    }
    if (!best.has_value()) {
        return first;
    }
    double all = 0.0;
    double part = 0.0;
    for (const auto& team : elsewhere) {
        all += team_weight(team);
    }
    for (const auto& team : ahead) {
        all += team_weight(team);
        part += team_weight(team);
    }
    first.share_ahead = best->share_ahead = part / all;
    const auto credit = credit_ahead_.find(first.pool);
    const bool turn = credit != credit_ahead_.end() && credit->second.is_due(first.share_ahead);
    return turn ? *best : first;
}

std::optional<agent_core::state::candidate> agent_core::state::choose_candidate(time_point now) const {
    std::map<pool_id, std::pair<std::optional<candidate>, std::optional<candidate>>> best;
    for (const auto& [key, work] : demands_.all()) {
        consider_router(key, work, now, best);
    }
    // Counters of different pools can't be compared; pools take turns.
    const auto turn = [this](const pool_id& pool) {
        const auto it = last_pool_grant_.find(pool);
        return it != last_pool_grant_.end() ? it->second : 0;
    };
    const auto it = std::ranges::min_element(best, {}, [&](const auto& entry) { return turn(entry.first); });
    if (it == best.end()) {
        return std::nullopt;
    }
    const auto& [local, remote] = it->second;
    const bool take_remote =
        remote.has_value() && (!local.has_value() || remote->counter + min_remote_lead * mean_cost_ < local->counter);
    return limit_catch_up(take_remote ? *remote : *local, now);
}

std::optional<agent_core::state::candidate> agent_core::state::choose_spare(time_point now) const {
    std::optional<candidate> best;
    std::uint32_t fewest = 0;
    for (const auto& [router, link] : links_) {
        if (!link.up || link.leaving || link.remote || now < link.no_spares_until) {
            continue;
        }
        for (const auto& pool : pools_) {
            const auto held = grants_.spare_count(router, pool);
            // The order of the routers differs from agent to agent, so that the spare grants of all agents spread.
            const auto order = std::tuple{held, spread(settings_.host, router)};
            if (!best.has_value() || order < std::tuple{fewest, spread(settings_.host, best->router)}) {
                best = candidate{.router = router, .pool = pool};
                fewest = held;
            }
        }
    }
    return best;
}

void agent_core::state::issue(const candidate& to, bool spare, time_point now) {
    if (used_slots() >= ramp_.limit()) {
        record_violation("grant_over_limit");
        return;
    }
    internal::outstanding_grant it{.router = to.router,
                                   .pool = to.pool,
                                   .team = to.team,
                                   .spare = spare,
                                   .suspects_only = to.suspects_only,
                                   .remote = to.remote};
    if (to.remote) {
        it.budget_bytes = mean_bytes_;
        remote_budget_.charge(it.budget_bytes, now);
    }
    links_.at(to.router).last_grant = ++grant_sequence_;
    if (!spare) {
        last_pool_grant_[to.pool] = grant_sequence_;
        auto& credit = credit_ahead_[to.pool];
        if (to.share_ahead > 0.0) {
            credit.record(to.share_ahead, to.ahead);
            if (to.ahead) {
                ahead_turns_[to.pool].advance(to.team, team_weight(to.team));
            }
        } else {
            credit = {};
            ahead_turns_[to.pool].clear();
        }
    }
    metrics_.add("grants_total", spare ? "spare" : to.remote ? "other_region" : "demand");
    auto& note = unsent_grants_[{to.router, {to.pool, spare}}];
    note.pool = to.pool;
    note.spare = spare;
    note.ids.push_back(grants_.issue(std::move(it), now));
}

void agent_core::state::refund_unused(const std::vector<internal::outstanding_grant>& unused, time_point now) {
    for (const auto& it : unused) {
        if (it.remote) {
            remote_budget_.charge(-it.budget_bytes, now);
        }
    }
}

void agent_core::state::send_grants(actions& out) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    constexpr auto told = internal::grant_table::lifetime - internal::grant_table::expiry_margin;
    for (auto& [key, note] : unsent_grants_) {
        note.lifetime_ms = static_cast<std::uint32_t>(duration_cast<milliseconds>(told).count());
        note.floors = floors_.take_updates(key.first, note.pool, min_floor_step * mean_cost_);
        out.emplace_back(send_message{key.first, std::move(note)});
    }
    unsent_grants_.clear();
}

void agent_core::state::recall_grants(const std::set<grant_id>& ids, std::string_view reason, actions& out) {
    std::map<host_id, recall> messages;
    for (auto& it : grants_.all()) {
        if (!it.recalled && ids.contains(it.id)) {
            it.recalled = true;
            messages[it.router].ids.push_back(it.id);
        }
    }
    for (auto& [router, note] : messages) {
        metrics_.add("recalls_total", reason, static_cast<counters::value_type>(note.ids.size()));
        out.emplace_back(send_message{router, std::move(note)});
    }
}

void agent_core::state::recall_all(std::string_view reason, actions& out) {
    std::set<grant_id> ids;
    for (const auto& it : grants_.all()) {
        ids.insert(it.id);
    }
    recall_grants(ids, reason, out);
}

void agent_core::state::recall_excess(actions& out) {
    const auto recalled = std::ranges::count_if(grants_.all(), [](const auto& it) { return it.recalled; });
    auto excess = static_cast<std::int64_t>(used_slots()) - recalled - static_cast<std::int64_t>(ramp_.limit());
    std::set<grant_id> ids;
    for (const bool spare : {true, false}) {
        for (auto it = grants_.all().rbegin(); it != grants_.all().rend() && excess > 0; ++it) {
            if (!it->recalled && it->spare == spare) {
                ids.insert(it->id);
                --excess;
            }
        }
    }
    recall_grants(ids, "limit", out);
}

void agent_core::state::recall_for_demand(time_point now, actions& out) {
    std::int64_t need = 0;
    std::set<internal::demand_table::key_type> waiting;
    const bool suspects_allowed = !has_suspect();
    for (const auto& [key, work] : demands_.all()) {
        if (pools_.contains(key.second) && is_reachable(key.first, work, now)) {
            if (const auto n = unmet_demand(key.first, key.second, work, suspects_allowed); n > 0) {
                need += n;
                waiting.insert(key);
            }
        }
    }
    need -= std::ranges::count_if(grants_.all(), [](const auto& it) { return it.recalled; });
    std::set<grant_id> ids;
    for (const auto& it : grants_.all()) {
        if (need > 0 && it.spare && !it.recalled && !waiting.contains({it.router, it.pool})) {
            ids.insert(it.id);
            --need;
        }
    }
    recall_grants(ids, "demand", out);
}

void agent_core::state::check_idle_slots(time_point now) {
    // A spare grant that another router holds while work waits leaves its slot idle; it counts as free here.
    const auto busy =
        running() + orphaned_runs_ +
        static_cast<std::uint32_t>(std::ranges::count_if(grants_.all(), [](const auto& it) { return !it.spare; }));
    const auto free = busy < ramp_.limit() ? ramp_.limit() - busy : 0;
    const bool idles = free > 0 && can_grant(now) && choose_candidate(now).has_value();
    metrics_.set("slots_free_while_waiting", idles ? free : 0);
    if (!idles) {
        idle_since_.reset();
    } else if (!idle_since_.has_value()) {
        idle_since_ = now;
    } else if (now - *idle_since_ > internal::max_exchange_duration) {
        metrics_.add("idle_while_waiting_total");
        idle_since_ = now;
    }
}

void agent_core::state::update_grants(time_point now, actions& out) {
    last_event_ = std::max(last_event_, now);
    max_running_since_report_ = std::max(max_running_since_report_, running());
    if (const auto expired = grants_.take_expired(now); !expired.empty()) {
        metrics_.add("grants_expired_total", {}, static_cast<counters::value_type>(expired.size()));
        refund_unused(expired, now);
        for (const auto& it : expired) {
            if (!it.spare) {
                demands_.record_expired_grant(it.router, it.pool, now);
            }
        }
    }
    if (can_grant(now)) {
        recall_excess(out);
        while (used_slots() < ramp_.limit()) {
            const auto to = choose_candidate(now);
            if (!to.has_value()) {
                break;
            }
            issue(*to, false, now);
        }
        recall_for_demand(now, out);
        const auto most = std::max(min_spare_grants, ramp_.limit() / spare_slots_divisor);
        auto spares = std::ranges::count_if(grants_.all(), [](const auto& it) { return it.spare; });
        while (used_slots() < ramp_.limit() && spares < most) {
            const auto to = choose_spare(now);
            if (!to.has_value()) {
                break;
            }
            issue(*to, true, now);
            ++spares;
        }
    }
    send_grants(out);
    check_idle_slots(now);
}

} // namespace dandelionbay
