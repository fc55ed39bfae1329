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

/*! Processor time per operation of a host with a tenth of a core, in time of a whole core: 330 us for a served call,
 * 35 to 55 us for a refused one. */
struct work_costs {
    std::chrono::microseconds accept{15};
    std::chrono::microseconds read{20};
    std::chrono::microseconds begin{175};
    std::chrono::microseconds answer{120};
    std::chrono::microseconds refuse{20};
    std::chrono::microseconds tick{60};
    std::chrono::microseconds probe{6};
    std::chrono::microseconds fleet_messages{1'000}; //!< Messages of peers and the registry, every 100 ms.

    /*! Number of calls per second that a share of a core can serve. */
    [[nodiscard]] double capacity(double share) const {
        constexpr double fleet_message_rounds_per_s = 10.0;
        constexpr double ticks_per_s = 30.0;
        const double left = share * 1e6 - fleet_message_rounds_per_s * static_cast<double>(fleet_messages.count()) -
                            ticks_per_s * static_cast<double>(tick.count());
        return left / static_cast<double>((accept + read + begin + answer).count());
    }
};

/*! A processor share, available evenly or as a quota in one piece of each 100 ms. */
class simulated_processor {
public:
    simulated_processor(double share, bool has_quota) : share_{share}, has_quota_{has_quota} {}

