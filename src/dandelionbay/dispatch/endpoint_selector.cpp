#include "dandelionbay/dispatch/endpoint_selector.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"
#include "dandelionbay/dispatch/router_rank.hpp"

namespace dandelionbay {

namespace {

/*! Generated tokens count twice in the cost of a call: they take a step each. */
constexpr double output_weight = 2.0;
/*! Cost units of a call of a plain service. */
constexpr double plain_cost = 500.0;
/*! Spread of equal scores over the endpoints, so that new subjects do not all begin at the same one. */
constexpr double spread_ms = 8.0;
constexpr std::uint64_t spread_steps = 1'024;
/*! Time a plain service takes for a call, assumed for the calls ahead of one. */
constexpr double plain_call_ms = 80.0;
/*! An endpoint that failed before is chosen only if the others are this much worse. */
constexpr double trial_cost_ms = 250.0;

/*! The part that calls about the same subject share: the last but one. */
[[nodiscard]] std::uint64_t subject_of(const work_item& item) noexcept {
    if (item.parts.empty()) {
        return item.ticket;
    }
    return item.parts.size() >= 2 ? item.parts[item.parts.size() - 2].id : item.parts.front().id;
}

[[nodiscard]] bool contains(const std::vector<region_id>& list, const region_id& region) {
    return list.empty() || std::ranges::find(list, region) != list.end();
}

[[nodiscard]] bool may_run_in(const work_item& item, const region_id* region) {
    const bool anywhere = item.route_regions.empty() && item.team_regions.empty();
    return anywhere ||
           (region != nullptr && contains(item.route_regions, *region) && contains(item.team_regions, *region));
}

} // namespace

double cost_of(const std::vector<prompt_part>& parts, double prompt_tokens, double output_tokens) noexcept {
    return parts.empty() && prompt_tokens <= 0.0 ? plain_cost : prompt_tokens + output_weight * output_tokens;
}

double work_item::cost() const noexcept {
    return cost_of(parts, prompt_tokens, output_tokens);
}

void endpoint_selector::set_routers(std::set<host_id> routers, bool complete) {
    if (routers != routers_ || complete != routers_complete_) {
        routers_ = std::move(routers);
        routers_complete_ = complete;
        found_at_.reset();
    }
}

void endpoint_selector::add_router(const host_id& router) {
    if (routers_.insert(router).second) {
        found_at_.reset();
    }
}

std::size_t endpoint_selector::cold_share(const endpoint_state& it) const {
    if (!routers_complete_ || it.service == nullptr || it.service->max_cold_calls_per_s <= 0.0) {
        return 0;
    }
    return cold_rate_limiter::share(it.service->max_cold_calls_per_s, routers_.size(),
                                    router_rank(routers_, place_->host, it.hash));
}

void endpoint_selector::find_endpoints() {
    endpoints_.clear();
    config_ = view_->config();
    for (const auto& [id, it] : view_->endpoints()) {
        if (!view_->accepts_work(it)) {
            continue;
        }
        endpoint_state added;
        added.known = &it;
        added.load = &(*loads_)[id];
        added.service = config_->find_service(it.entry.service);
        added.engine = added.service != nullptr && added.service->engine.has_value();
        added.hash = name_hash(id.value);
        added.cold_share = cold_share(added);
        added.distance_ms = distance_ms(it.entry.zone);
        added.slots = std::max<std::uint32_t>(1, it.entry.slots);
        if (const auto zone = place_->zones.find(it.entry.zone); zone != place_->zones.end()) {
            added.region = &zone->second;
        }
        endpoints_[it.entry.service].push_back(added);
    }
}

void endpoint_selector::update(time_point now) {
    now_ = now;
    if (found_at_ != view_->revision()) {
        find_endpoints();
        found_at_ = view_->revision();
    }
    for (auto& [service, list] : endpoints_) {
        for (auto& it : list) {
            rate(it);
        }
    }
}

double endpoint_selector::distance_ms(const zone_id& zone) const {
    if (zone == place_->zone) {
        return 0.0;
    }
    const auto it = place_->zones.find(zone);
    return it != place_->zones.end() && it->second == place_->region ? limits_->zone_cost_ms : limits_->region_cost_ms;
}

void endpoint_selector::rate(endpoint_state& it) const {
    it.calls = it.load->calls(now_);
    it.cold = view_->is_cold(*it.known, now_);
    it.ejected = it.load->ejected(now_);
    it.paused = it.load->paused(now_);
    it.stalled = it.load->stalled(now_);
    it.open = !it.ejected && !it.paused && !it.stalled;
    if (it.engine) {
        it.wait_ms = it.load->backlog_ms(now_);
        it.base_ms = it.wait_ms;
        it.memory_left = static_cast<double>(it.service->engine->memory_tokens) * limits_->memory_share -
                         it.load->memory_tokens(now_);
        it.open = it.open && it.calls < it.slots;
    } else {
        it.wait_ms = it.calls < it.slots ? 0.0 : plain_call_ms * (it.calls - it.slots + 1) / it.slots;
        it.base_ms = it.wait_ms + plain_call_ms * it.calls / it.slots;
        it.open = it.open && it.calls < it.slots + it.slots / 2;
    }
    it.base_ms += it.load->penalty_ms();
    if (it.load->is_on_probation()) {
        it.base_ms += trial_cost_ms;
        it.open = it.open && !it.load->has_sent_probe();
    }
    if (it.cold && it.open && it.service != nullptr && it.service->max_cold_calls_per_s > 0.0) {
        it.open = it.load->cold_limiter().allows(it.cold_share, now_);
    }
}

double endpoint_selector::reading_ahead_ms(const team_rank& team) const noexcept {
    if (!team.contended) {
        return limits_->reading_ahead_ms;
    }
    if (team.has_priority()) {
        return limits_->reading_ahead_ms * limits_->least_share;
    }
    const double room = (1.0 - team.excess) * (1.0 - team.excess);
    return limits_->reading_ahead_ms *
           (limits_->far_yield_share + (limits_->yield_share - limits_->far_yield_share) * room);
}

double endpoint_selector::distance_share(const team_rank& team) const noexcept {
    return team.contended ? limits_->least_distance_share + (1.0 - limits_->least_distance_share) * team.excess : 1.0;
}

endpoint_selector::candidate endpoint_selector::rate(const work_item& item, endpoint_state& it, const team_rank& team,
                                                     std::uint64_t subject) const {
    candidate out{&it};
    out.score = it.base_ms + it.distance_ms * distance_share(team);
    out.ready = it.open;
    if (it.engine) {
        out.unread_tokens = std::max(0.0, item.prompt_tokens - it.load->cache().cached_tokens(item.parts));
        out.score += limits_->reading_weight * it.load->prefill_ms(out.unread_tokens);
        const bool fits = it.calls == 0 || item.prompt_tokens + item.output_tokens <= it.memory_left;
        out.ready = out.ready && fits && it.wait_ms <= reading_ahead_ms(team);
    }
    const auto spread = mixed_hash(it.hash, subject) % spread_steps;
    out.score += spread_ms * static_cast<double>(spread) / static_cast<double>(spread_steps);
    return out;
}

endpoint_selector::choices endpoint_selector::select(const work_item& item, const team_rank& team) {
    choices out;
    out.best.score = std::numeric_limits<double>::max();
    out.best_ready.score = std::numeric_limits<double>::max();
    candidate fallback = out.best;
    bool all_paused = true;
    auto first_back = time_point::max();
    const auto found = endpoints_.find(item.service);
    if (found == endpoints_.end()) {
        return out;
    }
    const auto subject = subject_of(item);
    for (auto& it : found->second) {
        if (!may_run_in(item, it.region)) {
            continue;
        }
        if (it.paused) {
            first_back = std::min(first_back, it.load->paused_until());
            continue;
        }
        all_paused = false;
        if (it.ejected || (!item.excluded.empty() && item.excluded.contains(it.known->entry.id))) {
            continue;
        }
        const auto next = rate(item, it, team, subject);
        // An endpoint that is cold beyond its pace, or that stalls, is no reason to wait: the others are.
        const bool worth_waiting = it.open || (!it.cold && !it.stalled);
        auto& slot = worth_waiting ? out.best : fallback;
        if (next.score < slot.score) {
            slot = next;
        }
        if (next.ready && next.score < out.best_ready.score) {
            out.best_ready = next;
        }
    }
    if (out.best.at == nullptr) {
        out.best = fallback;
    }
    if (all_paused && first_back != time_point::max()) {
        out.paused_until = first_back;
    }
    return out;
}

bool endpoint_selector::has_endpoint_for(const work_item& item) const {
    const auto found = endpoints_.find(item.service);
    return found != endpoints_.end() && std::ranges::any_of(found->second, [&](const auto& it) {
               return may_run_in(item, it.region) && !item.excluded.contains(it.known->entry.id);
           });
}

std::size_t endpoint_selector::count(const service_id& service) const {
    const auto it = endpoints_.find(service);
    return it == endpoints_.end() ? 0 : it->second.size();
}

} // namespace dandelionbay
