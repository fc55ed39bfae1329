#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/fleet_document.hpp"
#include "soak/options.hpp"
#include "soak/sim_node.hpp"

namespace dandelionbay::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t most_tokens = 60;
constexpr std::uint32_t plain_percent = 15;
constexpr std::uint32_t crash_permille = 4;
constexpr double output_token_cost = 2;
constexpr double longest_key = 12;
constexpr double token_interval_s = 0.02;
// One exchange interval of 1 s and three hops between regions.
constexpr double exchange_delay_s = 1.12;

/*! @brief One run: a fleet, its callers and its faults. */
class fleet_run {
    using generator = std::mt19937_64;

    std::uint64_t draw(std::uint64_t low, std::uint64_t high) {
        return std::uniform_int_distribution<std::uint64_t>{low, high}(random_);
    }

    duration draw_time(duration low, duration high) {
        return duration{std::uniform_int_distribution<duration::rep>{low.count(), high.count()}(random_)};
    }

    void plan_agents() {
        for (std::uint32_t n = 0; n < chosen_.model_endpoints + chosen_.plain_endpoints; ++n) {
            const bool plain = n >= chosen_.model_endpoints;
            const auto zone = n % zones.size();
            agent_settings settings{};
            settings.host = host_id{"agent-" + std::to_string(n)};
            settings.region = regions.at(zone);
            settings.zone = zones.at(zone);
            settings.endpoint = endpoint_id{(plain ? "plain-" : "model-") + std::to_string(n)};
            settings.incarnation = 1;
            settings.seed = random_();
            planned_.push_back(settings);
            list_host(settings, host_role::agent);
        }
    }

    void plan_routers() {
        for (std::uint32_t n = 0; n < chosen_.routers; ++n) {
            router_settings settings{};
            settings.host = host_id{"router-" + std::to_string(n)};
            settings.region = regions.at(n % zones.size());
            settings.zone = zones.at(n % zones.size());
            settings.incarnation = 1;
            settings.seed = random_();
            planned_routers_.push_back(settings);
            list_host(settings, host_role::router);
        }
    }

    void list_host(const auto& settings, host_role role) {
        store_.list_host({settings.host, role, settings.region, settings.zone, {}, false});
    }

    void build() {
        for (std::uint32_t n = 0; n < chosen_.teams; ++n) {
            checks_.fairness().add_team(team_name(n), 1.0);
        }
        plan_agents();
        plan_routers();
        store_.name_hosts_in_settings(chosen_.hosts_in_settings);
        store_.accepted(store_.write(make_document(chosen_, planned_, "")), events_.now());
        for (const auto& settings : planned_) {
            agents_.push_back(std::make_unique<sim_agent>(shared_, settings, chosen_.slots));
            links_.add(settings.host, *agents_.back(), settings.region);
        }
        std::vector<host_id> names;
        for (const auto& settings : planned_routers_) {
            routers_.push_back(std::make_unique<sim_router>(shared_, settings));
            links_.add(settings.host, *routers_.back(), settings.region);
            names.push_back(settings.host);
        }
        for (const auto& router : routers_) {
            for (const auto& agent : agents_) {
                links_.join(router->host(), agent->host());
            }
        }
        for (std::size_t a = 0; a < names.size(); ++a) {
            for (std::size_t b = a + 1; b < names.size(); ++b) {
                links_.join(names.at(a), names.at(b));
            }
        }
    }

    /*! @brief A request of a team that spreads unevenly: most go to the router of the team's number. */
    void one_request() {
        const bool large = std::uniform_real_distribution{}(random_) < chosen_.large_team_share;
        const auto team = large ? 0 : static_cast<std::uint32_t>(draw(1, chosen_.teams - 1));
        const auto home = draw(0, 9) < 7 ? team % chosen_.routers : draw(0, chosen_.routers - 1);
        auto& router = *routers_.at(home);
        if (router.stopping() || links_.paused_until(router.host()) > events_.now()) {
            return;
        }
        const bool plain = draw(1, 100) <= plain_percent;
        const bool crash = chosen_.crashing_requests && !plain && draw(1, 1000) <= crash_permille;
        const auto tokens = static_cast<std::uint32_t>(plain ? draw(1, 3) : draw(5, most_tokens));
        auto key = (crash ? "crash-" : "r") + std::to_string(++sequence_);
        if (!plain && team % 2 == 1 && key.size() < chosen_.dossier_input) {
            key.append(chosen_.dossier_input - key.size(), 'd');
        }
        accepted_request request{};
        request.team = team_name(team);
        request.service = plain ? plain_service : model_service;
        request.idempotent = !plain;
        request.fingerprint = std::hash<std::string>{}(key);
        request.input_tokens = plain ? 0 : static_cast<std::uint32_t>(key.size());
        request.max_output_tokens = plain ? 0 : most_tokens;
        request.request = {"POST", plain ? "/orders" : "/v1/chat/completions", {}, key + " " + std::to_string(tokens)};
        router.submit_request(std::move(request), key, tokens);
        if (crash) {
            resend_crash(key, tokens, team);
        }
        if (chosen_.callers_leave && draw(1, 100) <= 5) {
            const auto open = router.open();
            if (!open.empty()) {
                const auto id = *std::next(open.begin(), static_cast<long>(draw(0, open.size() - 1)));
                events_.after(draw_time(1ms, 2s), [&router, id] { router.caller_leaves(id); });
            }
        }
    }

