#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"
#include "dandelionbay/standin/standin_engine.hpp"

namespace dandelionbay::bench {

/*! @brief How a modelled fleet assigns calls to engines. */
enum class queue_policy {
    round_robin,         //!< Each router sends a call to the next engine, where it waits first come first served.
    per_router_fairness, //!< Each router shares fairly among its own calls; free slots go to the routers in turn.
    central_queue        //!< One queue for all calls, fair among teams, which knows each call's cost in advance.
};

/*! @brief Time in which engines start no work. */
struct engine_outage {
    duration from{}; //!< Since the start of the load.
    duration until{};
    std::vector<std::size_t> engines{};

    friend bool operator==(const engine_outage&, const engine_outage&) = default;
};

/*! @brief What the model calculates with. */
struct queue_model_options {
    std::size_t engines{4};
    standin_engine_options engine{};          //!< Slots, first token, interval and growth are used; it is warm.
    std::size_t calls_per_lane{lane_threads}; //!< Calls of a team to a router that are sent at a time.
    duration last_send{duration::max()};      //!< Calls whose turn comes later are not sent.
    std::optional<engine_outage> outage{};

    friend bool operator==(const queue_model_options&, const queue_model_options&) = default;
};

/*! @brief Name of a policy in the report. */
[[nodiscard]] std::string_view name_of(queue_policy policy) noexcept;

/**
 * @brief Calculates what callers would see of a fleet without network, control traffic and processing time.
 *
 * An engine's first token and token interval follow the engine stand-in. Orders take no time.
 * @param policy Assignment of calls to engines.
 * @param plan Arrivals, ordered by time.
 * @param length Length of the load; not zero.
 * @param options Engines and lanes.
 * @return Object with requests_per_s, utilisation_ratio, fairness_gap_tokens, contended_s, ttft_ms and tokens_by_team,
 *         defined as in the report of a run.
 */
[[nodiscard]] nlohmann::json run_queue_model(queue_policy policy, const std::vector<arrival>& plan,
                                             std::chrono::seconds length, const queue_model_options& options);

/*! @brief The figures of all policies. @return Object with a member for each policy. */
[[nodiscard]] nlohmann::json run_baselines(const std::vector<arrival>& plan, std::chrono::seconds length,
                                           const queue_model_options& options);

} // namespace dandelionbay::bench
