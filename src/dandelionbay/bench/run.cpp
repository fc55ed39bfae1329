#include "dandelionbay/bench/run.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "dandelionbay/app/dev_fleet.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/bench/balancer.hpp"
#include "dandelionbay/bench/fairness_meter.hpp"
#include "dandelionbay/bench/fleet_disturbance.hpp"
#include "dandelionbay/bench/load_generator.hpp"
#include "dandelionbay/bench/queue_model.hpp"
#include "dandelionbay/bench/recorder.hpp"
#include "dandelionbay/bench/split_meter.hpp"

namespace dandelionbay::bench {

namespace {

using nlohmann::json;

/*! Calls that are late at the end of the load are still sent for as long as this. */
constexpr std::chrono::seconds drain_limit{20};
/*! D of docs/fairness.md: the exchange interval of 200 ms, and one more for the hop between the two regions. */
constexpr std::chrono::milliseconds exchange_delay{400};
[[nodiscard]] time_point now() noexcept {
    return monotonic_clock{}.now();
}

/*! @brief One run: the fleet, and what is sampled from it. */
class bench_run {
    void print(std::string_view line) {
        const std::lock_guard lock{progress_mutex_};
        *progress_ << line << std::endl; // Flushed, because people watch it.
    }

    [[nodiscard]] balancer::port_list ports() const {
        return {fleet_.routers().at(0)->caller_port(), fleet_.routers().at(1)->caller_port()};
    }

    /*! Runs a load whose figures are dropped. */
    void warm_endpoints() {
        recorder unused{1};
        const balancer routers{ports()};
        load_generator load{plan_arrivals(warm_up(), options_.warm_up, options_.seed + 1), routers,
                            options_.warm_up + drain_limit, unused, engine_times_};
        print(concat("warm-up of ", options_.warm_up.count(), " s"));
        static_cast<void>(load.start());
        load.finish();
    }

    template<typename Nodes>
    [[nodiscard]] static double control_bytes(const Nodes& nodes) {
        counters::value_type sum = 0;
        for (const auto& it : nodes) {
            sum += it->metrics().total("control_bytes_sent_total");
        }
        return static_cast<double>(sum);
    }

    [[nodiscard]] duration control_cpu_time() const {
        duration sum{0};
        for (const auto& it : fleet_.routers()) {
            sum += it->control_cpu_time();
        }
        for (const auto& it : fleet_.agents()) {
            sum += it->control_cpu_time();
        }
        return sum;
    }

    /*! Adds the bound of docs/fairness.md for teams of weight 1; output tokens cost two units. */
    void add_bound(json& out, const std::vector<arrival>& plan) const {
        double largest = 0;
        for (const auto& it : plan) {
            largest = std::max(largest, it.is_order() ? 0 : static_cast<double>(cost_of(it)));
        }
        const double rate = fairness_.rate();
        const double delay = std::chrono::duration<double>{exchange_delay}.count();
        const double bound = 2 * (largest + largest) + 2 * rate * delay;
        out["fairness_bound_cost_units"] = bound;
        out["fairness_bound_tokens"] = bound / 2;
        out["fairness_bound_terms"] = {
            {"L_cost_units", largest}, {"E_cost_units", largest}, {"R_cost_units_per_s", rate}, {"D_s", delay}};
    }

    void add_widest_gap(json& out) const {
        out["fairness_gap_between"] = nullptr;
        if (const auto it = fairness_.widest()) {
            const auto seconds = [](duration n) { return std::chrono::duration<double>{n}.count(); };
            out["fairness_gap_between"] = {{"ahead_team", it->first},
                                           {"behind_team", it->second},
                                           {"from_s", seconds(it->from)},
                                           {"until_s", seconds(it->until)}};
        }
    }

    void add_baselines(json& out, const std::vector<arrival>& plan, const fleet_disturbance& during) const {
        queue_model_options model;
        model.engines = fleet_.engines().size();
        model.last_send = options_.length + drain_limit;
        model.outage = during.outage();
        out["baselines"] = run_baselines(plan, options_.length, model);
        const auto of_central = [&](const char* figure) {
            const double ideal = out["baselines"]["central_queue"][figure];
            return ideal > 0 ? json(out[figure].get<double>() / ideal) : json(nullptr);
        };
        out["utilisation_of_central_queue"] = of_central("utilisation_ratio");
        out["requests_per_s_of_central_queue"] = of_central("requests_per_s");
    }

    void add_to_split(const fleet_disturbance& during, const recorder& results, time_point at, duration step) {
        std::array<region_sample, router_count> regions;
        for (std::size_t i = 0; i < router_count; ++i) {
            regions.at(i) = {results.sample(i, at), results.refused(i)};
        }
        const auto bytes = control_bytes(fleet_.routers()) + control_bytes(fleet_.agents());
        split_.add(during.part(), regions, results.sample(at), step, bytes);
    }

    void add_split(json& out, const recorder& results) const {
        out["split"] = nullptr;
        if (options_.load.during != disturbance::region_split) {
            return;
        }
        std::array<std::string, router_count> names;
        json by_second;
        for (std::size_t i = 0; i < router_count; ++i) {
            names.at(i) = app::dev_fleet::region_of_router(i);
            auto& region = by_second[names.at(i)] = json::array();
            for (const auto& it : results.seconds(i)) {
                region.push_back({{"complete", it.complete}, {"tokens", it.tokens}, {"refused", it.refused}});
            }
        }
        out["split"] = split_.report(names, static_cast<double>(fleet_.routers().size() + fleet_.agents().size()));
        out["split"]["service_by_second"] = std::move(by_second);
    }

