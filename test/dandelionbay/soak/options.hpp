#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay::soak {

/*! @brief Size of the fleet, load and faults of one run. */
struct options {
    std::uint64_t seed{1};
    std::string trace{}; //!< Key of a request whose steps are printed; empty for none.
    std::uint32_t routers{3};
    std::uint32_t model_endpoints{4};
    std::uint32_t plain_endpoints{2};
    std::uint32_t slots{4};
    std::uint32_t teams{6};
    duration load{std::chrono::seconds{30}};    //!< Time during which requests arrive.
    duration settle{std::chrono::seconds{100}}; //!< Time after it in which every request must end.
    double requests_per_second{60};             //!< Of all teams together.
    double large_team_share{0.5};               //!< Part of all requests that the first team sends.
    std::uint32_t dossier_input{};              //!< Input tokens of the teams with odd numbers; zero for short ones.
    bool link_breaks{};
    bool message_faults{}; //!< Single messages are lost, repeated or overtaken.
    bool router_restarts{};
    bool agent_restarts{};
    bool cold_endpoints{}; //!< Endpoints restart without warning.
    bool crashing_requests{};
    bool pauses{};
    bool link_stalls{}; //!< Links hold messages back for up to 3 s.
    bool zone_moves{};
    bool callers_leave{};
    bool graceful_stops{};
    bool store_outages{};
    bool hosts_in_settings{}; //!< The nodes' settings name all hosts.
    bool partitions{};        //!< A zone is parted from the others, with or without the store.
};

/*! @brief Outcome of one run. */
struct report {
    std::vector<std::string> violations{};
    std::uint64_t requests{};
    std::uint64_t complete{};
    std::uint64_t not_run{};
    std::uint64_t unknown{};
    std::uint64_t engine_starts{};
    std::uint64_t tokens{};
    double fairness_gap{};   //!< Largest difference of weighted service between backlogged teams, cost units.
    double fairness_bound{}; //!< Bound from the stated terms, cost units.
    double utilisation{};    //!< Slot time in use over slot time of the model endpoints while load lasts.
};

/*! @brief Options with the faults that a seed selects. @param seed The seed. @return Options. */
[[nodiscard]] options options_for_seed(std::uint64_t seed);

/*! @brief Runs one fleet on paused time. @param chosen Size, load and faults. @return What was seen. */
[[nodiscard]] report run(const options& chosen);

} // namespace dandelionbay::soak
