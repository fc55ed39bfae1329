// The attempts of an exchange: how a call is sent to endpoints, and what follows when one fails or is silent.
#include "dandelionbay/proxy/exchange.hpp"

#include <algorithm>
#include <utility>

#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

namespace {

using std::chrono::milliseconds;

/*! A connection that was idle for longer may just be closing; a call that can't be repeated takes a fresh one. */
constexpr duration short_idle = milliseconds{500};
/*! Silence beyond the expected one after which another endpoint is asked: about twice the usual target. */
constexpr duration silent_stream = milliseconds{1'200};
constexpr duration silent_call = milliseconds{700};
/*! A stream's caller that still waits has this time for the events of another endpoint: twice a queue's reading and a
 * prompt's. Before that, a sound endpoint may go on; two engines at one stream are to be avoided. */
constexpr duration time_to_begin = milliseconds{700};
/*! Time after a refusal or failure of one endpoint before the next one is asked beside a silent one. */
constexpr duration next_ask_after = milliseconds{300};
/*! A call's reading may take this much longer than expected, and its own prompt may be read as slowly as this, in
 * tokens per ms, before its endpoint counts as silent: about half the usual rate. */
constexpr double late_backlog = 1.5;
constexpr double slow_rate = 20.0;

} // namespace

duration exchange::fresh_connection_limit() const noexcept {
    if (route_->idempotent()) {
        return duration::max();
    }
    return route_->kind == call_kind::unsafe ? duration{} : short_idle;
}

std::string exchange::request_bytes(const endpoint_choice& choice, time_point now) const {
    field_list fields = request_.fields;
    remove_hop_by_hop_fields(fields);
    std::erase_if(fields, [](const auto& it) { return equal_field_names(it.first, "Expect"); });
    owner_->environment().protocol->write_call(
        fields, forwarding_metadata{choice.endpoint, team_, std::max(duration{}, time_left(now)), last_event_});
    return write_request(request_.method, request_.target, fields, request_.body);
}

silence_limits exchange::silence_limits_for(const endpoint_choice& choice) const {
    const auto reading = from_ms(choice.backlog_ms * late_backlog + choice.unread_tokens / slow_rate);
    if (route_->kind != call_kind::streaming) {
        const auto usual = owner_->dispatch().load(choice.endpoint).usual_answer_time();
        return {std::max(silent_call, usual), reading};
    }
    const auto usual = std::max(silent_stream, route_->stream_idle_timeout() - time_to_begin);
    return {usual, std::max(duration{}, silent_stream + reading - usual)};
}

void exchange::placed(const endpoint_choice& choice) {
    const auto now = owner_->now();
    choice_ = choice;
    team_rank_ = choice.team;
    waited_ = now - arrived_;
    list_age_ = owner_->environment().view->endpoints_age(now).value_or(duration{});
    const auto release = [&] { owner_->dispatch().ended(ticket_, call_outcome::not_needed, now); };
    if (crashes_endpoints()) { // That became known while it waited.
        release();
        refuse_as_crashing();
        return;
    }
    if (!take_turn(now)) { // A copy was lost while it waited.
        release();
        await_turn();
        return;
    }
    if (const auto why = bar_to(choice, now); why != send_bar::none) {
        release();
        not_sent(why, now);
        return;
    }
    stage_ = stage::running;
    send_to(ticket_, choice, now);
}

exchange::send_bar exchange::bar_to(const endpoint_choice& choice, time_point now) {
    if (caller_ == nullptr || caller_->left()) {
        return send_bar::caller_left;
    }
    if (time_left(now) <= duration{}) {
        return send_bar::too_late;
    }
    const bool new_call = runs_ == 0 && !begun_; // What an endpoint may have run goes on as it was admitted.
    if (new_call && !access_holds(now)) {
        return send_bar::access_changed;
    }
    const auto& view = *owner_->environment().view;
    const auto known = view.endpoints().find(choice.endpoint);
    if (known == view.endpoints().end() || !view.accepts_work(known->second)) {
        return send_bar::endpoint_unfit;
    }
    if (new_call && !owner_->can_finish(*route_, service_, terms_.output_tokens, limit_)) {
        return send_bar::stopping;
    }
    return send_bar::none;
}

void exchange::not_sent(send_bar why, time_point now) {
    switch (why) {
    case send_bar::caller_left:
        if (caller_ != nullptr) {
            std::exchange(caller_, nullptr)->cut();
        }
        finish("caller_gone", 0);
        return;
    case send_bar::too_late:
        time_out();
        return;
    case send_bar::stopping:
        refuse(503, result_code::stopping, short_retry_after);
        return;
    case send_bar::access_changed:
        if (find_access(now)) {
            submit(now);
        }
        return;
    case send_bar::endpoint_unfit:
    case send_bar::none:
        submit(now);
        return;
    }
}

void exchange::send_to(ticket_id ticket, const endpoint_choice& choice, time_point now) {
    owner_->turns().mark_sent(fingerprint(), ticket_, now);
    ++sends_;
    ++runs_;
    const auto it = std::make_shared<attempt>(*this, ticket, choice, now);
    attempts_.push_back(it);
    open_.sent(ticket, silence_limits_for(choice), now);
    it->client = owner_->connect(choice, fresh_connection_limit());
    it->client->send([this, to = it.get()] { return compose(*to); }, request_.method == "HEAD", it.get());
}

std::string exchange::compose(const attempt& it) {
    const auto now = owner_->now();
    --runs_; // It may run once it is sent, not before.
    const auto why = bar_to(it.choice, now);
    ++runs_;
    if (why != send_bar::none) {
        return {};
    }
    auto out = request_bytes(it.choice, now);
    owner_->count_sent_bytes(it.choice.endpoint, out.size());
    return out;
}

void exchange::on_failed(attempt& it, request_failure why) {
    if (it.client == nullptr) {
        return;
    }
    const auto now = owner_->now();
    it.body = std::string{}; // Its memory is needed while the call waits for another endpoint.
    if (why == request_failure::cancelled) {
        --runs_;
        end_attempt(it, call_outcome::not_needed);
        owner_->environment().metrics->add("calls_unwanted_total");
        if (attempts_.empty()) { // Else the time limit is looked at for the call as a whole.
            not_sent(bar_to(it.choice, now), now);
        }
        return;
    }
    excluded_.insert(it.choice.endpoint);
    if (why == request_failure::not_sent) {
        --runs_;
        owner_->note_unreachable(it.choice.endpoint);
        end_attempt(it, call_outcome::failed);
        attempt_failed(it, "unreachable", false);
        return;
    }
    if (why == request_failure::broken) {
        note_lost_run(it, now);
    }
    end_attempt(it, call_outcome::failed);
    attempt_failed(it, why == request_failure::broken ? "connection_broken" : "garbage", true);
}

void exchange::end_attempt(attempt& it, call_outcome end) {
    const auto now = owner_->now();
    owner_->dispatch().ended(it.ticket, end, now);
    open_.ended(it.ticket);
    if (auto client = std::exchange(it.client, nullptr); client != nullptr && client->is_busy()) {
        client->close();
    } else if (client != nullptr) {
        owner_->pool().put(std::move(client), it.answer.idle_timeout.value_or(duration{}), now);
    }
    std::erase_if(attempts_, [&](const auto& other) { return other.get() == &it; });
}

void exchange::attempt_failed(const attempt& it, std::string_view reason, bool counted) {
    log_attempt_failed(*owner_->environment().log, record(it), reason);
    if (attempts_.empty()) {
        try_again(reason, counted);
    } else {
        next_look_ = owner_->now() + next_ask_after;
    }
}

void exchange::try_again(std::string_view reason, bool counted) {
    const auto now = owner_->now();
    if (!may_run_again(now) || (runs_ > 0 && owner_->losses().should_not_retry(fingerprint()))) {
        give_up(reason);
        return;
    }
    if (counted && !owner_->retries(service_).try_acquire(owner_->dispatch().router_count(), now)) {
        owner_->environment().metrics->add("repeats_refused_total", reason);
        give_up(reason);
        return;
    }
    owner_->environment().metrics->add("repeats_total", reason);
    submit(now);
}

void exchange::note_lost_run(const attempt& it, time_point ended) {
    const lost_run run{{it.choice.endpoint, it.choice.process_started}, it.sent_at, ended};
    owner_->note_run_lost(fingerprint(), run, it.choice.address);
}

void exchange::note_silent_run(const attempt& it) {
    if (const auto heard = owner_->dispatch().load(it.choice.endpoint).last_data_at(); heard > it.sent_at) {
        note_lost_run(it, heard);
    }
}

bool exchange::silent(const attempt& it, time_point now) const {
    return open_.silent(it.ticket, owner_->reading_since(), now) && !it.client->has_unread();
}

void exchange::ask_another(time_point now) {
    next_look_ = now + look_interval;
    auto& env = owner_->environment();
    const auto silent_one = attempts_.front();
    auto item = work();
    item.ticket = owner_->new_ticket();
    for (const auto& it : attempts_) {
        item.excluded.insert(it->choice.endpoint);
    }
    refused_by_.clear();
    const bool may_be_at_fault = owner_->losses().is_suspected(fingerprint()); // Two endpoints might end under it.
    if (may_be_at_fault || caller_ == nullptr || caller_->left() || time_left(now) <= duration{} ||
        !owner_->dispatch().can_place(item, now)) {
        return;
    }
    if (!owner_->retries(service_).try_acquire(owner_->dispatch().router_count(), now)) {
        env.metrics->add("repeats_refused_total", "silent");
        return;
    }
    const auto choice = owner_->dispatch().try_place(item, now);
    if (!choice) {
        return;
    }
    const auto since = std::max(open_.heard_at(silent_one->ticket), owner_->reading_since());
    log_endpoint_silent(*env.log, record(*silent_one),
                        {now - since, owner_->mean_lateness(),
                         owner_->dispatch().load(silent_one->choice.endpoint).stalled(now), choice->endpoint});
    env.metrics->add("repeats_total", "silent");
    choice_ = *choice;
    send_to(item.ticket, *choice, now);
}

void exchange::went_on(attempt& it, time_point now) {
    without_endpoint_.reset();
    it.event_at = now;
    const auto change = open_.went_on(it.ticket, now);
    if (change.obsolete.empty()) {
        return;
    }
    log_silence_ended(*owner_->environment().log, record(it), change.taken_over);
    owner_->environment().metrics->add("silences_ended_total", change.taken_over ? "taken_over" : "went_on");
    for (const auto ticket : change.obsolete) {
        const auto other = *std::ranges::find(attempts_, ticket, [](const auto& open) { return open->ticket; });
        if (change.taken_over) {
            note_silent_run(*other);
            excluded_.insert(other->choice.endpoint);
        }
        end_attempt(*other, change.taken_over ? call_outcome::failed : call_outcome::not_needed);
    }
}

void exchange::drop_buffered_response() {
    const auto largest =
        std::ranges::max_element(attempts_, {}, [](const auto& it) { return it->buffered_response_bytes(); });
    if (largest != attempts_.end()) {
        const auto it = *largest;
        on_failed(*it, request_failure::malformed_response);
    }
}

std::size_t exchange::buffered_response_bytes() const noexcept {
    std::size_t out = failure_ ? failure_->body.size() : 0;
    for (const auto& it : attempts_) {
        out += it->buffered_response_bytes();
    }
    return out;
}

} // namespace dandelionbay
