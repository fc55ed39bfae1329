#include "dandelionbay/proxy/proxy.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "dandelionbay/base/section_timer.hpp"
#include "dandelionbay/proxy/call_record.hpp"
#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/exchange.hpp"

namespace dandelionbay {

namespace {

using boost::system::error_code;

/*! Factors by which a stream may become slower than recently and still end before the process: while the balancer may
 * still send calls here, and later, when it should send them elsewhere. */
constexpr double gap_margin = 1.5;
constexpr double late_gap_margin = 6.0;
constexpr double event_gap_weight = 0.02;
/*! A healthy endpoint may be silent for about a second and then continue. */
constexpr duration max_endpoint_pause = std::chrono::milliseconds{1'200};
/*! Interval of checks for idle connections and expired endpoints, whose limits are over a second. */
constexpr duration housekeeping_interval = std::chrono::milliseconds{200};
/*! After a turn later than this, bytes that endpoints sent meanwhile are still unread, so their silence is counted
 * anew. */
constexpr duration max_reading_lateness = std::chrono::milliseconds{300};
/*! Read delay above which callers are checked for disconnects, as their endpoints must stop within half a second. */
constexpr duration disconnect_check_delay = std::chrono::milliseconds{100};

} // namespace

proxy::proxy(proxy_environment environment, proxy_options options)
    : environment_{environment}, options_{std::move(options)},
      dispatcher_{*environment_.view, options_.place, options_.dispatch, *this,
                  static_cast<std::uint64_t>(environment_.time->now().time_since_epoch().count())},
      stream_versions_{*environment_.view}, random_{static_cast<std::uint64_t>(
                                                environment_.time->now().time_since_epoch().count())},
      listener_{*environment_.loop, *environment_.log}, timer_{*environment_.loop},
      read_delay_estimator_{environment_.time->now()}, event_loop_probe_{*environment_.loop} {}

absl::Status proxy::start() {
    auto status = event_loop_probe_.start([this] { note_probe_read(); });
    if (status.ok()) {
        status = listener_.start(options_.listen, [this](channel::tcp::socket it) { accept(std::move(it)); });
    }
    if (status.ok()) {
        is_listening_ = true;
        tick();
    }
    return status;
}

void proxy::tick() {
    const auto interval = pacer_.interval(dispatcher_.waiting() > 0);
    const auto next_turn = now() + interval;
    overload_detector_.set_next_turn(next_turn);
    timer_.expires_after(interval);
    timer_.async_wait([this, due = next_turn](error_code ec) {
        if (ec || stopped_) {
            return;
        }
        const absl::Cleanup next = [this] { tick(); }; // Also after an exception.
        const auto at = now();
        update_accepting();
        const auto refusal_lateness = overload_detector::equivalent_lateness(std::exchange(refused_in_turn_, 0),
                                                                             std::exchange(begun_in_turn_, 0));
        // A closed port counts as overload, so that the balancer sends callers elsewhere.
        note_turn(at - due, accept_controller_.is_accepting() ? refusal_lateness : overload_detector::max_turn_lateness,
                  at);
        note_reading();
        start_pending_calls(); // Calls that exceeded the rate before may begin now.
        log_refusals(now());
        activity_.log_if_due(*environment_.log, at);
        check_exchanges(at);
    });
}

void proxy::note_turn(duration late, duration refusal_lateness, time_point now) {
    const auto unread = read_delay_estimator_.delay(now);
    const bool is_late = std::max(late, unread) > max_reading_lateness;
    // Only at the first of consecutive late turns: on a host that is always late, limits apply.
    if (is_late && !std::exchange(is_reading_late_, true)) {
        reading_since_ = now;
        dispatcher_.reset_silence(now);
        environment_.metrics->add("late_turns_total");
    }
    is_reading_late_ = is_late;
    if (!overload_detector_.note_turn(late, now, unread, refusal_lateness)) {
        return;
    }
    environment_.log->write(
        log_level::warn, overload_detector_.is_overloaded() ? "overload_began" : "overload_ended",
        {{"late_ms", std::to_string(static_cast<std::int64_t>(to_ms(overload_detector_.mean_lateness())))},
         {"open_calls", std::to_string(exchanges_.size())},
         {"waiting_calls", std::to_string(dispatcher_.waiting())},
         {"connections", std::to_string(callers_.size())}});
}

void proxy::check_exchanges(time_point now) {
    review_parts();
    std::vector<std::shared_ptr<exchange>> open;
    open.reserve(exchanges_.size());
    for (const auto& [ticket, it] : exchanges_) {
        open.push_back(it);
    }
    {
        const section_timer timed{*environment_.time, *environment_.metrics, "limits"};
        for (const auto& it : open) {
            it->check_timeouts(now);
        }
    }
    const auto waiting = dispatcher_.waiting();
    pump();
    pacer_.record_round(this->now() - now, waiting);
    dispatcher_.set_max_waiting(pacer_.max_waiting());
    if (now - housekeeping_at_ < housekeeping_interval) {
        return;
    }
    housekeeping_at_ = now;
    const section_timer timed{*environment_.time, *environment_.metrics, "housekeeping"};
    environment_.view->expire(now);
    dispatcher_.refresh(now);
    pool_.expire(now);
    static_cast<void>(unsent_connections()); // Removes those that have ended.
    check_broken_endpoints(now);
    if (read_delay() > disconnect_check_delay) {
        for (const auto& it : open) {
            it->detect_caller_disconnect();
        }
    }
    const auto callers = std::vector<std::shared_ptr<caller_connection>>{callers_.begin(), callers_.end()};
    for (const auto& it : callers) {
        if (!it->check_timeouts(now)) {
            callers_.erase(it);
        }
    }
}

bool proxy::can_finish(const route& it, const service_id& service, std::uint32_t output_tokens,
                       time_point limit) const {
    if (!draining_) {
        return true;
    }
    if (it.kind == call_kind::unsafe) {
        return limit <= ends_at_;
    }
    const auto* const known = environment_.view->config()->find_service(service);
    double expected_ms = to_ms(it.target_latency);
    if (known != nullptr && known->engine) {
        const double margin = now() < rotation_exit_at_ ? gap_margin : late_gap_margin;
        expected_ms = expected_ms * margin + event_gap_ms_ * margin * output_tokens / known->engine->tokens_per_event;
    }
    return now() + from_ms(expected_ms) + max_endpoint_pause < ends_at_;
}

void proxy::note_event_gap(duration gap) noexcept {
    event_gap_ms_ += event_gap_weight * (to_ms(gap) - event_gap_ms_);
}

std::size_t proxy::close_idle() {
    std::erase_if(callers_, [](const auto& it) { return it->close_idle(); });
    return connections();
}

void proxy::stop() {
    listener_.stop();
    timer_.cancel();
    const auto open = exchanges_;
    for (const auto& [ticket, it] : open) {
        it->abandon();
    }
    stopped_ = true;
    event_loop_probe_.stop();
    for (const auto& it : callers_) {
        it->finish();
    }
    callers_.clear();
    accepted_.clear();
}

void proxy::finish(const std::shared_ptr<channel>& it) {
    it->finish();
    if (!it->ended()) {
        finishing_.push_back({it, now()});
    }
}

std::size_t proxy::unsent_connections() {
    std::erase_if(finishing_, [](const auto& it) {
        const auto open = it.connection.lock();
        return open == nullptr || open->ended();
    });
    return finishing_.size();
}

std::shared_ptr<exchange> proxy::open_exchange(caller_connection& caller, http_request request,
                                               const request_times& times) {
    buffered_bytes_ += request.body.size();
    const auto ticket = new_ticket();
    auto it = std::make_shared<exchange>(*this, caller, std::move(request), ticket, times);
    exchanges_.emplace(ticket, it);
    return it;
}

void proxy::close_exchange(ticket_id ticket) {
    const auto it = exchanges_.find(ticket);
    if (it == exchanges_.end()) {
        return;
    }
    buffered_bytes_ -= it->second->body_bytes();
    if (it->second->has_fingerprint()) { // Otherwise the exchange never held a lock.
        suspect_locks_.release(it->second->fingerprint(), ticket);
    }
    it->second->release_part_locks();
    exchanges_.erase(it);
}

std::uint64_t proxy::held_answer_bytes() const {
    std::uint64_t out = 0;
    for (const auto& [ticket, it] : exchanges_) {
        out += it->buffered_response_bytes();
    }
    return out;
}

std::uint64_t proxy::unsent_bytes() const {
    std::uint64_t out = 0;
    for (const auto& it : callers_) {
        out += it->unsent_bytes();
    }
    for (const auto& it : finishing_) {
        if (const auto open = it.connection.lock(); open != nullptr) {
            out += open->unsent_bytes();
        }
    }
    return out;
}

bool proxy::drop_oldest_unsent() {
    auto oldest = time_point::max();
    std::shared_ptr<caller_connection> caller;
    std::shared_ptr<channel> finishing;
    for (const auto& it : callers_) {
        if (it->unsent_bytes() > exchange::large_response_bytes && it->since() < oldest) {
            oldest = it->since();
            caller = it;
        }
    }
    for (const auto& it : finishing_) {
        const auto open = it.connection.lock();
        if (open != nullptr && !open->ended() && open->unsent_bytes() > exchange::large_response_bytes &&
            it.since < oldest) {
            oldest = it.since;
            finishing = open;
        }
    }
    if (finishing != nullptr) {
        finishing->abort();
    } else if (caller != nullptr) {
        caller->abort();
    }
    return finishing != nullptr || caller != nullptr;
}

void proxy::limit_held_answers() {
    while (held_answer_bytes() + unsent_bytes() > options_.max_held_answer_bytes) {
        if (drop_oldest_unsent()) {
            environment_.metrics->add("unsent_answers_given_up_total");
            environment_.log->write(log_level::warn, "answer_not_taken",
                                    {{"unsent_bytes", std::to_string(unsent_bytes())},
                                     {"held_bytes", std::to_string(held_answer_bytes())}});
            continue;
        }
        const auto largest = std::ranges::max_element(
            exchanges_, {}, [](const auto& it) { return it.second->buffered_response_bytes(); });
        if (largest == exchanges_.end() || largest->second->buffered_response_bytes() == 0) {
            return; // Only small answers are left.
        }
        environment_.metrics->add("held_answers_given_up_total");
        const auto call = largest->second;
        call->drop_buffered_response();
    }
}

void proxy::close_caller(const std::shared_ptr<caller_connection>& it) {
    callers_.erase(it);
}

std::shared_ptr<http_connection> proxy::connect(const endpoint_choice& to, duration max_idle) {
    if (auto it = pool_.take(to.address, max_idle, now()); it != nullptr) {
        return it;
    }
    environment_.metrics->add("endpoint_connections_total");
    auto it = std::make_shared<http_connection>(*environment_.loop, to.address, connect_timeout);
    it->start();
    return it;
}

void proxy::count_sent_bytes(const endpoint_id& to, std::size_t bytes) {
    const auto known = environment_.view->endpoints().find(to);
    if (known == environment_.view->endpoints().end()) {
        return;
    }
    const auto& place = options_.place;
    const auto zone = place.zones.find(known->second.entry.zone);
    const bool near = zone != place.zones.end() && zone->second == place.region;
    environment_.metrics->add("call_bytes_sent_total", near ? "same_region" : "other_region",
                              static_cast<counters::value_type>(bytes));
}

void proxy::note_unreachable(const endpoint_id& id) {
    dispatcher_.unreachable(id, now());
    environment_.view->note_refused(id, now());
}

void proxy::note_run_lost(std::uint64_t call, const lost_run& run, const socket_address& address,
                          const std::vector<service_part>& unproven_parts) {
    if (!unproven_parts.empty()) {
        part_crashes_.record_interrupted_run(run.process, unproven_run{call, unproven_parts, run.started}, now());
    }
    if (losses_.record_interrupted_run(call, run)) {
        part_crashes_.record_process_exit(run.process, now());
        note_loss(call);
    } else if (!probes_.contains(run.process)) {
        const auto answered = [this, at = run.process](bool listening) {
            if (listening) {
                losses_.record_process_alive(at);
                part_crashes_.record_process_alive(at);
                return;
            }
            note_unreachable(at.id);
            endpoint_ended(at, "refused");
        };
        probes_[run.process] = std::make_unique<listen_probe>(*environment_.loop, address, connect_timeout, answered);
    }
}

void proxy::check_broken_endpoints(time_point now) {
    std::erase_if(probes_, [](const auto& it) { return it.second->is_done(); });
    for (const auto& it : losses_.unconfirmed_processes()) {
        if (environment_.view->has_ended(it)) {
            endpoint_ended(it, "registry");
        }
    }
    losses_.expire(now);
    part_crashes_.expire(now);
}

void proxy::endpoint_ended(const endpoint_process& it, std::string_view source) {
    const auto calls = losses_.record_process_exit(it, now());
    part_crashes_.record_process_exit(it, now());
    environment_.metrics->add("endpoints_ended_total", source);
    environment_.log->write(log_level::info, "endpoint_ended",
                            {{"endpoint", it.id.value},
                             {"endpoint_started", std::to_string(it.started)},
                             {"from", std::string{source}},
                             {"lost_calls", std::to_string(calls.size())}});
    for (const auto call : calls) {
        note_loss(call);
    }
}

void proxy::note_loss(std::uint64_t call) {
    const auto n = losses_.loss_count(call);
    if (n <= 1) {
        return; // The log entry of the endpoint counts the first loss.
    }
    log_call_lost_again(*environment_.log, call, losses_, "own");
    if (n == lost_run_registry::min_losses_to_refuse && refusal_changed_) {
        refusal_changed_(call);
    }
}

void proxy::note_run_answered(std::uint64_t call) {
    const bool was_refused = losses_.is_refused(call);
    losses_.record_answer(call, now());
    if (was_refused && refusal_changed_) {
        refusal_changed_(call);
    }
}

void proxy::note_parts_proven(const std::vector<service_part>& parts) {
    note_own_part_changes({{}, part_crashes_.record_proof(parts, now())});
}

void proxy::note_part_changes(const part_changes& changes, std::string_view from) {
    for (const auto& it : changes.unblocked) {
        log_part_unblocked(*environment_.log, it, from);
        environment_.metrics->add("parts_unblocked_total", from);
    }
    for (const auto& it : changes.blocked) {
        log_part_blocked(*environment_.log, it, part_crashes_, from);
        environment_.metrics->add("parts_blocked_total", from);
    }
    if (!changes.blocked.empty()) {
        end_blocked_calls();
    }
}

void proxy::note_own_part_changes(const part_changes& changes) {
    note_part_changes(changes, "own");
    if (!part_changed_) {
        return;
    }
    for (const auto* const parts : {&changes.unblocked, &changes.blocked}) {
        std::ranges::for_each(*parts, part_changed_);
    }
}

void proxy::review_parts() {
    note_own_part_changes(part_crashes_.review(report_delay_, now()));
}

void proxy::end_blocked_calls() {
    const auto open = exchanges_;
    for (const auto& [ticket, it] : open) {
        it->on_part_blocked();
    }
}

duration proxy::copy_delay(std::uint64_t call) const {
    if (losses_.lost_endpoint_count(call) < lost_run_registry::min_losses_to_refuse) {
        return {};
    }
    return std::min(max_copy_delay, copy_delay_per_rank * static_cast<duration::rep>(dispatcher_.rank_for(call)));
}

void proxy::pump() {
    if (!stopped_) {
        const section_timer timed{*environment_.time, *environment_.metrics, "rounds"};
        dispatcher_.process_waiting(now());
    }
}

retry_window& proxy::retries(const service_id& service) {
    return retries_.try_emplace(service, options_.retry).first->second;
}

service_id proxy::pick_service(const route& it) {
    if (it.services.empty()) {
        return {};
    }
    double total = 0.0;
    for (const auto& share : it.services) {
        total += share.weight;
    }
    double point = std::uniform_real_distribution<double>{0.0, total}(random_);
    for (const auto& share : it.services) {
        point -= share.weight;
        if (point < 0.0) {
            return share.service;
        }
    }
    return it.services.back().service;
}

void proxy::placed(ticket_id ticket, const endpoint_choice& choice) {
    if (const auto it = exchanges_.find(ticket); it != exchanges_.end()) {
        const auto call = it->second;
        call->placed(choice);
    }
}

void proxy::refused(ticket_id ticket, const refusal& why) {
    if (const auto it = exchanges_.find(ticket); it != exchanges_.end()) {
        const auto call = it->second;
        call->refused(why);
    }
}

} // namespace dandelionbay
