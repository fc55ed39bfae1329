#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/dispatch/round_pacer.hpp"
#include "dandelionbay/dispatch/team_usage.hpp"
#include "dandelionbay/proxy/accept_controller.hpp"
#include "dandelionbay/proxy/admission_queue.hpp"
#include "dandelionbay/proxy/admission_rate_limiter.hpp"
#include "dandelionbay/proxy/overload_detector.hpp"
#include "dandelionbay/proxy/proxy.hpp"
#include "dandelionbay/proxy/read_delay_estimator.hpp"
#include "dandelionbay/proxy/refusal_time_meter.hpp"

namespace dandelionbay {

/*! What work takes on a whole core, as measured at a host of a tenth of a core: 330 us a served call, 35 to 55 us one
 * that is refused. */
struct work_costs {
    std::chrono::microseconds accept{15};
    std::chrono::microseconds read{20};
    std::chrono::microseconds begin{175};
    std::chrono::microseconds answer{120};
    std::chrono::microseconds refuse{20};
    std::chrono::microseconds tick{60};
    std::chrono::microseconds mark{6};
    std::chrono::microseconds fleet{1'000}; //!< Messages of peers and the registry, each tenth of a second.

    /*! Calls that a share of a core can serve in a second. */
    [[nodiscard]] double capacity(double share) const {
        constexpr double fleets_per_s = 10.0;
        constexpr double ticks_per_s = 30.0;
        const double left = share * 1e6 - fleets_per_s * static_cast<double>(fleet.count()) -
                            ticks_per_s * static_cast<double>(tick.count());
        return left / static_cast<double>((accept + read + begin + answer).count());
    }
};

/*! A processor of which a share is ours: evenly, or in one piece of each tenth of a second. */
class simulated_processor {
public:
    simulated_processor(double share, bool quota) : share_{share}, quota_{quota} {}

    /*! @return When work that begins now is done. */
    [[nodiscard]] time_point spend(time_point now, std::chrono::microseconds work) {
        using std::chrono::microseconds;
        if (!quota_) {
            return now + std::chrono::duration_cast<duration>(work / share_);
        }
        while (work > microseconds{}) {
            const auto begin = time_point{now.time_since_epoch() / period * period};
            if (begin != period_) {
                period_ = begin;
                used_ = {};
            }
            const auto left = std::chrono::duration_cast<duration>(period * share_) - used_;
            const auto piece = std::min<duration>(work, left);
            used_ += piece;
            work -= piece;
            now += piece;
            if (work > microseconds{}) {
                now = period_ + period;
            }
        }
        return now;
    }

private:
    static constexpr duration period = std::chrono::milliseconds{100};

    double share_;
    bool quota_;
    time_point period_{};
    duration used_{};
};

/*! A call, as its caller and the balancer see it. */
struct seen_call {
    team_id team{};
    time_point sent{};
    std::optional<time_point> placed{};
    std::optional<time_point> answered{};
    bool served{};
    bool connected{true};
    std::size_t caller{};
};

/*! Orders calls in a priority queue: the first one is that which was sent first. */
struct later_sent {
    bool operator()(const seen_call& a, const seen_call& b) const { return a.sent > b.sent; }
};

/*! How a host works out how old a call is when it reads it. */
enum class age_rule : std::uint8_t { last_turn, horizon };

struct host_options {
    double share{0.09};
    bool quota{};
    age_rule ages{age_rule::horizon};
};

/*! A host whose work takes time on the clock. */
class simulated_host {
public:
    /*! Told of each call that is answered, or whose connection is refused. */
    using end_handler = std::function<void(const seen_call&)>;

    simulated_host(const host_options& options, time_point start)
        : options_{options}, processor_{options.share, options.quota}, now_{start}, horizon_{start}, next_tick_{start},
          next_fleet_{start} {}

    void on_end(end_handler handler) { ended_ = std::move(handler); }

    /*! What a peer tells of the teams' service. */
    [[nodiscard]] team_usage& usage() { return usage_; }

    /*! A caller connects. */
    void come(seen_call it) { coming_.push(std::move(it)); }

    [[nodiscard]] bool ready() const { return !gauge_.is_overloaded(); }
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] const std::vector<seen_call>& calls() const { return calls_; }

