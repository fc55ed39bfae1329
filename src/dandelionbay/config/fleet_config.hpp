#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/config/fwd.hpp"
#include "dandelionbay/label/selector.hpp"

namespace dandelionbay {

/*! @brief A team: a customer of the operator. */
struct team_config {
    team_id id{};
    std::string token{}; //!< Bearer token of its callers.
    label_set labels{};  //!< The label "weight" sets its share; default 1.
    double weight{1.0};  //!< Parsed from the label; over 0, at most 1,000.

    friend bool operator==(const team_config&, const team_config&) = default;
};

/*! @brief What answers the calls of a service. */
enum class service_kind : std::uint8_t { model, plain };

/*! @brief Calls that may not be repeated. */
struct call_rule {
    std::string method{};      //!< HTTP method; "*" for any.
    std::string path_prefix{}; //!< Path below the service's root.

    friend bool operator==(const call_rule&, const call_rule&) = default;
};

/*! @brief A service that callers name. */
struct service_config {
    service_id id{};
    service_kind kind{service_kind::model};
    std::string model{}; //!< Model name that callers use; models only.
    pool_id pool{};
    label_set labels{};
    std::vector<call_rule> not_repeatable{};
    std::uint32_t queue_timeout_ms{30'000};
    std::uint32_t run_timeout_ms{120'000};
    std::uint32_t max_queued_per_team{256};
    std::uint32_t max_queued{4'096};
    std::uint32_t max_body_bytes{4U << 20U};

    friend bool operator==(const service_config&, const service_config&) = default;
};

/*! @brief Endpoints that serve the same work. */
struct pool_config {
    pool_id id{};
    selector endpoints{}; //!< Over endpoint labels.
    label_set labels{};

    friend bool operator==(const pool_config&, const pool_config&) = default;
};

/*! @brief A back end: a model engine or a plain service instance. */
struct endpoint_config {
    endpoint_id id{};
    zone_id zone{};
    label_set labels{};
    std::uint32_t slots{8};                     //!< Requests it runs at once when warm.
    std::uint32_t cold_slots{1};                //!< Requests it bears at once in cold start.
    std::uint32_t expected_first_token_ms{500}; //!< Longest usual time to the first token when warm.

    friend bool operator==(const endpoint_config&, const endpoint_config&) = default;
};

/*! @brief An availability zone. */
struct zone_config {
    zone_id id{};
    region_id region{};
    label_set labels{};

    friend bool operator==(const zone_config&, const zone_config&) = default;
};

/*! @brief Lets the selected teams use the selected endpoints. */
struct access_rule {
    selector teams{};
    selector endpoints{};

    friend bool operator==(const access_rule&, const access_rule&) = default;
};

/**
 * @brief Whole configuration of a fleet at one revision.
 *
 * Objects get implicit labels that selectors may use: every object "name"; endpoints "zone" and
 * "region"; zones "region". A selector that is given for zones_out or endpoints_leaving must not be empty.
 */
struct fleet_config {
    std::uint64_t revision{};
    std::vector<team_config> teams{};
    std::vector<service_config> services{};
    std::vector<pool_config> pools{};
    std::vector<endpoint_config> endpoints{};
    std::vector<zone_config> zones{};
    std::vector<access_rule> access{};            //!< No rule: every team may use every endpoint.
    selector zones_out{selector::none()};         //!< Zones out of service.
    selector endpoints_leaving{selector::none()}; //!< Endpoints that take no new work.

    /*! @brief Set by the parser: objects are ordered by name. Lookups scan when it is false. */
    bool ordered{};
    /*! @brief Set by the parser: positions of teams ordered by token. Lookups scan when its size differs. */
    std::vector<std::uint32_t> token_order{};

    /*! @brief Finds a team by its token. @param token Bearer token. @return The team, or null. */
    [[nodiscard]] const team_config* team_by_token(std::string_view token) const noexcept;

    /*! @brief Finds a team. @param id Name. @return The team, or null. */
    [[nodiscard]] const team_config* find(const team_id& id) const noexcept;

    /*! @brief Finds a service. @param id Name. @return The service, or null. */
    [[nodiscard]] const service_config* find(const service_id& id) const noexcept;

    /*! @brief Finds a pool. @param id Name. @return The pool, or null. */
    [[nodiscard]] const pool_config* find(const pool_id& id) const noexcept;

    /*! @brief Finds an endpoint. @param id Name. @return The endpoint, or null. */
    [[nodiscard]] const endpoint_config* find(const endpoint_id& id) const noexcept;

    /*! @brief Finds a zone. @param id Name. @return The zone, or null. */
    [[nodiscard]] const zone_config* find(const zone_id& id) const noexcept;

    /*! @brief Finds the service of a model. @param model Model name. @return The service, or null. */
    [[nodiscard]] const service_config* service_by_model(std::string_view model) const noexcept;

    /*! @brief Tells whether an endpoint belongs to a pool. @return True if its labels match the pool's selector. */
    [[nodiscard]] bool in_pool(const endpoint_config& endpoint, const pool_config& pool) const;

    /*! @brief Tells whether a team may use an endpoint. @return True if a rule, or the absence of rules, allows it. */
    [[nodiscard]] bool may_use(const team_config& team, const endpoint_config& endpoint) const;

    /*! @brief Tells whether a zone is out of service. @return True if selected; also for an unknown zone. */
    [[nodiscard]] bool zone_out(const zone_id& zone) const;

    /*! @brief Tells whether an endpoint is leaving. @return True if selected; also for an unknown endpoint. */
    [[nodiscard]] bool leaving(const endpoint_id& endpoint) const;

    friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

/**
 * @brief Parses and checks a whole configuration.
 * @param document JSON text without the revision.
 * @param revision Revision under which it is stored.
 * @return The configuration, or InvalidArgument with one line "JSON path: fault" for each fault.
 */
[[nodiscard]] absl::StatusOr<fleet_config> parse_fleet_config(std::string_view document, std::uint64_t revision);

} // namespace dandelionbay
