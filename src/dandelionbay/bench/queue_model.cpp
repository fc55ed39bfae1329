#include "dandelionbay/bench/queue_model.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <tuple>

#include "dandelionbay/bench/fair_queue.hpp"
#include "dandelionbay/bench/fairness_meter.hpp"
#include "dandelionbay/bench/recorder.hpp"

namespace dandelionbay::bench {

namespace {

struct event {
    duration at{};
    std::uint64_t order{}; //!< Events of equal time happen in the order in which they were planned.
    std::size_t call{};
    bool token{}; //!< A token of a running call; otherwise the call's arrival.
};

struct later {
    [[nodiscard]] bool operator()(const event& a, const event& b) const noexcept {
        return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
};

struct modelled_call {
    std::size_t engine{};
    time_point sent{};
    time_point last_token{};
    std::uint32_t made{};
};

struct modelled_engine {
    std::uint32_t running{};
    std::deque<std::size_t> waiting{}; //!< With round_robin only.
};

struct lane {
    std::size_t outstanding{};
    std::deque<std::size_t> unsent{};
};

/*! @brief One calculation: a discrete-event simulation on its own time. */
class queue_model {
    [[nodiscard]] time_point now() const noexcept { return time_point{now_}; }

    [[nodiscard]] bool in_service(std::size_t engine) const {
        const auto& out = options_.outage;
        return !out || now_ < out->from || now_ >= out->until || std::ranges::count(out->engines, engine) == 0;
    }

    [[nodiscard]] bool can_start(std::size_t engine) const {
        return in_service(engine) && engines_[engine].running < options_.engine.slots;
    }

    [[nodiscard]] lane& lane_of(std::size_t call) {
        const auto& it = plan_->at(call);
        return lanes_.at(it.router * team_count + it.team);
    }

    void plan_event(duration at, std::size_t call, bool token) { events_.push({at, planned_++, call, token}); }

    /*! As engine_load::token_interval() of a warm engine within its slots. */
    [[nodiscard]] duration token_interval(std::size_t engine) const {
        const auto others = static_cast<double>(engines_[engine].running - 1);
        return std::chrono::duration_cast<duration>(options_.engine.token_interval *
                                                    (1 + options_.engine.interval_growth * others));
    }

    void start(std::size_t call, std::size_t engine) {
        ++engines_[engine].running;
        calls_[call].engine = engine;
        plan_event(now_ + options_.engine.first_token, call, true);
    }

    /*! The engine with the fewest running calls that can start one; the number of engines if there is none. */
    [[nodiscard]] std::size_t emptiest_engine() const {
        std::size_t out = engines_.size();
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            if (can_start(i) && (out == engines_.size() || engines_[i].running < engines_[out].running)) {
                out = i;
            }
        }
        return out;
    }

    /*! Takes a call from the fair queues in turn. */
    [[nodiscard]] std::optional<std::size_t> next_call() {
        const std::size_t count = policy_ == queue_policy::central_queue ? 1 : router_count;
        for (std::size_t n = 0; n < count; ++n) {
            const auto call = queues_.at(turn_++ % count).pop();
            if (call) {
                return call;
            }
        }
        return std::nullopt;
    }

    void start_waiting() {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            // What waits at an engine that goes out of service is finished there.
            while (!engines_[i].waiting.empty() && engines_[i].running < options_.engine.slots) {
                const auto call = engines_[i].waiting.front();
                engines_[i].waiting.pop_front();
                start(call, i);
            }
        }
        for (auto engine = emptiest_engine(); engine < engines_.size(); engine = emptiest_engine()) {
            const auto call = next_call();
            if (!call) {
                return;
            }
            start(*call, engine);
        }
    }

    void send(std::size_t call) {
        const auto& it = plan_->at(call);
        calls_[call].sent = now();
        results_.sent(it.router, it.team, now());
        if (policy_ == queue_policy::round_robin) {
            auto& next = next_engine_.at(it.router);
            do {
                ++next;
            } while (!in_service(next % engines_.size()));
            engines_[next % engines_.size()].waiting.push_back(call);
        } else {
            const auto router = policy_ == queue_policy::central_queue ? 0 : it.router;
            queues_.at(router).push(it.team, call, cost_of(it));
        }
    }

    void arrive(std::size_t call) {
        if (plan_->at(call).is_order()) {
            results_.end(plan_->at(call).router, ending::complete, now());
            return;
        }
        auto& from = lane_of(call);
        from.unsent.push_back(call);
        send_next(from);
    }

    void send_next(lane& from) {
        while (!from.unsent.empty() && from.outstanding < options_.calls_per_lane) {
            const auto call = from.unsent.front();
            from.unsent.pop_front();
            if (now_ > options_.last_send) {
                results_.end(plan_->at(call).router, ending::unsent, now());
                continue;
            }
            ++from.outstanding;
            send(call);
        }
    }

