#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "dandelionbay/load/fwd.hpp"
#include "dandelionbay/load/profile.hpp"

namespace dandelionbay::load {

/*! @brief Where the calls go. */
struct load_target {
    std::string host{}; //!< Name or IP address, without brackets.
    std::uint16_t port{80};

    friend bool operator==(const load_target&, const load_target&) = default;
};

/**
 * @brief Parses the URL of a target.
 * @param url "http://HOST", "http://HOST:PORT" or with a bracketed IPv6 address; a slash may end it.
 * @return The target, or InvalidArgument.
 */
[[nodiscard]] absl::StatusOr<load_target> parse_target(std::string_view url);

/*! @brief One run. */
struct load_options {
    load_profile profile{};
    load_target target{};
    std::chrono::seconds length{10}; //!< Of the load.
    std::uint64_t seed{1};
    std::chrono::seconds drain_limit{20}; //!< Calls that are late at the end of the load are still sent for this long.

    friend bool operator==(const load_options&, const load_options&) = default;
};

/*! @brief Greatest number of planned calls on average, which keeps the plan under 200 MB. */
inline constexpr double max_planned_calls = 5'000'000;

/**
 * @brief Sends the load and waits until every call has ended.
 * @param options Profile, target, length and seed.
 * @param progress Takes a line for each second.
 * @return All figures as a JSON object; Unavailable if the system grants too few threads.
 */
[[nodiscard]] absl::StatusOr<nlohmann::json> run_load(const load_options& options, std::ostream& progress);

} // namespace dandelionbay::load
