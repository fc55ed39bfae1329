#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"
#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

bool router_core::state::ours(const request_id& id) const {
    return id.incarnation == settings_.incarnation && id.router == settings_.host;
}

router_core::state::request_record* router_core::state::find_run(const host_id& from, const request_id& wire_id,
                                                                 std::string_view kind) {
    if (!ours(wire_id)) {
        metrics_->add("foreign_messages_total", kind);
        return nullptr;
    }
    const auto run = runs_.find(wire_id.sequence);
    if (run == runs_.end()) {
        metrics_->add("late_messages_total", kind);
        return nullptr;
    }
    auto& it = requests_.at(run->second);
    if (it.run.agent != from) {
        metrics_->add("foreign_messages_total", kind);
        return nullptr;
    }
    return &it;
}

double router_core::state::weight_of(const team_id& team) const {
    const auto* const it = config_ ? config_->find(team) : nullptr;
    return it != nullptr && it->weight > 0.0 ? it->weight : 1.0;
}

duration router_core::state::retry_after(const request_record& it, result_code code, time_point now) const {
    const auto status = describe(code).http_status;
    const bool passing = status == 429 || (status >= 500 && code != result_code::internal_error);
    // A call that may not be repeated can be sent again only if it provably did not run.
    if (!passing || (!it.order.idempotent && it.ran != executed::no)) {
        return {};
    }
    // The time the oldest request has waited shows how long the queue takes at present.
    const auto pool = pools_.find(it.pool);
    duration wait{};
    if (pool != pools_.end() && !pool->second.waiting_since.empty()) {
        wait = now - pool->second.waiting_since.begin()->first;
    }
    return std::clamp(wait, shortest_retry_after, longest_retry_after);
}

void router_core::state::reschedule(request_record& it) {
    const auto wake = it.next_event();
    if (wake != it.wake) {
        timers_.erase(std::pair{it.wake, it.id.sequence});
        it.wake = wake;
        timers_.emplace(wake, it.id.sequence);
    }
}

void router_core::state::queue_changed(pool_record& pool, const team_id& team, time_point now) {
    pool.dirty = true;
    to_serve_.insert(pool.id);
    ledger_.set_queued(team_key{pool.id, team}, static_cast<std::uint32_t>(pool.queues.size(team)), now);
}

void router_core::state::enqueue(request_record& it, bool at_head, time_point now) {
    auto& pool = pool_of(it.pool);
    const team_key key{it.pool, it.order.team};
    pool.queues.set_team(it.order.team, access_.group_of(it.order.team), ledger_.counter(key));
    it.phase = request_phase::queued;
    if (at_head) {
        pool.queues.requeue(it.order.team, it.id);
    }
    pool.waiting_since.emplace(it.accepted_at, it.id.sequence);
    queue_changed(pool, it.order.team, now);
    reschedule(it);
}

void router_core::state::leave_queue(request_record& it, time_point now) {
    auto& pool = pool_of(it.pool);
    pool.queues.remove(it.order.team, it.id);
    pool.waiting_since.erase(std::pair{it.accepted_at, it.id.sequence});
    queue_changed(pool, it.order.team, now);
}

void router_core::state::end(request_record& it, result_code code, executed outcome, time_point now) {
    if (it.phase == request_phase::queued) {
        leave_queue(it, now);
    } else if (it.phase == request_phase::running) {
        outcome = combine(outcome, it.ran);
        close_run(it, it.run.account.charged(), now);
    }
    it.ran = combine(it.ran, outcome);
    // "ran" is raised for every run that ended without a rejection, so "no" is never reported for one of them.
    check(it.attempts == 0 || it.ran != executed::no, "executed_no_after_run");
    if (code == result_code::ok) {
        metrics_->add("answered_total");
    } else {
        metrics_->add("failed_total", describe(code).name);
    }
    out_.emplace_back(answer_end{it.id, code, it.ran, retry_after(it, code, now)});
    timers_.erase(std::pair{it.wake, it.id.sequence});
    const auto sequence = it.id.sequence;
    requests_.erase(sequence);
}

void router_core::state::close_run(request_record& it, double exact, time_point now) {
    const team_key key{it.pool, it.order.team};
    auto& run = it.run;
    costs_.add_refund(key, run.account.settle(exact, ledger_, now));
    auto& pool = pool_of(it.pool);
    pool.largest = std::max(pool.largest, run.account.charged() / weight_of(it.order.team));
    pool.dirty = true;
    to_serve_.insert(pool.id);
    runs_.erase(run.wire_id.sequence);
}

void router_core::state::run_failed(request_record& it, result_code code, executed outcome, time_point now) {
    const bool started = it.run.progress.has_head();
    it.ran = combine(it.ran, outcome);
    if (it.caller_left || !it.order.idempotent || started || it.attempts >= most_attempts) {
        end(it, code, outcome, now);
        return;
    }
    if (crashes_.is_refused(it.order.fingerprint)) {
        end(it, result_code::crashes_endpoints, outcome, now);
        return;
    }
    if (!retries_.try_take(it.order.team)) {
        end(it, result_code::retry_budget_exhausted, outcome, now);
        return;
    }
    close_run(it, it.run.account.charged(), now);
    metrics_->add("retries_total", describe(code).name);
    it.phase = request_phase::backoff;
    it.backoff_until = now + retry_budget::backoff(it.attempts, random_);
    if (crashes_.crash_count(it.order.fingerprint) > 0) {
        it.backoff_until += suspect_backoff;
    }
    reschedule(it);
}

