#include <algorithm>

#include "dandelionbay/agent/agent_state.hpp"

namespace dandelionbay {

namespace {

// Share of the newest value in the moving averages.
constexpr double smoothing = 0.1;

double smooth(double mean, double value) {
    return mean + smoothing * (value - mean);
}

// Cost of a request in cost units, with the default weights of the cost model.
double cost(const submit& work, const finish& end) {
    constexpr double kib = 1024.0;
    return work.model_call ? end.input_tokens + 2.0 * end.output_tokens
                           : 1.0 + static_cast<double>(end.total_bytes) / kib;
}

} // namespace

bool agent_core::state::is_linked(const host_id& router) const {
    const auto it = links_.find(router);
    return it != links_.end() && it->second.up;
}

void agent_core::state::broadcast(const message& body, actions& out) const {
    for (const auto& [router, link] : links_) {
        if (link.up) {
            out.emplace_back(send_message{router, body});
        }
    }
}

void agent_core::state::drop_answer(const request_id& id) {
    const auto it = ended_.find(id);
    if (it != ended_.end()) {
        ended_by_time_.erase({it->second.ended, id});
        ended_bytes_ -= it->second.answer.size();
        ended_.erase(it);
    }
}

agent_core::state::run_state* agent_core::state::find_run(const request_id& id) {
    if (const auto it = runs_.find(id); it != runs_.end()) {
        return &it->second;
    }
    const auto it = ended_.find(id);
    return it != ended_.end() ? &it->second : nullptr;
}

void agent_core::state::end_run(run_map::iterator it, result_code code, executed outcome, time_point now,
                                actions& out) {
    auto node = runs_.extract(it);
    auto& run = node.mapped();
    run.ended = now;
    run.end = finish{.id = node.key(),
                     .code = code,
                     .state = outcome,
                     .total_bytes = run.answer.total_bytes(),
                     .input_tokens = run.input_tokens,
                     .output_tokens = run.answer.total_tokens()};
    metrics_.add("runs_ended_total", describe(code).name);
    const auto bytes = static_cast<double>(run.answer.total_bytes() + run.request_bytes);
    if (run.remote) {
        remote_budget_.charge(bytes - run.remote_bytes, now);
    }
    if (code == result_code::ok) {
        mean_cost_ = smooth(mean_cost_, cost(run.work, *run.end));
        mean_bytes_ = smooth(mean_bytes_, bytes);
    }
    if (run.abandoned) {
        return;
    }
    if (run.attached) {
        run.end_sent = true;
        out.emplace_back(send_message{node.key().router, *run.end});
    }
    ended_bytes_ += run.answer.size();
    ended_by_time_.emplace(now, node.key());
    ended_.insert(std::move(node));
}

void agent_core::state::end_unstarted(run_map::iterator it, time_point now, actions& out) {
    auto& run = it->second;
    if (run.has_head || run.answer.total_bytes() > 0) {
        // It answered, so it did run.
        end_run(it, result_code::endpoint_failed, executed::unknown, now, out);
        return;
    }
    // The id may be admitted again under another grant, because the request provably did not run.
    admitted_.erase(it->first);
    if (!run.attached || run.abandoned) {
        end_run(it, result_code::endpoint_unavailable, executed::no, now, out);
        return;
    }
    if (run.remote) {
        remote_budget_.charge(-run.remote_bytes, now);
    }
    reject(it->first.router, run.work, result_code::endpoint_unavailable, out);
    runs_.erase(it);
}

void agent_core::state::record_suspect(std::uint64_t fingerprint, crash_id id, time_point now, actions& out) {
    if (suspicions_.record_crash(fingerprint, id, now)) {
        broadcast(suspicions_.suspicion_of(fingerprint), out);
    }
}

void agent_core::state::handle_crash(time_point now, actions& out) {
    metrics_.add("endpoint_crashes_total");
    crashed_process_ = process_;
    const auto id = make_crash_id(settings_.host, settings_.incarnation, ++crash_sequence_);
    for (const auto& it : broken_runs_) {
        if (it.ended + internal::crash_window >= now) {
            record_suspect(it.fingerprint, id, now, out);
        }
    }
    broken_runs_.clear();
    while (!runs_.empty()) {
        const auto it = runs_.begin();
        record_suspect(it->second.work.fingerprint, id, now, out);
        end_run(it, result_code::endpoint_failed, executed::unknown, now, out);
    }
    orphaned_runs_ = 0;
    mark_endpoint_lost(now, out);
}

void agent_core::state::request_cancel(run_state& run, result_code why, actions& out) {
    if (run.cancel_reason == result_code::ok) {
        run.cancel_reason = why;
        out.emplace_back(cancel_run{run.work.id});
    }
}

void agent_core::state::run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers,
                                 time_point now, actions& out) {
    const auto it = runs_.find(id);
    if (it == runs_.end()) {
        metrics_.add("late_messages_total", "run_head");
        return;
    }
    static_cast<void>(record_contact(now));
    auto& run = it->second;
    run.has_head = true;
    run.response_head = head{.id = id, .status = status, .headers = std::move(headers)};
    if (run.attached && !run.abandoned) {
        out.emplace_back(send_message{id.router, run.response_head});
    }
}