    /*! @return When work that starts now is done. */
    [[nodiscard]] time_point spend(time_point now, std::chrono::microseconds work) {
        using std::chrono::microseconds;
        if (!has_quota_) {
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
    bool has_quota_;
    time_point period_{};
    duration used_{};
};

/*! A call as the caller and the balancer see it. */
struct simulated_call {
    team_id team{};
    time_point sent{};
    std::optional<time_point> placed{};
    std::optional<time_point> answered{};
    bool served{};
    bool connected{true};
    std::size_t caller{};
};

/*! Orders a priority queue by the time of sending, earliest first. */
struct sent_later {
    bool operator()(const simulated_call& a, const simulated_call& b) const { return a.sent > b.sent; }
};

/*! How a host determines the age of a call when it reads it: from its last turn, or with read_delay_estimator. */
enum class age_estimate : std::uint8_t { last_turn, estimator };

struct host_options {
    double share{0.09};
    bool has_quota{};
    age_estimate call_age{age_estimate::estimator};
};

/*! A simulated host whose work takes simulated time. */
class simulated_host {
public:
    /*! Called for each call that was answered or whose connection was refused. */
    using call_end_handler = std::function<void(const simulated_call&)>;

    simulated_host(const host_options& options, time_point start)
        : options_{options}, processor_{options.share, options.has_quota}, now_{start}, read_delay_estimator_{start},
          next_tick_{start}, next_fleet_message_{start} {}

    void on_end(call_end_handler handler) { on_end_ = std::move(handler); }

    /*! Usage of the teams' service, as peers report it. */
    [[nodiscard]] team_usage& usage() { return usage_; }

    /*! A caller connects. */
    void connect(simulated_call it) { scheduled_calls_.push(std::move(it)); }

    [[nodiscard]] bool is_ready() const { return !overload_detector_.is_overloaded(); }
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] const std::vector<simulated_call>& calls() const { return calls_; }

    /*! Runs one turn of the event loop, or waits for the next event. */
    void run_turn() {
        wait_for_event();
        accept_waiting();
        read_accepted();
        std::deque<host_event> batch;
        for (std::size_t n = std::min(max_events_per_turn, ready_events_.size()); n > 0; --n) {
            batch.push_back(ready_events_.front());
            ready_events_.pop_front();
        }
        for (const auto& it : batch) {
            handle(it);
        }
        if (now_ >= next_tick_) {
            tick();
        }
        if (now_ >= next_fleet_message_) {
            next_fleet_message_ = now_ + std::chrono::milliseconds{100};
            spend(costs_.fleet_messages);
        }
    }

private:
    /*! Maximum number of ready sockets handled in a turn, and of connections in the system's accept queue. */
    static constexpr std::size_t max_events_per_turn = 128;
    static constexpr std::size_t max_accept_backlog = 4'096;
    /*! Maximum number of connections accepted in a turn by a host without a read_delay_estimator. */
    static constexpr std::size_t max_accepted_per_turn = 64;
    static constexpr duration max_reading_time = proxy::max_reading_time;
    static constexpr duration max_decision_time = proxy::max_decision_time;
    static constexpr std::chrono::milliseconds call_target{600};
    static constexpr std::chrono::seconds call_time_limit{3};

    enum class event_kind : std::uint8_t { answer, probe };

    struct host_event {
        time_point at{};
        event_kind kind{};
        std::size_t call{};

        friend bool operator>(const host_event& a, const host_event& b) { return a.at > b.at; }
    };

    struct accepted_call {
        std::size_t call{};
        time_point arrived_at{};
    };

    void spend(std::chrono::microseconds work) { now_ = processor_.spend(now_, work); }

    void wait_for_event() {
        take_ready();
        if (!ready_events_.empty() || !accept_backlog_.empty() || !accepted_.empty()) {
            return;
        }
        auto next = std::min(next_tick_, next_fleet_message_);
        next = std::min(next, scheduled_calls_.empty() ? next : scheduled_calls_.top().sent);
        next = std::min(next, later_events_.empty() ? next : later_events_.top().at);
        now_ = std::max(now_, next);
        take_ready();
    }

    /*! Moves events that are due to the queues for accepting and reading. */
    void take_ready() {
        while (!scheduled_calls_.empty() && scheduled_calls_.top().sent <= now_) {
            auto next = scheduled_calls_.top();
            scheduled_calls_.pop();
            next.connected = accept_controller_.is_accepting() && accept_backlog_.size() < max_accept_backlog;
            calls_.push_back(next);
            if (next.connected) {
                accept_backlog_.push_back(calls_.size() - 1);
            } else {
                end(calls_.size() - 1, next.sent);
            }
        }
        for (; !later_events_.empty() && later_events_.top().at <= now_; later_events_.pop()) {
            ready_events_.push_back(later_events_.top());
        }
    }

    void accept_waiting() {
        const bool all = options_.call_age == age_estimate::estimator;
        for (auto n = all ? accept_backlog_.size() : std::min(accept_backlog_.size(), max_accepted_per_turn); n > 0;
             --n) {
            const auto call = accept_backlog_.front();
            accept_backlog_.pop_front();
            spend_on_admission(costs_.accept);
            accepted_.push_back({call, now_ - estimated_read_delay()});
            note_reading();
        }
        update_accept_controller();
    }

    void read_accepted() {
        const auto began = now_;
        while (!accepted_.empty() &&
               (options_.call_age == age_estimate::last_turn || now_ - began < max_reading_time)) {
            const auto next = accepted_.front();
            accepted_.pop_front();
            if (options_.call_age == age_estimate::last_turn) {
                spend(costs_.read);
                if (overload_detector_.can_begin(overload_detector_.read_delay(now_), call_target, now_)) {
                    begin(next.call, now_ - overload_detector_.read_delay(now_));
                } else {
                    refuse(next.call);
                }
            } else if (overload_detector_.can_begin(now_ - next.arrived_at, call_target, now_)) {
                spend_on_admission(costs_.read);
                admission_queue_.add({next.call, calls_[next.call].team, 1.0, next.arrived_at, call_target});
            } else {
                refuse(next.call);
            }
        }
        update_accept_controller();
    }

    void spend_on_admission(std::chrono::microseconds work) {
        const auto began = now_;
        spend(work);
        refusal_time_meter_.admission_time() += now_ - began;
    }

    void update_accept_controller() {
        if (options_.call_age == age_estimate::estimator) {
            accept_controller_.update(refusal_time_meter_.take_refusal_time(), accepted_.size(),
                                      admission_queue_.size(), read_delay_estimator_.delay(now_), now_);
        }
    }

    [[nodiscard]] duration estimated_read_delay() const {
        return std::max(overload_detector_.read_delay(now_), read_delay_estimator_.delay(now_));
    }

    void handle(const host_event& it) {
        if (it.kind == event_kind::answer) {
            spend(costs_.answer);
            note_reading();
            calls_[it.call].served = true;
            end(it.call, now_);
            return;
        }
        spend(costs_.probe);
        rate_limiter_.note_read_delay(read_delay_estimator_.delay(now_), now_,
                                      accept_controller_.is_refusal_budget_low());
        if (read_delay_estimator_.note_probe_read(now_)) {
            ready_events_.push_back({now_, event_kind::probe, 0});
        }
        decide();
    }

    void note_reading() {
        if (options_.call_age == age_estimate::estimator && read_delay_estimator_.note_reading(now_)) {
            ready_events_.push_back({now_, event_kind::probe, 0});
        }
    }

    void begin(std::size_t call, time_point arrived_at) {
        if (now_ - arrived_at > call_time_limit) {
            refuse(call);
            return;
        }
        spend(costs_.begin);
        ++begun_since_tick_;
        refusal_time_meter_.note_begun();
        usage_.add(calls_[call].team, 1.0, now_);
        calls_[call].placed = now_;
        later_events_.push({now_ + std::chrono::milliseconds{60}, event_kind::answer, call});
    }

    void refuse(std::size_t call) {
        const auto began = now_;
        spend(costs_.refuse);
        refusal_time_meter_.refusal_time() += now_ - began;
        refusal_time_meter_.note_refused();
        refused_since_tick_ += options_.call_age == age_estimate::estimator ? 1U : 0U;
        usage_.add_refused(calls_[call].team, 1.0, now_);
        end(call, now_);
    }

    void end(std::size_t call, time_point at) {
        calls_[call].answered = at;
        if (on_end_) {
            on_end_(simulated_call{calls_[call]});
        }
    }

    void decide() {
        const auto in_time = [&](duration age, duration target) {
            return overload_detector_.can_begin(age, target, now_);
        };
        for (const auto ticket : admission_queue_.take_expired(in_time, now_)) {
            refuse(ticket);
        }
        const auto began = now_;
        admission_queue_.order([&](const team_id& team) { return usage_.used(team, now_); });
        while (!admission_queue_.empty() && now_ - began < max_decision_time &&
               rate_limiter_.available_calls(now_) >= 1.0) {
            const auto next = admission_queue_.take_next();
            if (in_time(now_ - next.arrived, next.target)) {
                rate_limiter_.note_begun();
                begin(next.ticket, next.arrived);
            } else {
                refuse(next.ticket);
            }
        }
        for (const auto ticket : admission_queue_.take_excess(rate_limiter_.calls_per_s(), in_time, now_)) {
            refuse(ticket);
        }
        if (!admission_queue_.empty() && rate_limiter_.available_calls(now_) >= 1.0) {
            note_reading();
        }
    }

    void tick() {
        const auto due = next_tick_;
        spend(costs_.tick);
        const auto refusing = overload_detector::equivalent_lateness(std::exchange(refused_since_tick_, 0),
                                                                     std::exchange(begun_since_tick_, 0));
        update_accept_controller();
        const auto pressure = accept_controller_.is_accepting() ? refusing : overload_detector::max_turn_lateness;
        static_cast<void>(overload_detector_.note_turn(now_ - due, now_, read_delay_estimator_.delay(now_), pressure));
        note_reading();
        if (!admission_queue_.empty()) {
            decide();
        }
        next_tick_ = now_ + round_pacer::idle_interval;
        overload_detector_.set_next_turn(next_tick_);
    }

    host_options options_;
    work_costs costs_{};
    simulated_processor processor_;
    call_end_handler on_end_{};
    time_point now_;
    overload_detector overload_detector_{};
    read_delay_estimator read_delay_estimator_;
    admission_queue admission_queue_{};
    admission_rate_limiter rate_limiter_{};
    accept_controller accept_controller_{};
    refusal_time_meter refusal_time_meter_{};
    team_usage usage_{};
    std::priority_queue<simulated_call, std::vector<simulated_call>, sent_later> scheduled_calls_{};
    std::vector<simulated_call> calls_{};
    std::deque<std::size_t> accept_backlog_{}; //!< In the system's accept queue.
    std::deque<accepted_call> accepted_{};
    std::deque<host_event> ready_events_{};
    std::priority_queue<host_event, std::vector<host_event>, std::greater<>> later_events_{};
    time_point next_tick_;
    time_point next_fleet_message_;
    std::uint64_t refused_since_tick_{};
    std::uint64_t begun_since_tick_{};
};

/*! The balancer's view of a host: probes it every second, and stops sending callers after two failed probes. */
class rotation_watch {
public:
    explicit rotation_watch(time_point start) : next_probe_{start} {}

    /*! Runs the probes that are due by a given time. */
    void probe_until(const simulated_host& host, time_point at) {
        while (next_probe_ <= at) {
            failed_probes_ = host.is_ready() ? 0 : failed_probes_ + 1;
            time_in_rotation_ += is_out() ? duration{} : duration{std::chrono::seconds{1}};
            next_probe_ += std::chrono::seconds{1};
        }
    }

    [[nodiscard]] bool is_out() const { return failed_probes_ >= 2; }

    /*! Time for which the balancer sent callers to the host. */
    [[nodiscard]] duration time_in_rotation() const { return time_in_rotation_; }

private:
    time_point next_probe_;
    duration time_in_rotation_{};
    int failed_probes_{};
};

} // namespace dandelionbay
