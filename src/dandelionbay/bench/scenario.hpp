#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"

namespace dandelionbay::bench {

/*! @brief Teams of the development fleet. */
inline constexpr std::size_t team_count = 4;
/*! @brief Entry routers of the development fleet. */
inline constexpr std::size_t router_count = 2;

/*! @brief Threads that send the calls of a team to a router: with 4 teams, and 4 threads for orders, 116 connections
 * for each router, below the 128 caller threads of a development router. */
inline constexpr std::size_t lane_threads = 28;
/*! @brief Interval at which service and utilisation are sampled. */
inline constexpr std::chrono::milliseconds sample_interval{20};

/*! @brief What happens to the fleet during the load. */
enum class disturbance {
    none,
    zone_move,      //!< A zone is taken out of service and back.
    engine_restart, //!< An engine restarts and is cold for a while.
    store_outage,   //!< The platform stand-in ends every call without an answer.
    region_split,   //!< The regions can't reach each other for a part of the run.
    host_restarts   //!< All agents, then all routers stop gracefully and start again, one after the other.
};

/*! @brief Load of one team. */
struct team_load {
    double rate{};         //!< Chat calls per second.
    double first_router{}; //!< Share of the calls that go to the first router.
    std::uint32_t input{}; //!< Input tokens beside the few that name the call.

    friend bool operator==(const team_load&, const team_load&) = default;
};

/*! @brief What is sent, and what happens to the fleet meanwhile. */
struct scenario {
    std::string_view name{};
    std::array<team_load, team_count> teams{};
    double order_rate{}; //!< Orders per second.
    disturbance during{};
    std::chrono::seconds shortest{1}; //!< Shortest run that measures what the scenario is for.

    friend bool operator==(const scenario&, const scenario&) = default;
};

/*! @brief One planned call. */
struct arrival {
    duration at{}; //!< Since the start of the load.
    std::size_t team{};
    std::size_t router{};
    std::uint32_t tokens{}; //!< Output tokens of a chat call; zero for an order.
    std::string text{};     //!< Prompt or order id.

    [[nodiscard]] bool is_order() const noexcept { return tokens == 0; }

    friend bool operator==(const arrival&, const arrival&) = default;
};

/*! @brief Input tokens of a chat call as the engine stand-in counts them. */
[[nodiscard]] std::uint32_t input_of(const arrival& it);

/*! @brief What a chat call costs a fair router. @return Cost units: one for an input token, two for an output token. */
[[nodiscard]] std::uint32_t cost_of(const arrival& it);

/*! @brief All scenarios. */
[[nodiscard]] std::span<const scenario> scenarios() noexcept;

/*! @brief Load that takes the endpoints through their cold start. */
[[nodiscard]] scenario warm_up() noexcept;

/*! @brief Finds a scenario. @param name Its name. @return It, or null. */
[[nodiscard]] const scenario* find_scenario(std::string_view name) noexcept;

/**
 * @brief Draws the times of a Poisson process.
 * @param rate Arrivals per second, over 0.
 * @param length Length of the load.
 * @param random Source of random numbers.
 * @return Times since the start of the load, in ascending order.
 */
[[nodiscard]] std::vector<duration> draw_times(double rate, std::chrono::seconds length, std::mt19937_64& random);

/**
 * @brief Draws the arrivals of a run.
 * @param load The scenario.
 * @param length Length of the load.
 * @param seed Equal seeds give equal arrivals; different seeds give different prompts and order ids.
 * @return The arrivals, ordered by time.
 */
[[nodiscard]] std::vector<arrival> plan_arrivals(const scenario& load, std::chrono::seconds length, std::uint64_t seed);

} // namespace dandelionbay::bench
