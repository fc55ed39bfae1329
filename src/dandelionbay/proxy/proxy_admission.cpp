// What comes to the data path of a router: new connections, which calls begin, and how the others are refused.
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

/*! When there are too many connections, one part in this many of the limit is closed: looking at all takes time. */
constexpr std::size_t closing_parts = 16;
/*! All connections are looked at this often at most; with the limit's 3,000 that takes about 0.1 ms. */
constexpr duration closing_interval = std::chrono::milliseconds{20};
/*! When a call that is turned away may come again while the host stays in the rotation. */
constexpr duration usual_return = std::chrono::milliseconds{500};
/*! Teams that a line on calls that were turned away names. */
constexpr std::size_t most_teams_told = 3;

} // namespace

void proxy::close_longest_idle(time_point now) {
    if (now < next_closing_) {
        return;
    }
    next_closing_ = now + closing_interval;
    std::vector<std::pair<time_point, std::shared_ptr<caller_connection>>> idle;
    for (const auto& it : callers_) {
        if (const auto since = it->idle_since()) {
            idle.emplace_back(*since, it);
        }
    }
    const auto n = std::min(idle.size(), options_.max_connections / closing_parts + 1);
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
    const section_timer timed{*environment_.time, *environment_.metrics, "accepts", &work_.admission_time()};
    environment_.metrics->add("connections_accepted_total");
    if (connections() >= options_.max_connections) {
        close_longest_idle(now());
    }
    if (connections() >= options_.max_connections) {
        environment_.metrics->add("connections_refused_total");
        shed(std::move(socket));
        return;
    }
    if (accepted_.empty()) {
        boost::asio::post(*environment_.loop, [this] { read_accepted(); });
    }
    accepted_.push_back({std::move(socket), now() - read_delay()});
    note_reading();
}

void proxy::read_accepted() {
    const absl::Cleanup rest = [this] { // Also after an error; what is ready has its turn before.
        if (!accepted_.empty() && !stopped_) {
            boost::asio::post(*environment_.loop, [this] { read_accepted(); });
        }
    };
    watch_gate();
    if (!late_.empty()) { // What was read and is refused goes before what would be refused as well.
        decide_read_calls();
    }
    const auto began = now();
    while (late_.empty() && !accepted_.empty() && !stopped_ && now() - began < max_reading_time) {
        auto next = std::move(accepted_.front());
        accepted_.pop_front();
        if (!gauge_.can_begin(now() - next.came, longest_target(), now())) {
            shed(std::move(next.socket));
            continue;
        }
        const auto it = std::make_shared<caller_connection>(*this, std::move(next.socket), now());
        callers_.insert(it);
        it->start(next.came);
    }
    watch_gate();
}

void proxy::watch_gate() {
    const auto at = now();
    gate_.update(work_.take_refusal_time(), accepted_.size() + late_.size(), intake_.size(), horizon_.delay(at), at);
    if (gate_.is_accepting() != listens_ && !stopped_) {
        follow_gate(at);
    }
    if (const bool pressed = gate_.is_under_pressure(at); pressed != pressed_) {
        pressed_ = pressed;
        environment_.log->write(log_level::warn, pressed ? "intake_pressed" : "intake_relaxed",
                                {{"undecided", std::to_string(accepted_.size() + late_.size() + intake_.size())},
                                 {"read_delay_ms", std::to_string(static_cast<std::int64_t>(to_ms(read_delay())))},
                                 {"most_begun_per_s", std::to_string(most_begun_per_s())},
                                 {"closed", std::to_string(environment_.metrics->get("intake_closed_total"))},
                                 {"closed_us", std::to_string(environment_.metrics->get("intake_closed_us_total"))},
                                 {"open_calls", std::to_string(exchanges_.size())},
                                 {"connections", std::to_string(callers_.size())}});
    }
}

void proxy::follow_gate(time_point now) {
    if (listens_) {
        listens_ = false;
        closed_at_ = now;
        environment_.metrics->add("intake_closed_total");
        listener_.pause();
        return;
    }
    const auto status = listener_.resume();
    if (!status.ok()) { // Tried again at the next turn.
        environment_.metrics->add("listen_failures_total");
        environment_.log->write(log_level::error, "listen_failed",
                                {{"reason", std::string{from_absl(status.message())}}});
        return;
    }
    listens_ = true;
    environment_.metrics->add("intake_closed_us_total", {}, (now - closed_at_).count());
}

void proxy::shed(channel::tcp::socket socket) {
    const section_timer timed{*environment_.time, *environment_.metrics, "refusals", &work_.refusal_time()};
    static const auto body = error_body(result_code::router_overloaded, executed::no);
    const auto answer = concat(
        "HTTP/1.1 503 ", reason_phrase(503), "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
        "\r\nConnection: close\r\nRetry-After: ",
        absl::StrFormat("%.2f", std::chrono::duration<double>{return_of_turned_away(now())}.count()), "\r\n\r\n", body);
    work_.note_refused();
    if (respond_without_reading(std::move(socket), answer)) {
        ++turned_away_in_turn_;
        ++turned_away_[team_id{}];
        environment_.metrics->add("calls_total", "shed_unread");
    }
}

