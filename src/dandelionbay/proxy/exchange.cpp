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

/*! Calls that name no time limit get the route's. */
constexpr duration default_time_left = std::chrono::hours{1};
/*! When a call that no endpoint has run may come again. */
constexpr duration usual_return = milliseconds{500};
/*! Time beyond a call's limit for which bytes of its answer that wait here are read first. */
constexpr duration longest_read_on = milliseconds{250};

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
                   const request_times& came)
    : owner_{&owner}, caller_{&caller}, request_{std::move(request)}, ticket_{ticket}, arrived_{came.first},
      whole_{came.last}, read_late_{owner.now() - came.last} {}

duration exchange::time_left(time_point now) const noexcept {
    return limit_ - now;
}

bool exchange::may_run_again(time_point now) const noexcept {
    const bool allowed = runs_ == 0 || (route_->idempotent() && runs_ < route_->max_attempts);
    const bool resumable = !begun_ || last_event_; // Without an event's id nothing tells where it goes on.
    return allowed && resumable && caller_ != nullptr && sends_ < (begun_ ? max_sends_after_start : max_sends) &&
           time_left(now) > least_time;
}

bool exchange::admit(time_point now) {
    terms_ = owner_->environment().protocol->read_call(request_.fields);
    if (owner_->environment().view->config() == nullptr) {
        refuse(503, result_code::configuration_stale, usual_return);
        return false;
    }
    if (owner_->buffered_bytes() > owner_->options().max_buffered_bytes) {
        refuse(503, result_code::router_queue_full, usual_return);
        return false;
    }
    if (terms_.id.empty()) {
        refuse(400, result_code::malformed_request, {});
        return false;
    }
    if (!find_access(now)) {
        return false;
    }
    if (!owner_->can_finish(*route_, service_, terms_.output_tokens, limit_)) {
        refuse(503, result_code::stopping, short_retry_after);
        return false;
    }
    last_event_ = terms_.resume_after;
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
        refuse(503, result_code::configuration_stale, usual_return);
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
    limit_ = arrived_ + std::min(terms_.time_left.value_or(default_time_left), route_->time_limit);
    service_ = owner_->pick_service(*route_);
    return true;
}

bool exchange::access_holds(time_point now) {
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
    owner_->dispatch().usage().add_refused(team_, cost_of(terms_.parts, terms_.prompt_tokens, terms_.output_tokens),
                                           now);
    caller_->end_after_answer();
    std::exchange(caller_, nullptr)->respond(refusal_head(503, retry_after), body);
    const auto name = describe(result_code::router_overloaded).name;
    owner_->environment().metrics->add("refused_total", name);
    owner_->environment().metrics->add("calls_total", name);
    stage_ = stage::done;
    owner_->close_exchange(ticket_); // One line tells of all that were turned away.
}

void exchange::start() {
    const auto now = owner_->now();
    if (admit(now)) {
        owner_->enqueue_call({ticket_, team_, cost_of(terms_.parts, terms_.prompt_tokens, terms_.output_tokens), whole_,
                              route_->target_latency});
    }
}

void exchange::begin(time_point now) {
    if (crashes_endpoints()) {
        refuse_as_crashing();
        return;
    }
    caller_->admit();
    owner_->retries(service_).record_call(now);
    submit(now);
}

work_item exchange::work() const {
    work_item item;
    item.ticket = ticket_;
    item.team = team_;
    item.service = service_;
    item.parts = terms_.parts;
    item.prompt_tokens = terms_.prompt_tokens;
    item.output_tokens = terms_.output_tokens;
    item.target = route_->target_latency;
    item.arrived = arrived_;
    item.route_regions = route_->home_regions;
    item.team_regions = team_regions_;
    item.excluded = excluded_;
    item.excluded.insert(refused_by_.begin(), refused_by_.end());
    return item;
}

void exchange::submit(time_point now) {
    stage_ = stage::waiting;
    if (!take_turn(now)) {
        await_turn();
        return;
    }
    auto item = work();
    cost_ = item.cost();
    if (runs_ == 0 && !begun_) {
        owner_->dispatch().submit(std::move(item), now);
        return;
    }
    // Waiting behind new calls would end in a cut or an unclear answer.
    if (const auto choice = owner_->dispatch().try_place(item, now)) {
        placed(*choice);
    } else {
        await_endpoint(now);
    }
}

void exchange::await_endpoint(time_point now) {
    without_endpoint_ = without_endpoint_.value_or(now);
    refused_by_.clear();
    if (begun_) {
        excluded_.clear(); // Rather one that failed it before than a cut answer.
    }
    const bool late = now - *without_endpoint_ >= longest_endpoint_wait;
    if (late || !may_run_again(now) || !(begun_ || owner_->dispatch().has_endpoint(work(), now))) {
        give_up("no_endpoint");
        return;
    }
    awaits_endpoint_ = true;
    next_look_ = now + look_interval;
}

bool exchange::take_turn(time_point now) {
    const auto& losses = owner_->losses();
    if (!losses.is_suspected(fingerprint())) {
        return true;
    }
    const bool early =
        losses.is_recently_lost(fingerprint(), now) || now < arrived_ + owner_->copy_delay(fingerprint());
    return !(early && sends_ == 0) && owner_->turns().try_acquire(fingerprint(), ticket_, now);
}

void exchange::await_turn() {
    awaits_turn_ = true;
    owner_->environment().metrics->add("copies_waited_total");
    log_copy_waits(*owner_->environment().log, terms_.id, fingerprint(), owner_->losses());
}

