#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/agent/agent_core.hpp"
#include "dandelionbay/router/router_core.hpp"

namespace dandelionbay::testing_support {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const pool_id pool{"p"};
inline const service_id model_service{"chat"};
inline const service_id order_service{"orders"};

inline team_id team(std::size_t n) {
    return team_id{"t" + std::to_string(n)};
}

inline host_id host(const std::string& kind, std::size_t n) {
    return host_id{kind + std::to_string(n)};
}

/*! Configuration with teams t0.., endpoints e0.. in one zone, and a model service and a plain service in one pool. */
inline std::shared_ptr<fleet_config> make_config(std::size_t teams, std::size_t endpoints) {
    auto config = std::make_shared<fleet_config>();
    config->revision = 1;
    for (std::size_t n = 0; n < teams; ++n) {
        config->teams.push_back(team_config{team(n), "token", {}, 1.0});
    }
    for (std::size_t n = 0; n < endpoints; ++n) {
        config->endpoints.push_back(endpoint_config{endpoint_id{"e" + std::to_string(n)}, zone_id{"z"}, {}});
    }
    config->zones.push_back(zone_config{zone_id{"z"}, region_id{"r"}, {}});
    config->pools.push_back(pool_config{pool, {}, {}});
    service_config service;
    service.id = model_service;
    service.pool = pool;
    config->services.push_back(service);
    service.id = order_service;
    service.kind = service_kind::plain;
    config->services.push_back(service);
    return config;
}

inline hello agent_hello(std::size_t n, incarnation_type incarnation = 1) {
    return {host("agent", n),
            host_role::agent,
            region_id{"r"},
            zone_id{"z"},
            incarnation,
            endpoint_id{"e" + std::to_string(n)},
            1};
}

inline hello router_hello(std::size_t n, incarnation_type incarnation = 1) {
    return {host("router", n), host_role::router, region_id{"r"}, zone_id{"z"}, incarnation, {}, 1};
}

inline router_settings settings_of(std::size_t n, incarnation_type incarnation = 1) {
    return {host("router", n), region_id{"r"}, zone_id{"z"}, incarnation, n + 1};
}

inline accepted_request chat(const team_id& team, std::uint32_t input, std::uint32_t max_output = 0) {
    accepted_request request;
    request.team = team;
    request.service = model_service;
    request.input_tokens = input;
    request.max_output_tokens = max_output;
    request.request.body = "hello";
    request.fingerprint = 7;
    return request;
}

inline accepted_request order(const team_id& team) {
    auto request = chat(team, 0);
    request.service = order_service;
    request.idempotent = false;
    return request;
}

/*!
 * Fake agent with a fixed number of slots and no cold start; grants to the router whose team has the lowest counter.
 *
 * After use_core() an agent_core makes the decisions and only the endpoint is fake.
 */
class fake_agent {
    struct received_demand {
        std::uint64_t version{};
        std::vector<team_demand> teams{};
        std::uint32_t granted{}; // grants sent since the demand
    };

    void perform(const agent_core::actions& actions, time_point now) {
        for (const auto& it : actions) {
            if (const auto* const out = std::get_if<send_message>(&it)) {
                outbox_.emplace_back(out->to, out->body);
            } else if (const auto* const start = std::get_if<start_run>(&it)) {
                const auto output = std::uniform_int_distribution<std::uint32_t>{20, 400}(outputs_);
                runs.push_back(run{start->work.id.router, start->work, output, now + milliseconds{output}});
            } else if (const auto* const stop = std::get_if<cancel_run>(&it)) {
                std::erase_if(runs, [&](const auto& n) { return n.work.id == stop->id; });
                perform(core_->run_ended(stop->id, run_end::cancelled, 0, now), now);
            } else {
                report(now);
            }
        }
    }

    void report(time_point now) {
        next_report_ = now + milliseconds{500};
        perform(core_->report(load_report{"p", false, static_cast<std::uint32_t>(runs.size())}, now), now);
    }

    template<typename Send>
    void step_core(time_point now, Send send) {
        std::vector<run> ended_runs;
        std::ranges::copy_if(runs, std::back_inserter(ended_runs), [&](const auto& it) { return it.ends_at <= now; });
        std::erase_if(runs, [&](const auto& it) { return it.ends_at <= now; });
        for (const auto& it : ended_runs) {
            record_finished_run(it, now);
            perform(core_->run_head(it.work.id, 200, {}, now), now);
            perform(core_->run_data(it.work.id, "answer", it.output, now), now);
            perform(core_->run_ended(it.work.id, run_end::complete, input_tokens, now), now);
        }
        if (now >= next_report_) {
            report(now);
        }
        perform(core_->tick(now), now);
        for (const auto& [to, body] : std::exchange(outbox_, {})) {
            send(to, body);
        }
    }

public:
    static constexpr std::uint32_t input_tokens = 100;

