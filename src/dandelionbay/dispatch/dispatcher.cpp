#include "dandelionbay/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/cleanup/cleanup.h"

namespace dandelionbay {

namespace {

/*! Bounds the queued part uses, because nothing takes them while there are no peers. */
constexpr std::size_t max_part_uses = 1'000;
constexpr duration min_retry_after = std::chrono::milliseconds{250};
constexpr duration max_retry_after = std::chrono::seconds{3};
/*! Bounds of the jitter factor of retry delays, which keeps refused calls from returning at the same time. */
constexpr double min_retry_jitter = 0.8;
constexpr double max_retry_jitter = 1.3;
/*! Calls of teams with a higher excess never fall back to another endpoint than the best one. */
constexpr double max_excess_for_detour = 0.5;
/*! Minimum share of an engine's memory that is assumed to cache prompt parts, whatever the number of running calls. */
constexpr double min_cache_share = 0.1;
/*! Upper bound of the factor by which more is admitted of a team that lags behind the best served one, because its
 * calls find no place after their admission. */
constexpr double max_catch_up = 2.0;

/*! Estimates the prefill time of a call before endpoints are selected for it. The parts that it shares with other calls
 *  are usually cached at some endpoint, so only its last part counts. */
[[nodiscard]] double typical_prefill_ms(const work_item& item) {
    return (item.parts.empty() ? item.prompt_tokens : item.parts.back().tokens) /
           endpoint_load::initial_prefill_tokens_per_ms;
}

[[nodiscard]] refusal make_refusal(const endpoint_selector::selection& selection, const team_rank& team,
                                   double ahead_ms) {
    const auto& best = selection.best;
    refusal out;
    out.team = team;
    out.ahead_ms = ahead_ms;
    out.not_before = selection.paused_until;
    if (out.not_before) {
        out.code = result_code::endpoint_unavailable;
    }
    if (best.endpoint != nullptr) {
        out.code = result_code::queue_timeout;
        out.best_endpoint = best.endpoint->known->entry.id;
        out.backlog_ms = best.endpoint->wait_ms;
    }
    return out;
}

} // namespace

dispatcher::dispatcher(const registry_view& view, router_location location, const dispatch_limits& limits,
                       dispatch_listener& listener, std::uint64_t seed)
    : view_{&view}, location_{std::move(location)}, limits_{limits}, listener_{&listener}, random_{seed},
      selector_{view, location_, limits_, loads_} {
    selector_.add_router(location_.host);
}

team_rank dispatcher::rank_of(const work_item& item, time_point now) {
    const double yield_usage = usage_.min_refused_usage(now) * limits_.yield_margin + item.cost();
    if (std::isinf(yield_usage)) {
        return {};
    }
    if (item.has_begun) {
        return {true, 0.0}; // Its team's turn was spent when it began, and few endpoints can go on with it.
    }
    const double used = usage_.comparable_usage(item.team, now);
    const double most = usage_.max_usage(now);
    if (usage_.is_often_refused(item.team, now) && used < limits_.behind_share * most) {
        return {true, 0.0}; // Otherwise a small team that is rarely refused would hold this one back.
    }
    const double above = used - yield_usage;
    const double range = std::max(1.0, most - yield_usage);
    return {true, std::clamp(above / range, 0.0, 1.0)};
}

endpoint_choice dispatcher::place(const work_item& item, const endpoint_selector::candidate& to, const team_rank& team,
                                  time_point now) {
    auto& at = *to.endpoint;
    const auto& entry = at.known->entry;
    endpoint_choice choice{entry.id,   entry.started, entry.address, to.unread_tokens, at.wait_ms,
                           at.is_cold, team,          entry.version, item.admitted};
    at.load->sent(item.ticket, call_load{to.unread_tokens, item.prompt_tokens + item.output_tokens}, now);
    at.load->cache().record_use(item.parts);
    at.load->cold_limiter().record_sent(now);
    selector_.call_sent(at);
    for (const auto& part : shared_parts(item.parts)) {
        if (part_uses_.size() == max_part_uses) {
            break;
        }
        part_uses_.push_back(part_use{entry.id, part});
    }
    placed_[item.ticket] = placed_call{entry.id,     item.team,   item.service, !item.parts.empty(), item.cost(), now,
                                       item.arrived, item.target, false};
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
        if (now - it.reported_at >= endpoint_load::peer_report_timeout) {
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

std::vector<service_delay> dispatcher::observed_delays(time_point now) const {
    std::vector<service_delay> out;
    for (const auto& [service, it] : overloads_) {
        if (auto observed = it.own(now); observed.samples > 0.0 && observed.age < team_usage::window) {
            observed.service = service;
            out.push_back(std::move(observed));
        }
    }
    return out;
}

void dispatcher::update_peer_delays(const host_id& peer, const std::vector<service_delay>& delays, time_point now) {
    for (const auto& it : delays) {
        overloads_[it.service].update_peer(peer, it, now);
    }
}

void dispatcher::refuse(const work_item& item, refusal why, time_point now) {
    const auto base = std::clamp(from_ms(limits_.reading_ahead_ms + why.ahead_ms), min_retry_after, max_retry_after);
    std::uniform_real_distribution<double> spread{min_retry_jitter, max_retry_jitter};
    why.retry_after = std::chrono::duration_cast<duration>(base * spread(random_));
    if (why.not_before) { // No endpoint accepts the call earlier, however short the queue is.
        why.retry_after += std::max(duration{}, *why.not_before - now);
    }
    why.admitted = item.admitted;
    usage_.add_refused(item.team, item.cost(), now);
    listener_->refused(item.ticket, why);
}

void dispatcher::refuse_waiting(ticket_id ticket, const refusal& why, time_point now) {
    if (const auto it = waiting_.extract(ticket); !it.empty()) { // An earlier refusal may have withdrawn the call.
        refuse(it.mapped().item, why, now);
    }
}

bool dispatcher::make_room(const work_item& item, time_point now) {
    if (!rank_of(item, now).has_priority()) {
        return false;
    }
    const double used = usage_.comparable_usage(item.team, now);
    auto most = used / limits_.behind_share;
    std::optional<ticket_id> last; // The newest call of the team with the highest usage.
    for (const auto& [ticket, it] : waiting_) {
        if (const double other = usage_.comparable_usage(it.item.team, now);
            it.item.team != item.team && other >= most) {
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

admission dispatcher::admission_of(const work_item& item, time_point now) {
    admission out;
    const auto found = overloads_.find(item.service);
    if (item.parts.empty() || item.has_begun || found == overloads_.end()) {
        return out;
    }
    out.queueing_delay_ms = found->second.queueing_delay_ms(now);
    if (const auto capacity = found->second.capacity(limits_, now)) {
        const double lag = usage_.max_usage(now) / std::max(1.0, usage_.comparable_usage(item.team, now));
        out.share =
            std::min(1.0, usage_.admitted_share(item.team, *capacity, now) * std::clamp(lag, 1.0, max_catch_up));
    }
    return out;
}

bool dispatcher::place_or_refuse_by_share(const work_item& item, time_point now) {
    const auto& admitted = item.admitted;
    if (admitted.share >= 1.0 || std::uniform_real_distribution<double>{}(random_) < admitted.share) {
        return false;
    }
    const auto team = rank_of(item, now);
    if (!team.contended || team.has_priority()) { // Otherwise the team has to leave room; nothing is scored for it.
        selector_.update(now);
        const auto idle = selector_.select(item, team).best_ready;
        if (idle.endpoint != nullptr && idle.endpoint->calls == 0) { // The late answers were no overload.
            listener_->placed(item.ticket, place(item, idle, team, now));
            return true;
        }
    }
    refusal why;
    why.code = result_code::share_exceeded;
    why.team = team;
    why.ahead_ms = admitted.queueing_delay_ms;
    refuse(item, why, now);
    return true;
}

void dispatcher::submit(work_item item, time_point now) {
    const auto ticket = item.ticket;
    item.admitted = admission_of(item, now);
    if (view_->config() != nullptr && place_or_refuse_by_share(item, now)) {
        return;
    }
    if (view_->config() == nullptr || (waiting_.size() >= max_waiting_ && !make_room(item, now))) {
        refusal why;
        why.code = result_code::router_queue_full;
        refuse(item, why, now);
        return;
    }
    const double prefill_ms = std::max(limits_.min_prefill_ms, typical_prefill_ms(item));
    waiting_call call{std::move(item), now, std::nullopt, prefill_ms};
    if (waiting_.empty()) { // Otherwise the next round decides, sorted by team usage.
        selector_.update(now);
        const auto team = rank_of(call.item, now);
        const auto best = selector_.select(call.item, team).best;
        if (best.endpoint != nullptr && best.is_ready) {
            listener_->placed(ticket, place(call.item, best, team, now));
            return;
        }
        set_deadline(call, best);
    }
    waiting_.emplace(ticket, std::move(call));
}

void dispatcher::set_deadline(waiting_call& call, const endpoint_selector::candidate& best) const {
    const double prefill_ms = best.endpoint == nullptr ? 0.0 : best.endpoint->load->prefill_ms(best.unread_tokens);
    const double slack_ms =
        to_ms(call.item.target) - prefill_ms - endpoint_load::first_event_overhead_ms - limits_.reading_ahead_ms;
    const auto max_wait = std::max(limits_.min_wait, from_ms(slack_ms));
    call.deadline = std::max(call.item.arrived + max_wait, call.submitted + limits_.min_wait / 2);
    call.best_prefill_ms = std::max(limits_.min_prefill_ms, prefill_ms);
}

std::optional<endpoint_choice> dispatcher::try_place(const work_item& item, time_point now) {
    if (view_->config() == nullptr) {
        return std::nullopt;
    }
    selector_.update(now);
    const auto team = rank_of(item, now);
    const auto choice = selector_.select(item, team).best_ready;
    if (choice.endpoint == nullptr) {
        return std::nullopt;
    }
    return place(item, choice, team, now);
}

bool dispatcher::can_place(const work_item& item, time_point now) {
    selector_.update(now);
    return selector_.select(item, rank_of(item, now)).best_ready.endpoint != nullptr;
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
        if (!std::exchange(call.is_started, true) && now - call.arrived > call.target) {
            // An answer that starts late shows that the team lacks service.
            usage_.add_refused(call.team, call.cost, now);
        }
        const auto waited_ms = loads_[call.endpoint].started(ticket, now);
        if (waited_ms && call.has_prompt) {
            overloads_[call.service].record_wait(*waited_ms, limits_, now);
        }
    }
}

void dispatcher::ended(ticket_id ticket, call_outcome end, time_point now) {
    if (const auto it = placed_.find(ticket); it != placed_.end()) {
        const auto& call = it->second;
        auto& load = loads_[call.endpoint];
        const bool is_needed = end != call_outcome::not_needed;
        const bool failed = end == call_outcome::failed;
        const bool is_late = is_needed && now - call.arrived > call.target; // The caller waited past the target.
        // The team received nothing for the cost of such a call.
        if (!call.is_started && (!is_needed || failed || is_late || load.is_stalled(now))) {
            usage_.refund(call.team, call.cost, call.placed_at);
            if (is_late) {
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

std::vector<ticket_id> dispatcher::ordered_tickets(time_point now) {
    std::map<team_id, double> usage_by_team;
    std::vector<std::pair<double, ticket_id>> keys;
    keys.reserve(waiting_.size());
    for (const auto& [ticket, it] : waiting_) {
        const auto [team, is_new] = usage_by_team.try_emplace(it.item.team, 0.0);
        if (is_new) {
            team->second = usage_.comparable_usage(it.item.team, now);
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
    if (is_deciding_ || waiting_.empty() || view_->config() == nullptr) {
        return; // The next round handles what a decision changes.
    }
    is_deciding_ = true;
    const absl::Cleanup decided = [this] { is_deciding_ = false; }; // Also resets the flag after an exception.
    decide_all(now);
}

void dispatcher::decide_all(time_point now) {
    selector_.update(now);
    queue_states queues;
    for (const auto ticket : ordered_tickets(now)) {
        decide(ticket, queues, now);
    }
}

void dispatcher::decide(ticket_id ticket, queue_states& queues, time_point now) {
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) {
        return; // An earlier decision of this round withdrew the call.
    }
    auto& call = found->second;
    const auto team = rank_of(call.item, now);
    const auto selection = selector_.select(call.item, team);
    if (!call.deadline) {
        set_deadline(call, selection.best);
    }
    const bool is_overdue = now >= *call.deadline;
    // Until its deadline a call waits for the best endpoint, which usually has its prefix cached. After it, calls of
    // teams with a low excess take any endpoint that is ready.
    const bool needs_best = team.contended && team.excess > max_excess_for_detour;
    const auto& choice = is_overdue && !needs_best ? selection.best_ready : selection.best;
    if (choice.endpoint != nullptr && choice.is_ready) {
        const auto node = waiting_.extract(found);
        listener_->placed(ticket, place(node.mapped().item, choice, team, now));
        return;
    }
    auto& queue = queue_of(call.item.service, queues, now);
    // Calls at other routers yield to a team with priority.
    const double share = team.has_priority() ? 1.0 : queue.own_share;
    const double wait_ms = queue.ahead_ms / (queue.endpoints * share);
    const bool is_paused_past_deadline = selection.paused_until && *selection.paused_until > *call.deadline;
    if (is_overdue || is_paused_past_deadline || now + from_ms(wait_ms) > *call.deadline) {
        refuse_waiting(ticket, make_refusal(selection, team, wait_ms), now);
        return;
    }
    queue.ahead_ms += call.best_prefill_ms;
}

void dispatcher::refresh(time_point now) {
    std::erase_if(loads_, [&](const auto& item) {
        return !view_->endpoints().contains(item.first) && item.second.own(now).calls == 0;
    });
    std::erase_if(peer_queues_,
                  [&](const auto& it) { return now - it.second.reported_at >= endpoint_load::peer_report_timeout; });
    if (view_->config() == nullptr) {
        return;
    }
    for (const auto& [id, it] : view_->endpoints()) {
        const auto* const service = view_->config()->find_service(it.entry.service);
        if (service != nullptr && service->engine) {
            const auto used = loads_[id].memory_tokens(now);
            const auto total = static_cast<double>(service->engine->memory_tokens);
            loads_[id].set_process_start(it.entry.started);
            loads_[id].cache().set_capacity(
                static_cast<std::uint64_t>(std::max(total * min_cache_share, total - used)));
        }
    }
}

} // namespace dandelionbay
