#include "dandelionbay/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace dandelionbay {

namespace {

/*! Generated tokens count twice in the cost of a call: they take a step each. */
constexpr double output_weight = 2.0;
/*! Cost units of a call of a plain service. */
constexpr double plain_cost = 500.0;
/*! Spread of equal scores over the endpoints, so that new subjects do not all begin at the same one. */
constexpr double spread_ms = 8.0;
/*! Time a plain service takes for a call, assumed for the calls ahead of one. */
constexpr double plain_call_ms = 80.0;
/*! An endpoint that failed before is chosen only if the others are this much worse. */
constexpr double trial_cost_ms = 250.0;
/*! Uses of parts that are kept for the peers; without peers nobody takes them. */
constexpr std::size_t most_part_uses = 1'000;
constexpr duration shortest_return = std::chrono::milliseconds{250};
constexpr duration longest_return = std::chrono::seconds{3};

[[nodiscard]] double to_ms(duration it) noexcept {
    return std::chrono::duration<double, std::milli>{it}.count();
}

[[nodiscard]] duration from_ms(double ms) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

[[nodiscard]] double cost_of(const work_item& item) noexcept {
    return item.parts.empty() && item.prompt_tokens <= 0.0 ? plain_cost
                                                           : item.prompt_tokens + output_weight * item.output_tokens;
}

/*! The part that calls about the same subject share: the last but one. */
[[nodiscard]] std::uint64_t subject_of(const work_item& item) noexcept {
    if (item.parts.empty()) {
        return item.ticket;
    }
    return item.parts.size() >= 2 ? item.parts[item.parts.size() - 2].id : item.parts.front().id;
}

[[nodiscard]] std::uint64_t hash_of(const std::string& name, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

[[nodiscard]] bool contains(const std::vector<region_id>& list, const region_id& region) {
    return list.empty() || std::ranges::find(list, region) != list.end();
}

} // namespace

dispatcher::dispatcher(const registry_view& view, router_place place, const dispatch_limits& limits,
                       dispatch_listener& listener, std::uint64_t seed)
    : view_{&view}, place_{std::move(place)}, limits_{limits}, listener_{&listener}, random_{seed},
      routers_{place_.host} {}

bool dispatcher::in_regions(const work_item& item, const zone_id& zone) const {
    const auto it = place_.zones.find(zone);
    if (it == place_.zones.end()) {
        return item.route_regions.empty() && item.team_regions.empty();
    }
    return contains(item.route_regions, it->second) && contains(item.team_regions, it->second);
}

double dispatcher::distance_ms(const zone_id& zone) const {
    if (zone == place_.zone) {
        return 0.0;
    }
    const auto it = place_.zones.find(zone);
    return it != place_.zones.end() && it->second == place_.region ? limits_.zone_cost_ms : limits_.region_cost_ms;
}

bool dispatcher::pace_allows(const registry_view::known_endpoint& it, endpoint_load& load, time_point now) const {
    const auto* const service = view_->config()->find_service(it.entry.service);
    if (service == nullptr || service->cold_calls_per_s <= 0.0) {
        return true;
    }
    const auto mine = hash_of(place_.host.value, hash_of(it.entry.id.value, 0));
    const auto rank = std::ranges::count_if(routers_, [&](const host_id& other) {
        return hash_of(other.value, hash_of(it.entry.id.value, 0)) < mine;
    });
    const auto share =
        cold_pacer::share(service->cold_calls_per_s, routers_.size(), static_cast<std::size_t>(rank));
    return load.pacer().allows(share, now);
}

dispatcher::standing dispatcher::standing_of(const work_item& item, time_point now) {
    const double least = usage_.least_denied(now) * limits_.yield_margin + cost_of(item);
    if (usage_.used(item.team, now) > least) {
        return standing::above;
    }
    return std::isfinite(least) ? standing::least : standing::usual;
}

double dispatcher::reading_ahead_ms(standing team) const noexcept {
    switch (team) {
    case standing::least:
        return limits_.reading_ahead_ms * limits_.least_share;
    case standing::above:
        return limits_.reading_ahead_ms * limits_.yield_share;
    case standing::usual:
        break;
    }
    return limits_.reading_ahead_ms;
}

dispatcher::candidate dispatcher::weigh(const work_item& item, const registry_view::known_endpoint& it,
                                        standing team, time_point now) {
    auto& load = loads_[it.entry.id];
    const auto* const service = view_->config()->find_service(it.entry.service);
    candidate out{&it, &load};
    const auto calls = load.calls(now);
    const auto slots = std::max<std::uint32_t>(1, it.entry.slots);
    if (service != nullptr && service->engine) {
        const double kept = load.parts().kept_tokens(item.parts);
        out.unread_tokens = std::max(0.0, item.prompt_tokens - kept);
        out.wait_ms = load.backlog_ms(now);
        const double weight = team == standing::least ? limits_.least_reading_weight : limits_.reading_weight;
        out.score = out.wait_ms + weight * load.reading_ms(out.unread_tokens);
        const double ahead_ms = reading_ahead_ms(team);
        const auto memory = static_cast<double>(service->engine->memory_tokens) * limits_.memory_share;
        const bool fits = load.memory_tokens(now) <= 0.0 ||
                          load.memory_tokens(now) + item.prompt_tokens + item.output_tokens <= memory;
        out.ready = out.wait_ms <= ahead_ms && calls < slots && fits;
    } else {
        out.wait_ms = calls < slots ? 0.0 : plain_call_ms * (calls - slots + 1) / slots;
        out.score = out.wait_ms + plain_call_ms * calls / slots;
        out.ready = calls < slots + slots / 2;
    }
    out.score += distance_ms(it.entry.zone) + load.penalty_ms();
    out.score += spread_ms * static_cast<double>(hash_of(it.entry.id.value, subject_of(item)) % 1024U) / 1024.0;
    out.cold = view_->cold(it, now);
    if (load.on_trial()) {
        out.score += trial_cost_ms;
        out.ready = out.ready && load.own(now).calls == 0;
    }
    if (out.cold) {
        out.ready = out.ready && pace_allows(it, load, now);
    }
    return out;
}

dispatcher::choices dispatcher::consider(const work_item& item, time_point now) {
    choices out;
    out.team = standing_of(item, now);
    out.best.score = std::numeric_limits<double>::max();
    out.best_ready = out.best;
    candidate fallback = out.best;
    for (const auto& [id, it] : view_->endpoints()) {
        if (it.entry.service != item.service || !view_->takes_work(it) || !in_regions(item, it.entry.zone) ||
            item.excluded.contains(id)) {
            continue;
        }
        auto& load = loads_[id];
        if (load.ejected(now) || load.stalled(now)) {
            continue;
        }
        const auto next = weigh(item, it, out.team, now);
        // A cold endpoint whose pace is used up is no reason to wait: the others are.
        if (next.cold && !next.ready) {
            if (next.score < fallback.score) {
                fallback = next;
            }
            continue;
        }
        if (next.score < out.best.score) {
            out.best = next;
        }
        if (next.ready && next.score < out.best_ready.score) {
            out.best_ready = next;
        }
    }
    if (out.best.known == nullptr) {
        out.best = fallback;
    }
    return out;
}

void dispatcher::place(const work_item& item, const candidate& to, time_point now) {
    const auto& entry = to.known->entry;
    to.load->sent(item.ticket, call_load{to.unread_tokens, item.prompt_tokens + item.output_tokens}, now);
    to.load->parts().use(item.parts);
    to.load->pacer().sent(now);
    for (std::size_t n = 0; n + 1 < item.parts.size() && part_uses_.size() < most_part_uses; ++n) {
        part_uses_.push_back(part_use{entry.id, item.parts[n]});
    }
    placed_[item.ticket] = entry.id;
    usage_.add(item.team, cost_of(item), now);
    listener_->placed(item.ticket,
                      endpoint_choice{entry.id, entry.address, to.unread_tokens, to.wait_ms, to.cold});
}

std::size_t dispatcher::endpoints_of(const service_id& service) const {
    const auto n = std::ranges::count_if(view_->endpoints(), [&](const auto& item) {
        return item.second.entry.service == service && view_->takes_work(item.second);
    });
    return static_cast<std::size_t>(n);
}

double dispatcher::queued_ms(const service_id& service) const {
    double sum = 0.0;
    for (const auto& [ticket, it] : waiting_) {
        sum += it.item.service == service ? it.best_reading_ms : 0.0;
    }
    return sum;
}

double dispatcher::peers_queued_ms(const service_id& service, time_point now) const {
    double sum = 0.0;
    for (const auto& [peer, it] : peer_queues_) {
        if (now - it.at >= endpoint_load::peer_report_kept) {
            continue;
        }
        for (const auto& queue : it.queues) {
            sum += queue.service == service ? queue.reading_ms : 0.0;
        }
    }
    return sum;
}

double dispatcher::endpoint_share(const service_id& service, standing team, time_point now) const {
    const auto endpoints = static_cast<double>(std::max<std::size_t>(1, endpoints_of(service)));
    if (team == standing::least) {
        return endpoints; // The calls at other routers give way.
    }
    const double own = std::max(limits_.least_wait_ms, queued_ms(service));
    return endpoints * own / (own + peers_queued_ms(service, now));
}

std::vector<service_queue> dispatcher::queues() const {
    std::map<service_id, double> sums;
    for (const auto& [ticket, it] : waiting_) {
        sums[it.item.service] += it.best_reading_ms;
    }
    std::vector<service_queue> out;
    for (const auto& [service, ms] : sums) {
        out.push_back(service_queue{service, ms});
    }
    return out;
}

void dispatcher::report_queues(const host_id& peer, std::vector<service_queue> queues, time_point now) {
    peer_queues_[peer] = peer_queues{std::move(queues), now};
}

void dispatcher::refuse(const waiting_call& call, result_code code, time_point now) {
    const double drain_ms = queued_ms(call.item.service) / endpoint_share(call.item.service, standing::usual, now);
    const auto base = std::clamp(from_ms(limits_.reading_ahead_ms + drain_ms), shortest_return, longest_return);
    std::uniform_real_distribution<double> spread{0.8, 1.3};
    const auto after = std::chrono::duration_cast<duration>(base * spread(random_));
    usage_.deny(call.item.team, cost_of(call.item), now);
    listener_->refused(call.item.ticket, refusal{code, after});
}

void dispatcher::submit(work_item item, time_point now) {
    const auto ticket = item.ticket;
    if (view_->config() == nullptr || waiting_.size() >= limits_.most_queued) {
        refuse(waiting_call{std::move(item), now, 0.0}, result_code::router_queue_full, now);
        return;
    }
    const auto first = consider(item, now).best;
    if (first.known != nullptr && first.ready && waiting_.empty()) {
        place(item, first, now);
        return;
    }
    const double reading = first.load == nullptr ? 0.0 : first.load->reading_ms(first.unread_tokens);
    const double slack =
        to_ms(item.target) - reading - endpoint_load::fixed_first_ms - limits_.reading_ahead_ms;
    const auto hold = std::max(limits_.least_hold, from_ms(slack));
    const auto give_up = std::max(item.arrived + hold, now + limits_.least_hold / 2);
    waiting_.emplace(ticket, waiting_call{std::move(item), give_up, std::max(limits_.least_wait_ms, reading)});
    pump(now);
}

bool dispatcher::withdraw(ticket_id ticket) {
    return waiting_.erase(ticket) > 0;
}

void dispatcher::started(ticket_id ticket, time_point now) {
    if (const auto it = placed_.find(ticket); it != placed_.end()) {
        loads_[it->second].started(ticket, now);
    }
}

void dispatcher::ended(ticket_id ticket, bool failed, time_point now) {
    if (const auto it = placed_.find(ticket); it != placed_.end()) {
        loads_[it->second].ended(ticket, failed, now);
        placed_.erase(it);
    }
}

void dispatcher::heard(const endpoint_id& id, time_point now) {
    loads_[id].heard(now);
}

void dispatcher::unreachable(const endpoint_id& id, time_point now) {
    loads_[id].unreachable(now);
}

std::vector<ticket_id> dispatcher::order(time_point now) {
    std::map<team_id, double> served;
    std::vector<std::pair<double, ticket_id>> keys;
    keys.reserve(waiting_.size());
    for (const auto& [ticket, it] : waiting_) {
        const auto [team, fresh] = served.try_emplace(it.item.team, 0.0);
        if (fresh) {
            team->second = usage_.used(it.item.team, now);
        }
        keys.emplace_back(team->second, ticket);
        team->second += cost_of(it.item);
    }
    std::ranges::sort(keys);
    std::vector<ticket_id> out;
    out.reserve(keys.size());
    for (const auto& [key, ticket] : keys) {
        out.push_back(ticket);
    }
    return out;
}

void dispatcher::shed_overload(time_point now) {
    // Calls at the end of the order that would be given up anyway are refused now, when that helps their callers.
    std::map<service_id, double> ahead_ms;
    std::vector<ticket_id> late;
    for (const auto ticket : order(now)) {
        const auto& it = waiting_.at(ticket);
        auto& ahead = ahead_ms[it.item.service];
        if (now + from_ms(ahead / endpoint_share(it.item.service, standing_of(it.item, now), now)) > it.give_up) {
            late.push_back(ticket);
            continue;
        }
        ahead += it.best_reading_ms;
    }
    for (const auto ticket : late) {
        if (const auto it = waiting_.extract(ticket); !it.empty()) { // A refusal may withdraw others.
            refuse(it.mapped(), result_code::queue_timeout, now);
        }
    }
}

void dispatcher::pump(time_point now) {
    if (deciding_) {
        decide_again_ = true;
        return;
    }
    deciding_ = true;
    do {
        decide_again_ = false;
        decide_all(now);
    } while (decide_again_);
    deciding_ = false;
}

void dispatcher::decide_all(time_point now) {
    if (waiting_.empty() || view_->config() == nullptr) {
        return;
    }
    for (const auto ticket : order(now)) {
        const auto it = waiting_.find(ticket);
        if (it == waiting_.end()) {
            continue; // Withdrawn by a decision before it.
        }
        const auto found = consider(it->second.item, now);
        const bool late = now >= it->second.give_up;
        // Waiting for the endpoint that keeps the prompt's start ends with the wait; the least served go elsewhere then.
        const auto& choice = late && found.team != standing::above ? found.best_ready : found.best;
        if (choice.known != nullptr && choice.ready) {
            const auto call = waiting_.extract(it);
            place(call.mapped().item, choice, now);
        } else if (late) {
            const auto call = waiting_.extract(it);
            refuse(call.mapped(), found.best.known == nullptr ? result_code::no_endpoint_in_service
                                                              : result_code::queue_timeout, now);
        }
    }
    if (!waiting_.empty()) {
        shed_overload(now);
    }
}

void dispatcher::refresh(time_point now) {
    std::erase_if(loads_, [&](const auto& item) {
        return !view_->endpoints().contains(item.first) && item.second.own(now).calls == 0;
    });
    std::erase_if(peer_queues_, [&](const auto& it) { return now - it.second.at >= endpoint_load::peer_report_kept; });
    if (view_->config() == nullptr) {
        return;
    }
    for (const auto& [id, it] : view_->endpoints()) {
        const auto* const service = view_->config()->find_service(it.entry.service);
        if (service != nullptr && service->engine) {
            const auto used = loads_[id].memory_tokens(now);
            const auto total = static_cast<double>(service->engine->memory_tokens);
            loads_[id].parts().set_capacity(static_cast<std::uint64_t>(std::max(total * 0.1, total - used)));
        }
    }
}

} // namespace dandelionbay
