// How an exchange sends its call to endpoints, and handles suspect parts and attempts that fail or are silent.
#include "dandelionbay/proxy/exchange.hpp"

#include <algorithm>
#include <utility>

#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

namespace {

using std::chrono::milliseconds;

/*! The server may just be closing a connection that was idle for longer; calls that must not be repeated avoid it. */
constexpr duration max_idle_if_not_idempotent = milliseconds{500};
/*! Minimum silence after which a stream or another call is hedged: about twice the usual latency target. */
constexpr duration min_stream_silence_timeout = milliseconds{1'200};
constexpr duration min_call_silence_timeout = milliseconds{700};
/*! A stream is hedged this long before its caller would give up, which leaves another endpoint twice the time of a
 * queue's and a prompt's processing. Not earlier, since a healthy endpoint may continue, and two endpoints would then
 * run one stream. */
constexpr duration hedge_lead_time = milliseconds{700};
/*! Delay before the next hedge of a silent attempt after an endpoint refused or failed one. */
constexpr duration hedge_retry_delay = milliseconds{300};
/*! Allowances before an endpoint counts as silent: its backlog may take this many times the expected time, and the
 * call's own prompt may be processed as slowly as this, in tokens per ms, which is about half the usual rate. */
constexpr double backlog_margin = 1.5;
constexpr double min_prompt_tokens_per_ms = 20.0;

} // namespace

duration exchange::max_reuse_idle_time() const noexcept {
    if (route_->idempotent()) {
        return duration::max();
    }
    return route_->kind == call_kind::unsafe ? duration{} : max_idle_if_not_idempotent;
}

std::string exchange::serialize_request(const endpoint_choice& choice, time_point now) const {
    field_list fields = request_.fields;
    remove_hop_by_hop_fields(fields);
    std::erase_if(fields, [](const auto& it) { return equal_field_names(it.first, "Expect"); });
    owner_->environment().protocol->write_call(
        fields, forwarding_metadata{choice.endpoint, team_, std::max(duration{}, time_left(now)), last_event_id_});
    return write_request(request_.method, request_.target, fields, request_.body);
}

silence_timeouts exchange::silence_timeouts_for(const endpoint_choice& choice) const {
    const auto processing =
        from_ms(choice.backlog_ms * backlog_margin + choice.unread_tokens / min_prompt_tokens_per_ms);
    if (route_->kind != call_kind::streaming) {
        const auto between_events = owner_->dispatch().load(choice.endpoint).usual_answer_time();
        return {std::max(min_call_silence_timeout, between_events), processing};
    }
    const auto between_events = std::max(min_stream_silence_timeout, route_->stream_idle_timeout() - hedge_lead_time);
    return {between_events, std::max(duration{}, min_stream_silence_timeout + processing - between_events)};
}

bool exchange::has_suspect_part() const {
    return std::ranges::any_of(
        shared_parts_, [&](const service_part& it) { return owner_->part_crashes().suspected_since(it).has_value(); });
}

bool exchange::acquire_part_locks(time_point now) {
    release_part_locks();
    if (has_proven_parts_) {
        return true;
    }
    std::vector<std::uint64_t> keys;
    time_point lost_at;
    for (const auto& part : shared_parts_) {
        if (const auto at = owner_->part_crashes().suspected_since(part)) {
            keys.push_back(part.hash());
            lost_at = std::max(lost_at, *at);
        }
    }
    // A call with fewer suspects runs first: its outcome tells more about them.
    if (now < lost_at + owner_->suspect_part_delay() * static_cast<duration::rep>(keys.size())) {
        return false;
    }
    for (const auto key : keys) {
        if (!owner_->suspect_locks().try_acquire(key, ticket_, now)) {
            release_part_locks(); // Two calls that each hold a lock and wait for the other's would wait for ever.
            return false;
        }
        part_locks_.push_back(key);
    }
    return true;
}

void exchange::release_part_locks() {
    for (const auto key : std::exchange(part_locks_, {})) {
        owner_->suspect_locks().release(key, ticket_);
    }
}

void exchange::placed(const endpoint_choice& choice) {
    const auto now = owner_->now();
    choice_ = choice;
    admitted_ = choice.admitted;
    team_rank_ = choice.team;
    waited_ = now - arrived_at_;
    list_age_ = owner_->environment().view->endpoints_age(now).value_or(duration{});
    const auto release = [&] { owner_->dispatch().ended(ticket_, call_outcome::not_needed, now); };
    if (is_known_to_crash_endpoints()) { // This became known while the call waited.
        release();
        refuse_as_crashing();
        return;
    }
    if (!acquire_turn(now)) { // A copy of the call was lost while this one waited.
        release();
        wait_for_turn();
        return;
    }
    if (const auto obstacle = find_obstacle(choice, now); obstacle != send_obstacle::none) {
        release();
        handle_unsent(obstacle, now);
        return;
    }
    stage_ = stage::running;
    send_to(ticket_, choice, now);
}

exchange::send_obstacle exchange::find_obstacle(const endpoint_choice& choice, time_point now) {
    if (caller_ == nullptr || caller_->has_disconnected()) {
        return send_obstacle::caller_disconnected;
    }
    if (time_left(now) <= duration{}) {
        return send_obstacle::time_expired;
    }
    const bool is_new_call = runs_ == 0 && !response_started_; // Others continue as admitted.
    if (is_new_call && !is_access_valid(now)) {
        return send_obstacle::access_changed;
    }
    const auto& view = *owner_->environment().view;
    const auto entry = view.endpoints().find(choice.endpoint);
    if (entry == view.endpoints().end() || !view.accepts_work(entry->second)) {
        return send_obstacle::endpoint_unavailable;
    }
    if (is_new_call && !owner_->can_finish(*route_, service_, terms_.output_tokens, deadline_)) {
        return send_obstacle::stopping;
    }
    return send_obstacle::none;
}

void exchange::handle_unsent(send_obstacle obstacle, time_point now) {
    switch (obstacle) {
    case send_obstacle::caller_disconnected:
        if (caller_ != nullptr) {
            std::exchange(caller_, nullptr)->close_incomplete();
        }
        finish("caller_gone", 0);
        return;
    case send_obstacle::time_expired:
        time_out();
        return;
    case send_obstacle::stopping:
        refuse(503, result_code::stopping, short_retry_after);
        return;
    case send_obstacle::access_changed:
        if (find_access(now) && find_stream_version(now)) {
            submit(now);
        }
        return;
    case send_obstacle::endpoint_unavailable:
    case send_obstacle::none:
        submit(now);
        return;
    }
}

void exchange::send_to(ticket_id ticket, const endpoint_choice& choice, time_point now) {
    owner_->suspect_locks().mark_sent(fingerprint(), ticket_, now);
    for (const auto key : part_locks_) {
        owner_->suspect_locks().mark_sent(key, ticket_, now);
    }
    ++sends_;
    ++runs_;
    const auto it = std::make_shared<attempt>(*this, ticket, choice, now);
    attempts_.push_back(it);
    open_attempts_.add(ticket, silence_timeouts_for(choice), now);
    it->client = owner_->connect(choice, max_reuse_idle_time());
    it->client->send([this, to = it.get()] { return build_request(*to); }, request_.method == "HEAD", it.get());
}

std::string exchange::build_request(const attempt& it) {
    const auto now = owner_->now();
    --runs_; // Counts as run only once it is sent.
    const auto obstacle = find_obstacle(it.choice, now);
    ++runs_;
    if (obstacle != send_obstacle::none) {
        return {};
    }
    auto out = serialize_request(it.choice, now);
    owner_->count_sent_bytes(it.choice.endpoint, out.size());
    return out;
}

void exchange::on_failed(attempt& it, request_failure reason) {
    if (it.client == nullptr) {
        return;
    }
    const auto now = owner_->now();
    it.body = std::string{}; // Frees memory while the call waits for another endpoint.
    if (reason == request_failure::cancelled) {
        --runs_;
        end_attempt(it, call_outcome::not_needed);
        owner_->environment().metrics->add("calls_unwanted_total");
        if (attempts_.empty()) { // Otherwise the deadline is checked for the call as a whole.
            handle_unsent(find_obstacle(it.choice, now), now);
        }
        return;
    }
    failed_endpoints_.insert(it.choice.endpoint);
    if (reason == request_failure::not_sent) {
        --runs_;
        owner_->note_unreachable(it.choice.endpoint);
        end_attempt(it, call_outcome::failed);
        on_attempt_failed(it, "unreachable", false);
        return;
    }
    if (reason == request_failure::broken) {
        report_lost_run(it, now);
    }
    end_attempt(it, call_outcome::failed);
    on_attempt_failed(it, reason == request_failure::broken ? "connection_broken" : "garbage", true);
}

void exchange::end_attempt(attempt& it, call_outcome outcome) {
    const auto now = owner_->now();
    owner_->dispatch().ended(it.ticket, outcome, now);
    open_attempts_.remove(it.ticket);
    if (auto client = std::exchange(it.client, nullptr); client != nullptr && client->is_busy()) {
        client->close();
    } else if (client != nullptr) {
        owner_->pool().put(std::move(client), it.metadata.idle_timeout.value_or(duration{}), now);
    }
    std::erase_if(attempts_, [&](const auto& other) { return other.get() == &it; });
}

void exchange::on_attempt_failed(const attempt& it, std::string_view reason, bool uses_retry_budget) {
    log_attempt_failed(*owner_->environment().log, record(it), reason);
    if (attempts_.empty()) {
        retry(reason, uses_retry_budget);
    } else {
        next_poll_ = owner_->now() + hedge_retry_delay;
    }
}

void exchange::retry(std::string_view reason, bool uses_retry_budget) {
    const auto now = owner_->now();
    if (is_known_to_crash_endpoints()) {
        refuse_as_crashing();
        return;
    }
    if (!can_run_again(now) || (runs_ > 0 && owner_->losses().should_not_retry(fingerprint()))) {
        give_up(reason);
        return;
    }
    if (uses_retry_budget && !owner_->retries(service_).try_acquire(owner_->dispatch().router_count(), now)) {
        owner_->environment().metrics->add("repeats_refused_total", reason);
        give_up(reason);
        return;
    }
    owner_->environment().metrics->add("repeats_total", reason);
    submit(now);
}

void exchange::report_lost_run(const attempt& it, time_point ended) {
    const lost_run run{{it.choice.endpoint, it.choice.process_started}, it.sent_at, ended};
    owner_->note_run_lost(fingerprint(), run, it.choice.address,
                          it.has_proven_parts ? std::vector<service_part>{} : shared_parts_);
}

void exchange::report_silent_run(const attempt& it) {
    if (const auto last_data = owner_->dispatch().load(it.choice.endpoint).last_data_at(); last_data > it.sent_at) {
        report_lost_run(it, last_data);
    }
}

bool exchange::is_silent(const attempt& it, time_point now) const {
    return open_attempts_.is_silent(it.ticket, owner_->reading_since(), now) && !it.client->has_unread();
}

void exchange::hedge(time_point now) {
    next_poll_ = now + endpoint_poll_interval;
    auto& env = owner_->environment();
    const auto silent_attempt = attempts_.front();
    auto item = make_work_item();
    item.ticket = owner_->new_ticket();
    for (const auto& it : attempts_) {
        item.excluded.insert(it->choice.endpoint);
    }
    refused_by_.clear();
    // It could crash two endpoints.
    const bool is_crash_suspect = owner_->losses().is_suspected(fingerprint()) || has_suspect_part();
    if (is_crash_suspect || caller_ == nullptr || caller_->has_disconnected() || time_left(now) <= duration{} ||
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
    const auto silent_since = std::max(open_attempts_.last_activity(silent_attempt->ticket), owner_->reading_since());
    log_endpoint_silent(*env.log, record(*silent_attempt),
                        {now - silent_since, owner_->mean_lateness(),
                         owner_->dispatch().load(silent_attempt->choice.endpoint).is_stalled(now), choice->endpoint});
    env.metrics->add("repeats_total", "silent");
    choice_ = *choice;
    send_to(item.ticket, *choice, now);
}

void exchange::on_progress(attempt& it, time_point now) {
    without_endpoint_since_.reset();
    it.last_event_at = now;
    if (!std::exchange(it.has_begun, true)) {
        it.begun_at = now;
    } else if (now - it.begun_at >= part_crash_registry::proof_time) {
        note_parts_proven(it);
    }
    const auto progress = open_attempts_.record_progress(it.ticket, now);
    if (progress.obsolete.empty()) {
        return;
    }
    log_silence_ended(*owner_->environment().log, record(it), progress.taken_over);
    owner_->environment().metrics->add("silences_ended_total", progress.taken_over ? "taken_over" : "went_on");
    for (const auto ticket : progress.obsolete) {
        const auto other = *std::ranges::find(attempts_, ticket, [](const auto& open) { return open->ticket; });
        if (progress.taken_over) {
            report_silent_run(*other);
            failed_endpoints_.insert(other->choice.endpoint);
        }
        end_attempt(*other, progress.taken_over ? call_outcome::failed : call_outcome::not_needed);
    }
}

void exchange::note_parts_proven(attempt& by) {
    if (by.head->status / 100 == 2 && !std::exchange(by.has_proven_parts, true)) {
        has_proven_parts_ = true;
        owner_->note_parts_proven(shared_parts_);
        release_part_locks();
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
