// The answers of endpoints to an exchange: what they say, and how they are passed on.
#include "dandelionbay/proxy/exchange.hpp"

#include <utility>

#include "dandelionbay/base/section_timer.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

namespace {

/*! Tells whether the body of an answer is a series of events. */
[[nodiscard]] bool is_event_stream(const response_head& head) {
    constexpr int status_ok = 200;
    const auto type = find_field(head.fields, "Content-Type");
    return head.status == status_ok && same_field(type.substr(0, type.find(';')), "text/event-stream");
}

} // namespace

void exchange::note_wishes(const answer_terms& answer) {
    const auto& env = owner_->environment();
    const auto now = owner_->now();
    if (answer.leaving && env.view->note_leaving({choice_.endpoint, choice_.process_started}, now)) {
        env.metrics->add("endpoints_leaving_total", "answer");
        env.log->write(log_level::info, "endpoint_leaving",
                       {{"endpoint", choice_.endpoint.value}, {"request", terms_.id}, {"from", "answer"}});
    }
    if (answer.pause > duration{}) {
        owner_->dispatch().pause(choice_.endpoint, now + answer.pause);
        env.metrics->add("endpoint_pauses_total");
        env.log->write(log_level::info, "endpoint_pauses",
                       {{"endpoint", choice_.endpoint.value},
                        {"request", terms_.id},
                        {"for_ms", std::to_string(static_cast<std::int64_t>(to_ms(answer.pause)))}});
    }
}

bool exchange::on_head(const response_head& head) {
    const auto& env = owner_->environment();
    const auto answer = env.protocol->read_answer(head);
    if (!answer.id.empty() && answer.id != terms_.id) {
        env.metrics->add("foreign_answers_total");
        return false;
    }
    if (answer.id.empty()) { // Endpoints name the call of each answer; this may be a copy of an earlier one.
        env.metrics->add("nameless_answers_total");
        return false;
    }
    note_wishes(answer);
    const auto now = owner_->now();
    owner_->dispatch().heard(choice_.endpoint, now);
    head_ = head;
    answer_ = answer;
    if (answer_.cold_for) {
        env.view->note_cold(choice_.endpoint, *answer_.cold_for, now);
    }
    goes_on_ = begun_;
    streaming_ = route_->kind == call_kind::streaming && head.status / 100 == 2 && answer_.sealed && !answer_.encoded &&
                 (!goes_on_ || is_event_stream(head));
    return true;
}

void exchange::begin_stream() {
    begun_ = true;
    first_event_at_ = owner_->now();
    owner_->first_answer().add(*first_event_at_ - arrived_);
    if (caller_ != nullptr) {
        auto head = *head_;
        remove_hop_fields(head.fields);
        caller_->begin(std::move(head));
    }
}

void exchange::send_events() {
    while (auto event = scanner_.next()) {
        if (event->id && last_event_ && *event->id <= *last_event_) {
            continue; // The caller has it from an earlier run.
        }
        if ((goes_on_ && !event->id) ||
            (event->id && last_event_ && begun_ && *event->id != *last_event_ + 1)) { // No part of this stream.
            owner_->environment().metrics->add("stream_gaps_total");
            on_failed(request_failure::garbage);
            return;
        }
        owner_->dispatch().started(ticket_, owner_->now());
        if (event->id) {
            last_event_ = event->id;
        }
        if (!begun_) {
            begin_stream();
        } else {
            owner_->note_event_gap(owner_->now() - sent_at_);
        }
        sent_at_ = owner_->now();
        if (caller_ != nullptr) {
            caller_->send(event->text);
        }
    }
    if (caller_ != nullptr && client_ != nullptr && caller_->unsent() > unsent_limit) {
        paused_ = true;
        client_->pause_reading(true);
    }
}

void exchange::on_body(std::string bytes) {
    const auto self = shared_from_this(); // Events may end the call.
    const auto& env = owner_->environment();
    const section_timer timed{*env.time, *env.metrics, "answers"};
    owner_->dispatch().heard(choice_.endpoint, owner_->now());
    if (streaming_) {
        scanner_.append(bytes);
    } else {
        body_ += bytes;
    }
    if (held_answer() > held_bytes) {
        on_failed(request_failure::garbage);
        return;
    }
    if (streaming_) {
        send_events();
    }
    if (stage_ == stage::running && held_answer() > large_answer) {
        owner_->limit_held_answers();
    }
}

void exchange::on_complete() {
    if (stage_ != stage::running) {
        return;
    }
    if (streaming_) {
        complete_stream();
    } else {
        complete_whole();
    }
}

void exchange::complete_stream() {
    const auto rest = scanner_.rest();
    const bool ended_by_close =
        !has_field(head_->fields, "Content-Length") && !has_field(head_->fields, "Transfer-Encoding");
    if ((ended_by_close || goes_on_) && !rest.empty()) { // An endpoint that ends in order does so between events.
        on_failed(request_failure::broken);
        return;
    }
    owner_->dispatch().started(ticket_, owner_->now());
    owner_->run_answered(fingerprint());
    end_attempt(false);
    if (!begun_) {
        begin_stream();
    }
    if (caller_ != nullptr) {
        caller_->send(rest);
        std::exchange(caller_, nullptr)->end();
    }
    finish("served", head_->status);
}

void exchange::complete_whole() {
    const int status = head_->status;
    if (answer_.not_run || answer_.wrong_endpoint) {
        --runs_;
        if (answer_.wrong_endpoint) {
            owner_->dispatch().unreachable(choice_.endpoint, owner_->now());
        }
        end_attempt(!answer_.wrong_endpoint);
        try_again(answer_.wrong_endpoint ? "wrong_endpoint" : "rejected", true);
        return;
    }
    const bool success = status / 100 == 2;
    if (success && (!answer_.sealed || answer_.encoded)) {
        end_attempt(true);
        try_again("unsigned_answer", true);
        return;
    }
    if (!success && promises_not_run(status)) {
        end_attempt(true); // The endpoint does not say that it has not run, so this must not be passed on.
        try_again("unclear_refusal", true);
        return;
    }
    const auto now = owner_->now();
    if (status >= 500 && status != 504 && !begun_ && may_run_again(now) &&
        owner_->repeats(service_).take(owner_->dispatch().routers(), now)) {
        end_attempt(true);
        excluded_.insert(choice_.endpoint);
        owner_->environment().metrics->add("repeats_total", "endpoint_error");
        submit(now);
        return;
    }
    answer_whole();
}

void exchange::answer_whole() {
    const int status = head_->status;
    owner_->dispatch().started(ticket_, owner_->now());
    if (status / 100 == 2) {
        owner_->run_answered(fingerprint());
    }
    end_attempt(status >= 500);
    if (begun_) { // A resumed stream was answered by something else.
        give_up("endpoint_error");
        return;
    }
    auto head = *head_;
    remove_hop_fields(head.fields);
    owner_->first_answer().add(owner_->now() - arrived_);
    if (caller_ != nullptr) {
        std::exchange(caller_, nullptr)->respond(std::move(head), body_);
    }
    finish(status / 100 == 2 ? "served" : "failed_by_endpoint", status);
}

} // namespace dandelionbay
