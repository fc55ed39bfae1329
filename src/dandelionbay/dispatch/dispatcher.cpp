#include "dandelionbay/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/cleanup/cleanup.h"

namespace dandelionbay {

namespace {

/*! Uses of parts that are kept for the peers; without peers nobody takes them. */
constexpr std::size_t most_part_uses = 1'000;
constexpr duration shortest_return = std::chrono::milliseconds{250};
constexpr duration longest_return = std::chrono::seconds{3};
/*! Spread of the times at which refused calls come back, so that they do not come together. */
constexpr double earliest_return = 0.8;
constexpr double latest_return = 1.3;
/*! Teams of a higher rank wait for the endpoint that keeps the prompt's start, and for no other. */
constexpr double most_excess_for_detour = 0.5;
/*! Share of an engine's memory that is taken to keep parts, however many calls run. */
constexpr double least_kept = 0.1;

/*! Reading of a call whose endpoints were not looked at yet: what other calls share is usually kept somewhere. */
[[nodiscard]] double typical_prefill_ms(const work_item& item) {
    return (item.parts.empty() ? item.prompt_tokens : item.parts.back().tokens) /
           endpoint_load::initial_prefill_tokens_per_ms;
}

[[nodiscard]] refusal explain(const endpoint_selector::choices& choices, const team_rank& team, double ahead_ms) {
    const auto& best = choices.best;
    refusal out;
    out.team = team;
    out.ahead_ms = ahead_ms;
    out.not_before = choices.paused_until;
    if (out.not_before) {
        out.code = result_code::endpoint_unavailable;
    }
    if (best.at != nullptr) {
        out.code = result_code::queue_timeout;
        out.best_endpoint = best.at->known->entry.id;
        out.backlog_ms = best.at->wait_ms;
    }
    return out;
}

} // namespace

dispatcher::dispatcher(const registry_view& view, router_location place, const dispatch_limits& limits,
                       dispatch_listener& listener, std::uint64_t seed)
    : view_{&view}, place_{std::move(place)}, limits_{limits}, listener_{&listener}, random_{seed}, selector_{view,
                                                                                                              place_,
                                                                                                              limits_,
                                                                                                              loads_} {
    selector_.add_router(place_.host);
}

team_rank dispatcher::rank_of(const work_item& item, time_point now) {
    const double least = usage_.min_refused_usage(now) * limits_.yield_margin + item.cost();
    if (std::isinf(least)) {
        return {};
    }
    const double used = usage_.used(item.team, now);
    const double most = usage_.max_usage(now);
    if (usage_.is_often_refused(item.team, now) && used < limits_.behind_share * most) {
        return {true, 0.0}; // A small team that is refused now and then must not hold it back.
    }
    const double above = used - least;
    const double widest = std::max(1.0, most - least);
    return {true, std::clamp(above / widest, 0.0, 1.0)};
}

endpoint_choice dispatcher::place(const work_item& item, const endpoint_selector::candidate& to, const team_rank& team,
                                  time_point now) {
    auto& at = *to.at;
    const auto& entry = at.known->entry;
    endpoint_choice choice{entry.id, entry.started, entry.address, to.unread_tokens, at.wait_ms, at.cold, team};
    at.load->sent(item.ticket, call_load{to.unread_tokens, item.prompt_tokens + item.output_tokens}, now);
    at.load->cache().use(item.parts);
    at.load->cold_limiter().sent(now);
    selector_.sent(at);
    for (std::size_t n = 0; n + 1 < item.parts.size() && part_uses_.size() < most_part_uses; ++n) {
        part_uses_.push_back(part_use{entry.id, item.parts[n]});
    }
    placed_[item.ticket] = placed_call{entry.id, item.team, item.cost(), now, item.arrived, item.target, false};
    usage_.add(item.team, item.cost(), now);
    return choice;
}

double dispatcher::queued_prefill_ms(const service_id& service) const {
    double sum = 0.0;
    for (const auto& [ticket, it] : waiting_) {
        sum += it.item.service == service ? it.best_prefill_ms : 0.0;
    }
    return sum;
}

double dispatcher::peers_queued_prefill_ms(const service_id& service, time_point now) const {
    double sum = 0.0;
    for (const auto& [peer, it] : peer_queues_) {
        if (now - it.at >= endpoint_load::peer_report_timeout) {
            continue;
        }
        for (const auto& queue : it.queues) {
            sum += queue.service == service ? queue.prefill_ms : 0.0;
        }
    }
    return sum;
}

dispatcher::queue_state& dispatcher::queue_of(const service_id& service, queue_states& queues, time_point now) const {
    const auto [queue, first] = queues.try_emplace(service);
    if (first) {
        const double own = std::max(limits_.min_prefill_ms, queued_prefill_ms(service));
        queue->second.own_share = own / (own + peers_queued_prefill_ms(service, now));
        queue->second.endpoints = static_cast<double>(std::max<std::size_t>(1, selector_.count(service)));
    }
    return queue->second;
}

std::vector<service_queue> dispatcher::queues() const {
    std::map<service_id, double> sums;
    for (const auto& [ticket, it] : waiting_) {
        sums[it.item.service] += it.best_prefill_ms;
    }
    std::vector<service_queue> out;
    out.reserve(sums.size());
    for (const auto& [service, ms] : sums) {
        out.push_back(service_queue{service, ms});
    }
    return out;
}

void dispatcher::update_peer_queues(const host_id& peer, std::vector<service_queue> queues, time_point now) {
    peer_queues_[peer] = peer_queues{std::move(queues), now};
}

void dispatcher::refuse(const work_item& item, refusal why, time_point now) {
    const auto base = std::clamp(from_ms(limits_.reading_ahead_ms + why.ahead_ms), shortest_return, longest_return);
    std::uniform_real_distribution<double> spread{earliest_return, latest_return};
    why.retry_after = std::chrono::duration_cast<duration>(base * spread(random_));
    if (why.not_before) { // Before that time no endpoint takes it, however short the queue is.
        why.retry_after += std::max(duration{}, *why.not_before - now);
    }
    usage_.add_refused(item.team, item.cost(), now);
    listener_->refused(item.ticket, why);
}

void dispatcher::refuse_waiting(ticket_id ticket, const refusal& why, time_point now) {
    if (const auto it = waiting_.extract(ticket); !it.empty()) { // A refusal may withdraw others.
        refuse(it.mapped().item, why, now);
    }
}

bool dispatcher::make_room(const work_item& item, time_point now) {
    if (!rank_of(item, now).has_priority()) {
        return false;
    }
    const double used = usage_.used(item.team, now);
    auto most = used / limits_.behind_share;
    std::optional<ticket_id> last; // The newest call of the most served team.
    for (const auto& [ticket, it] : waiting_) {
        if (const double other = usage_.used(it.item.team, now); it.item.team != item.team && other >= most) {
            most = other;
            last = ticket;
        }
    }
    if (!last) {
        return false;
    }
    refusal why;
    why.code = result_code::router_queue_full;
    refuse_waiting(*last, why, now);
    return waiting_.size() < max_waiting_;
}

void dispatcher::submit(work_item item, time_point now) {
    const auto ticket = item.ticket;
    if (view_->config() == nullptr || (waiting_.size() >= max_waiting_ && !make_room(item, now))) {
        refusal why;
        why.code = result_code::router_queue_full;
        refuse(item, why, now);
        return;
    }
    const double reading = std::max(limits_.min_prefill_ms, typical_prefill_ms(item));
    waiting_call call{std::move(item), now, std::nullopt, reading};
    if (waiting_.empty()) { // Otherwise the next round decides, in the order of the teams.
        selector_.update(now);
        const auto team = rank_of(call.item, now);
        const auto best = selector_.select(call.item, team).best;
        if (best.at != nullptr && best.ready) {
            listener_->placed(ticket, place(call.item, best, team, now));
            return;
        }
        set_give_up(call, best);
    }
    waiting_.emplace(ticket, std::move(call));
}

void dispatcher::set_give_up(waiting_call& call, const endpoint_selector::candidate& best) const {
    const double reading = best.at == nullptr ? 0.0 : best.at->load->prefill_ms(best.unread_tokens);
    const double slack =
        to_ms(call.item.target) - reading - endpoint_load::first_event_overhead_ms - limits_.reading_ahead_ms;
    const auto hold = std::max(limits_.min_wait, from_ms(slack));
    call.give_up = std::max(call.item.arrived + hold, call.submitted + limits_.min_wait / 2);
    call.best_prefill_ms = std::max(limits_.min_prefill_ms, reading);
}

std::optional<endpoint_choice> dispatcher::try_place(const work_item& item, time_point now) {
    if (view_->config() == nullptr) {
        return std::nullopt;
    }
    selector_.update(now);
    const auto team = rank_of(item, now);
    const auto choice = selector_.select(item, team).best_ready;
    if (choice.at == nullptr) {
        return std::nullopt;
    }
    return place(item, choice, team, now);
}

bool dispatcher::can_place(const work_item& item, time_point now) {
    selector_.update(now);
    return selector_.select(item, rank_of(item, now)).best_ready.at != nullptr;
}

bool dispatcher::has_endpoint(const work_item& item, time_point now) {
    selector_.update(now);
    return selector_.has_endpoint_for(item);
}

bool dispatcher::withdraw(ticket_id ticket) {
    return waiting_.erase(ticket) > 0;
}

void dispatcher::started(ticket_id ticket, time_point now) {
    if (const auto it = placed_.find(ticket); it != placed_.end()) {
        auto& call = it->second;
        if (!std::exchange(call.begun, true) && now - call.arrived > call.target) {
            usage_.add_refused(call.team, call.cost, now); // Late service does not show that a team lacks none.
        }
        loads_[call.endpoint].started(ticket, now);
    }
}

void dispatcher::ended(ticket_id ticket, call_outcome end, time_point now) {
    if (const auto it = placed_.find(ticket); it != placed_.end()) {
        const auto& call = it->second;
        auto& load = loads_[call.endpoint];
        const bool needed = end != call_outcome::not_needed;
        const bool failed = end == call_outcome::failed;
        const bool in_vain = needed && now - call.arrived > call.target; // Its caller waited longer than it should.
        if (!call.begun && (!needed || failed || in_vain || load.stalled(now))) { // The team got nothing for it.
            usage_.refund(call.team, call.cost, call.at);
            if (in_vain) {
                usage_.add_refused(call.team, call.cost, now);
            }
        }
        load.ended(ticket, failed, now);
        placed_.erase(it);
    }
}

void dispatcher::data_received(const endpoint_id& id, time_point now) {
    loads_[id].data_received(now);
}

void dispatcher::reset_silence(time_point now) {
    for (auto& [id, load] : loads_) {
        load.reset_silence(now);
    }
}

void dispatcher::pause(const endpoint_id& id, time_point until) {
    loads_[id].pause(until);
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
        team->second += it.item.cost();
    }
    std::ranges::sort(keys);
    std::vector<ticket_id> out;
    out.reserve(keys.size());
    for (const auto& [key, ticket] : keys) {
        out.push_back(ticket);
    }
    return out;
}

