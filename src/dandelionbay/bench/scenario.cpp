#include "dandelionbay/bench/scenario.hpp"

#include <algorithm>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay::bench {

namespace {

/*! Calls per second that the four engine stand-ins serve at full load: 32 slots, 50 ms to the first token and 31
 *  further tokens at 11.4 ms each. */
constexpr double capacity = 79;
constexpr double order_rate = 5;
/*! Of a dossier: ten times the cost of an average chat call. */
constexpr std::uint32_t dossier_input = 700;
constexpr std::uint32_t fewest_tokens = 16;
constexpr std::uint32_t most_tokens = 48;
/*! Every tenth order is sent a second time to the other router, as a caller does that saw no answer. */
constexpr double resent_share = 0.1;
constexpr std::chrono::milliseconds resend_delay{200};

[[nodiscard]] constexpr std::array<team_load, team_count> equal_teams(double share) {
    const team_load each{share * capacity / static_cast<double>(team_count), 0.5};
    return {each, each, each, each};
}

constexpr std::array all_scenarios{
    scenario{"steady", equal_teams(0.6), order_rate, disturbance::none, std::chrono::seconds{1}},
    scenario{"skew",
             {team_load{0.9 * capacity, 0.8}, team_load{0.6 * capacity, 0.2}, team_load{0.1 * capacity, 0.5},
              team_load{0.1 * capacity, 0.5}},
             order_rate,
             disturbance::none,
             std::chrono::seconds{1}},
    // Half of the engines are in the zone that is taken out; the load stays under what the other half serves.
    scenario{"zone-move", equal_teams(0.4), order_rate, disturbance::zone_move, std::chrono::seconds{9}},
    scenario{"flood",
             {team_load{3 * capacity, 0.5}, team_load{0.15 * capacity, 0.5}, team_load{0.15 * capacity, 0.5},
              team_load{0.15 * capacity, 0.5}},
             order_rate,
             disturbance::none,
             std::chrono::seconds{1}},
    // Dossiers of two teams beside chats of two others; each group alone offers more than its share of the engines.
    scenario{"dossiers",
             {team_load{0.6 * capacity, 0.7, dossier_input}, team_load{0.6 * capacity, 0.3, dossier_input},
              team_load{0.6 * capacity, 0.5}, team_load{0.6 * capacity, 0.5}},
             order_rate,
             disturbance::none,
             std::chrono::seconds{1}},
    scenario{"cold", equal_teams(0.6), order_rate, disturbance::engine_restart, std::chrono::seconds{6}},
    scenario{"store-outage", equal_teams(0.5), order_rate, disturbance::store_outage, std::chrono::seconds{6}},
    // The load of "steady": the east alone has less capacity than its half of the calls needs.
    scenario{"region-split", equal_teams(0.6), order_rate, disturbance::region_split, std::chrono::seconds{16}},
    scenario{"rolling-restart", equal_teams(0.4), order_rate, disturbance::host_restarts, std::chrono::seconds{16}}};

} // namespace

std::uint32_t input_of(const arrival& it) {
    // The engine stand-in counts words.
    return static_cast<std::uint32_t>(1 + std::ranges::count(it.text, ' '));
}

std::uint32_t cost_of(const arrival& it) {
    return input_of(it) + 2 * it.tokens;
}

scenario warm_up() noexcept {
    return {"warm-up", equal_teams(0.9), order_rate, disturbance::none, std::chrono::seconds{1}};
}

std::span<const scenario> scenarios() noexcept {
    return all_scenarios;
}

const scenario* find_scenario(std::string_view name) noexcept {
    const auto* const it = std::ranges::find(all_scenarios, name, &scenario::name);
    return it != all_scenarios.end() ? it : nullptr;
}

std::vector<duration> draw_times(double rate, std::chrono::seconds length, std::mt19937_64& random) {
    std::vector<duration> out;
    std::exponential_distribution<double> gap{rate};
    const auto limit = static_cast<double>(length.count());
    for (double at = gap(random); at < limit; at += gap(random)) {
        out.push_back(std::chrono::duration_cast<duration>(std::chrono::duration<double>{at}));
    }
    return out;
}

std::vector<arrival> plan_arrivals(const scenario& load, std::chrono::seconds length, std::uint64_t seed) {
    std::mt19937_64 random{seed};
    std::uniform_real_distribution<double> share{0, 1};
    std::uniform_int_distribution<std::uint32_t> tokens{fewest_tokens, most_tokens};
    std::uniform_int_distribution<std::size_t> any_team{0, team_count - 1};
    std::vector<arrival> out;
    for (std::size_t team = 0; team < team_count; ++team) {
        for (const auto at : draw_times(load.teams.at(team).rate, length, random)) {
            const std::size_t router = share(random) < load.teams.at(team).first_router ? 0 : 1;
            out.push_back(
                {at, team, router, tokens(random), concat("prompt ", seed, "-", out.size(), " of team ", team)});
            for (std::uint32_t n = 0; n < load.teams.at(team).input; ++n) {
                out.back().text += " word";
            }
        }
    }
    for (const auto at : draw_times(load.order_rate, length, random)) {
        const arrival order{at, any_team(random), share(random) < 0.5 ? 0U : 1U, 0,
                            concat("order-", seed, "-", out.size())};
        out.push_back(order);
        if (share(random) < resent_share) {
            out.push_back({at + resend_delay, order.team, 1 - order.router, 0, order.text});
        }
    }
    std::ranges::stable_sort(out, {}, &arrival::at);
    return out;
}

} // namespace dandelionbay::bench