    /*! @brief The caller of a crashing request sends it again, through another router. */
    void resend_crash(const std::string& key, std::uint32_t tokens, std::uint32_t team) {
        for (int n = 1; n <= 3; ++n) {
            events_.after(n * 6s, [this, key, tokens, team, n] {
                auto& router = *routers_.at((team + static_cast<std::uint32_t>(n)) % chosen_.routers);
                if (router.stopping() || links_.paused_until(router.host()) > events_.now()) {
                    return;
                }
                accepted_request request{};
                request.team = team_name(team);
                request.service = model_service;
                request.fingerprint = std::hash<std::string>{}(key);
                request.max_output_tokens = most_tokens;
                request.request = {"POST", "/v1/chat/completions", {}, key + " " + std::to_string(tokens)};
                router.submit_request(std::move(request), key, tokens);
            });
        }
    }

    void arrivals() {
        if (events_.now() >= load_end_) {
            return;
        }
        one_request();
        const double gap_s = std::exponential_distribution{chosen_.requests_per_second}(random_);
        events_.after(duration{static_cast<duration::rep>(gap_s * 1e6) + 1}, [this] { arrivals(); });
    }

    sim_agent& any_agent() { return *agents_.at(draw(0, agents_.size() - 1)); }
    sim_router& any_router() { return *routers_.at(draw(0, routers_.size() - 1)); }

    void repeat(bool wanted, duration shortest, duration longest, std::function<void()> fault) {
        if (!wanted) {
            return;
        }
        events_.after(draw_time(shortest, longest), [this, shortest, longest, fault = std::move(fault)] {
            if (events_.now() < load_end_) {
                fault();
                repeat(true, shortest, longest, fault);
            }
        });
    }

    void schedule_faults() {
        links_.set_message_faults(chosen_.message_faults);
        repeat(chosen_.link_breaks, 200ms, 2s,
               [this] { links_.break_link(any_router().host(), any_agent().settings().host); });
        repeat(chosen_.link_breaks, 2s, 8s, [this] { block_link(); });
        repeat(chosen_.router_restarts, 3s, 12s, [this] {
            if (auto& router = any_router(); !router.stopping()) {
                router.restart();
            }
        });
        repeat(chosen_.agent_restarts, 3s, 10s, [this] { restart_agent(); });
        repeat(chosen_.cold_endpoints, 2s, 9s, [this] { any_agent().endpoint().restart(); });
        repeat(chosen_.pauses, 3s, 10s, [this] { pause(); });
        repeat(chosen_.link_stalls, 50ms, 500ms, [this] { stall_link(); });
        repeat(chosen_.zone_moves, 8s, 14s, [this] { move_zone(); });
        repeat(chosen_.graceful_stops, 6s, 15s, [this] { stop_router(); });
        repeat(chosen_.graceful_stops, 6s, 15s, [this] { stop_agent(); });
        repeat(chosen_.store_outages, 5s, 20s, [this] { store_outage(); });
        repeat(chosen_.partitions, 5s, 15s, [this] { part_zone(); });
    }

    void restart_agent() {
        if (auto& agent = any_agent(); !agent.stopping()) {
            agent.restart();
        }
    }

    void block_link() {
        const auto a = any_router().host();
        const auto b = any_agent().settings().host;
        links_.block(a, b, true);
        events_.after(draw_time(1s, 8s), [this, a, b] { links_.block(a, b, false); });
    }