    void make_token(std::size_t call) {
        const auto& planned = plan_->at(call);
        auto& it = calls_[call];
        if (it.made == 0) {
            results_.answered(planned.router, planned.team, it.sent);
            results_.first_token(planned.router, time_point{planned.at}, now());
            results_.count_input(planned.router, planned.team, input_of(planned));
        } else {
            results_.next_token(now() - it.last_token);
        }
        it.last_token = now();
        results_.count_token(planned.router, planned.team, now());
        if (++it.made < planned.tokens) {
            plan_event(now_ + token_interval(it.engine), call, true);
            return;
        }
        --engines_[it.engine].running;
        results_.end(planned.router, ending::complete, now());
        --lane_of(call).outstanding;
        send_next(lane_of(call));
    }

    /*! Moves the time on and samples on the way, within the length of the load. */
    void advance(duration to) {
        while (sampled_ + sample_interval <= std::min(to, length_)) {
            sampled_ += sample_interval;
            fairness_.add(results_.sample(time_point{sampled_}), sample_interval);
        }
        std::uint32_t running = 0;
        for (const auto& it : engines_) {
            running += it.running;
        }
        running_time_ += std::chrono::duration<double>{std::max(duration{0}, std::min(to, length_) - now_)} * running;
        now_ = to;
    }

    [[nodiscard]] nlohmann::json report() const {
        const auto seen = results_.report();
        const auto slots = static_cast<double>(engines_.size()) * options_.engine.slots;
        return {{"requests_per_s", seen["requests_per_s"]},
                {"ttft_ms", seen["ttft_ms"]},
                {"tokens_by_team", seen["tokens_by_team"]},
                {"utilisation_ratio", running_time_ / (slots * std::chrono::duration<double>{length_})},
                {"fairness_gap_tokens", fairness_.gap()},
                {"fairness_gap_cost_units", fairness_.cost_gap()},
                {"contended_s", std::chrono::duration<double>{fairness_.contended()}.count()}};
    }

public:
    queue_model(queue_policy policy, const std::vector<arrival>& plan, std::chrono::seconds length,
                const queue_model_options& options)
        : policy_{policy}, plan_{&plan}, length_{length}, options_{options}, calls_(plan.size()),
          engines_(options.engines), results_{static_cast<std::size_t>(length.count())} {}

    [[nodiscard]] nlohmann::json run() {
        for (std::size_t i = 0; i < plan_->size(); ++i) {
            plan_event(plan_->at(i).at, i, false);
        }
        if (options_.outage) {
            change_at_ = options_.outage->until;
        }
        while (!events_.empty()) {
            const auto it = events_.top();
            if (change_at_ && *change_at_ <= it.at) {
                advance(*change_at_);
                change_at_.reset();
                start_waiting();
                continue;
            }
            events_.pop();
            advance(it.at);
            if (it.token) {
                make_token(it.call);
            } else {
                arrive(it.call);
            }
            start_waiting();
        }
        advance(std::max(now_, length_));
        return report();
    }

private:
    queue_policy policy_;
    const std::vector<arrival>* plan_;
    duration length_;
    queue_model_options options_;
    std::vector<modelled_call> calls_;
    std::vector<modelled_engine> engines_;
    recorder results_;
    fairness_meter fairness_;
    std::array<lane, router_count * team_count> lanes_;
    std::array<fair_queue, router_count> queues_; //!< With central_queue only the first.
    std::array<std::size_t, router_count> next_engine_{};
    std::size_t turn_{0};
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t planned_{0};
    std::optional<duration> change_at_; //!< When the engines return.
    duration now_{0};
    duration sampled_{0};
    std::chrono::duration<double> running_time_{0};
};

} // namespace

std::string_view name_of(queue_policy policy) noexcept {
    switch (policy) {
    case queue_policy::round_robin:
        return "round_robin";
    case queue_policy::per_router_fairness:
        return "per_router_fairness";
    case queue_policy::central_queue:
        return "central_queue";
    }
    return "";
}

nlohmann::json run_queue_model(queue_policy policy, const std::vector<arrival>& plan, std::chrono::seconds length,
                               const queue_model_options& options) {
    return queue_model{policy, plan, length, options}.run();
}

nlohmann::json run_baselines(const std::vector<arrival>& plan, std::chrono::seconds length,
                             const queue_model_options& options) {
    nlohmann::json out;
    for (const auto policy :
         {queue_policy::round_robin, queue_policy::per_router_fairness, queue_policy::central_queue}) {
        out[std::string{name_of(policy)}] = run_queue_model(policy, plan, length, options);
    }
    return out;
}

} // namespace dandelionbay::bench