    /*! One turn of its event loop, or the wait for the next event. */
    void turn() {
        wait_for_event();
        accept_waiting();
        read_accepted();
        std::deque<host_event> batch;
        for (std::size_t n = std::min(turn_size, ready_.size()); n > 0; --n) {
            batch.push_back(ready_.front());
            ready_.pop_front();
        }
        for (const auto& it : batch) {
            handle(it);
        }
        if (now_ >= next_tick_) {
            tick();
        }
        if (now_ >= next_fleet_) {
            next_fleet_ = now_ + std::chrono::milliseconds{100};
            spend(costs_.fleet);
        }
    }

private:
    /*! Ready sockets that one turn of the loop takes, and connections that the system holds. */
    static constexpr std::size_t turn_size = 128;
    static constexpr std::size_t system_queue = 4'096;
    /*! Connections accepted in a turn by a host that does not work out the age of what it reads. */
    static constexpr std::size_t accepted_in_turn = 64;
    static constexpr duration max_reading_time = proxy::max_reading_time;
    static constexpr duration max_decision_time = proxy::max_decision_time;
    static constexpr std::chrono::milliseconds call_target{600};
    static constexpr std::chrono::seconds call_limit{3};

    enum class event_kind : std::uint8_t { answer, mark };

    struct host_event {
        time_point at{};
        event_kind kind{};
        std::size_t call{};

        friend bool operator>(const host_event& a, const host_event& b) { return a.at > b.at; }
    };

    struct accepted_call {
        std::size_t call{};
        time_point came{};
    };

    void spend(std::chrono::microseconds work) { now_ = processor_.spend(now_, work); }

    void wait_for_event() {
        take_ready();
        if (!ready_.empty() || !waiting_.empty() || !accepted_.empty()) {
            return;
        }
        auto next = std::min(next_tick_, next_fleet_);
        next = std::min(next, coming_.empty() ? next : coming_.top().sent);
        next = std::min(next, later_.empty() ? next : later_.top().at);
        now_ = std::max(now_, next);
        take_ready();
    }

    /*! What has come by now waits to be accepted or read. */
    void take_ready() {
        while (!coming_.empty() && coming_.top().sent <= now_) {
            auto next = coming_.top();
            coming_.pop();
            next.connected = gate_.is_accepting() && waiting_.size() < system_queue;
            calls_.push_back(next);
            if (next.connected) {
                waiting_.push_back(calls_.size() - 1);
            } else {
                end(calls_.size() - 1, next.sent);
            }
        }
        for (; !later_.empty() && later_.top().at <= now_; later_.pop()) {
            ready_.push_back(later_.top());
        }
    }

    void accept_waiting() {
        const bool all = options_.ages == age_rule::horizon;
        for (auto n = all ? waiting_.size() : std::min(waiting_.size(), accepted_in_turn); n > 0; --n) {
            const auto call = waiting_.front();
            waiting_.pop_front();
            take_in(costs_.accept);
            accepted_.push_back({call, now_ - delay()});
            note_reading();
        }
        watch_gate();
    }

    void read_accepted() {
        const auto began = now_;
        while (!accepted_.empty() && (options_.ages == age_rule::last_turn || now_ - began < max_reading_time)) {
            const auto next = accepted_.front();
            accepted_.pop_front();
            if (options_.ages == age_rule::last_turn) {
                spend(costs_.read);
                if (gauge_.can_begin(gauge_.read_delay(now_), call_target, now_)) {
                    begin(next.call, now_ - gauge_.read_delay(now_));
                } else {
                    refuse(next.call);
                }
            } else if (gauge_.can_begin(now_ - next.came, call_target, now_)) {
                take_in(costs_.read);
                intake_.add({next.call, calls_[next.call].team, 1.0, next.came, call_target});
            } else {
                refuse(next.call);
            }
        }
        watch_gate();
    }

    void take_in(std::chrono::microseconds work) {
        const auto began = now_;
        spend(work);
        meter_.admission_time() += now_ - began;
    }

    void watch_gate() {
        if (options_.ages == age_rule::horizon) {
            gate_.update(meter_.take_refusal_time(), accepted_.size(), intake_.size(), horizon_.delay(now_), now_);
        }
    }

    [[nodiscard]] duration delay() const { return std::max(gauge_.read_delay(now_), horizon_.delay(now_)); }

    void handle(const host_event& it) {
        if (it.kind == event_kind::answer) {
            spend(costs_.answer);
            note_reading();
            calls_[it.call].served = true;
            end(it.call, now_);
            return;
        }
        spend(costs_.mark);
        pacer_.note_read_delay(horizon_.delay(now_), now_, gate_.is_refusal_budget_low());
        if (horizon_.note_probe_read(now_)) {
            ready_.push_back({now_, event_kind::mark, 0});
        }
        decide();
    }