    void pause() {
        const auto host = draw(0, 1) == 0 ? any_router().host() : any_agent().settings().host;
        const auto length = draw_time(100ms, 6s);
        links_.pause(host, events_.now() + length);
        checks_.router_paused(host, true);
        events_.after(length, [this, host] {
            if (links_.paused_until(host) <= events_.now()) {
                checks_.router_paused(host, false);
            }
        });
        // The other side closes a link that is silent for 3 s.
        if (length > 3s) {
            events_.after(3s, [this, host] { links_.break_links(host); });
        }
    }

    /*! @brief One direction of a link holds messages back for less than the 3 s after which the link is closed. */
    void stall_link() {
        const auto all = links_.ends();
        const auto& [a, b] = all.at(draw(0, all.size() - 1));
        const bool back = draw(0, 1) == 0;
        links_.stall(back ? b : a, back ? a : b, events_.now() + draw_time(500ms, 3s));
    }

    /*! @brief Takes a zone out and back. */
    void move_zone() {
        if (zone_moving_) {
            return;
        }
        zone_moving_ = true;
        const auto zone = zones.at(draw(0, zones.size() - 1));
        change(zone.value,
               [this] { events_.after(draw_time(6s, 10s), [this] { change("", [this] { zone_moving_ = false; }); }); });
    }

    /*! @brief An operator tries until a router accepts: it needs the store and a majority of the hosts. */
    void change(const std::string& out, const std::function<void()>& accepted) {
        const auto& router = any_router();
        if (links_.paused_until(router.host()) > events_.now() || !store_.answers(router.host()) ||
            !router.hears_majority()) {
            events_.after(500ms, [this, out, accepted] { change(out, accepted); });
            return;
        }
        const auto revision = store_.write(make_document(chosen_, planned_, out));
        for (const auto& it : agents_) {
            it->zone_out_since(std::nullopt);
        }
        confirm(router, revision, out, accepted);
    }

    /*! @brief The change counts as accepted when the router knows that a majority of the hosts has it. */
    void confirm(const sim_router& router, std::uint64_t revision, const std::string& out,
                 const std::function<void()>& accepted) {
        if (router.majority_revision() < revision) {
            events_.after(50ms, [this, &router, revision, out, accepted] { confirm(router, revision, out, accepted); });
            return;
        }
        store_.accepted(revision, events_.now());
        for (const auto& it : agents_) {
            it->zone_out_since(it->settings().zone.value == out ? std::optional{events_.now()} : std::nullopt);
        }
        accepted();
    }

    void store_outage() {
        store_.set_down(true);
        events_.after(draw_time(2s, 20s), [this] { store_.set_down(false); });
    }

    /*! @brief Parts a zone from the others; the store is on one side, or out of reach of both. */
    void part_zone() {
        if (parted_) {
            return;
        }
        parted_ = true;
        const auto zone = zones.at(draw(0, zones.size() - 1));
        std::set<host_id> inside;
        std::set<host_id> outside;
        for (const auto& it : store_.hosts()) {
            (it.zone == zone ? inside : outside).insert(it.host);
        }
        const auto block = [this, inside](bool blocked) {
            for (const auto& [a, b] : links_.ends()) {
                if (inside.contains(a) != inside.contains(b)) {
                    links_.block(a, b, blocked);
                }
            }
        };
        block(true);
        std::set<endpoint_id> endpoints;
        for (const auto& it : agents_) {
            if (it->settings().zone == zone) {
                endpoints.insert(it->settings().endpoint);
            }
        }
        checks_.part(std::move(endpoints), events_.now());
        store_.cut_off(draw(0, 3) > 0 ? inside : outside);
        events_.after(draw_time(3s, 30s), [this, block] {
            block(false);
            store_.cut_off({});
            checks_.rejoin(events_.now());
            // The next one begins when this one is over for all nodes.
            events_.after(5s, [this] { parted_ = false; });
        });
    }

    void stop_router() {
        auto& router = any_router();
        const auto stopping = std::ranges::count_if(routers_, [](const auto& it) { return it->stopping(); });
        if (router.stopping() || stopping + 1 >= static_cast<long>(routers_.size())) {
            return;
        }
        router.begin_stop();
        await_idle(router, events_.now() + 120s);
    }

    void stop_agent() {
        auto& agent = any_agent();
        const auto stopping = std::ranges::count_if(agents_, [](const auto& it) { return it->stopping(); });
        if (agent.stopping() || stopping > 0) {
            return;
        }
        agent.begin_stop();
        await_idle(agent, events_.now() + 120s);
    }

    template<typename Node>
    void await_idle(Node& node, time_point limit) {
        if (node.idle() || events_.now() >= limit) {
            if (!node.idle()) {
                checks_.violation("a graceful stop did not end within its limit");
            }
            node.restart();
            return;
        }
        events_.after(50ms, [this, &node, limit] { await_idle(node, limit); });
    }

