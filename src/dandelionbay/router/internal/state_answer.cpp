#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

using namespace internal;

void router_core::state::handle_rejected(const host_id& from, const rejected& in, time_point now) {
    auto* const it = find_run(from, in.id, "rejected");
    if (it == nullptr) {
        return;
    }
    if (in.code == result_code::duplicate_request) {
        // Reply to a repeated submission: the agent has admitted the request before, and the run continues.
        metrics_->add("duplicate_messages_total", "submit");
        return;
    }
    if (in.grant != it->run.grant || it->run.progress.has_head()) {
        metrics_->add("late_messages_total", "rejected");
        return;
    }
    metrics_->add("rejected_total", describe(in.code).name);
    --it->attempts;
    if (crashes_.crash_count(it->request.fingerprint) > 0) {
        agents_.at(from).suspect_backoff_until = now + suspect_rejection_backoff;
    }
    if (it->has_caller_left) {
        end_rejected(*it, result_code::caller_gone, now);
    } else if (in.code == result_code::crashes_endpoints) {
        end_rejected(*it, in.code, now);
    } else {
        requeue(*it, now);
    }
}

void router_core::state::end_rejected(request_record& it, result_code code, time_point now) {
    close_run(it, it.run.account.charged(), now);
    it.phase = request_phase::backoff; // the rejected run does not affect the outcome
    end_request(it, code, it.combined_outcome, now);
}

void router_core::state::handle_head(const host_id& from, const head& in, time_point now) {
    auto* const it = find_run(from, in.id, "head");
    if (it == nullptr) {
        return;
    }
    if (!it->run.progress.accept_head()) {
        metrics_->add("duplicate_messages_total", "head");
        return;
    }
    it->run.account.charge_input(ledger_, now);
    actions_.emplace_back(answer_head{it->id, in.status, in.headers});
    finish_if_complete(*it, now);
}

void router_core::state::handle_chunk(const host_id& from, const chunk& in, time_point now) {
    auto* const it = find_run(from, in.id, "chunk");
    if (it == nullptr) {
        return;
    }
    std::string new_bytes;
    switch (it->run.progress.accept_chunk(in, new_bytes)) {
    case answer_progress::chunk_status::duplicate:
        metrics_->add("duplicate_messages_total", "chunk");
        return;
    case answer_progress::chunk_status::beyond_end:
        abort_answer(*it, "overlong", now);
        return;
    case answer_progress::chunk_status::gap:
        metrics_->add("answer_gaps_total");
        request_missing_bytes(*it, now);
        return;
    case answer_progress::chunk_status::deliver:
        break;
    }
    if (it->is_model_call) {
        it->run.account.charge_output(costs_.token_cost(0.0, in.output_tokens), ledger_, now);
    }
    if (it->run.gap_deadline != time_point::max()) {
        // Bytes arrive again; if the end was announced, the rest of the answer is still missing.
        const bool is_rest_missing = it->run.progress.announced_end().has_value();
        it->run.gap_deadline = is_rest_missing ? now + gap_timeout : time_point::max();
        it->run.next_gap_request = is_rest_missing ? now + gap_request_interval : time_point::max();
        reschedule(*it);
    }
    actions_.emplace_back(answer_data{it->id, std::move(new_bytes)});
    finish_if_complete(*it, now);
}

void router_core::state::handle_finish(const host_id& from, const finish& in, time_point now) {
    using enum result_code;
    auto* const it = find_run(from, in.id, "finish");
    if (it == nullptr) {
        return;
    }
    auto& run = it->run;
    if (in.code != ok) {
        if (in.state == executed::no && !run.progress.has_head()) {
            // The agent rejects the run after admitting it, for example because it could not reach the endpoint.
            handle_rejected(from, rejected{in.id, run.grant, in.code}, now);
            return;
        }
        const auto outcome = in.state == executed::no ? executed::unknown : in.state;
        check_invariant(in.state != executed::no, "agent_denies_a_started_run");
        handle_run_failure(*it, in.code, outcome, now);
        return;
    }
    if (run.progress.announced_end()) {
        metrics_->add("duplicate_messages_total", "finish");
    }
    if (!run.progress.accept_end(in) || run.progress.is_overlong()) {
        abort_answer(*it, "total", now);
        return;
    }
    if (!run.progress.is_complete()) {
        metrics_->add("answer_gaps_total");
        request_missing_bytes(*it, now);
        return;
    }
    finish_if_complete(*it, now);
}

double router_core::state::exact_cost(const request_record& it) const {
    const auto& end = it.run.progress.announced_end();
    if (!it.is_model_call || !end) {
        return it.run.account.charged();
    }
    const double input = end->input_tokens > 0 ? end->input_tokens : it.request.input_tokens;
    const double output = end->output_tokens;
    return costs_.token_cost(input, output);
}

void router_core::state::finish_if_complete(request_record& it, time_point now) {
    auto& run = it.run;
    if (!run.progress.is_complete()) {
        return;
    }
    check_invariant(run.progress.offset() == run.progress.announced_end()->total_bytes, "answer_length");
    const team_key key{it.pool, it.request.team};
    if (it.is_model_call) {
        costs_.observe_output(key, run.progress.announced_end()->output_tokens);
    }
    const bool was_refused = crashes_.is_refused(it.request.fingerprint);
    if (crashes_.record_completion(it.request.fingerprint, it.run.known_crashes, now)) {
        announce_suspicion(it.request.fingerprint, was_refused, host_id{});
    }
    close_run(it, exact_cost(it), now);
    it.phase = request_phase::backoff; // the run is closed
    it.combined_outcome = executed::yes;
    end_request(it, result_code::ok, executed::yes, now);
}

void router_core::state::request_missing_bytes(request_record& it, time_point now) {
    auto& run = it.run;
    if (run.gap_deadline == time_point::max()) {
        run.gap_deadline = now + gap_timeout;
    } else if (now < run.next_gap_request) {
        return;
    }
    run.next_gap_request = now + gap_request_interval;
    reschedule(it);
    metrics_->add("resumes_total", "gap");
    send(run.agent, resume{run.wire_id, run.progress.offset(), !run.progress.has_head()});
}

void router_core::state::abort_answer(request_record& it, std::string_view reason, time_point now) {
    metrics_->add("answers_broken_total", reason);
    send(it.run.agent, cancel{it.run.wire_id});
    // The endpoint sent part of an answer, so the request was executed.
    handle_run_failure(it, result_code::answer_incomplete, executed::yes, now);
}

} // namespace dandelionbay
