#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"
#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

bool router_core::state::is_own_id(const request_id& id) const {
    return id.incarnation == settings_.incarnation && id.router == settings_.host;
}

router_core::state::request_record* router_core::state::find_run(const host_id& from, const request_id& wire_id,
                                                                 std::string_view kind) {
    if (!is_own_id(wire_id)) {
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

double router_core::state::team_weight(const team_id& team) const {
    const auto* const it = config_ ? config_->find(team) : nullptr;
    return it != nullptr && it->weight > 0.0 ? it->weight : 1.0;
}

duration router_core::state::retry_after(const request_record& it, result_code code, time_point now) const {
    const auto status = describe(code).http_status;
    const bool is_temporary = status == 429 || (status >= 500 && code != result_code::internal_error);
    // A non-idempotent call can be repeated only if it is certain that it did not run.
    if (!is_temporary || (!it.request.idempotent && it.combined_outcome != executed::no)) {
        return {};
    }
    // The waiting time of the oldest request estimates the present queueing delay.
    const auto pool = pools_.find(it.pool);
    duration wait{};
    if (pool != pools_.end() && !pool->second.waiting_by_age.empty()) {
        wait = now - pool->second.waiting_by_age.begin()->first;
    }
    return std::clamp(wait, min_retry_after, max_retry_after);
}

void router_core::state::reschedule(request_record& it) {
    const auto timer_deadline = it.next_event();
    if (timer_deadline != it.timer_deadline) {
        timers_.erase(std::pair{it.timer_deadline, it.id.sequence});
        it.timer_deadline = timer_deadline;
        timers_.emplace(timer_deadline, it.id.sequence);
    }
}

void router_core::state::handle_queue_change(pool_record& pool, const team_id& team, time_point now) {
    pool.is_dirty = true;
    pools_to_serve_.insert(pool.id);
    ledger_.set_queued(team_key{pool.id, team}, static_cast<std::uint32_t>(pool.queues.size(team)), now);
}

void router_core::state::enqueue(request_record& it, bool at_head, time_point now) {
    auto& pool = pool_of(it.pool);
    const team_key key{it.pool, it.request.team};
    pool.queues.set_team(it.request.team, access_.group_of(it.request.team), ledger_.counter(key));
    it.phase = request_phase::queued;
    if (at_head) {
        pool.queues.requeue(it.request.team, it.id);
    }
    pool.waiting_by_age.emplace(it.accepted_at, it.id.sequence);
    handle_queue_change(pool, it.request.team, now);
    reschedule(it);
}

void router_core::state::remove_from_queue(request_record& it, time_point now) {
    auto& pool = pool_of(it.pool);
    pool.queues.remove(it.request.team, it.id);
    pool.waiting_by_age.erase(std::pair{it.accepted_at, it.id.sequence});
    handle_queue_change(pool, it.request.team, now);
}

void router_core::state::end_request(request_record& it, result_code code, executed outcome, time_point now) {
    if (it.phase == request_phase::queued) {
        remove_from_queue(it, now);
    } else if (it.phase == request_phase::running) {
        outcome = combine(outcome, it.combined_outcome);
        close_run(it, it.run.account.charged(), now);
    }
    it.combined_outcome = combine(it.combined_outcome, outcome);
    // Every run that ends without a rejection changes the combined outcome, so it must not be "no" after such a run.
    check_invariant(it.attempts == 0 || it.combined_outcome != executed::no, "executed_no_after_run");
    if (code == result_code::ok) {
        metrics_->add("answered_total");
    } else {
        metrics_->add("failed_total", describe(code).name);
    }
    actions_.emplace_back(answer_end{it.id, code, it.combined_outcome, retry_after(it, code, now)});
    timers_.erase(std::pair{it.timer_deadline, it.id.sequence});
    const auto sequence = it.id.sequence;
    requests_.erase(sequence);
}

void router_core::state::close_run(request_record& it, double final_cost, time_point now) {
    const team_key key{it.pool, it.request.team};
    auto& run = it.run;
    costs_.add_refund(key, run.account.settle(final_cost, ledger_, now));
    auto& pool = pool_of(it.pool);
    pool.max_weighted_cost = std::max(pool.max_weighted_cost, run.account.charged() / team_weight(it.request.team));
    pool.is_dirty = true;
    pools_to_serve_.insert(pool.id);
    runs_.erase(run.wire_id.sequence);
}

void router_core::state::handle_run_failure(request_record& it, result_code code, executed outcome, time_point now) {
    const bool started = it.run.progress.has_head();
    it.combined_outcome = combine(it.combined_outcome, outcome);
    if (it.has_caller_left || !it.request.idempotent || started || it.attempts >= max_attempts) {
        end_request(it, code, outcome, now);
        return;
    }
    if (crashes_.is_refused(it.request.fingerprint)) {
        end_request(it, result_code::crashes_endpoints, outcome, now);
        return;
    }
    if (!retries_.try_take(it.request.team)) {
        end_request(it, result_code::retry_budget_exhausted, outcome, now);
        return;
    }
    close_run(it, it.run.account.charged(), now);
    metrics_->add("retries_total", describe(code).name);
    it.phase = request_phase::backoff;
    it.backoff_until = now + retry_budget::backoff(it.attempts, random_);
    if (crashes_.crash_count(it.request.fingerprint) > 0) {
        it.backoff_until += suspect_backoff;
    }
    reschedule(it);
}

void router_core::state::requeue(request_record& it, time_point now) {
    close_run(it, it.run.account.charged(), now);
    enqueue(it, true, now);
}

void router_core::state::handle_timer(request_record& it, time_point now) {
    using enum result_code;
    if (it.phase == request_phase::queued) {
        end_request(it, queue_timeout, it.combined_outcome, now);
        return;
    }
    if (it.phase == request_phase::backoff) {
        const auto* const service = config_->find(it.request.service);
        const auto wait = service != nullptr ? service->queue_timeout_ms : 0U;
        it.queue_deadline = now + std::chrono::milliseconds{wait};
        enqueue(it, true, now);
        return;
    }
    auto& run = it.run;
    if (run.run_deadline <= now) {
        send(run.agent, cancel{run.wire_id});
        end_request(it, deadline_exceeded, run.progress.has_head() ? executed::yes : executed::unknown, now);
    } else if (run.link_deadline <= now) {
        metrics_->add("runs_lost_total", "link");
        record_agent_loss(it, now);
        handle_run_failure(it, run.progress.has_head() ? answer_incomplete : outcome_unknown,
                           run.progress.has_head() ? executed::yes : executed::unknown, now);
    } else if (run.gap_deadline <= now) {
        abort_answer(it, "gap", now);
    } else {
        request_missing_bytes(it, now);
    }
}

result_code router_core::state::admit(const request_record& it, const service_config& service, time_point now) {
    using enum result_code;
    if (!is_configuration_fresh_) {
        return configuration_stale;
    }
    const auto group = access_.group_of(it.request.team);
    if (!access_.is_permitted(it.pool, group)) {
        return not_permitted;
    }
    if (!access_.has_endpoint_in_service(it.pool, group)) {
        return no_endpoint_in_service;
    }
    if (crashes_.is_refused(it.request.fingerprint)) {
        return crashes_endpoints;
    }
    auto& pool = pool_of(it.pool);
    pool.queues.set_team(it.request.team, group, ledger_.counter(team_key{it.pool, it.request.team}));
    const auto result = pool.queues.push(it.request.team, it.id, {service.max_queued_per_team, service.max_queued});
    if (result.evicted) {
        auto& evicted = requests_.at(result.evicted->sequence);
        metrics_->add("evicted_total");
        end_request(evicted, team_queue_full, evicted.combined_outcome, now);
    }
    switch (result.result) {
    case team_queues::admission::queued:
        return ok;
    case team_queues::admission::team_full:
        return team_queue_full;
    case team_queues::admission::total_full:
        break;
    }
    return pool.queues.backlogged_teams() > 1 || pool.queues.size(it.request.team) > 0 ? team_queue_full
                                                                                       : router_queue_full;
}

router_core::actions router_core::state::accept(accepted_request request, time_point now, request_id& id) {
    id = request_id{settings_.host, settings_.incarnation, next_sequence_++};
    metrics_->add("accepted_total");
    const auto* const service = config_ ? config_->find(request.service) : nullptr;
    const auto* const team = config_ ? config_->find(request.team) : nullptr;
    request_record record;
    record.id = id;
    record.request = std::move(request);
    auto code = result_code::ok;
    if (service == nullptr || team == nullptr) {
        code = service == nullptr ? result_code::unknown_service : result_code::not_permitted;
    } else {
        record.pool = service->pool;
        record.is_model_call = service->kind == service_kind::model;
        record.accepted_at = now;
        record.queue_deadline = now + std::chrono::milliseconds{service->queue_timeout_ms};
        code = admit(record, *service, now);
    }
    if (code != result_code::ok) {
        metrics_->add("refused_total", describe(code).name);
        actions_.emplace_back(answer_end{id, code, executed::no, retry_after(record, code, now)});
        return finish_event(now);
    }
    retries_.record_request(record.request.team);
    auto& it = requests_.emplace(id.sequence, std::move(record)).first->second;
    enqueue(it, false, now);
    return finish_event(now);
}

router_core::actions router_core::state::caller_gone(const request_id& id, time_point now) {
    const auto found = is_own_id(id) ? requests_.find(id.sequence) : requests_.end();
    if (found == requests_.end()) {
        return finish_event(now);
    }
    auto& it = found->second;
    if (it.phase == request_phase::running && !it.request.idempotent) {
        // The claim on the idempotency key needs the outcome, and a cancelled call might be executed only in part.
        it.has_caller_left = true;
        return finish_event(now);
    }
    auto outcome = it.combined_outcome;
    if (it.phase == request_phase::running) {
        send(it.run.agent, cancel{it.run.wire_id});
        outcome = it.run.progress.has_head() ? executed::yes : executed::unknown;
    }
    end_request(it, result_code::caller_gone, outcome, now);
    return finish_event(now);
}

} // namespace dandelionbay
