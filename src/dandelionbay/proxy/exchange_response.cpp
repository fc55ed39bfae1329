// How an exchange handles endpoints' responses and forwards them to the caller.
#include "dandelionbay/proxy/exchange.hpp"

#include <utility>

#include "dandelionbay/base/section_timer.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

namespace {

/*! Tells whether the body of a response is a stream of events. */
[[nodiscard]] bool is_event_stream(const response_head& head) {
    constexpr int status_ok = 200;
    const auto type = find_field(head.fields, "Content-Type");
    return head.status == status_ok && equal_field_names(type.substr(0, type.find(';')), "text/event-stream");
}

} // namespace

void exchange::apply_endpoint_hints(const attempt& it) {
    const auto& env = owner_->environment();
    const auto now = owner_->now();
    const auto& choice = it.choice;
    if (it.metadata.leaving && env.view->note_leaving({choice.endpoint, choice.process_started}, now)) {
        env.metrics->add("endpoints_leaving_total", "answer");
        env.log->write(log_level::info, "endpoint_leaving",
                       {{"endpoint", choice.endpoint.value}, {"request", terms_.id}, {"from", "answer"}});
    }
    if (it.metadata.pause > duration{}) {
        owner_->dispatch().pause(choice.endpoint, now + it.metadata.pause);
        env.metrics->add("endpoint_pauses_total");
        env.log->write(log_level::info, "endpoint_pauses",
                       {{"endpoint", choice.endpoint.value},
                        {"request", terms_.id},
                        {"for_ms", std::to_string(static_cast<std::int64_t>(to_ms(it.metadata.pause)))}});
    }
}

bool exchange::on_head(attempt& it, const response_head& head) {
    const auto& env = owner_->environment();
    const auto metadata = env.protocol->read_response(head);
    if (!metadata.id.empty() && metadata.id != terms_.id) {
        env.metrics->add("foreign_answers_total");
        return false;
    }
    if (metadata.id.empty()) { // Endpoints name the call in each response; this may be a copy of an earlier one.
        env.metrics->add("nameless_answers_total");
        return false;
    }
    it.head = head;
    it.metadata = metadata;
    apply_endpoint_hints(it);
    const auto now = owner_->now();
    owner_->dispatch().data_received(it.choice.endpoint, now);
    if (metadata.cold_for) {
        env.view->note_cold(it.choice.endpoint, *metadata.cold_for, now);
    }
    it.is_continuation = response_started_;
    it.is_streaming = route_->kind == call_kind::streaming && head.status / 100 == 2 && metadata.has_signature &&
                      !metadata.encoded && (!it.is_continuation || is_event_stream(head));
    return true;
}

void exchange::begin_stream(const attempt& it) {
    response_started_ = true;
    failure_.reset();
    first_event_at_ = owner_->now();
    owner_->first_answer().add(*first_event_at_ - arrived_at_);
    note_begun(*first_event_at_);
    if (caller_ != nullptr) {
        auto head = *it.head;
        remove_hop_by_hop_fields(head.fields);
        caller_->begin_response(std::move(head));
    }
}

void exchange::send_events(attempt& it) {
    while (auto event = it.scanner.next()) {
        if (event->id && last_event_id_ && *event->id <= *last_event_id_) {
            continue; // The caller has this event from an earlier attempt.
        }
        // An event that doesn't continue this stream must not reach the caller.
        if ((it.is_continuation && !event->id) ||
            (event->id && last_event_id_ && response_started_ && *event->id != *last_event_id_ + 1)) {
            owner_->environment().metrics->add("stream_gaps_total");
            on_failed(it, request_failure::malformed_response);
            return;
        }
        const auto now = owner_->now();
        owner_->dispatch().started(it.ticket, now);
        if (event->id) {
            last_event_id_ = event->id;
        }
        if (!response_started_) {
            note_stream_version(it, now);
            begin_stream(it);
        } else {
            owner_->note_event_gap(now - it.last_event_at);
        }
        on_progress(it, now);
        if (caller_ != nullptr) {
            caller_->send_body(event->text);
        }
    }
    if (caller_ != nullptr && it.client != nullptr && caller_->unsent_bytes() > max_unsent_bytes) {
        it.is_paused = true;
        it.client->pause_reading(true);
    }
}

void exchange::on_body(attempt& it, std::string_view bytes) {
    const auto& env = owner_->environment();
    const section_timer timed{*env.time, *env.metrics, "answers"};
    owner_->dispatch().data_received(it.choice.endpoint, owner_->now());
    if (it.is_streaming) {
        it.scanner.append(bytes);
    } else {
        it.body += bytes;
        open_attempts_.record_activity(it.ticket, owner_->now());
    }
    if (it.buffered_response_bytes() > max_buffered_response_bytes) {
        on_failed(it, request_failure::malformed_response);
        return;
    }
    if (it.is_streaming) {
        send_events(it);
    }
    if (it.client != nullptr && it.buffered_response_bytes() > large_response_bytes) {
        owner_->limit_held_answers();
    }
}

