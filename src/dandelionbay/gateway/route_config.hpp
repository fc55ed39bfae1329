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

/*! @brief What may be repeated: safe calls freely, streams only if they can be resumed, unsafe calls never. */
enum class call_kind : std::uint8_t { safe, unsafe, streaming };

/*! @brief Share of a route's calls that goes to a service. */
struct service_share {
    service_id service{};
    double weight{1.0};

    friend bool operator==(const service_share&, const service_share&) = default;
};

/*! @brief Calls below a path of a host name, and how they are served. */
struct route {
    std::string name{};
    std::string host{};
    std::string prefix{}; //!< Begins and ends with a slash.
    call_kind kind{call_kind::safe};
    duration time_limit{std::chrono::seconds{30}};    //!< Longest time a caller is kept waiting for the whole answer.
    duration target_latency{std::chrono::seconds{1}}; //!< Time to the answer, or to a stream's first event.
    duration max_event_gap{};                         //!< Between a stream's events, for an answer that is in time.
    std::vector<service_share> services{};
    std::uint32_t max_attempts{1};         //!< Endpoints that may run one call.
    bool is_public{};                      //!< Needs no API key.
    bool resumable{};                      //!< A stream may go on at another endpoint after its last event.
    std::vector<region_id> home_regions{}; //!< Regions that may serve it; empty for all.

    friend bool operator==(const route&, const route&) = default;

    /*! @brief Time without an event after which callers leave a stream. */
    [[nodiscard]] duration stream_idle_timeout() const noexcept {
        constexpr duration shortest = std::chrono::seconds{2};
        constexpr int targets = 4;
        constexpr int gaps = 8;
        return std::max({shortest, targets * target_latency, gaps * max_event_gap});
    }

    /*! @brief Tells whether a call may run more than once. */
    [[nodiscard]] bool idempotent() const noexcept {
        return kind == call_kind::safe || (kind == call_kind::streaming && resumable);
    }
};

/*! @brief Properties of a model engine. */
struct engine_profile {
    std::uint32_t slots{64};
    std::uint64_t memory_tokens{}; //!< Tokens that running calls and kept parts share.
    std::uint32_t tokens_per_event{1};

    friend bool operator==(const engine_profile&, const engine_profile&) = default;
};

/*! @brief A service: endpoints that answer the same calls. */
struct endpoint_service {
    service_id id{};
    double max_cold_calls_per_s{};          //!< What a cold endpoint bears; 0 if its calls need no pacing.
    std::optional<engine_profile> engine{}; //!< Present if its endpoints are model engines.

    friend bool operator==(const endpoint_service&, const endpoint_service&) = default;
};

/*! @brief What callers may send and how long they may take. */
struct caller_limits {
    std::uint32_t max_header_bytes{16'384};
    std::uint64_t max_body_bytes{4'194'304};
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/*! @brief A team with its API keys. */
struct team_entry {
    team_id id{};
    std::vector<std::string> keys{};
    std::vector<region_id> home_regions{}; //!< Regions that may serve it; empty for all.

    friend bool operator==(const team_entry&, const team_entry&) = default;
};

/*! @brief Routes, services and teams at one version. Build it with make_route_config(), which fills the lookups. */
struct route_config {
    std::uint64_t version{};
    std::vector<route> routes{};
    std::vector<endpoint_service> services{};
    std::vector<team_entry> teams{};
    caller_limits limits{};

    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host{}; //!< Longest prefix first.
    std::unordered_map<std::string, std::size_t> team_by_key{};
    std::unordered_map<service_id, std::size_t> service_by_id{};

    /*! @brief Finds the route of a call. @param host Host name. @param path Path without query. @return Or null. */
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /*! @brief Finds the team that holds a key. @return The team, or null. */
    [[nodiscard]] const team_entry* find_team(const std::string& key) const;

    /*! @brief Finds a service. @return The service, or null. */
    [[nodiscard]] const endpoint_service* find_service(const service_id& id) const;
};

/*! @brief Fills the lookups. @param it Configuration without them. @return The whole configuration. */
[[nodiscard]] route_config make_route_config(route_config it);

} // namespace dandelionbay