duration proxy::longest_target() {
    const auto& config = environment_.view->config();
    if (config == nullptr) {
        return duration::max() / 2;
    }
    if (config != targets_of_) {
        targets_of_ = config;
        longest_target_ = {};
        for (const auto& it : config->routes) {
            longest_target_ = std::max(longest_target_, it.target_latency);
        }
    }
    return longest_target_;
}

void proxy::note_reading() {
    if (horizon_.note_reading(now())) {
        send_loop_probe();
    }
}

void proxy::send_loop_probe() {
    if (!mark_.send()) {
        horizon_.note_probe_lost();
    }
}

void proxy::note_probe_read() {
    const auto at = now();
    intake_pacer_.note_read_delay(horizon_.delay(at), at, gate_.is_refusal_budget_low());
    if (horizon_.note_probe_read(at)) {
        send_loop_probe();
    }
    decide_read_calls();
    watch_gate();
}

void proxy::decide_read_calls() {
    if ((intake_.empty() && late_.empty()) || stopped_) {
        return;
    }
    const auto in_time = [this](duration age, duration target) { return gauge_.can_begin(age, target, now()); };
    turn_away(intake_.take_expired(in_time, now()));
    const auto refusing_since = now();
    while (!late_.empty() && now() - refusing_since < max_decision_time) {
        const auto ticket = late_.front();
        late_.pop_front();
        turn_away(ticket);
    }
    const auto beginning_since = now();
    intake_.order([&](const team_id& team) { return dispatcher_.usage().used(team, beginning_since); });
    while (!intake_.empty() && now() - beginning_since < max_decision_time &&
           intake_pacer_.available_calls(now()) >= 1.0) {
        const auto next = intake_.take_next();
        const auto it = exchanges_.find(next.ticket);
        if (it == exchanges_.end()) {
            continue; // Its caller has left.
        }
        const auto at = now();
        if (in_time(at - next.arrived, next.target)) {
            const section_timer timed{*environment_.time, *environment_.metrics, "begins"};
            environment_.metrics->add("calls_begun_total");
            intake_pacer_.note_begun();
            work_.note_begun();
            ++begun_in_turn_;
            const auto call = it->second;
            call->begin(at);
        } else {
            turn_away(next.ticket);
        }
    }
    turn_away(intake_.take_excess(intake_pacer_.calls_per_s(), in_time, now()));
    if (!late_.empty() || (!intake_.empty() && intake_pacer_.available_calls(now()) >= 1.0)) {
        note_reading(); // Goes on once what came meanwhile is read.
    }
}

void proxy::turn_away(const std::vector<ticket_id>& calls) {
    late_.insert(late_.end(), calls.begin(), calls.end());
}

void proxy::turn_away(ticket_id ticket) {
    if (const auto it = exchanges_.find(ticket); it != exchanges_.end()) {
        const section_timer timed{*environment_.time, *environment_.metrics, "refusals", &work_.refusal_time()};
        work_.note_refused();
        ++turned_away_in_turn_;
        const auto call = it->second;
        ++turned_away_[call->team()];
        call->reject_overloaded(return_of_turned_away(now()), now());
    }
}

duration proxy::return_of_turned_away(time_point now) {
    std::uniform_real_distribution<double> spread{0.8, 1.3}; // They should not come together.
    const auto base = gauge_.time_until_rotation_exit(now).value_or(usual_return);
    return std::max(exchange::short_retry_after, std::chrono::duration_cast<duration>(base * spread(random_)));
}

void proxy::tell_turned_away(time_point now) {
    if (turned_away_.empty() || now - turned_away_told_ < refusal_log_interval) {
        return;
    }
    turned_away_told_ = now;
    std::vector<std::pair<std::uint64_t, team_id>> teams;
    std::uint64_t calls = 0;
    for (const auto& [team, n] : turned_away_) {
        teams.emplace_back(n, team);
        calls += n;
    }
    turned_away_.clear();
    std::ranges::sort(teams, std::greater{});
    std::string text;
    for (const auto& [n, team] : std::span{teams}.first(std::min(teams.size(), most_teams_told))) {
        text += concat(text.empty() ? "" : ",", team.value, ":", n);
    }
    environment_.log->write(
        log_level::warn, "calls_turned_away",
        {{"calls", std::to_string(calls)},
         {"teams", text},
         {"read_delay_ms", std::to_string(static_cast<std::int64_t>(to_ms(read_delay())))},
         {"late_ms", std::to_string(static_cast<std::int64_t>(to_ms(gauge_.mean_lateness())))},
         {"most_begun_per_s", std::to_string(static_cast<std::int64_t>(intake_pacer_.calls_per_s()))},
         {"left", std::to_string(intake_.size())},
         {"open_calls", std::to_string(exchanges_.size())},
         {"connections", std::to_string(callers_.size())}});
}

} // namespace dandelionbay