void exchange::on_complete(attempt& it) {
    if (it.client == nullptr) {
        return;
    }
    if (it.is_streaming) {
        complete_stream(it);
    } else {
        complete_buffered(it);
    }
}

void exchange::complete_stream(attempt& it) {
    const auto rest = it.scanner.partial_event();
    const bool ended_by_close =
        !has_field(it.head->fields, "Content-Length") && !has_field(it.head->fields, "Transfer-Encoding");
    // An endpoint that closes gracefully does so between events.
    if ((ended_by_close || it.is_continuation) && !rest.empty()) {
        on_failed(it, request_failure::broken);
        return;
    }
    const auto now = owner_->now();
    owner_->dispatch().started(it.ticket, now);
    on_progress(it, now);
    if (!ended_by_close) { // Otherwise the end of the process may look like the end of the stream.
        note_parts_proven(it);
    }
    owner_->note_run_answered(fingerprint());
    end_attempt(it, call_outcome::answered);
    if (!response_started_) {
        begin_stream(it);
    }
    if (caller_ != nullptr) {
        caller_->send_body(rest);
        std::exchange(caller_, nullptr)->end_response();
    }
    finish("served", it.head->status);
}

void exchange::complete_buffered(attempt& it) {
    if (it.metadata.wrong_endpoint) {
        --runs_;
        failed_endpoints_.insert(it.choice.endpoint);
        owner_->dispatch().unreachable(it.choice.endpoint, owner_->now());
        end_attempt(it, call_outcome::answered);
        on_attempt_failed(it, "wrong_endpoint", true);
        return;
    }
    if (it.metadata.not_run) {
        --runs_;
        refused_by_.insert(it.choice.endpoint);
        end_attempt(it, call_outcome::failed);
        on_attempt_failed(it, "rejected", true);
        return;
    }
    const int status = it.head->status;
    const bool success = status / 100 == 2;
    if (success && (!it.metadata.has_signature || it.metadata.encoded)) {
        failed_endpoints_.insert(it.choice.endpoint);
        end_attempt(it, call_outcome::failed);
        on_attempt_failed(it, "unsigned_answer", true);
        return;
    }
    if (!success && implies_not_run(status)) {
        failed_endpoints_.insert(it.choice.endpoint);
        end_attempt(it, call_outcome::failed); // It doesn't state "not run", so it must not be forwarded.
        on_attempt_failed(it, "unclear_refusal", true);
        return;
    }
    constexpr int status_too_late = 504;
    const bool has_other_attempt = attempts_.size() > 1;
    const auto now = owner_->now();
    if (has_other_attempt && (response_started_ || status >= 500)) {
        handle_endpoint_error(it);
    } else if ((response_started_ || (status >= 500 && status != status_too_late)) && can_run_again(now) &&
               owner_->retries(service_).try_acquire(owner_->dispatch().router_count(), now)) {
        owner_->environment().metrics->add("repeats_total", "endpoint_error");
        handle_endpoint_error(it);
    } else {
        forward_response(it);
    }
}

void exchange::handle_endpoint_error(attempt& it) {
    failed_endpoints_.insert(it.choice.endpoint);
    end_attempt(it, call_outcome::failed);
    log_attempt_failed(*owner_->environment().log, record(it), "endpoint_error");
    if (!response_started_ && it.body.size() <= max_saved_failure_bytes) {
        failure_ = saved_failure{*it.head, std::move(it.body)};
        remove_hop_by_hop_fields(failure_->head.fields);
    }
    if (attempts_.empty()) {
        submit(owner_->now());
    }
}

void exchange::forward_response(attempt& it) {
    const int status = it.head->status;
    const auto now = owner_->now();
    owner_->dispatch().started(it.ticket, now);
    on_progress(it, now);
    if (status / 100 == 2) {
        note_parts_proven(it);
        owner_->note_run_answered(fingerprint());
    }
    end_attempt(it, status >= 500 ? call_outcome::failed : call_outcome::answered);
    if (response_started_) { // The response to a resumed stream is not a stream.
        give_up("endpoint_error");
        return;
    }
    auto head = *it.head;
    remove_hop_by_hop_fields(head.fields);
    owner_->first_answer().add(now - arrived_at_);
    if (caller_ != nullptr) {
        std::exchange(caller_, nullptr)->respond(std::move(head), it.body);
    }
    finish(status / 100 == 2 ? "served" : "failed_by_endpoint", status);
}

} // namespace dandelionbay