void dispatcher::process_waiting(time_point now) {
    if (deciding_ || waiting_.empty() || view_->config() == nullptr) {
        return; // What a decision changes is seen in the next round.
    }
    deciding_ = true;
    const absl::Cleanup decided = [this] { deciding_ = false; }; // Also after an error.
    decide_all(now);
}

void dispatcher::decide_all(time_point now) {
    selector_.update(now);
    queue_states queues;
    for (const auto ticket : order(now)) {
        decide(ticket, queues, now);
    }
}

void dispatcher::decide(ticket_id ticket, queue_states& queues, time_point now) {
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) {
        return; // Withdrawn by a decision before it.
    }
    auto& call = found->second;
    const auto team = rank_of(call.item, now);
    const auto choices = selector_.select(call.item, team);
    if (!call.give_up) {
        set_give_up(call, choices.best);
    }
    const bool late = now >= *call.give_up;
    // Waiting for the endpoint that keeps the prompt's start ends with the wait; the least served go elsewhere then.
    const bool gives_way = team.contended && team.excess > most_excess_for_detour;
    const auto& choice = late && !gives_way ? choices.best_ready : choices.best;
    if (choice.at != nullptr && choice.ready) {
        const auto node = waiting_.extract(found);
        listener_->placed(ticket, place(node.mapped().item, choice, team, now));
        return;
    }
    auto& queue = queue_of(call.item.service, queues, now);
    // The calls at other routers give way to the least served team.
    const double share = team.has_priority() ? 1.0 : queue.own_share;
    const double wait_ms = queue.ahead_ms / (queue.endpoints * share);
    const bool paused = choices.paused_until && *choices.paused_until > *call.give_up;
    if (late || paused || now + from_ms(wait_ms) > *call.give_up) {
        refuse_waiting(ticket, explain(choices, team, wait_ms), now);
        return;
    }
    queue.ahead_ms += call.best_prefill_ms;
}

void dispatcher::refresh(time_point now) {
    std::erase_if(loads_, [&](const auto& item) {
        return !view_->endpoints().contains(item.first) && item.second.own(now).calls == 0;
    });
    std::erase_if(peer_queues_,
                  [&](const auto& it) { return now - it.second.at >= endpoint_load::peer_report_timeout; });
    if (view_->config() == nullptr) {
        return;
    }
    for (const auto& [id, it] : view_->endpoints()) {
        const auto* const service = view_->config()->find_service(it.entry.service);
        if (service != nullptr && service->engine) {
            const auto used = loads_[id].memory_tokens(now);
            const auto total = static_cast<double>(service->engine->memory_tokens);
            loads_[id].follow_process(it.entry.started);
            loads_[id].cache().set_capacity(static_cast<std::uint64_t>(std::max(total * least_kept, total - used)));
        }
    }
}

} // namespace dandelionbay
