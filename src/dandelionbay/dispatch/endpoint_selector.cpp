#include "dandelionbay/dispatch/endpoint_selector.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"
#include "dandelionbay/dispatch/router_rank.hpp"

namespace dandelionbay {

namespace {

/*! Weight of generated tokens in the cost of a call: each takes a decoding step. */
constexpr double output_weight = 2.0;
/*! Cost of a call of a plain service, in cost units. */
constexpr double plain_call_cost = 500.0;
/*! Spread added to the scores by hash, so that new prompt prefixes do not all start at the same endpoint. */
constexpr double max_spread_ms = 8.0;
constexpr std::uint64_t spread_steps = 1'024;
/*! Assumed time that a plain service takes for each call ahead. */
constexpr double plain_call_ms = 80.0;
/*! Penalty of an endpoint on probation: it is selected only if the others are worse by more than this. */
constexpr double probation_penalty_ms = 250.0;

/*! Returns the id of the last prompt part that other calls share: the last but one. */
[[nodiscard]] std::uint64_t shared_prefix_id(const work_item& item) noexcept {
    if (item.parts.empty()) {
        return item.ticket;
    }
    return item.parts.size() >= 2 ? item.parts[item.parts.size() - 2].id : item.parts.front().id;
}

[[nodiscard]] bool allows(const std::vector<region_id>& list, const region_id& region) {
    return list.empty() || std::ranges::find(list, region) != list.end();
}

[[nodiscard]] bool is_allowed_at(const work_item& item, const endpoint_selector::endpoint_state& it) {
    if (item.version && *item.version != it.known->entry.version) {
        return false;
    }
    const bool anywhere = item.route_regions.empty() && item.team_regions.empty();
    return anywhere ||
           (it.region != nullptr && allows(item.route_regions, *it.region) && allows(item.team_regions, *it.region));
}

} // namespace

double cost_of(const std::vector<prompt_part>& parts, double prompt_tokens, double output_tokens) noexcept {
    return parts.empty() && prompt_tokens <= 0.0 ? plain_call_cost : prompt_tokens + output_weight * output_tokens;
}

double work_item::cost() const noexcept {
    return cost_of(parts, prompt_tokens, output_tokens);
}

void endpoint_selector::set_routers(std::set<host_id> routers, bool complete) {
    if (routers != routers_ || complete != has_all_routers_) {
        routers_ = std::move(routers);
        has_all_routers_ = complete;
        endpoints_revision_.reset();
    }
}

void endpoint_selector::add_router(const host_id& router) {
    if (routers_.insert(router).second) {
        endpoints_revision_.reset();
    }
}

std::size_t endpoint_selector::cold_share(const endpoint_state& it) const {
    if (!has_all_routers_ || it.service == nullptr || it.service->max_cold_calls_per_s <= 0.0) {
        return 0;
    }
    return cold_rate_limiter::share(it.service->max_cold_calls_per_s, routers_.size(),
                                    router_rank(routers_, location_->host, it.hash));
}

void endpoint_selector::rebuild_endpoints() {
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
        added.is_engine = added.service != nullptr && added.service->engine.has_value();
        added.hash = name_hash(id.value);
        added.cold_share = cold_share(added);
        added.distance_ms = distance_ms(it.entry.zone);
        added.slots = std::max<std::uint32_t>(1, it.entry.slots);
        if (const auto zone = location_->zones.find(it.entry.zone); zone != location_->zones.end()) {
            added.region = &zone->second;
        }
        endpoints_[it.entry.service].push_back(added);
    }
}

void endpoint_selector::update(time_point now) {
    now_ = now;
    if (endpoints_revision_ != view_->revision()) {
        rebuild_endpoints();
        endpoints_revision_ = view_->revision();
    }
    for (auto& [service, list] : endpoints_) {
        for (auto& it : list) {
            update_state(it);
        }
    }
}

double endpoint_selector::distance_ms(const zone_id& zone) const {
    if (zone == location_->zone) {
        return 0.0;
    }
    const auto it = location_->zones.find(zone);
    return it != location_->zones.end() && it->second == location_->region ? limits_->zone_cost_ms
                                                                           : limits_->region_cost_ms;
}

