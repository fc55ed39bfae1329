#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/router/fake_agent.hpp"
#include "dandelionbay/router/router_core.hpp"

namespace dandelionbay::testing_support {

/*! Routers and fake agents with simulated time, connected by links with latency; keeps every team backlogged. */
class fake_fleet {
    struct in_flight_message {
        time_point at{};
        std::uint64_t order{};
        host_id from{};
        host_id to{};
        message body{};

        bool operator>(const in_flight_message& other) const {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    void send(const host_id& from, const host_id& to, const message& body) {
        if (is_link_cut && is_link_cut(from, to)) {
            return;
        }
        auto copies = 1;
        auto delay = latency;
        if (disturb_exchange && std::holds_alternative<ledger_rows>(body)) {
            copies = static_cast<int>(random() % 3); // lost, once, twice
            delay += milliseconds{random() % 100};   // reordered
        }
        for (int n = 0; n < copies; ++n) {
            in_flight_.push(in_flight_message{now + delay, ++order_, from, to, body});
        }
    }

    void perform(std::size_t n, const router_core::actions& actions) {
        for (const auto& it : actions) {
            if (const auto* const out = std::get_if<send_message>(&it)) {
                send(host("router", n), out->to, out->body);
            } else if (const auto* const last = std::get_if<answer_end>(&it)) {
                const auto open = waiting_[n].find(last->id);
                if (open != waiting_[n].end()) {
                    ++end_counts[last->code];
                    --backlog_[n][open->second];
                    waiting_[n].erase(open);
                }
            }
        }
    }

public:
    fake_fleet(std::shared_ptr<const fleet_config> config, std::size_t routers, std::size_t agents)
        : config_{std::move(config)} {
        fake_agents.resize(agents);
        for (std::size_t n = 0; n < routers; ++n) {
            cores.push_back(nullptr);
            waiting_.emplace_back();
            backlog_.emplace_back();
            backlog_targets.emplace_back();
        }
        for (std::size_t n = 0; n < routers; ++n) {
            start(n, 1);
        }
    }

    /*! Starts or restarts a router without state; the callers of its earlier incarnation are disconnected. */
    void start(std::size_t n, incarnation_type incarnation) {
        cores[n] = std::make_unique<router_core>(settings_of(n, incarnation), metrics);
        waiting_[n].clear();
        backlog_[n].clear();
        std::ignore = cores[n]->apply(config_, now);
        std::ignore = cores[n]->set_fresh(true, now);
        for (std::size_t agent = 0; agent < fake_agents.size(); ++agent) {
            fake_agents[agent].disconnect(host("router", n), now);
            fake_agents[agent].connect(router_hello(n, incarnation), now);
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
        // All routers are exchange peers from the start; messages are sent only to those with a link.
        peers.clear();
        for (std::size_t other = 0; other < cores.size(); ++other) {
            peers.push_back(host("router", other));
        }
        perform(n, cores[n]->set_exchange_peers(peers, now));
    }

    /*! Lets agent cores make the fake agents' decisions; to be called before the first run(). */
    void use_agent_cores() {
        for (std::size_t n = 0; n < fake_agents.size(); ++n) {
            const auto self = agent_hello(n);
            fake_agents[n].use_core({self.host, self.region, self.zone, self.endpoint, self.incarnation, n}, config_,
                                    metrics, now);
            for (std::size_t router = 0; router < cores.size(); ++router) {
                fake_agents[n].connect(router_hello(router), now);
            }
        }
    }

    /*! Breaks the links between each pair of hosts for which the predicate is true. */
    void cut_links(std::function<bool(const host_id&, const host_id&)> apart) {
        is_link_cut = std::move(apart);
        each_link([&](std::size_t n, const hello& peer) {
            perform(n, cores[n]->link_down(peer.host, now));
            if (peer.role == host_role::agent) {
                fake_agents[index_of(peer.host)].disconnect(host("router", n), now);
            }
        });
    }

    /*! Restores the links that cut_links() broke. */
    void restore_links() {
        std::vector<std::pair<std::size_t, hello>> links;
        each_link([&](std::size_t n, const hello& peer) { links.emplace_back(n, peer); });
        is_link_cut = nullptr;
        for (const auto& [n, peer] : links) {
            if (peer.role == host_role::agent) {
                fake_agents[index_of(peer.host)].connect(router_hello(n), now);
            }
            perform(n, cores[n]->link_up(peer, now));
        }
    }

    void run(duration time) {
        const auto until = now + time;
        while (now < until) {
            now += milliseconds{5};
            while (!in_flight_.empty() && in_flight_.top().at <= now) {
                const auto it = in_flight_.top();
                in_flight_.pop();
                deliver(it);
            }
            for (std::size_t n = 0; n < cores.size(); ++n) {
                for (const auto& [name, depth] : backlog_targets[n]) {
                    while (backlog_[n][name] < depth) {
                        request_id id;
                        // Requests with the same fingerprint would share the crashes recorded for lost agents.
                        auto request = chat(name, 100);
                        request.fingerprint = ++fingerprint_;
                        const auto actions = cores[n]->accept(request, now, id);
                        const auto before = backlog_[n][name];
                        waiting_[n][id] = name;
                        ++backlog_[n][name];
                        perform(n, actions);
                        if (backlog_[n][name] <= before) {
                            break; // refused
                        }
                    }
                }
                if (now >= cores[n]->next_deadline()) {
                    perform(n, cores[n]->tick(now));
                }
            }
            for (std::size_t n = 0; n < fake_agents.size(); ++n) {
                fake_agents[n].step(now,
                                    [&](const host_id& to, const message& body) { send(host("agent", n), to, body); });
            }
        }
    }

    [[nodiscard]] double service(const team_id& name) const {
        double sum = 0.0;
        for (const auto& it : fake_agents) {
            const auto found = it.service.find(name);
            sum += found != it.service.end() ? found->second : 0.0;
        }
        return sum;
    }

    /*! Time at which a request of a team last ended; time_point{} if none has ended. */
    [[nodiscard]] time_point last_end(const team_id& name) const {
        time_point last{};
        for (const auto& it : fake_agents) {
            const auto found = it.last_end.find(name);
            last = found != it.last_end.end() ? std::max(last, found->second) : last;
        }
        return last;
    }

    [[nodiscard]] double max_cost() const {
        return std::ranges::max_element(fake_agents, {}, &fake_agent::max_cost)->max_cost;
    }

    time_point now{seconds{100}};
    counters metrics{};
    std::mt19937_64 random{42};
    std::vector<std::unique_ptr<router_core>> cores{};
    std::vector<fake_agent> fake_agents{};
    std::vector<std::map<team_id, int>> backlog_targets{}; // per router: pending requests to keep for each team
    std::map<result_code, int> end_counts{};
    duration latency{milliseconds{1}};
    bool disturb_exchange{};
    std::function<bool(const host_id&, const host_id&)> is_link_cut{};

private:
    [[nodiscard]] static std::size_t index_of(const host_id& name) {
        return static_cast<std::size_t>(std::stoul(name.value.substr(name.value.find_first_of("0123456789"))));
    }

    template<typename Visit>
    void each_link(Visit visit) {
        for (std::size_t n = 0; n < cores.size(); ++n) {
            for (std::size_t agent = 0; agent < fake_agents.size(); ++agent) {
                if (is_link_cut(host("router", n), host("agent", agent))) {
                    visit(n, agent_hello(agent));
                }
            }
            for (std::size_t other = 0; other < cores.size(); ++other) {
                if (is_link_cut(host("router", n), host("router", other))) {
                    visit(n, router_hello(other));
                }
            }
        }
    }

    void deliver(const in_flight_message& it) {
        if (is_link_cut && is_link_cut(it.from, it.to)) {
            return;
        }
        for (std::size_t n = 0; n < cores.size(); ++n) {
            if (host("router", n) == it.to) {
                perform(n, cores[n]->receive(it.from, it.body, now));
            }
        }
        for (std::size_t n = 0; n < fake_agents.size(); ++n) {
            if (host("agent", n) == it.to) {
                const auto* const again = std::get_if<resume>(&it.body);
                if (again != nullptr && !fake_agents[n].has_core() &&
                    std::ranges::none_of(fake_agents[n].runs,
                                         [&](const auto& run) { return run.work.id == again->id; })) {
                    send(it.to, it.from, finish{again->id, result_code::resume_failed, executed::unknown, 0, 0, 0});
                }
                fake_agents[n].receive(it.from, it.body, random, now);
            }
        }
    }

    std::shared_ptr<const fleet_config> config_;
    std::priority_queue<in_flight_message, std::vector<in_flight_message>, std::greater<>> in_flight_;
    std::vector<std::map<request_id, team_id>> waiting_;
    std::vector<std::map<team_id, int>> backlog_;
    std::uint64_t order_{};
    std::uint64_t fingerprint_{};
};

} // namespace dandelionbay::testing_support
