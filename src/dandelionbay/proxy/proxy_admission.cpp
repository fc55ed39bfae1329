// Admission at the data path of a router: accepting connections, and beginning or refusing their calls.
#include "dandelionbay/proxy/proxy.hpp"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_format.h"
#include "dandelionbay/base/section_timer.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/error_body.hpp"
#include "dandelionbay/proxy/caller_connection.hpp"
#include "dandelionbay/proxy/exchange.hpp"

namespace dandelionbay {

namespace {

/*! At the connection limit, one part in this many of the limit is closed in one pass: scanning all connections takes
 * time. */
constexpr std::size_t idle_close_parts = 16;
/*! Minimum interval between scans of all connections; a scan of 3,000 connections, the limit, takes about 0.1 ms. */
constexpr duration idle_close_interval = std::chrono::milliseconds{20};
/*! Time after which a refused call may be repeated while the host stays in the rotation. */
constexpr duration default_retry_delay = std::chrono::milliseconds{500};
/*! Teams named in a log entry on refused calls. */
constexpr std::size_t max_logged_teams = 3;

} // namespace

void proxy::close_longest_idle(time_point now) {
    if (now < next_idle_close_) {
        return;
    }
    next_idle_close_ = now + idle_close_interval;
    std::vector<std::pair<time_point, std::shared_ptr<caller_connection>>> idle;
    for (const auto& it : callers_) {
        if (const auto since = it->idle_since()) {
            idle.emplace_back(*since, it);
        }
    }
    const auto n = std::min(idle.size(), options_.max_connections / idle_close_parts + 1);
    std::ranges::partial_sort(idle, idle.begin() + static_cast<std::ptrdiff_t>(n), {},
                              [](const auto& it) { return it.first; });
    std::size_t closed = 0;
    for (const auto& [since, it] : std::span{idle}.first(n)) {
        closed += it->close_idle() ? callers_.erase(it) : 0;
    }
    environment_.metrics->add("idle_connections_closed_total", {}, static_cast<counters::value_type>(closed));
    environment_.log->write(log_level::warn, "connections_at_limit",
                            {{"limit", std::to_string(options_.max_connections)},
                             {"idle", std::to_string(idle.size())},
                             {"closed", std::to_string(closed)}});
}

void proxy::accept(channel::tcp::socket socket) {
    const section_timer timed{*environment_.time, *environment_.metrics, "accepts", &refusal_meter_.admission_time()};
    environment_.metrics->add("connections_accepted_total");
    if (connections() >= options_.max_connections) {
        close_longest_idle(now());
    }
    if (connections() >= options_.max_connections) {
        environment_.metrics->add("connections_refused_total");
        refuse_unread(std::move(socket));
        return;
    }
    if (accepted_.empty()) {
        boost::asio::post(*environment_.loop, [this] { read_accepted(); });
    }
    accepted_.push_back({std::move(socket), now() - read_delay()});
    note_reading();
}

void proxy::read_accepted() {
    const absl::Cleanup read_rest = [this] { // Also after an exception; sockets that are ready go first.
        if (!accepted_.empty() && !stopped_) {
            boost::asio::post(*environment_.loop, [this] { read_accepted(); });
        }
    };
    update_accepting();
    if (!refusal_queue_.empty()) { // Calls that were read are refused before unread ones, which would be refused too.
        start_pending_calls();
    }
    const auto began = now();
    while (refusal_queue_.empty() && !accepted_.empty() && !stopped_ && now() - began < max_reading_time) {
        auto next = std::move(accepted_.front());
        accepted_.pop_front();
        if (!overload_detector_.can_begin(now() - next.arrived, max_target_latency(), now())) {
            refuse_unread(std::move(next.socket));
            continue;
        }
        const auto it = std::make_shared<caller_connection>(*this, std::move(next.socket), now());
        callers_.insert(it);
        it->start(next.arrived);
    }
    update_accepting();
}

void proxy::update_accepting() {
    const auto at = now();
    accept_controller_.update(refusal_meter_.take_refusal_time(), accepted_.size() + refusal_queue_.size(),
                              admission_queue_.size(), read_delay_estimator_.delay(at), at);
    if (accept_controller_.is_accepting() != is_listening_ && !stopped_) {
        apply_accepting(at);
    }
    if (const bool under_pressure = accept_controller_.is_under_pressure(at); under_pressure != was_under_pressure_) {
        was_under_pressure_ = under_pressure;
        environment_.log->write(
            log_level::warn, under_pressure ? "intake_pressed" : "intake_relaxed",
            {{"undecided", std::to_string(accepted_.size() + refusal_queue_.size() + admission_queue_.size())},
             {"read_delay_ms", std::to_string(static_cast<std::int64_t>(to_ms(read_delay())))},
             {"most_begun_per_s", std::to_string(most_begun_per_s())},
             {"closed", std::to_string(environment_.metrics->get("intake_closed_total"))},
             {"closed_us", std::to_string(environment_.metrics->get("intake_closed_us_total"))},
             {"open_calls", std::to_string(exchanges_.size())},
             {"connections", std::to_string(callers_.size())}});
    }
}

void proxy::apply_accepting(time_point now) {
    if (is_listening_) {
        is_listening_ = false;
        paused_at_ = now;
        environment_.metrics->add("intake_closed_total");
        listener_.pause();
        return;
    }
    const auto status = listener_.resume();
    if (!status.ok()) { // Retried at the next turn.
        environment_.metrics->add("listen_failures_total");
        environment_.log->write(log_level::error, "listen_failed",
                                {{"reason", std::string{from_absl(status.message())}}});
        return;
    }
    is_listening_ = true;
    environment_.metrics->add("intake_closed_us_total", {}, (now - paused_at_).count());
}

void proxy::refuse_unread(channel::tcp::socket socket) {
    const section_timer timed{*environment_.time, *environment_.metrics, "refusals", &refusal_meter_.refusal_time()};
    static const auto body = error_body(result_code::router_overloaded, executed::no);
    const auto answer = concat(
        "HTTP/1.1 503 ", reason_phrase(503), "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
        "\r\nConnection: close\r\nRetry-After: ",
        absl::StrFormat("%.2f", std::chrono::duration<double>{retry_delay(now())}.count()), "\r\n\r\n", body);
    refusal_meter_.note_refused();
    if (respond_without_reading(std::move(socket), answer)) {
        ++refused_in_turn_;
        ++refused_by_team_[team_id{}];
        environment_.metrics->add("calls_total", "shed_unread");
    }
}

duration proxy::max_target_latency() {
    const auto& config = environment_.view->config();
    if (config == nullptr) {
        return duration::max() / 2;
    }
    if (config != max_target_config_) {
        max_target_config_ = config;
        max_target_latency_ = {};
        for (const auto& it : config->routes) {
            max_target_latency_ = std::max(max_target_latency_, it.target_latency);
        }
    }
    return max_target_latency_;
}

void proxy::note_reading() {
    if (read_delay_estimator_.note_reading(now())) {
        send_loop_probe();
    }
}

void proxy::send_loop_probe() {
    if (!event_loop_probe_.send()) {
        read_delay_estimator_.note_probe_lost();
    }
}

void proxy::note_probe_read() {
    const auto at = now();
    admission_rate_limiter_.note_read_delay(read_delay_estimator_.delay(at), at,
                                            accept_controller_.is_refusal_budget_low());
    if (read_delay_estimator_.note_probe_read(at)) {
        send_loop_probe();
    }
    start_pending_calls();
    update_accepting();
}

void proxy::start_pending_calls() {
    if ((admission_queue_.empty() && refusal_queue_.empty()) || stopped_) {
        return;
    }
    const auto in_time = [this](duration age, duration target) {
        return overload_detector_.can_begin(age, target, now());
    };
    queue_refusals(admission_queue_.take_expired(in_time, now()));
    const auto refusals_began_at = now();
    while (!refusal_queue_.empty() && now() - refusals_began_at < max_decision_time) {
        const auto ticket = refusal_queue_.front();
        refusal_queue_.pop_front();
        refuse_call(ticket);
    }
    const auto starts_began_at = now();
    admission_queue_.order(
        [&](const team_id& team) { return dispatcher_.usage().comparable_usage(team, starts_began_at); });
    while (!admission_queue_.empty() && now() - starts_began_at < max_decision_time &&
           admission_rate_limiter_.available_calls(now()) >= 1.0) {
        const auto next = admission_queue_.take_next();
        const auto it = exchanges_.find(next.ticket);
        if (it == exchanges_.end()) {
            continue; // The caller has disconnected.
        }
        const auto at = now();
        if (in_time(at - next.arrived, next.target)) {
            const section_timer timed{*environment_.time, *environment_.metrics, "begins"};
            environment_.metrics->add("calls_begun_total");
            admission_rate_limiter_.note_begun();
            refusal_meter_.note_begun();
            ++begun_in_turn_;
            const auto call = it->second;
            call->begin(at);
        } else {
            refuse_call(next.ticket);
        }
    }
    queue_refusals(admission_queue_.take_excess(admission_rate_limiter_.calls_per_s(), in_time, now()));
    if (!refusal_queue_.empty() ||
        (!admission_queue_.empty() && admission_rate_limiter_.available_calls(now()) >= 1.0)) {
        note_reading(); // Continues once everything that arrived meanwhile is read.
    }
}

void proxy::queue_refusals(const std::vector<ticket_id>& calls) {
    refusal_queue_.insert(refusal_queue_.end(), calls.begin(), calls.end());
}

void proxy::refuse_call(ticket_id ticket) {
    if (const auto it = exchanges_.find(ticket); it != exchanges_.end()) {
        const section_timer timed{*environment_.time, *environment_.metrics, "refusals",
                                  &refusal_meter_.refusal_time()};
        refusal_meter_.note_refused();
        ++refused_in_turn_;
        const auto call = it->second;
        ++refused_by_team_[call->team()];
        call->reject_overloaded(retry_delay(now()), now());
    }
}

duration proxy::retry_delay(time_point now) {
    std::uniform_real_distribution<double> spread{0.8, 1.3}; // Spreads the returning calls.
    const auto base = overload_detector_.time_until_rotation_exit(now).value_or(default_retry_delay);
    return std::max(exchange::short_retry_after, std::chrono::duration_cast<duration>(base * spread(random_)));
}

void proxy::log_refusals(time_point now) {
    if (refused_by_team_.empty() || now - refusals_logged_at_ < refusal_log_interval) {
        return;
    }
    refusals_logged_at_ = now;
    std::vector<std::pair<std::uint64_t, team_id>> teams;
    std::uint64_t calls = 0;
    for (const auto& [team, n] : refused_by_team_) {
        teams.emplace_back(n, team);
        calls += n;
    }
    refused_by_team_.clear();
    std::ranges::sort(teams, std::greater{});
    std::string text;
    for (const auto& [n, team] : std::span{teams}.first(std::min(teams.size(), max_logged_teams))) {
        text += concat(text.empty() ? "" : ",", team.value, ":", n);
    }
    environment_.log->write(
        log_level::warn, "calls_turned_away",
        {{"calls", std::to_string(calls)},
         {"teams", text},
         {"read_delay_ms", std::to_string(static_cast<std::int64_t>(to_ms(read_delay())))},
         {"late_ms", std::to_string(static_cast<std::int64_t>(to_ms(overload_detector_.mean_lateness())))},
         {"most_begun_per_s", std::to_string(static_cast<std::int64_t>(admission_rate_limiter_.calls_per_s()))},
         {"left", std::to_string(admission_queue_.size())},
         {"open_calls", std::to_string(exchanges_.size())},
         {"connections", std::to_string(callers_.size())}});
}

} // namespace dandelionbay
