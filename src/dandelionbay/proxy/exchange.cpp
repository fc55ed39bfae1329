#include "dandelionbay/proxy/exchange.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"
#include "dandelionbay/base/fingerprint.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/error_body.hpp"
#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/proxy.hpp"

namespace dandelionbay {

namespace {

using std::chrono::milliseconds;

/*! For calls that state no time limit; in effect the route's limit applies. */
constexpr duration default_time_left = std::chrono::hours{1};
/*! How long after the deadline received but unread bytes of a response are still read. */
constexpr duration unread_response_grace_period = milliseconds{250};

[[nodiscard]] response_head refusal_head(int status, duration retry_after) {
    response_head out;
    out.status = status;
    out.fields.emplace_back("Content-Type", "application/json");
    if (retry_after > duration{}) {
        out.fields.emplace_back("Retry-After",
                                absl::StrFormat("%.2f", std::chrono::duration<double>{retry_after}.count()));
    }
    return out;
}

} // namespace

exchange::exchange(proxy& owner, caller_connection& caller, http_request request, ticket_id ticket,
                   const request_times& times)
    : owner_{&owner}, caller_{&caller}, request_{std::move(request)}, ticket_{ticket}, arrived_at_{times.first_byte},
      received_at_{times.last_byte}, read_delay_{owner.now() - times.last_byte} {}

duration exchange::time_left(time_point now) const noexcept {
    return deadline_ - now;
}

bool exchange::can_run_again(time_point now) const noexcept {
    const bool allowed = runs_ == 0 || (route_->idempotent() && runs_ < route_->max_attempts);
    // Without event ids there is no position to resume from.
    const bool resumable = !response_started_ || last_event_id_;
    return allowed && resumable && caller_ != nullptr &&
           sends_ < (response_started_ ? max_sends_after_start : max_sends) && time_left(now) > min_time_left;
}

bool exchange::admit(time_point now) {
    terms_ = owner_->environment().protocol->read_call(request_.fields);
    if (owner_->environment().view->config() == nullptr) {
        refuse(503, result_code::configuration_stale, default_retry_after);
        return false;
    }
    if (owner_->buffered_bytes() > owner_->options().max_buffered_bytes) {
        refuse(503, result_code::router_queue_full, default_retry_after);
        return false;
    }
    if (terms_.id.empty()) {
        refuse(400, result_code::malformed_request, {});
        return false;
    }
    if (!find_access(now)) {
        return false;
    }
    if (!owner_->can_finish(*route_, service_, terms_.output_tokens, deadline_)) {
        refuse(503, result_code::stopping, short_retry_after);
        return false;
    }
    last_event_id_ = terms_.resume_after;
    return true;
}

bool exchange::find_access(time_point now) {
    const auto& view = *owner_->environment().view;
    config_ = view.config();
    team_ = {};
    team_regions_.clear();
    route_ = config_->find_route(request_.host, request_.path());
    const bool are_keys_fresh = view.are_keys_fresh(now);
    if (!are_keys_fresh && (route_ == nullptr || !route_->is_public)) {
        refuse(503, result_code::configuration_stale, default_retry_after);
        return false;
    }
    if (route_ == nullptr) {
        refuse(404, result_code::unknown_service, {});
        return false;
    }
    if (!route_->is_public && !config_->teams.empty()) {
        const auto* const team = config_->find_team(terms_.key);
        if (team == nullptr) {
            refuse(401, result_code::invalid_token, {});
            return false;
        }
        team_ = team->id;
        team_regions_ = team->home_regions;
    }
    deadline_ = arrived_at_ + std::min(terms_.time_left.value_or(default_time_left), route_->time_limit);
    service_ = pick_service(now);
    shared_parts_.clear();
    const auto service = fingerprint_of({service_.value});
    for (const auto& it : shared_parts(terms_.parts)) {
        shared_parts_.push_back(service_part{service, it.id});
    }
    return true;
}

bool exchange::is_access_valid(time_point now) {
    const auto& view = *owner_->environment().view;
    if (!route_->is_public && !view.are_keys_fresh(now)) {
        return false;
    }
    const auto next = view.config();
    if (next == config_) {
        return true;
    }
    const auto* const route = next->find_route(request_.host, request_.path());
    const auto* const team = next->find_team(terms_.key);
    const bool known = team != nullptr || next->teams.empty();
    const bool same_team = known && (team == nullptr ? team_id{} : team->id) == team_ &&
                           (team == nullptr ? std::vector<region_id>{} : team->home_regions) == team_regions_;
    if (route == nullptr || *route != *route_ || (!route->is_public && !same_team)) {
        return false;
    }
    config_ = next;
    route_ = route;
    return true;
}

void exchange::reject_overloaded(duration retry_after, time_point now) {
    static const auto body = error_body(result_code::router_overloaded, executed::no);
    owner_->dispatch().usage().add_turned_away(team_, cost_, now);
    caller_->close_after_response();
    std::exchange(caller_, nullptr)->respond(refusal_head(503, retry_after), body);
    const auto name = describe(result_code::router_overloaded).name;
    owner_->environment().metrics->add("refused_total", name);
    owner_->environment().metrics->add("calls_total", name);
    stage_ = stage::done;
    note_end(false, false); // Refusals for overload are logged as one line for all of them.
    owner_->close_exchange(ticket_);
}

void exchange::start() {
    const auto now = owner_->now();
    if (admit(now)) {
        cost_ = cost_of(terms_.parts, terms_.prompt_tokens, terms_.output_tokens);
        is_counted_ = true;
        note_activity({.arrived = 1, .arrived_cost = cost_, .largest_cost = cost_});
        owner_->enqueue_call({ticket_, team_, cost_, received_at_, route_->target_latency});
    }
}

void exchange::begin(time_point now) {
    if (is_known_to_crash_endpoints()) {
        refuse_as_crashing();
        return;
    }
    caller_->on_call_begun();
    owner_->retries(service_).record_call(now);
    if (find_stream_version(now)) {
        submit(now);
    }
}

work_item exchange::make_work_item() const {
    work_item item;
    item.ticket = ticket_;
    item.team = team_;
    item.service = service_;
    item.parts = terms_.parts;
    item.prompt_tokens = terms_.prompt_tokens;
    item.output_tokens = terms_.output_tokens;
    item.target = route_->target_latency;
    item.arrived = arrived_at_;
    item.route_regions = route_->home_regions;
    item.team_regions = team_regions_;
    item.excluded = failed_endpoints_;
    item.excluded.insert(refused_by_.begin(), refused_by_.end());
    item.version = stream_version_;
    item.is_stream = route_->kind == call_kind::streaming;
    item.has_begun = has_begun_before_;
    return item;
}

void exchange::submit(time_point now) {
    stage_ = stage::waiting;
    if (!acquire_turn(now)) {
        wait_for_turn();
        return;
    }
    auto item = make_work_item();
    const bool is_new = runs_ == 0 && !response_started_;
    if (is_new && !has_begun_before_) {
        owner_->dispatch().submit(std::move(item), now);
        return;
    }
    // Queueing behind new calls would end in a cut stream or an unclear result, and streams that callers resume have
    // fewer endpoints to choose from.
    if (const auto choice = owner_->dispatch().try_place(item, now)) {
        placed(*choice);
    } else if (is_new) {
        owner_->dispatch().submit(std::move(item), now);
    } else {
        wait_for_endpoint(now);
    }
}

void exchange::wait_for_endpoint(time_point now) {
    without_endpoint_since_ = without_endpoint_since_.value_or(now);
    refused_by_.clear();
    if (response_started_) {
        failed_endpoints_.clear(); // Retrying an endpoint that failed the call is better than cutting the stream.
    }
    const bool is_overdue = now - *without_endpoint_since_ >= endpoint_wait_timeout;
    // An endpoint that ended may be back soon, but hardly one of a version that is being replaced.
    const bool may_come = response_started_ && !owner_->stream_versions().is_mixed(service_, now);
    if (is_overdue || !can_run_again(now) || !(may_come || owner_->dispatch().has_endpoint(make_work_item(), now))) {
        give_up("no_endpoint");
        return;
    }
    is_waiting_for_endpoint_ = true;
    next_poll_ = now + endpoint_poll_interval;
}

bool exchange::acquire_turn(time_point now) {
    const auto& losses = owner_->losses();
    if (!losses.is_suspected(fingerprint())) {
        return acquire_part_locks(now);
    }
    const bool must_wait =
        losses.is_recently_lost(fingerprint(), now) || now < arrived_at_ + owner_->copy_delay(fingerprint());
    return !(must_wait && sends_ == 0) && owner_->suspect_locks().try_acquire(fingerprint(), ticket_, now) &&
           acquire_part_locks(now);
}

void exchange::wait_for_turn() {
    is_waiting_for_turn_ = true;
    owner_->environment().metrics->add("copies_waited_total");
    log_copy_waits(*owner_->environment().log, terms_.id, fingerprint(), owner_->losses());
}

void exchange::check_turn(time_point now) {
    if (is_known_to_crash_endpoints()) {
        refuse_as_crashing();
    } else if (runs_ > 0 && owner_->losses().should_not_retry(fingerprint())) {
        give_up("doubtful");
    } else if (acquire_turn(now)) {
        is_waiting_for_turn_ = false;
        submit(now);
    }
}

void exchange::refused(const refusal& why) {
    waited_ = owner_->now() - arrived_at_;
    choice_.endpoint = why.best_endpoint;
    choice_.backlog_ms = why.backlog_ms;
    team_rank_ = why.team;
    ahead_ms_ = why.ahead_ms;
    admitted_ = why.admitted;
    refuse(503, why.code, why.retry_after);
}

bool exchange::is_known_to_crash_endpoints() const {
    if (!has_proven_parts_ && owner_->part_crashes().is_blocked(shared_parts_)) {
        return true;
    }
    return !owner_->losses().empty() && owner_->losses().is_refused(fingerprint());
}

void exchange::on_part_blocked() {
    const bool has_begun =
        response_started_ || std::ranges::any_of(attempts_, [](const auto& it) { return it->has_begun; });
    if (stage_ != stage::done && !has_begun && owner_->part_crashes().is_blocked(shared_parts_)) {
        withdraw();
        refuse_as_crashing();
    }
}

void exchange::refuse_as_crashing() {
    if (runs_ > 0 || response_started_) {
        give_up(describe(result_code::crashes_endpoints).name);
    } else {
        refuse(422, result_code::crashes_endpoints, {});
    }
}

void exchange::give_up(std::string_view reason) {
    if (response_started_) {
        if (caller_ != nullptr) {
            std::exchange(caller_, nullptr)->close_incomplete();
        }
        owner_->environment().metrics->add("streams_cut_total", reason);
        finish(reason, 0);
        return;
    }
    if (runs_ == 0) {
        refuse(503, result_code::endpoint_unavailable, default_retry_after);
    } else {
        fail(502, result_code::endpoint_failed);
    }
}

void exchange::time_out() {
    if (response_started_) {
        give_up("time_limit");
    } else {
        fail(504, result_code::deadline_exceeded);
    }
}

void exchange::fail(int status, result_code code) {
    if (!failure_ || caller_ == nullptr) {
        refuse(status, code, {});
        return;
    }
    const int status_from_endpoint = failure_->head.status;
    std::exchange(caller_, nullptr)->respond(std::move(failure_->head), failure_->body);
    finish("failed_by_endpoint", status_from_endpoint);
}

void exchange::refuse(int status, result_code code, duration retry_after) {
    if (caller_ != nullptr) {
        const auto state = runs_ == 0 ? executed::no : executed::unknown;
        std::exchange(caller_, nullptr)->respond(refusal_head(status, retry_after), error_body(code, state));
    }
    owner_->environment().metrics->add("refused_total", describe(code).name);
    finish(describe(code).name, status);
}

void exchange::withdraw() {
    if (stage_ == stage::waiting) {
        owner_->dispatch().withdraw(ticket_);
        return;
    }
    const auto now = owner_->now();
    for (const auto& it : std::vector{attempts_}) {
        if (is_silent(*it, now)) {
            report_silent_run(*it);
        }
        end_attempt(*it, call_outcome::answered);
    }
}

void exchange::on_caller_disconnected(channel_close_reason reason) {
    caller_ = nullptr;
    caller_end_ = reason == channel_close_reason::closed ? "closed" : "broken";
    const bool running = stage_ == stage::running;
    if (stage_ == stage::waiting || (running && (route_->idempotent() || route_->kind == call_kind::streaming))) {
        withdraw();
        finish("caller_gone", 0);
    }
    // A call that can't be repeated runs to its end: an aborted booking is of no use to anyone.
}

void exchange::detect_caller_disconnect() {
    if (caller_ != nullptr && stage_ != stage::done && caller_->has_disconnected()) {
        std::exchange(caller_, nullptr)->close_incomplete();
        on_caller_disconnected(channel_close_reason::closed);
    }
}

void exchange::on_caller_writable() {
    for (const auto& it : attempts_) {
        if (std::exchange(it->is_paused, false)) {
            it->client->pause_reading(false);
            open_attempts_.record_activity(it->ticket, owner_->now()); // Nothing was read while paused.
        }
    }
}

void exchange::check_timeouts(time_point now) {
    if (stage_ == stage::done || owner_->reading_since() == now) {
        return; // After a late turn of the event loop, received responses are read first.
    }
    if (now >= deadline_ && !(now < deadline_ + unread_response_grace_period && has_unread_response())) {
        withdraw();
        time_out();
        return;
    }
    if (is_waiting_for_turn_) {
        check_turn(now);
        return;
    }
    if (is_waiting_for_endpoint_) {
        if (now >= next_poll_) {
            is_waiting_for_endpoint_ = false;
            submit(now);
        }
        return;
    }
    if (stage_ != stage::running || !route_->idempotent() || !can_run_again(now) || now < next_poll_ ||
        open_attempts_.size() == call_attempts::max_open) {
        return;
    }
    if (std::ranges::all_of(attempts_, [&](const auto& it) { return !it->is_paused && is_silent(*it, now); })) {
        hedge(now);
    }
}

bool exchange::has_unread_response() {
    return std::ranges::any_of(attempts_,
                               [](const auto& it) { return it->client->is_busy() && it->client->has_unread(); });
}

void exchange::abandon() {
    if (stage_ == stage::done) {
        return;
    }
    withdraw();
    give_up("stopping");
}

std::uint64_t exchange::fingerprint() const {
    if (!fingerprint_) {
        fingerprint_ = fingerprint_of({request_.method, request_.host, request_.target, request_.body, team_.value});
    }
    return *fingerprint_;
}

call_record exchange::record(const attempt& it) const {
    auto out = record();
    out.choice = it.choice;
    out.has_begun = it.has_begun;
    out.has_proven_parts = it.has_proven_parts;
    return out;
}

call_record exchange::record() const {
    const auto now = owner_->now();
    call_record out;
    out.request = terms_.id;
    out.call = fingerprint();
    out.parts = terms_.parts;
    out.route = route_ == nullptr ? std::string{} : route_->name;
    out.team = team_;
    out.service = service_;
    out.config_version = config_ == nullptr ? 0 : config_->version;
    out.config_age = owner_->environment().view->operator_state_age(now);
    out.sends = sends_;
    out.runs = runs_;
    out.choice = choice_;
    out.waited = waited_;
    out.list_age = list_age_;
    out.cost = cost_;
    out.target = route_ == nullptr ? duration{} : route_->target_latency;
    out.read_delay = read_delay_;
    out.rank = team_rank_;
    out.ahead_ms = ahead_ms_;
    out.admitted = admitted_;
    if (first_event_at_) {
        out.first = *first_event_at_ - arrived_at_;
    }
    out.total = now - arrived_at_;
    out.waiting_calls = owner_->dispatch().waiting();
    out.caller_end = caller_end_;
    return out;
}

void exchange::finish(std::string_view outcome, int status) {
    stage_ = stage::done;
    const auto now = owner_->now();
    const auto& env = owner_->environment();
    if (outcome == "served") {
        owner_->whole_answer().add(now - arrived_at_);
    }
    env.metrics->add("calls_total", outcome);
    const bool is_logged = log_call_ended(
        *env.log, [this] { return record(); }, outcome, status);
    note_end(outcome == "served", is_logged);
    owner_->close_exchange(ticket_);
}

void exchange::note_activity(const team_activity_entry& amount) {
    if (is_counted_ && amount != team_activity_entry{}) {
        owner_->activity().add({team_, service_}, amount);
    }
}

void exchange::note_begun(time_point now) {
    note_activity({.begun = 1, .begun_cost = cost_, .late = now - arrived_at_ > route_->target_latency ? 1U : 0U});
}

void exchange::note_end(bool is_served, bool is_logged) {
    if (is_served && !first_event_at_) {
        note_begun(owner_->now());
    }
    team_activity_entry ended;
    ended.unserved = !is_served && !first_event_at_ ? 1 : 0;
    ended.unlogged = is_logged ? 0 : 1;
    ended.unlogged_arrived_cost = is_logged ? 0.0 : cost_;
    note_activity(ended);
}

} // namespace dandelionbay