    /*! @brief Slot time in use at the model endpoints so far. */
    [[nodiscard]] duration model_busy() const {
        duration sum{};
        for (const auto& it : agents_) {
            sum += it->settings().endpoint.value.starts_with("model") ? it->busy() : duration{};
        }
        return sum;
    }

    /*! @brief 2(L + E) + 2RD: largest request, largest estimate error, pool rate and exchange delay. */
    [[nodiscard]] double fairness_bound() const {
        const double input = std::max<double>(longest_key, chosen_.dossier_input);
        const double largest = output_token_cost * most_tokens + input;
        // The input of a dossier is served once in a run of mean length.
        const double dossier_rate = chosen_.dossier_input / (token_interval_s * most_tokens / 2);
        const double rate =
            chosen_.model_endpoints * chosen_.slots * (output_token_cost / token_interval_s + dossier_rate);
        return 2 * (largest + largest) + 2 * rate * exchange_delay_s;
    }

public:
    explicit fleet_run(const options& chosen) : chosen_{chosen}, random_{chosen.seed}, links_{events_, random_()} {}

    report run() {
        checks_.trace(chosen_.trace);
        build();
        events_.run_until(events_.now() + 2s);
        load_end_ = events_.now() + chosen_.load;
        schedule_faults();
        arrivals();
        const auto busy_before = model_busy();
        events_.run_until(load_end_);
        const auto busy = model_busy() - busy_before;
        events_.run_until(load_end_ + chosen_.settle);
        checks_.finish();
        if (const auto n = metrics_.total("invariant_violations_total"); n > 0) {
            checks_.violation("invariants inside the program failed " + std::to_string(n) + " times:\n" +
                              metrics_.render());
        }
        // The bound holds for each part of a partition alone; what one part owes the other is repaid after the rejoin.
        if (!chosen_.partitions && checks_.fairness().gap() > fairness_bound()) {
            checks_.violation("the gap between backlogged teams is " + std::to_string(checks_.fairness().gap()) +
                              " of " + std::to_string(fairness_bound()));
        }
        report result{};
        result.violations = checks_.violations();
        result.requests = checks_.requests();
        result.complete = checks_.complete();
        result.not_run = checks_.with_state(executed::no);
        result.unknown = checks_.with_state(executed::unknown);
        result.engine_starts = checks_.starts();
        result.fairness_gap = checks_.fairness().gap();
        result.fairness_bound = fairness_bound();
        const auto slot_time = chosen_.load * static_cast<duration::rep>(chosen_.model_endpoints * chosen_.slots);
        result.utilisation = static_cast<double>(busy.count()) / static_cast<double>(slot_time.count());
        return result;
    }

private:
    options chosen_;
    generator random_;
    event_queue events_;
    counters metrics_;
    checker checks_;
    sim_links links_;
    sim_store store_;
    world shared_{events_, links_, store_, checks_, metrics_};
    std::vector<agent_settings> planned_;
    std::vector<router_settings> planned_routers_;
    std::vector<std::unique_ptr<sim_agent>> agents_;
    std::vector<std::unique_ptr<sim_router>> routers_;
    time_point load_end_{};
    std::uint64_t sequence_{};
    bool zone_moving_{};
    bool parted_{};
};

} // namespace

options options_for_seed(std::uint64_t seed) {
    std::mt19937_64 random{seed * 0x9E3779B97F4A7C15ULL + 1};
    const auto sometimes = [&random] { return std::uniform_int_distribution{0, 2}(random) == 0; };
    options chosen{};
    chosen.seed = seed;
    chosen.requests_per_second = std::uniform_real_distribution{10.0, 120.0}(random);
    chosen.large_team_share = std::uniform_real_distribution{0.1, 0.95}(random);
    chosen.link_breaks = sometimes();
    chosen.message_faults = sometimes();
    chosen.router_restarts = sometimes();
    chosen.agent_restarts = sometimes();
    chosen.cold_endpoints = sometimes();
    chosen.crashing_requests = sometimes();
    chosen.pauses = sometimes();
    chosen.zone_moves = sometimes();
    chosen.callers_leave = sometimes();
    chosen.graceful_stops = sometimes();
    chosen.store_outages = sometimes();
    chosen.partitions = sometimes();
    chosen.hosts_in_settings = sometimes();
    chosen.link_stalls = sometimes();
    return chosen;
}

report run(const options& chosen) {
    return fleet_run{chosen}.run();
}

} // namespace dandelionbay::soak