    struct run {
        host_id router{};
        submit work{};
        std::uint32_t output{};
        time_point ends_at{};
    };

    std::size_t slots{4};
    std::map<host_id, received_demand> demands{};
    std::map<std::uint64_t, std::pair<host_id, time_point>> grants{};
    std::vector<run> runs{};
    std::map<team_id, double> floors{};
    std::map<team_id, double> service{};
    std::map<team_id, time_point> last_end{};
    std::uint64_t next_grant{1};
    double max_cost{};

    [[nodiscard]] std::size_t busy() const { return runs.size() + grants.size(); }

    /*! Lets an agent_core make the decisions. */
    void use_core(agent_settings settings, std::shared_ptr<const fleet_config> config, counters& metrics,
                  time_point now) {
        core_ = std::make_unique<agent_core>(std::move(settings), metrics);
        perform(core_->apply(std::move(config), now), now);
        perform(core_->set_fresh(true, now), now);
        report(now);
    }

    [[nodiscard]] bool has_core() const { return core_ != nullptr; }

    void connect(const hello& router, time_point now) {
        if (has_core()) {
            perform(core_->link_up(router, now), now);
        }
    }

    void disconnect(const host_id& router, time_point now) {
        if (has_core()) {
            perform(core_->link_down(router, now), now);
        }
        demands.erase(router);
        std::erase_if(grants, [&](const auto& it) { return it.second.first == router; });
    }

    void receive(const host_id& from, const message& body, std::mt19937_64& random, time_point now) {
        if (has_core()) {
            perform(core_->receive(from, body, now), now);
        } else if (const auto* const new_demand = std::get_if<demand>(&body)) {
            auto& last_demand = demands[from];
            if (new_demand->version > last_demand.version) {
                last_demand = received_demand{new_demand->version, new_demand->teams, 0};
                for (const auto& it : new_demand->teams) {
                    floors[it.team] = std::max(floors[it.team], it.charged);
                }
            }
        } else if (const auto* const back = std::get_if<returned>(&body)) {
            for (const auto& id : back->ids) {
                grants.erase(id.sequence);
            }
        } else if (const auto* const work = std::get_if<submit>(&body)) {
            if (grants.erase(work->grant.sequence) > 0) {
                const auto output = std::uniform_int_distribution<std::uint32_t>{20, 400}(random);
                runs.push_back(run{from, *work, output, now + milliseconds{output}});
            }
        } else if (const auto* const stop = std::get_if<cancel>(&body)) {
            std::erase_if(runs, [&](const auto& it) { return it.work.id == stop->id; });
        }
    }

    void record_finished_run(const run& it, time_point now) {
        const double cost = input_tokens + 2.0 * it.output;
        service[it.work.team] += cost;
        max_cost = std::max(max_cost, cost);
        last_end[it.work.team] = now;
    }

    template<typename Send>
    void step(time_point now, Send send) {
        if (has_core()) {
            step_core(now, send);
            return;
        }
        std::erase_if(grants, [&](const auto& it) { return it.second.second <= now; });
        for (auto it = runs.begin(); it != runs.end();) {
            if (it->ends_at > now) {
                ++it;
                continue;
            }
            record_finished_run(*it, now);
            send(it->router, head{it->work.id, 200, {}});
            send(it->router, chunk{it->work.id, 0, "answer", it->output});
            send(it->router, finish{it->work.id, result_code::ok, executed::yes, 6, input_tokens, it->output});
            it = runs.erase(it);
        }
        while (busy() < slots) {
            const host_id* best = nullptr;
            double lowest{};
            for (const auto& [router, it] : demands) {
                std::uint64_t queued = 0;
                for (const auto& entry : it.teams) {
                    queued += entry.queued;
                }
                if (queued > it.granted && (best == nullptr || it.teams.front().counter < lowest)) {
                    best = &router;
                    lowest = it.teams.front().counter;
                }
            }
            if (best == nullptr) {
                return;
            }
            ++demands[*best].granted;
            const auto id = next_grant++;
            grants[id] = {*best, now + seconds{3}};
            grant out{pool, {grant_id{1, id}}, 3'000, false, {}};
            for (const auto& [name, floor] : floors) {
                out.floors.push_back(team_floor{pool, name, floor});
            }
            send(*best, out);
        }
    }

private:
    std::unique_ptr<agent_core> core_{};
    std::vector<std::pair<host_id, message>> outbox_{};
    std::mt19937_64 outputs_{7};
    time_point next_report_{};
};

} // namespace dandelionbay::testing_support
