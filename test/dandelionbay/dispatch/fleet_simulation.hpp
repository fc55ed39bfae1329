#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/peer/peer_board.hpp"
#include "dandelionbay/soak/event_queue.hpp"

namespace dandelionbay {

/*! @brief Callers of one team. */
struct team_demand {
    std::string name{};
    double share{};        //!< Of the tokens that all teams ask for.
    std::size_t routers{}; //!< It comes through the first so many routers.
};

/**
 * @brief Routers that share engines and callers that ask them, without a network and on a clock of its own.
 *
 * An engine reads prompts in the order in which they arrive. Routers hear of each other's work at the interval that a
 * fleet of their number has. A caller whose call is refused comes again once, at another router of its team, and one
 * whose answer does not begin in time leaves.
 */
class fleet_simulation {
    struct open_call {
        std::size_t team{};
        double prompt{};
        double cost{};
        time_point first_asked{};
        bool again{}; //!< It was refused before.
        bool begun{};
    };
    struct second {
        double asked{};
        double got{};
        bool lacked{}; //!< A call was refused, left, or began past its target.
    };

    /*! Pace of a host that begins a limited number of calls. */
    struct slow_host {
        double per_s{};
        double allowed{};
        time_point filled{};
    };

    /*! One router and its calls. */
    class member final : public dispatch_listener {
    public:
        member(fleet_simulation& world, std::size_t number)
            : world_{&world}, number_{number}, router{view, place(number), {}, *this, number + 1} {}

        void placed(ticket_id ticket, const endpoint_choice& choice) override { world_->arrive(*this, ticket, choice); }
        void refused(ticket_id ticket, const refusal& why) override { world_->come_again(*this, ticket, why); }

        [[nodiscard]] std::size_t number() const noexcept { return number_; }
        [[nodiscard]] host_id host() const { return place(number_).host; }

    private:
        [[nodiscard]] static router_location place(std::size_t number) {
            return {host_id{"r" + std::to_string(number)},
                    zone_id{"z"},
                    region_id{"here"},
                    {{zone_id{"z"}, region_id{"here"}}}};
        }

        fleet_simulation* world_;
        std::size_t number_;