void router_core::state::requeue(request_record& it, time_point now) {
    close_run(it, it.run.account.charged(), now);
    enqueue(it, true, now);
}

void router_core::state::timed_out(request_record& it, time_point now) {
    using enum result_code;
    if (it.phase == request_phase::queued) {
        end(it, queue_timeout, it.ran, now);
        return;
    }
    if (it.phase == request_phase::backoff) {
        const auto* const service = config_->find(it.order.service);
        const auto wait = service != nullptr ? service->queue_timeout_ms : 0U;
        it.queue_deadline = now + std::chrono::milliseconds{wait};
        enqueue(it, true, now);
        return;
    }
    auto& run = it.run;
    if (run.run_deadline <= now) {
        send(run.agent, cancel{run.wire_id});
        end(it, deadline_exceeded, run.progress.has_head() ? executed::yes : executed::unknown, now);
    } else if (run.link_deadline <= now) {
        metrics_->add("runs_lost_total", "link");
        suspect_lost(it, now);
        run_failed(it, run.progress.has_head() ? answer_incomplete : outcome_unknown,
                   run.progress.has_head() ? executed::yes : executed::unknown, now);
    } else if (run.gap_deadline <= now) {
        answer_broken(it, "gap", now);
    } else {
        ask_for_gap(it, now);
    }
}

result_code router_core::state::admit(const request_record& it, const service_config& service, time_point now) {
    using enum result_code;
    if (!fresh_) {
        return configuration_stale;
    }
    const auto group = access_.group_of(it.order.team);
    if (!access_.permitted(it.pool, group)) {
        return not_permitted;
    }
    if (!access_.in_service(it.pool, group)) {
        return no_endpoint_in_service;
    }
    if (crashes_.is_refused(it.order.fingerprint)) {
        return crashes_endpoints;
    }
    auto& pool = pool_of(it.pool);
    pool.queues.set_team(it.order.team, group, ledger_.counter(team_key{it.pool, it.order.team}));
    const auto result = pool.queues.push(it.order.team, it.id, {service.max_queued_per_team, service.max_queued});
    if (result.evicted) {
        auto& loser = requests_.at(result.evicted->sequence);
        metrics_->add("evicted_total");
        end(loser, team_queue_full, loser.ran, now);
    }
    switch (result.result) {
    case team_queues::admission::queued:
        return ok;
    case team_queues::admission::team_full:
        return team_queue_full;
    case team_queues::admission::total_full:
        break;
    }
    return pool.queues.backlogged_teams() > 1 || pool.queues.size(it.order.team) > 0 ? team_queue_full
                                                                                     : router_queue_full;
}

router_core::actions router_core::state::accept(accepted_request request, time_point now, request_id& id) {
    id = request_id{settings_.host, settings_.incarnation, next_sequence_++};
    metrics_->add("accepted_total");
    const auto* const service = config_ ? config_->find(request.service) : nullptr;
    const auto* const team = config_ ? config_->find(request.team) : nullptr;
    request_record fresh;
    fresh.id = id;
    fresh.order = std::move(request);
    auto code = result_code::ok;
    if (service == nullptr || team == nullptr) {
        code = service == nullptr ? result_code::unknown_service : result_code::not_permitted;
    } else {
        fresh.pool = service->pool;
        fresh.model_call = service->kind == service_kind::model;
        fresh.accepted_at = now;
        fresh.queue_deadline = now + std::chrono::milliseconds{service->queue_timeout_ms};
        code = admit(fresh, *service, now);
    }
    if (code != result_code::ok) {
        metrics_->add("refused_total", describe(code).name);
        out_.emplace_back(answer_end{id, code, executed::no, retry_after(fresh, code, now)});
        return finish_event(now);
    }
    retries_.record_request(fresh.order.team);
    auto& it = requests_.emplace(id.sequence, std::move(fresh)).first->second;
    enqueue(it, false, now);
    return finish_event(now);
}

router_core::actions router_core::state::caller_gone(const request_id& id, time_point now) {
    const auto found = ours(id) ? requests_.find(id.sequence) : requests_.end();
    if (found == requests_.end()) {
        return finish_event(now);
    }
    auto& it = found->second;
    if (it.phase == request_phase::running && !it.order.idempotent) {
        // Its claim needs the outcome, and half an order is worse than a whole one.
        it.caller_left = true;
        return finish_event(now);
    }
    auto outcome = it.ran;
    if (it.phase == request_phase::running) {
        send(it.run.agent, cancel{it.run.wire_id});
        outcome = it.run.progress.has_head() ? executed::yes : executed::unknown;
    }
    end(it, result_code::caller_gone, outcome, now);
    return finish_event(now);
}

} // namespace dandelionbay
