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

/*! Teams t0.., endpoints e0.. in one zone, a model service and a plain service in one pool. */
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

inline accepted_request chat(const team_id& team, std::uint32_t input, std::uint32_t most_output = 0) {
    accepted_request request;
    request.team = team;
    request.service = model_service;
    request.input_tokens = input;
    request.max_output_tokens = most_output;
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
 * Agent with a fixed number of slots; grants to the router whose team has the lowest counter; no cold start.
 *
 * With use_core() an agent_core decides instead, and only the endpoint is a fake.
 */
class fake_agent {
    struct told {
        std::uint64_t version{};
        std::vector<team_demand> teams{};
        std::uint32_t granted{}; // since that demand
    };

    void perform(const agent_core::actions& todo, time_point now) {
        for (const auto& it : todo) {
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
        std::vector<run> over;
        std::ranges::copy_if(runs, std::back_inserter(over), [&](const auto& it) { return it.ends <= now; });
        std::erase_if(runs, [&](const auto& it) { return it.ends <= now; });
        for (const auto& it : over) {
            finished(it, now);
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
        time_point ends{};
    };

    std::size_t slots{4};
    std::map<host_id, told> demands{};
    std::map<std::uint64_t, std::pair<host_id, time_point>> grants{};
    std::vector<run> runs{};
    std::map<team_id, double> floors{};
    std::map<team_id, double> service{};
    std::map<team_id, time_point> last_end{};
    std::uint64_t next_grant{1};
    double largest{};

    [[nodiscard]] std::size_t busy() const { return runs.size() + grants.size(); }

    /*! Hands the decisions to an agent_core. */
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

    void drop(const host_id& router, time_point now) {
        if (has_core()) {
            perform(core_->link_down(router, now), now);
        }
        demands.erase(router);
        std::erase_if(grants, [&](const auto& it) { return it.second.first == router; });
    }

    void receive(const host_id& from, const message& body, std::mt19937_64& random, time_point now) {
        if (has_core()) {
            perform(core_->receive(from, body, now), now);
        } else if (const auto* const wish = std::get_if<demand>(&body)) {
            auto& known = demands[from];
            if (wish->version > known.version) {
                known = told{wish->version, wish->teams, 0};
                for (const auto& it : wish->teams) {
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

    void finished(const run& it, time_point now) {
        const double cost = input_tokens + 2.0 * it.output;
        service[it.work.team] += cost;
        largest = std::max(largest, cost);
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
            if (it->ends > now) {
                ++it;
                continue;
            }
            finished(*it, now);
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
                for (const auto& wish : it.teams) {
                    queued += wish.queued;
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

/*! Routers and fake agents on manual time, joined by links with a delay; every team is kept backlogged. */
class fake_fleet {
    struct flying {
        time_point at{};
        std::uint64_t order{};
        host_id from{};
        host_id to{};
        message body{};

        bool operator>(const flying& other) const { return std::pair{at, order} > std::pair{other.at, other.order}; }
    };

    void send(const host_id& from, const host_id& to, const message& body) {
        if (cut && cut(from, to)) {
            return;
        }
        auto copies = 1;
        auto delay = latency;
        if (disturb_exchange && std::holds_alternative<ledger_rows>(body)) {
            copies = static_cast<int>(random() % 3); // lost, once, twice
            delay += milliseconds{random() % 100};   // reordered
        }
        for (int n = 0; n < copies; ++n) {
            mail_.push(flying{now + delay, ++order_, from, to, body});
        }
    }

    void perform(std::size_t n, const router_core::actions& todo) {
        for (const auto& it : todo) {
            if (const auto* const out = std::get_if<send_message>(&it)) {
                send(host("router", n), out->to, out->body);
            } else if (const auto* const last = std::get_if<answer_end>(&it)) {
                const auto open = waiting_[n].find(last->id);
                if (open != waiting_[n].end()) {
                    ++ends[last->code];
                    --backlog_[n][open->second];
                    waiting_[n].erase(open);
                }
            }
        }
    }

public:
    fake_fleet(std::shared_ptr<const fleet_config> config, std::size_t routers, std::size_t agents)
        : config_{std::move(config)} {
        fakes.resize(agents);
        for (std::size_t n = 0; n < routers; ++n) {
            cores.push_back(nullptr);
            waiting_.emplace_back();
            backlog_.emplace_back();
            wanted.emplace_back();
        }
        for (std::size_t n = 0; n < routers; ++n) {
            start(n, 1);
        }
    }

    /*! Starts a router with empty memory; the callers of its former life are gone. */
    void start(std::size_t n, incarnation_type incarnation) {
        cores[n] = std::make_unique<router_core>(settings_of(n, incarnation), metrics);
        waiting_[n].clear();
        backlog_[n].clear();
        std::ignore = cores[n]->apply(config_, now);
        std::ignore = cores[n]->set_fresh(true, now);
        for (std::size_t agent = 0; agent < fakes.size(); ++agent) {
            fakes[agent].drop(host("router", n), now);
            fakes[agent].connect(router_hello(n, incarnation), now);
            perform(n, cores[n]->link_up(agent_hello(agent), now));
        }
        std::vector<host_id> peers;
        for (std::size_t other = 0; other < cores.size(); ++other) {
            if (other != n && cores[other] != nullptr) {
                peers.push_back(host("router", other));
                perform(n, cores[n]->link_up(router_hello(other), now));
                perform(other, cores[other]->link_down(host("router", n), now));
                perform(other, cores[other]->link_up(router_hello(n, incarnation), now));
            }
        }
        // Every router knows all others as peers from the start; messages go to those with a link.
        peers.clear();
        for (std::size_t other = 0; other < cores.size(); ++other) {
            peers.push_back(host("router", other));
        }
        perform(n, cores[n]->set_exchange_peers(peers, now));
    }

    /*! Replaces the fake agents' decisions by agent cores; to be called before the first run(). */
    void use_agent_cores() {
        for (std::size_t n = 0; n < fakes.size(); ++n) {
            const auto self = agent_hello(n);
            fakes[n].use_core({self.host, self.region, self.zone, self.endpoint, self.incarnation, n}, config_, metrics,
                              now);
            for (std::size_t router = 0; router < cores.size(); ++router) {
                fakes[n].connect(router_hello(router), now);
            }
        }
    }

    /*! Breaks the links between hosts that the predicate tells apart. */
    void split(std::function<bool(const host_id&, const host_id&)> apart) {
        cut = std::move(apart);
        each_link([&](std::size_t n, const hello& peer) {
            perform(n, cores[n]->link_down(peer.host, now));
            if (peer.role == host_role::agent) {
                fakes[index_of(peer.host)].drop(host("router", n), now);
            }
        });
    }

    /*! Restores the links that split() broke. */
    void join() {
        std::vector<std::pair<std::size_t, hello>> links;
        each_link([&](std::size_t n, const hello& peer) { links.emplace_back(n, peer); });
        cut = nullptr;
        for (const auto& [n, peer] : links) {
            if (peer.role == host_role::agent) {
                fakes[index_of(peer.host)].connect(router_hello(n), now);
            }
            perform(n, cores[n]->link_up(peer, now));
        }
    }

    void run(duration time) {
        const auto until = now + time;
        while (now < until) {
            now += milliseconds{5};
            while (!mail_.empty() && mail_.top().at <= now) {
                const auto it = mail_.top();
                mail_.pop();
                deliver(it);
            }
            for (std::size_t n = 0; n < cores.size(); ++n) {
                for (const auto& [name, depth] : wanted[n]) {
                    while (backlog_[n][name] < depth) {
                        request_id id;
                        // Requests with one fingerprint would share the crashes that lost agents count as.
                        auto request = chat(name, 100);
                        request.fingerprint = ++fingerprint_;
                        const auto todo = cores[n]->accept(request, now, id);
                        const auto before = backlog_[n][name];
                        waiting_[n][id] = name;
                        ++backlog_[n][name];
                        perform(n, todo);
                        if (backlog_[n][name] <= before) {
                            break; // refused at once
                        }
                    }
                }
                if (now >= cores[n]->next_deadline()) {
                    perform(n, cores[n]->tick(now));
                }
            }
            for (std::size_t n = 0; n < fakes.size(); ++n) {
                fakes[n].step(now, [&](const host_id& to, const message& body) { send(host("agent", n), to, body); });
            }
        }
    }

    [[nodiscard]] double service(const team_id& name) const {
        double sum = 0.0;
        for (const auto& it : fakes) {
            const auto found = it.service.find(name);
            sum += found != it.service.end() ? found->second : 0.0;
        }
        return sum;
    }

    /*! When a request of a team last ended; the start of time if none did. */
    [[nodiscard]] time_point last_end(const team_id& name) const {
        time_point last{};
        for (const auto& it : fakes) {
            const auto found = it.last_end.find(name);
            last = found != it.last_end.end() ? std::max(last, found->second) : last;
        }
        return last;
    }

    [[nodiscard]] double largest() const { return std::ranges::max_element(fakes, {}, &fake_agent::largest)->largest; }

    time_point now{seconds{100}};
    counters metrics{};
    std::mt19937_64 random{42};
    std::vector<std::unique_ptr<router_core>> cores{};
    std::vector<fake_agent> fakes{};
    std::vector<std::map<team_id, int>> wanted{}; // requests that each router holds of a team, waiting or running
    std::map<result_code, int> ends{};
    duration latency{milliseconds{1}};
    bool disturb_exchange{};
    std::function<bool(const host_id&, const host_id&)> cut{};

private:
    [[nodiscard]] static std::size_t index_of(const host_id& name) {
        return static_cast<std::size_t>(std::stoul(name.value.substr(name.value.find_first_of("0123456789"))));
    }

    template<typename Visit>
    void each_link(Visit visit) {
        for (std::size_t n = 0; n < cores.size(); ++n) {
            for (std::size_t agent = 0; agent < fakes.size(); ++agent) {
                if (cut(host("router", n), host("agent", agent))) {
                    visit(n, agent_hello(agent));
                }
            }
            for (std::size_t other = 0; other < cores.size(); ++other) {
                if (cut(host("router", n), host("router", other))) {
                    visit(n, router_hello(other));
                }
            }
        }
    }

    void deliver(const flying& it) {
        if (cut && cut(it.from, it.to)) {
            return;
        }
        for (std::size_t n = 0; n < cores.size(); ++n) {
            if (host("router", n) == it.to) {
                perform(n, cores[n]->receive(it.from, it.body, now));
            }
        }
        for (std::size_t n = 0; n < fakes.size(); ++n) {
            if (host("agent", n) == it.to) {
                const auto* const again = std::get_if<resume>(&it.body);
                if (again != nullptr && !fakes[n].has_core() &&
                    std::ranges::none_of(fakes[n].runs, [&](const auto& run) { return run.work.id == again->id; })) {
                    send(it.to, it.from, finish{again->id, result_code::resume_failed, executed::unknown, 0, 0, 0});
                }
                fakes[n].receive(it.from, it.body, random, now);
            }
        }
    }

    std::shared_ptr<const fleet_config> config_;
    std::priority_queue<flying, std::vector<flying>, std::greater<>> mail_;
    std::vector<std::map<request_id, team_id>> waiting_;
    std::vector<std::map<team_id, int>> backlog_;
    std::uint64_t order_{};
    std::uint64_t fingerprint_{};
};

} // namespace dandelionbay::testing_support
