#include <deque>
#include <map>
#include <memory>
#include <utility>

#include <benchmark/benchmark.h>

#include "dandelionbay/agent/agent_core.hpp"
#include "support.hpp"

namespace dandelionbay::bench {
namespace {

/*! @brief An agent on manual time at 10 requests/s, with routers that always have work waiting. */
class driven_agent {
    void take(const agent_core::actions& todo) {
        std::vector<std::pair<host_id, returned>> back;
        for (const auto& it : todo) {
            if (std::holds_alternative<check_endpoint>(it)) {
                take(core_.report({.process = "p1"}, now_));
                continue;
            }
            const auto* const sent = std::get_if<send_message>(&it);
            if (sent == nullptr) {
                continue;
            }
            if (count_bytes) {
                const auto [link, fresh] = links_.try_emplace(sent->to);
                if (fresh) {
                    link->second.set_link(link_to(sent->to));
                }
                bytes_ += control_bytes(link->second, sent->body);
            }
            if (const auto* const leave = std::get_if<grant>(&sent->body)) {
                for (const auto& id : leave->ids) {
                    held_.emplace_back(sent->to, id);
                }
            } else if (const auto* const recalled = std::get_if<recall>(&sent->body)) {
                for (const auto& id : recalled->ids) {
                    if (std::erase(held_, std::pair{sent->to, id}) > 0) {
                        back.emplace_back(sent->to, returned{{id}});
                    }
                }
            }
        }
        for (const auto& [router, body] : back) {
            take(core_.receive(router, body, now_));
        }
    }

    static link_context link_to(const host_id& router) {
        return {{.host = agent_host(0), .role = host_role::agent, .incarnation = 1},
                {.host = router, .role = host_role::router, .incarnation = 1}};
    }

    void ask(std::size_t router) {
        demand wish{.pool = pool, .version = ++version_};
        for (std::size_t n = 0; n < 8; ++n) {
            const auto service = served_[router] + static_cast<double>(n);
            wish.teams.push_back({.team = team(n), .queued = 10, .counter = service, .charged = service});
        }
        take(core_.receive(router_host(router), wish, now_));
    }

    void run(const host_id& router, const grant_id& under) {
        const submit work{.id = {router, 1, ++sequence_},
                          .grant = under,
                          .team = team(0),
                          .service = service,
                          .model_call = true,
                          .fingerprint = sequence_,
                          .timeout_ms = 60'000,
                          .request = {.method = "POST", .path = "/v1/chat/completions", .body = "hello"}};
        take(core_.receive(router, work, now_));
        take(core_.run_head(work.id, 200, {}, now_));
        take(core_.run_data(work.id, "answer", 1, now_));
        take(core_.run_ended(work.id, run_end::complete, 10, now_));
        ++finished;
    }

public:
    explicit driven_agent(std::size_t routers) : served_(routers) {
        auto config = std::make_shared<fleet_config>();
        config->revision = 1;
        for (std::size_t n = 0; n < 1'000; ++n) {
            config->teams.push_back({.id = team(n)});
        }
        config->services.push_back({.id = service, .pool = pool});
        config->pools.push_back({.id = pool});
        config->endpoints.push_back({.id = endpoint(0), .zone = zone_id{"z1"}, .cold_slots = 8});
        config->zones.push_back({.id = zone_id{"z1"}, .region = region_id{"west"}});
        take(core_.apply(std::move(config), now_));
        take(core_.set_fresh(true, now_));
        take(core_.report({.process = "p1"}, now_));
        for (std::size_t n = 0; n < routers; ++n) {
            take(core_.link_up(
                hello{.host = router_host(n), .region = region_id{"west"}, .zone = zone_id{"z1"}, .incarnation = 1},
                now_));
            ask(n);
        }
    }

    /*! @brief One tenth of a second: five ticks, one demand, one request from grant to finish. */
    void cycle() {
        for (int n = 0; n < 5; ++n) {
            now_ += milliseconds{20};
            take(core_.tick(now_));
        }
        next_ = (next_ + 1) % served_.size();
        served_[next_] += 100.0;
        ask(next_);
        if (!held_.empty()) {
            const auto [router, id] = held_.front();
            held_.pop_front();
            run(router, id);
        }
    }

    [[nodiscard]] double bytes_per_second() const {
        return bytes_ / std::chrono::duration<double>{now_.time_since_epoch()}.count();
    }
    [[nodiscard]] std::int64_t rejected_count() const {
        return metrics_.total("rejected_total") + metrics_.total("invariant_violations_total");
    }

    bool count_bytes{};
    std::int64_t finished{};

private:
    counters metrics_{};
    time_point now_{};
    agent_core core_{{.host = agent_host(0),
                      .region = region_id{"west"},
                      .zone = zone_id{"z1"},
                      .endpoint = endpoint(0),
                      .incarnation = 1},
                     metrics_};
    std::deque<std::pair<host_id, grant_id>> held_{};
    std::vector<double> served_;
    std::map<host_id, frame_encoder> links_{};
    std::size_t next_{};
    std::uint64_t version_{};
    std::uint64_t sequence_{};
    double bytes_{};
};

void agent_cycle(benchmark::State& state) {
    const auto routers = static_cast<std::size_t>(state.range(0));
    driven_agent counted{routers};
    counted.count_bytes = true;
    for (int n = 0; n < 300; ++n) {
        counted.cycle();
    }
    const auto before = heap_bytes();
    driven_agent timed{routers};
    for (int n = 0; n < 300; ++n) {
        timed.cycle();
    }
    state.counters["heap_bytes"] = heap_bytes() - before;
    timed.finished = 0;
    for (auto _ : state) {
        timed.cycle();
    }
    state.counters["control_bytes_per_s"] = counted.bytes_per_second();
    state.counters["finished_share"] = static_cast<double>(timed.finished) / static_cast<double>(state.iterations());
    state.counters["rejected"] = static_cast<double>(timed.rejected_count());
}
BENCHMARK(agent_cycle)->Arg(1)->Arg(3)->Arg(10)->Arg(30);

} // namespace
} // namespace dandelionbay::bench
