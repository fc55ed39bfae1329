#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/*! @brief One run of the bench. */
struct bench_options {
    scenario load{};
    std::chrono::seconds length{10}; //!< Of the load.
    std::uint64_t seed{1};
    std::chrono::seconds warm_up{8}; //!< Load before the measurement, so that the cold start of a new fleet is over.

    friend bool operator==(const bench_options&, const bench_options&) = default;
};

/**
 * @brief Starts a development fleet, loads it and measures.
 * @param options Scenario, length and seed.
 * @param progress Takes a line for each second.
 * @return All figures as a JSON object, or the error that kept the fleet from starting or the zone from moving.
 */
[[nodiscard]] absl::StatusOr<nlohmann::json> run_bench(const bench_options& options, std::ostream& progress);

} // namespace dandelionbay::bench