void endpoint_selector::update_state(endpoint_state& it) const {
    it.calls = it.load->calls(now_);
    it.is_cold = view_->is_cold(*it.known, now_);
    it.is_ejected = it.load->is_ejected(now_);
    it.is_paused = it.load->is_paused(now_);
    it.is_stalled = it.load->is_stalled(now_);
    it.is_held = is_held(it.known->entry);
    it.is_open = !it.is_ejected && !it.is_paused && !it.is_stalled;
    if (it.is_engine) {
        it.wait_ms = it.load->backlog_ms(now_);
        it.base_ms = it.wait_ms;
        it.memory_left = static_cast<double>(it.service->engine->memory_tokens) * limits_->memory_share -
                         it.load->memory_tokens(now_);
        it.is_open = it.is_open && it.calls < it.slots;
    } else {
        it.wait_ms = it.calls < it.slots ? 0.0 : plain_call_ms * (it.calls - it.slots + 1) / it.slots;
        it.base_ms = it.wait_ms + plain_call_ms * it.calls / it.slots;
        it.is_open = it.is_open && it.calls < it.slots + it.slots / 2;
    }
    it.base_ms += it.load->penalty_ms();
    if (it.load->is_on_probation()) {
        it.base_ms += probation_penalty_ms;
        it.is_open = it.is_open && !it.load->has_sent_probe();
    }
    if (it.is_cold && it.is_open && it.service != nullptr && it.service->max_cold_calls_per_s > 0.0) {
        it.is_open = it.load->cold_limiter().allows(it.cold_share, now_);
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

endpoint_selector::candidate endpoint_selector::score(const work_item& item, endpoint_state& it, const team_rank& team,
                                                      std::uint64_t prefix) const {
    candidate out{&it};
    out.score = it.base_ms + it.distance_ms * distance_share(team);
    out.is_ready = it.is_open;
    if (it.is_engine) {
        out.unread_tokens = std::max(0.0, item.prompt_tokens - it.load->cache().cached_tokens(item.parts));
        out.score += limits_->reading_weight * it.load->prefill_ms(out.unread_tokens);
        const bool has_memory = it.calls == 0 || item.prompt_tokens + item.output_tokens <= it.memory_left;
        out.is_ready = out.is_ready && has_memory && it.wait_ms <= reading_ahead_ms(team);
    }
    const auto spread = mixed_hash(it.hash, prefix) % spread_steps;
    out.score += max_spread_ms * static_cast<double>(spread) / static_cast<double>(spread_steps);
    return out;
}

endpoint_selector::selection endpoint_selector::select(const work_item& item, const team_rank& team) {
    selection out;
    out.best.score = std::numeric_limits<double>::max();
    out.best_ready.score = std::numeric_limits<double>::max();
    candidate fallback = out.best;
    bool all_paused = true;
    auto first_pause_end = time_point::max();
    const auto found = endpoints_.find(item.service);
    if (found == endpoints_.end()) {
        return out;
    }
    const auto prefix = shared_prefix_id(item);
    for (auto& it : found->second) {
        if (!is_allowed_at(item, it)) {
            continue;
        }
        if (it.is_paused) {
            first_pause_end = std::min(first_pause_end, it.load->paused_until());
            continue;
        }
        all_paused = false;
        if (it.is_held && item.is_stream && !item.version) {
            continue;
        }
        if (it.is_ejected || (!item.excluded.empty() && item.excluded.contains(it.known->entry.id))) {
            continue;
        }
        const auto next = score(item, it, team, prefix);
        // An endpoint that is stalled, or cold and at its rate limit, is waited for only if there is no other.
        const bool is_worth_waiting = it.is_open || (!it.is_cold && !it.is_stalled);
        auto& slot = is_worth_waiting ? out.best : fallback;
        if (next.score < slot.score) {
            slot = next;
        }
        if (next.is_ready && next.score < out.best_ready.score) {
            out.best_ready = next;
        }
    }
    if (out.best.endpoint == nullptr) {
        out.best = fallback;
    }
    if (all_paused && first_pause_end != time_point::max()) {
        out.paused_until = first_pause_end;
    }
    return out;
}

bool endpoint_selector::is_held(const endpoint_entry& it) const {
    if (version_holds_.empty()) {
        return false;
    }
    const auto held = version_holds_.find({it.service, it.version});
    return held != version_holds_.end() && now_ < held->second;
}

bool endpoint_selector::has_endpoint_for(const work_item& item) const {
    const auto found = endpoints_.find(item.service);
    return found != endpoints_.end() && std::ranges::any_of(found->second, [&](const auto& it) {
               return is_allowed_at(item, it) && !item.excluded.contains(it.known->entry.id);
           });
}

std::size_t endpoint_selector::count(const service_id& service) const {
    const auto it = endpoints_.find(service);
    return it == endpoints_.end() ? 0 : it->second.size();
}

} // namespace dandelionbay