void exchange::check_turn(time_point now) {
    if (crashes_endpoints()) {
        refuse_as_crashing();
    } else if (runs_ > 0 && owner_->losses().should_not_retry(fingerprint())) {
        give_up("doubtful");
    } else if (take_turn(now)) {
        awaits_turn_ = false;
        submit(now);
    }
}

void exchange::refused(const refusal& why) {
    waited_ = owner_->now() - arrived_;
    choice_.endpoint = why.best_endpoint;
    choice_.backlog_ms = why.backlog_ms;
    team_rank_ = why.team;
    ahead_ms_ = why.ahead_ms;
    refuse(503, why.code, why.retry_after);
}

bool exchange::crashes_endpoints() const {
    return !owner_->losses().empty() && owner_->losses().is_refused(fingerprint());
}

void exchange::refuse_as_crashing() {
    if (runs_ > 0 || begun_) {
        give_up(describe(result_code::crashes_endpoints).name);
    } else {
        refuse(422, result_code::crashes_endpoints, {});
    }
}

void exchange::give_up(std::string_view reason) {
    if (begun_) {
        if (caller_ != nullptr) {
            std::exchange(caller_, nullptr)->cut();
        }
        owner_->environment().metrics->add("streams_cut_total", reason);
        finish(reason, 0);
        return;
    }
    if (runs_ == 0) {
        refuse(503, result_code::endpoint_unavailable, usual_return);
    } else {
        fail(502, result_code::endpoint_failed);
    }
}

void exchange::time_out() {
    if (begun_) {
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
    const int said = failure_->head.status;
    std::exchange(caller_, nullptr)->respond(std::move(failure_->head), failure_->body);
    finish("failed_by_endpoint", said);
}

void exchange::refuse(int status, result_code code, duration retry_after) {
    if (caller_ != nullptr) {
        const auto state = runs_ == 0 ? executed::no : executed::unknown;
        std::exchange(caller_, nullptr)->respond(refusal_head(status, retry_after), error_body(code, state));
    }
    owner_->environment().metrics->add("refused_total", describe(code).name);
    finish(describe(code).name, status);
}

void exchange::leave() {
    if (stage_ == stage::waiting) {
        owner_->dispatch().withdraw(ticket_);
        return;
    }
    const auto now = owner_->now();
    for (const auto& it : std::vector{attempts_}) {
        if (silent(*it, now)) {
            note_silent_run(*it);
        }
        end_attempt(*it, call_outcome::answered);
    }
}

void exchange::caller_gone(channel_close_reason end) {
    caller_ = nullptr;
    caller_end_ = end == channel_close_reason::closed ? "closed" : "broken";
    const bool running = stage_ == stage::running;
    if (stage_ == stage::waiting || (running && (route_->idempotent() || route_->kind == call_kind::streaming))) {
        leave();
        finish("caller_gone", 0);
    }
    // A call that can't be repeated runs to its end: a booking that is broken off helps nobody.
}

void exchange::detect_caller_disconnect() {
    if (caller_ != nullptr && stage_ != stage::done && caller_->left()) {
        std::exchange(caller_, nullptr)->cut();
        caller_gone(channel_close_reason::closed);
    }
}

void exchange::caller_ready() {
    for (const auto& it : attempts_) {
        if (std::exchange(it->paused, false)) {
            it->client->pause_reading(false);
            open_.heard(it->ticket, owner_->now()); // It was not listened to.
        }
    }
}

void exchange::check_timeouts(time_point now) {
    if (stage_ == stage::done || owner_->reading_since() == now) {
        return; // After a late turn, answers that have come are read first.
    }
    if (now >= limit_ && !(now < limit_ + longest_read_on && answer_waits())) {
        leave();
        time_out();
        return;
    }
    if (awaits_turn_) {
        check_turn(now);
        return;
    }
    if (awaits_endpoint_) {
        if (now >= next_look_) {
            awaits_endpoint_ = false;
            submit(now);
        }
        return;
    }
    if (stage_ != stage::running || !route_->idempotent() || !may_run_again(now) || now < next_look_ ||
        open_.size() == call_attempts::most_open) {
        return;
    }
    if (std::ranges::all_of(attempts_, [&](const auto& it) { return !it->paused && silent(*it, now); })) {
        ask_another(now);
    }
}

bool exchange::answer_waits() {
    return std::ranges::any_of(attempts_,
                               [](const auto& it) { return it->client->is_busy() && it->client->has_unread(); });
}

void exchange::abandon() {
    if (stage_ == stage::done) {
        return;
    }
    leave();
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
    return out;
}

call_record exchange::record() const {
    const auto now = owner_->now();
    call_record out;
    out.request = terms_.id;
    out.call = fingerprint();
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
    out.read_late = read_late_;
    out.rank = team_rank_;
    out.ahead_ms = ahead_ms_;
    if (first_event_at_) {
        out.first = *first_event_at_ - arrived_;
    }
    out.total = now - arrived_;
    out.waiting_calls = owner_->dispatch().waiting();
    out.caller_end = caller_end_;
    return out;
}

void exchange::finish(std::string_view outcome, int status) {
    stage_ = stage::done;
    const auto now = owner_->now();
    const auto& env = owner_->environment();
    if (outcome == "served") {
        owner_->whole_answer().add(now - arrived_);
    }
    env.metrics->add("calls_total", outcome);
    log_call_ended(
        *env.log, [this] { return record(); }, outcome, status);
    owner_->close_exchange(ticket_);
}

} // namespace dandelionbay