    void note_reading() {
        if (options_.ages == age_rule::horizon && horizon_.note_reading(now_)) {
            ready_.push_back({now_, event_kind::mark, 0});
        }
    }

    void begin(std::size_t call, time_point came) {
        if (now_ - came > call_limit) {
            refuse(call);
            return;
        }
        spend(costs_.begin);
        ++begun_;
        meter_.note_begun();
        usage_.add(calls_[call].team, 1.0, now_);
        calls_[call].placed = now_;
        later_.push({now_ + std::chrono::milliseconds{60}, event_kind::answer, call});
    }

    void refuse(std::size_t call) {
        const auto began = now_;
        spend(costs_.refuse);
        meter_.refusal_time() += now_ - began;
        meter_.note_refused();
        refused_ += options_.ages == age_rule::horizon ? 1U : 0U;
        usage_.add_refused(calls_[call].team, 1.0, now_);
        end(call, now_);
    }

    void end(std::size_t call, time_point at) {
        calls_[call].answered = at;
        if (ended_) {
            ended_(seen_call{calls_[call]});
        }
    }

    void decide() {
        const auto in_time = [&](duration age, duration target) { return gauge_.can_begin(age, target, now_); };
        for (const auto ticket : intake_.take_expired(in_time, now_)) {
            refuse(ticket);
        }
        const auto began = now_;
        intake_.order([&](const team_id& team) { return usage_.used(team, now_); });
        while (!intake_.empty() && now_ - began < max_decision_time && pacer_.available_calls(now_) >= 1.0) {
            const auto next = intake_.take_next();
            if (in_time(now_ - next.arrived, next.target)) {
                pacer_.note_begun();
                begin(next.ticket, next.arrived);
            } else {
                refuse(next.ticket);
            }
        }
        for (const auto ticket : intake_.take_excess(pacer_.calls_per_s(), in_time, now_)) {
            refuse(ticket);
        }
        if (!intake_.empty() && pacer_.available_calls(now_) >= 1.0) {
            note_reading();
        }
    }

    void tick() {
        const auto due = next_tick_;
        spend(costs_.tick);
        const auto refusing =
            overload_detector::equivalent_lateness(std::exchange(refused_, 0), std::exchange(begun_, 0));
        watch_gate();
        const auto pressure = gate_.is_accepting() ? refusing : overload_detector::max_turn_lateness;
        static_cast<void>(gauge_.note_turn(now_ - due, now_, horizon_.delay(now_), pressure));
        note_reading();
        if (!intake_.empty()) {
            decide();
        }
        next_tick_ = now_ + round_pacer::idle_interval;
        gauge_.set_next_turn(next_tick_);
    }

    host_options options_;
    work_costs costs_{};
    simulated_processor processor_;
    end_handler ended_{};
    time_point now_;
    overload_detector gauge_{};
    read_delay_estimator horizon_;
    admission_queue intake_{};
    admission_rate_limiter pacer_{};
    accept_controller gate_{};
    refusal_time_meter meter_{};
    team_usage usage_{};
    std::priority_queue<seen_call, std::vector<seen_call>, later_sent> coming_{};
    std::vector<seen_call> calls_{};
    std::deque<std::size_t> waiting_{}; //!< In the system's queue of new connections.
    std::deque<accepted_call> accepted_{};
    std::deque<host_event> ready_{};
    std::priority_queue<host_event, std::vector<host_event>, std::greater<>> later_{};
    time_point next_tick_;
    time_point next_fleet_;
    std::uint64_t refused_{}; //!< Since the last tick.
    std::uint64_t begun_{};
};

/*! The balancer's view of a host: it looks each second, and sends no callers after two misses. */
class rotation_watch {
public:
    explicit rotation_watch(time_point start) : next_probe_{start} {}

    /*! Looks as often as it would have by now. */
    void follow(const simulated_host& host, time_point at) {
        while (next_probe_ <= at) {
            misses_ = host.ready() ? 0 : misses_ + 1;
            in_rotation_ += out() ? duration{} : duration{std::chrono::seconds{1}};
            next_probe_ += std::chrono::seconds{1};
        }
    }

    [[nodiscard]] bool out() const { return misses_ >= 2; }

    /*! Time for which it sent callers. */
    [[nodiscard]] duration in_rotation() const { return in_rotation_; }

private:
    time_point next_probe_;
    duration in_rotation_{};
    int misses_{};
};

} // namespace dandelionbay