    void sample_service(time_point start, time_point end, const recorder& results, const fleet_disturbance& during) {
        auto last = now();
        std::size_t printed = 0;
        while (last < end) {
            std::this_thread::sleep_until(std::min(end, last + sample_interval));
            const auto at = now();
            const std::chrono::duration<double> step = at - last;
            for (const auto& it : fleet_.engines()) {
                running_time_ += step.count() * it->running();
                slot_time_ += step.count() * standin_engine_options{}.slots;
            }
            fairness_.add(results.sample(at), at - last);
            if (options_.load.during == disturbance::region_split) {
                add_to_split(during, results, at, at - last);
            }
            last = at;
            const auto seconds = results.seconds();
            if (at - start >= std::chrono::seconds{printed + 1} && printed < seconds.size()) {
                const auto& it = seconds[printed];
                print(concat("second ", ++printed, ": ", it.complete, " complete, ", it.tokens, " tokens"));
            }
        }
    }

    /*! Compares the orders that were sent with the runs that the order stand-ins report. */
    [[nodiscard]] std::uint64_t doubled_orders() const {
        std::map<std::string, std::uint64_t> runs;
        for (const auto& service : fleet_.services()) {
            for (const auto& [order, n] : service->runs()) {
                runs[order] += n;
            }
        }
        return static_cast<std::uint64_t>(std::ranges::count_if(runs, [](const auto& it) { return it.second > 1; }));
    }

public:
    bench_run(const bench_options& options, std::ostream& progress)
        : options_{options}, progress_{&progress}, fleet_{app::dev_options{.relays = options.load.during ==
                                                                                     disturbance::region_split}} {}

    [[nodiscard]] absl::StatusOr<json> run() {
        if (auto status = fleet_.start(); !status.ok()) {
            return status;
        }
        for (const auto& it : fleet_.engines()) {
            it->observe([this](const engine_token& token) { engine_times_.add(token); });
        }
        warm_endpoints();
        const auto plan = plan_arrivals(options_.load, options_.length, options_.seed);
        recorder results{static_cast<std::size_t>(options_.length.count())};
        balancer routers{ports()};
        load_generator load{plan, routers, options_.length + drain_limit, results, engine_times_};
        if (options_.load.during == disturbance::host_restarts) {
            routers.start();
        }
        const auto start = load.start();
        const auto end = start + options_.length;
        std::this_thread::sleep_until(start);
        const auto router_bytes = control_bytes(fleet_.routers());
        const auto agent_bytes = control_bytes(fleet_.agents());
        const auto cpu_before = control_cpu_time();
        fleet_disturbance during{fleet_, options_.load.during, start, options_.length,
                                 [this](std::string_view line) { print(line); }};
        std::thread other{[&] { during.run(); }};
        sample_service(start, end, results, during);
        other.join();
        const auto router_sent =
            control_bytes(fleet_.routers()) + control_bytes(during.replaced_routers()) - router_bytes;
        const auto agent_sent = control_bytes(fleet_.agents()) + control_bytes(during.replaced()) - agent_bytes;
        const std::chrono::duration<double> control_cpu = control_cpu_time() + during.replaced_cpu_time() - cpu_before;
        load.finish();
        if (!during.status().ok()) {
            return during.status();
        }
        const auto router_nodes = static_cast<double>(fleet_.routers().size());
        const auto agents = static_cast<double>(fleet_.agents().size());
        const auto seconds = static_cast<double>(options_.length.count());
        auto out = results.report();
        out["scenario"] = options_.load.name;
        out["seconds"] = options_.length.count();
        out["seed"] = options_.seed;
        out["warm_up_s"] = options_.warm_up.count();
        out["offered"] = plan.size();
        out["doubled"] = doubled_orders();
        out["utilisation_ratio"] = running_time_ / slot_time_;
        out["control_bytes_per_node_s"] = (router_sent + agent_sent) / (router_nodes + agents) / seconds;
        out["control_bytes_per_router_s"] = router_sent / router_nodes / seconds;
        out["control_bytes_per_agent_s"] = agent_sent / agents / seconds;
        out["fairness_gap_tokens"] = fairness_.gap();
        out["fairness_gap_cost_units"] = fairness_.cost_gap();
        add_widest_gap(out);
        add_bound(out, plan);
        out["control_cpu_ratio"] = control_cpu.count() / (router_nodes + agents) / seconds;
        out["contended_s"] = std::chrono::duration<double>{fairness_.contended()}.count();
        during.add_figures(out, results.seconds());
        add_split(out, results);
        add_baselines(out, plan, during);
        fleet_.stop();
        return out;
    }

private:
    bench_options options_;
    std::ostream* progress_;
    std::mutex progress_mutex_;
    engine_times engine_times_; // Before the fleet, whose engines use it.
    app::dev_fleet fleet_;
    fairness_meter fairness_;
    split_meter split_;
    double running_time_{0};
    double slot_time_{0};
};

} // namespace

absl::StatusOr<json> run_bench(const bench_options& options, std::ostream& progress) {
    return bench_run{options, progress}.run();
}

} // namespace dandelionbay::bench