bool agent_core::state::run_data(const request_id& id, std::string data, std::uint32_t tokens, time_point now,
                                 actions& out) {
    const auto it = runs_.find(id);
    if (it == runs_.end()) {
        metrics_.add("late_messages_total", "run_data");
        return false;
    }
    const bool resumed = record_contact(now);
    auto& run = it->second;
    const auto limit_before = ramp_.limit();
    if (!run.has_output && (tokens > 0 || !data.empty())) {
        run.has_output = true;
        if (run.work.model_call) {
            ramp_.record_first_token(run.started, now);
        }
    }
    const auto offset = run.answer.total_bytes();
    run.answer.append(data, tokens);
    if (run.attached && !run.abandoned) {
        out.emplace_back(send_message{
            id.router, chunk{.id = id, .offset = offset, .data = std::move(data), .output_tokens = tokens}});
    }
    return resumed || ramp_.limit() != limit_before;
}

void agent_core::state::run_broke(const request_id& id) {
    has_unexplained_break_ = has_unexplained_break_ || runs_.contains(id);
}

void agent_core::state::run_ended(const request_id& id, run_end end, std::uint32_t input_tokens, time_point now,
                                  actions& out) {
    const auto it = runs_.find(id);
    if (it == runs_.end()) {
        metrics_.add("late_messages_total", "run_ended");
        return;
    }
    auto& run = it->second;
    run.input_tokens = input_tokens;
    switch (end) {
    case run_end::complete:
        if (!run.work.model_call) {
            ramp_.record_completion(run.started, now);
        }
        if (suspicions_.record_completion(run.work.fingerprint, run.known_crashes, now)) {
            broadcast(suspicions_.suspicion_of(run.work.fingerprint), out);
        }
        end_run(it, result_code::ok, executed::yes, now, out);
        break;
    case run_end::not_started:
        end_unstarted(it, now, out);
        // A refused connection usually means a process that ended, and its successor is cold.
        endpoint_lost(now, out);
        break;
    case run_end::refused:
        end_unstarted(it, now, out);
        ramp_.reset(now);
        paused_until_ = std::max(paused_until_.value_or(now), now + internal::refusal_backoff);
        break;
    case run_end::connection_lost:
        broken_runs_.push_back(broken_run{run.work.fingerprint, now});
        while (broken_runs_.front().ended + internal::crash_window < now) {
            broken_runs_.pop_front();
        }
        end_run(it, result_code::endpoint_failed, executed::unknown, now, out);
        break;
    case run_end::crashed:
        handle_crash(now, out);
        break;
    case run_end::cancelled:
        end_run(it, run.cancel_reason != result_code::ok ? run.cancel_reason : result_code::endpoint_failed,
                executed::unknown, now, out);
        break;
    case run_end::timed_out:
        end_run(it, result_code::deadline_exceeded, executed::unknown, now, out);
        break;
    }
}

void agent_core::state::resume_answer(const host_id& from, const resume& it, actions& out) {
    const auto link = links_.find(from);
    auto* const run = find_run(it.id);
    const bool own = it.id.router == from && link != links_.end() && link->second.up &&
                     link->second.peer.incarnation == it.id.incarnation;
    if (own && run == nullptr && admitted_.never_admitted(it.id)) {
        // The submission was lost with the former link. A late copy has no grant, because these were dropped with it.
        metrics_.add("resume_failed_total", "never_admitted");
        out.emplace_back(
            send_message{from, finish{.id = it.id, .code = result_code::grant_unknown, .state = executed::no}});
        return;
    }
    const bool known = run != nullptr && own && !run->abandoned;
    const auto pieces = known ? run->answer.replay(it.offset) : std::nullopt;
    if (!pieces.has_value()) {
        metrics_.add("resume_failed_total", known ? "offset" : "unknown_run");
        finish answer{.id = it.id, .code = result_code::resume_failed, .state = executed::unknown};
        if (known) {
            answer.state = run->end.has_value() ? run->end->state : executed::unknown;
            answer.total_bytes = run->answer.total_bytes();
            run->abandoned = true;
            if (run->end.has_value()) {
                drop_answer(it.id);
            } else if (run->work.idempotent) {
                request_cancel(*run, result_code::resume_failed, out);
            }
        }
        out.emplace_back(send_message{from, answer});
        return;
    }
    run->attached = true;
    metrics_.add("resumed_total");
    if (it.need_head && run->has_head) {
        out.emplace_back(send_message{from, run->response_head});
    }
    for (const auto& piece : *pieces) {
        out.emplace_back(send_message{
            from, chunk{.id = it.id, .offset = piece.offset, .data = piece.data, .output_tokens = piece.tokens}});
    }
    if (run->end.has_value()) {
        run->end_sent = true;
        out.emplace_back(send_message{from, *run->end});
    }
}

void agent_core::state::check_runs(time_point now, actions& out) {
    bool late = false;
    for (auto& [id, run] : runs_) {
        if (now >= run.deadline) {
            request_cancel(run, result_code::deadline_exceeded, out);
        }
        if (run.work.model_call && !run.has_output && !run.is_overdue && ramp_.is_overdue(run.started, now)) {
            run.is_overdue = true;
            late = true;
        }
        const auto link = links_.find(id.router);
        const bool gone =
            link == links_.end() || (!link->second.up && now - link->second.down_since >= internal::resume_window);
        if (gone && run.work.idempotent && run.cancel_reason == result_code::ok) {
            run.abandoned = true;
            request_cancel(run, result_code::caller_gone, out);
        }
    }
    if (late) {
        metrics_.add("slow_first_token_total");
        ramp_.reset(now);
    }
}

void agent_core::state::expire_answers(time_point now) {
    while (!ended_by_time_.empty()) {
        const auto [ended, id] = *ended_by_time_.begin();
        if (ended + internal::answer_retention > now && ended_bytes_ <= internal::max_retained_bytes) {
            break;
        }
        drop_answer(id);
    }
}

} // namespace dandelionbay