    public:
        registry_view view{{}};
        dispatcher router;
        std::map<ticket_id, open_call> calls{};
    };

public:
    static constexpr time_point start{std::chrono::hours{1}}; // Of the queue of events.
    static constexpr duration target{std::chrono::milliseconds{600}};
    /*! @brief Callers leave if the answer does not begin within this time. */
    static constexpr duration patience{std::chrono::milliseconds{2'400}};
    static constexpr duration way{std::chrono::milliseconds{2}};
    static constexpr duration first_step{std::chrono::milliseconds{47}};
    static constexpr duration generation{std::chrono::milliseconds{250}};
    /*! @brief Callers that a host turned away come to it again after this time. */
    static constexpr duration turned_away_return{std::chrono::milliseconds{50}};
    static constexpr double least_prompt = 1'000.0;
    static constexpr double largest_prompt = 6'000.0;
    static constexpr double output = 50.0;

    /*! @param load Tokens asked for, as a part of what the engines read. */
    fleet_simulation(std::size_t routers, std::size_t engines, std::vector<team_demand> teams, double load,
                     std::uint64_t seed)
        : teams_{std::move(teams)}, free_(engines, start), random_{seed} {
        endpoint_list list;
        list.as_of = 1;
        for (std::size_t n = 0; n < engines; ++n) {
            endpoint_entry it;
            it.id = endpoint_id{"e" + std::to_string(n)};
            it.service = service_id{"model"};
            it.zone = zone_id{"z"};
            it.slots = 64;
            it.row_version = 1;
            list.entries.push_back(std::move(it));
        }
        route_config config;
        config.version = 1;
        endpoint_service model;
        model.id = service_id{"model"};
        model.engine = engine_profile{64, 300'000, 4};
        config.services = {model};
        const auto shared = std::make_shared<const route_config>(make_route_config(std::move(config)));
        std::set<host_id> hosts;
        for (std::size_t n = 0; n < routers; ++n) {
            auto& it = *members_.emplace_back(std::make_unique<member>(*this, n));
            it.view.adopt(shared);
            it.view.merge_endpoints(list, start, start);
            it.router.refresh(start);
            hosts.insert(it.host());
        }
        const auto interval = std::max<duration>(peer_board::shortest_interval,
                                                 peer_board::interval_per_peer * static_cast<duration::rep>(routers));
        for (auto& it : members_) {
            it->router.set_routers(hosts);
            const auto offset =
                interval * static_cast<duration::rep>(it->number()) / static_cast<duration::rep>(routers);
            events_.at(start + offset, [this, &it, interval] { tell(*it, interval); });
            events_.at(start, [this, &it] { pump(*it); });
        }
        const double mean = (least_prompt + largest_prompt) / 2.0;
        const double per_s =
            load * static_cast<double>(engines) * endpoint_load::initial_prefill_tokens_per_ms * 1e3 / mean;
        service_.resize(teams_.size());
        for (std::size_t n = 0; n < teams_.size(); ++n) {
            events_.at(start, [this, n, rate = per_s * teams_[n].share] { ask_next(n, rate); });
        }
    }

    /*! @brief A router's host is too small for its callers. @param per_s Calls that it begins in a second; it turns the
     *  others away, and their callers come to it again. */
    void limit_host(std::size_t router, double per_s) { slow_hosts_[router] = slow_host{per_s, 1.0, start}; }

    void run_for(duration time) { events_.run_until(events_.now() + time); }

    /**
     * @brief Least service of a team that lacked some in each second of a stretch.
     * @param length Of the stretch, in seconds.
     * @param first Seconds at the beginning that do not count.
     * @return What it got of the least it is due, from 0; 1 or more if no team got less than that. It is due half of
     * what it asked for or of what the best served team got, whichever is less, second by second, less three calls.
     */
    [[nodiscard]] double least_part_of_due(std::size_t length, std::size_t first) const {
        const auto seconds = static_cast<std::size_t>((events_.now() - start) / std::chrono::seconds{1});
        double out = 1.0;
        for (std::size_t team = 0; team < service_.size(); ++team) {
            for (auto from = first; from + length <= seconds; ++from) {
                double due = -3.0 * (largest_prompt + 2.0 * output);
                double got = 0.0;
                bool lacked = true;
                for (auto n = from; n < from + length; ++n) {
                    const auto it = at_second(team, n);
                    due += std::min(it.asked, best_at(n)) / 2.0;
                    got += it.got;
                    lacked = lacked && it.lacked;
                }
                if (lacked && due > 0.0) {
                    out = std::min(out, got / due);
                }
            }
        }
        return out;
    }

    /*! @brief Calls that the dispatchers refused; those that a host turned away do not count. */
    [[nodiscard]] std::size_t refused() const noexcept { return refused_; }

    /*! @brief Calls that a host turned away, each time that they came. */
    [[nodiscard]] std::size_t turned_away() const noexcept { return turned_away_; }

    /*! @brief Tokens that all teams got, as a part of what the engines read. */
    [[nodiscard]] double use() const {
        double got = 0.0;
        for (const auto& team : service_) {
            for (const auto& [n, it] : team) {
                got += it.got;
            }
        }
        return got / (to_ms(events_.now() - start) * endpoint_load::initial_prefill_tokens_per_ms *
                      static_cast<double>(free_.size()));
    }

private:
    [[nodiscard]] second& this_second(std::size_t team) {
        return service_[team][static_cast<std::size_t>((events_.now() - start) / std::chrono::seconds{1})];
    }

    [[nodiscard]] second at_second(std::size_t team, std::size_t n) const {
        const auto it = service_[team].find(n);
        return it == service_[team].end() ? second{} : it->second;
    }

    [[nodiscard]] double best_at(std::size_t n) const {
        double out = 0.0;
        for (std::size_t team = 0; team < service_.size(); ++team) {
            out = std::max(out, at_second(team, n).got);
        }
        return out;
    }

    void ask_next(std::size_t team, double per_s) {
        const double pause_s = std::exponential_distribution<double>{per_s}(random_);
        events_.after(from_ms(1e3 * pause_s), [this, team, per_s] {
            open_call it;
            it.team = team;
            it.prompt = std::uniform_real_distribution<double>{least_prompt, largest_prompt}(random_);
            it.cost = it.prompt + 2.0 * output;
            it.first_asked = events_.now();
            this_second(team).asked += it.cost;
            submit(it);
            ask_next(team, per_s);
        });
    }

    /*! Tells whether a host begins one more call now. */
    [[nodiscard]] bool begins(std::size_t router) {
        const auto found = slow_hosts_.find(router);
        if (found == slow_hosts_.end()) {
            return true;
        }
        auto& it = found->second;
        const auto passed = std::chrono::duration<double>{events_.now() - std::exchange(it.filled, events_.now())};
        it.allowed = std::min(1.0, it.allowed + it.per_s * passed.count());
        if (it.allowed < 1.0) {
            return false;
        }
        it.allowed -= 1.0;
        return true;
    }

    void turn_away(member& from, const open_call& call) {
        ++turned_away_;
        this_second(call.team).lacked = true;
        from.router.usage().add_refused(team_id{teams_[call.team].name}, call.cost, events_.now());
        if (events_.now() + turned_away_return < call.first_asked + patience) {
            events_.after(turned_away_return, [this, &from, call] { submit_to(from, call); });
        }
    }

    void submit(const open_call& call) {
        std::uniform_int_distribution<std::size_t> pick{0, teams_[call.team].routers - 1};
        submit_to(*members_[pick(random_)], call);
    }

    void submit_to(member& to, const open_call& call) {
        if (!begins(to.number())) {
            turn_away(to, call);
            return;
        }
        work_item it;
        it.ticket = ++last_;
        it.team = team_id{teams_[call.team].name};
        it.service = service_id{"model"};
        it.parts = {{it.ticket, static_cast<std::uint32_t>(call.prompt)}};
        it.prompt_tokens = call.prompt;
        it.output_tokens = output;
        it.target = target;
        it.arrived = events_.now();
        const auto ticket = it.ticket;
        to.calls.emplace(ticket, call);
        events_.at(call.first_asked + patience, [this, &to, ticket] { leave(to, ticket); });
        to.router.submit(std::move(it), events_.now());
    }

    void arrive(member& from, ticket_id ticket, const endpoint_choice& choice) {
        const auto engine = static_cast<std::size_t>(std::stoul(choice.endpoint.value.substr(1)));
        events_.after(way, [this, &from, ticket, engine, id = choice.endpoint] {
            const auto call = from.calls.find(ticket);
            if (call == from.calls.end()) {
                return; // Its caller left while it was on its way.
            }
            auto& free = free_[engine];
            free = std::max(free, events_.now()) +
                   from_ms(call->second.prompt / endpoint_load::initial_prefill_tokens_per_ms);
            events_.at(free + first_step, [this, &from, ticket, id] { begin(from, ticket, id); });
        });
    }

    void begin(member& at_router, ticket_id ticket, const endpoint_id& id) {
        const auto it = at_router.calls.find(ticket);
        if (it == at_router.calls.end()) {
            return; // Its caller left while its prompt was read.
        }
        auto& call = it->second;
        call.begun = true;
        auto& now = this_second(call.team);
        now.got += call.cost;
        now.lacked = now.lacked || events_.now() - call.first_asked > target;
        at_router.router.data_received(id, events_.now());
        at_router.router.started(ticket, events_.now());
        events_.after(generation, [this, &at_router, ticket] {
            at_router.router.ended(ticket, call_outcome::answered, events_.now());
            at_router.calls.erase(ticket);
        });
    }

    void leave(member& from, ticket_id ticket) {
        const auto it = from.calls.find(ticket);
        if (it == from.calls.end() || it->second.begun) {
            return;
        }
        this_second(it->second.team).lacked = true;
        from.calls.erase(it);
        if (!from.router.withdraw(ticket)) {
            from.router.ended(ticket, call_outcome::answered, events_.now());
        }
    }

    void come_again(member& from, ticket_id ticket, const refusal& why) {
        const auto node = from.calls.extract(ticket);
        if (node.empty()) {
            return;
        }
        ++refused_;
        auto call = node.mapped();
        this_second(call.team).lacked = true;
        if (!std::exchange(call.again, true) && events_.now() + why.retry_after < call.first_asked + patience) {
            events_.after(why.retry_after, [this, call] { submit(call); });
        }
    }

    void pump(member& it) {
        it.router.process_waiting(events_.now());
        events_.after(std::chrono::milliseconds{8}, [this, &it] { pump(it); });
    }

    void tell(member& from, duration interval) {
        const auto teams = from.router.usage().own(events_.now());
        const auto queues = from.router.queues();
        std::vector<std::pair<endpoint_id, endpoint_work>> work;
        for (const auto& [id, load] : from.router.loads()) {
            work.emplace_back(id, load.own(events_.now()));
        }
        events_.after(way, [this, host = from.host(), teams, queues, work] {
            for (auto& to : members_) {
                if (to->host() == host) {
                    continue;
                }
                for (const auto& [id, it] : work) {
                    to->router.load(id).update_peer(host, it, events_.now());
                }
                to->router.usage().update_peer(host, teams, events_.now());
                to->router.update_peer_queues(host, queues, events_.now());
            }
        });
        events_.after(interval, [this, &from, interval] { tell(from, interval); });
    }

    std::vector<team_demand> teams_;
    std::vector<time_point> free_; //!< When each engine has read what it has.
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<member>> members_{};
    std::vector<std::map<std::size_t, second>> service_{}; //!< By team and second.
    std::map<std::size_t, slow_host> slow_hosts_{};
    std::size_t refused_{};
    std::size_t turned_away_{};
    ticket_id last_{};
    soak::event_queue events_{};
};

} // namespace dandelionbay
