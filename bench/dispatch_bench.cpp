#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "dandelionbay/peer/peer_synchronizer.hpp"
#include "support.hpp"

namespace dandelionbay::bench {
namespace {

/*! A fleet of about the size at which hosts are smallest for their callers. */
constexpr std::size_t engines = 44;
constexpr std::size_t desks = 6;
constexpr std::size_t peers = 20;
constexpr std::size_t teams = 30;
constexpr std::size_t subjects = 171;
const service_id desk{"order-desk"};
const zone_id zone{"zone-1"};

/*! @brief Remembers which calls were sent; refused ones are gone. */
class placement_log final : public dispatch_listener {
public:
    void placed(ticket_id ticket, const endpoint_choice& /*choice*/) override { placed_calls.push_back(ticket); }
    void refused(ticket_id /*ticket*/, const refusal& /*why*/) override {}

    std::vector<ticket_id> placed_calls{};
};

/*! @brief A router that knows all endpoints, and what each peer has running at each of them. */
class busy_router {
    [[nodiscard]] static router_location place(const host_id& self) {
        return {self, zone, region_id{"here"}, {{zone, region_id{"here"}}}};
    }

    [[nodiscard]] static std::shared_ptr<const route_config> config() {
        route_config out;
        out.version = 1;
        endpoint_service model;
        model.id = service;
        model.engine = engine_profile{64, 300'000, 5};
        endpoint_service plain;
        plain.id = desk;
        out.services = {model, plain};
        return std::make_shared<const route_config>(make_route_config(std::move(out)));
    }

    /*! No configuration comes from peers here. */
    [[nodiscard]] static absl::StatusOr<route_config> read_config(const std::string& /*text*/) {
        return route_config{};
    }

public:
    explicit busy_router(std::size_t self = 0)
        : router{view, place(router_host(self)), {}, log, 1},
          synchronizer{router_identity{router_host(self), 1, {"127.0.0.1", static_cast<std::uint16_t>(1 + self)}, {}},
                       {},
                       view,
                       router,
                       losses,
                       part_crashes,
                       streams,
                       read_config} {
        view.adopt(config());
        endpoint_list list;
        list.as_of = 1;
        for (std::size_t n = 0; n < engines + desks; ++n) {
            endpoint_entry it;
            it.id = endpoint(n);
            it.service = n < engines ? service : desk;
            it.zone = zone;
            it.slots = 64;
            it.row_version = 1;
            list.entries.push_back(std::move(it));
        }
        view.merge_endpoints(list, now, now);
        router.refresh(now);
    }

    /*! @brief All peers tell of their work: each has a few calls at each engine. @param unread Prompt tokens each.
     *  @param denied What each refused each team. */
    void hear_peers(double unread, double denied) {
        std::vector<team_usage_entry> served;
        for (std::size_t n = 0; n < teams; ++n) {
            served.push_back(team_usage_entry{team(n), 1'000.0 * static_cast<double>(1 + n), denied});
        }
        for (std::size_t peer = 1; peer <= peers; ++peer) {
            for (std::size_t n = 0; n < engines; ++n) {
                router.load(endpoint(n)).update_peer(router_host(peer), endpoint_work{unread, 2, 5'000.0}, now);
            }
            router.usage().update_peer(router_host(peer), served, now);
            router.update_peer_queues(router_host(peer), {service_queue{service, 100.0}}, now);
        }
    }

    [[nodiscard]] work_item call() {
        work_item it;
        it.ticket = ++last;
        it.team = team(last % teams);
        it.service = service;
        it.parts = {{1, 600}, {2 + last % subjects, 5'700}, {1'000 + last, 2'890}};
        it.prompt_tokens = 9'190;
        it.output_tokens = 50;
        it.target = milliseconds{600};
        it.arrived = now;
        return it;
    }

    /*! @brief Ends all calls that run. */
    void answer_all() {
        for (const auto ticket : std::exchange(log.placed_calls, {})) {
            router.started(ticket, now);
            router.ended(ticket, call_outcome::answered, now);
        }
    }

    time_point now{seconds{1'000}};
    registry_view view{{}};
    placement_log log{};
    dispatcher router;
    lost_run_registry losses{};
    part_crash_registry part_crashes{};
    stream_version_registry streams{view};
    peer_synchronizer synchronizer;
    ticket_id last{};
};

/*! A report of one of many peers on all engines, and a look at the engines' backlogs. */
void endpoint_reports(benchmark::State& state) {
    const auto senders = static_cast<std::size_t>(state.range(0));
    std::vector<endpoint_load> loads(engines);
    time_point now{seconds{1'000}};
    std::size_t turn = 0;
    for (auto _ : state) {
        now += milliseconds{12};
        const auto sender = router_host(++turn % senders);
        for (std::size_t n = 0; n < loads.size(); ++n) { // A fifth of them has calls of this peer.
            const bool busy = (n + turn) % 5 == 0;
            loads[n].update_peer(
                sender, busy ? endpoint_work{static_cast<double>(turn % 9'000), 2, 5'000.0} : endpoint_work{}, now);
        }
        double sum = 0.0;
        for (const auto& it : loads) {
            sum += it.backlog_ms(now);
        }
        benchmark::DoNotOptimize(sum);
    }
}
BENCHMARK(endpoint_reports)->Arg(10)->Arg(100);

/*! Decisions on a call that an endpoint takes at once, from its arrival to its end. */
void dispatch_served_call(benchmark::State& state) {
    busy_router it;
    for (auto _ : state) {
        it.now += milliseconds{10};
        if (it.last % 25 == 0) {
            state.PauseTiming();
            it.hear_peers(100.0, 0.0);
            state.ResumeTiming();
        }
        it.router.submit(it.call(), it.now);
        it.answer_all();
    }
}
BENCHMARK(dispatch_served_call);

/*! Decisions on a call that finds all endpoints behind: it waits for a round or two, and is refused. */
void dispatch_refused_call(benchmark::State& state) {
    const auto calls = state.range(0);
    busy_router it;
    for (auto _ : state) {
        state.PauseTiming();
        it.now += milliseconds{250};
        it.hear_peers(2'000.0, 100.0);
        state.ResumeTiming();
        for (std::int64_t n = 0; n < calls; ++n) {
            it.router.submit(it.call(), it.now);
        }
        while (it.router.waiting() > 0) {
            it.now += milliseconds{8};
            it.router.process_waiting(it.now);
        }
        it.answer_all();
    }
    state.SetItemsProcessed(state.iterations() * calls);
}
BENCHMARK(dispatch_refused_call)->Arg(1)->Arg(10)->Arg(50)->Arg(200);

/*! A round of decisions in which all calls go on waiting. */
void dispatch_waiting_round(benchmark::State& state) {
    const auto calls = state.range(0);
    busy_router it;
    it.hear_peers(300.0, 100.0);
    for (std::int64_t n = 0; n < calls; ++n) {
        it.router.submit(it.call(), it.now);
    }
    const auto waiting = it.router.waiting();
    for (auto _ : state) {
        it.router.process_waiting(it.now);
    }
    state.counters["waiting"] = static_cast<double>(waiting);
    state.counters["still_waiting"] = static_cast<double>(it.router.waiting());
}
BENCHMARK(dispatch_waiting_round)->Arg(10)->Arg(50)->Arg(200);

/*! One message between two busy routers: put together and encoded, and decoded and taken over. */
void peer_exchange(benchmark::State& state) {
    busy_router sender{1};
    busy_router receiver{0};
    receiver.hear_peers(500.0, 100.0);
    for (int n = 0; n < 100; ++n) {
        sender.router.submit(sender.call(), sender.now);
    }
    double bytes = 0.0;
    for (auto _ : state) {
        sender.now += milliseconds{250};
        receiver.now += milliseconds{250};
        const auto message = encode(sender.synchronizer.make_message({"127.0.0.1", 1}, sender.now));
        bytes += static_cast<double>(message.size());
        const auto state_of_sender = decode_peer_message(message);
        receiver.synchronizer.receive(*state_of_sender, receiver.now);
    }
    state.counters["bytes"] = benchmark::Counter(bytes, benchmark::Counter::kAvgIterations);
}
BENCHMARK(peer_exchange);

} // namespace
} // namespace dandelionbay::bench
