#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/gateway/fwd.hpp"

namespace dandelionbay {

/*! @brief Kind of a call. Safe calls may be repeated, streams only if they can be resumed, unsafe calls never. */
enum class call_kind : std::uint8_t { safe, unsafe, streaming };

/*! @brief Service of a route and its weight in the distribution of the route's calls. */
struct service_share {
    service_id service{};
    double weight{1.0};

    friend bool operator==(const service_share&, const service_share&) = default;
};

/*! @brief Calls to a host name below a path prefix, and how they are served. */
struct route {
    std::string name{};
    std::string host{};
    std::string prefix{}; //!< Begins and ends with a slash.
    call_kind kind{call_kind::safe};
    duration time_limit{std::chrono::seconds{30}};    //!< Maximum time to the end of the answer.
    duration target_latency{std::chrono::seconds{1}}; //!< Target time to the answer, or to the first event of a stream.
    duration max_event_gap{}; //!< Maximum gap between events of a stream that counts as in time.
    std::vector<service_share> services{};
    std::uint32_t max_attempts{1};         //!< Maximum number of endpoints that run one call.
    bool is_public{};                      //!< No API key is required.
    bool resumable{};                      //!< Another endpoint can continue a stream after its last event.
    std::vector<region_id> home_regions{}; //!< Regions that may serve the route; empty for all.

    friend bool operator==(const route&, const route&) = default;

    /*! @brief Time without an event after which callers abandon a stream. */
    [[nodiscard]] duration stream_idle_timeout() const noexcept {
        constexpr duration min_timeout = std::chrono::seconds{2};
        constexpr int latency_factor = 4;
        constexpr int gap_factor = 8;
        return std::max({min_timeout, latency_factor * target_latency, gap_factor * max_event_gap});
    }

    /*! @brief Tells whether a call may run more than once. */
    [[nodiscard]] bool idempotent() const noexcept {
        return kind == call_kind::safe || (kind == call_kind::streaming && resumable);
    }
};

/*! @brief Properties of a model engine. */
struct engine_profile {
    std::uint32_t slots{64};
    std::uint64_t memory_tokens{}; //!< Capacity in tokens, shared by running calls and cached prompt parts.
    std::uint32_t tokens_per_event{1};

    friend bool operator==(const engine_profile&, const engine_profile&) = default;
};

/*! @brief A service, which is a set of endpoints that answer the same calls. */
struct endpoint_service {
    service_id id{};
    double max_cold_calls_per_s{};          //!< Rate that a cold endpoint can serve; 0 if its calls are not limited.
    std::optional<engine_profile> engine{}; //!< Set if the endpoints are model engines.

    friend bool operator==(const endpoint_service&, const endpoint_service&) = default;
};

/*! @brief Limits of the size and the duration of what callers send. */
struct caller_limits {
    std::uint32_t max_header_bytes{16'384};
    std::uint64_t max_body_bytes{4'194'304};
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/*! @brief A team and its API keys. */
struct team_entry {
    team_id id{};
    std::vector<std::string> keys{};
    std::vector<region_id> home_regions{}; //!< Regions that may serve the team; empty for all.

    friend bool operator==(const team_entry&, const team_entry&) = default;
};

/*! @brief Routes, services and teams at one version. make_route_config() fills the lookup tables. */
struct route_config {
    std::uint64_t version{};
    std::vector<route> routes{};
    std::vector<endpoint_service> services{};
    std::vector<team_entry> teams{};
    caller_limits limits{};

    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host{}; //!< Longest prefix first.
    std::unordered_map<std::string, std::size_t> team_by_key{};
    std::unordered_map<service_id, std::size_t> service_by_id{};

    /**
     * @brief Finds the route of a call.
     * @param host Host name.
     * @param path Path without query.
     * @return The route with the longest matching prefix, or null.
     */
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /*! @brief Finds the team that an API key belongs to. @return The team, or null. */
    [[nodiscard]] const team_entry* find_team(const std::string& key) const;

    /*! @brief Finds a service. @return The service, or null. */
    [[nodiscard]] const endpoint_service* find_service(const service_id& id) const;
};

/*! @brief Builds the lookup tables of a configuration. @return The configuration with its lookup tables. */
[[nodiscard]] route_config make_route_config(route_config config);

} // namespace dandelionbay
