#pragma once

#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace dandelionbay {

/*! @brief Keys of a configuration document that hold named objects. */
inline constexpr std::array<std::string_view, 5> collection_names{"teams", "services", "pools", "endpoints", "zones"};

/*! @brief Keys of a configuration document that are read and replaced as a whole. */
inline constexpr std::array<std::string_view, 3> member_names{"access", "zones_out", "endpoints_leaving"};

/*
 * Edits of a configuration document in its JSON form. They check only what they need to find their place; the changed
 * document is checked as a whole by parse_fleet_config().
 */

/*! @brief Reads a member. @return Its value; the default of an absent one. */
[[nodiscard]] nlohmann::json member_of(const nlohmann::json& document, std::string_view key);

/*! @brief Finds an object. @return The object, or NotFound. */
[[nodiscard]] absl::StatusOr<nlohmann::json> object_of(const nlohmann::json& document, std::string_view collection,
                                                       std::string_view name);

/**
 * @brief Creates or replaces an object.
 * @param document Changed in place.
 * @param collection One of collection_names.
 * @param name Name of the object.
 * @param object Its value; a "name" in it must equal name.
 * @return InvalidArgument with a line "JSON path: fault" if the value is not an object or has another name.
 */
[[nodiscard]] absl::Status put_object(nlohmann::json& document, std::string_view collection, std::string_view name,
                                      nlohmann::json object);

/*! @brief Removes an object. @return NotFound if there is none. */
[[nodiscard]] absl::Status erase_object(nlohmann::json& document, std::string_view collection, std::string_view name);

/**
 * @brief Changes single labels of an object.
 * @param document Changed in place.
 * @param collection One of collection_names.
 * @param name Name of the object.
 * @param patch Object of label to new value; null removes a label.
 * @return NotFound if there is no such object, InvalidArgument if the patch is not an object.
 */
[[nodiscard]] absl::Status patch_labels(nlohmann::json& document, std::string_view collection, std::string_view name,
                                        const nlohmann::json& patch);

/*! @brief Convention of the command line: zones_out is "service=out", and zones out of service have this label. */
inline constexpr std::string_view zone_out_selector = "service=out";

/*! @brief Convention of the command line: endpoints_leaving is "state=leaving", and leaving endpoints have this label.
 */
inline constexpr std::string_view leaving_selector = "state=leaving";

/**
 * @brief Takes a zone out of service or back.
 * @param document Changed in place: the zone's label and, where it selects nothing yet, zones_out.
 * @param name Name of the zone.
 * @param out True to take it out.
 * @return NotFound; FailedPrecondition if zones_out has another selector than the convention's.
 */
[[nodiscard]] absl::Status set_zone_out(nlohmann::json& document, std::string_view name, bool out);

/**
 * @brief Marks an endpoint as leaving or not.
 * @param document Changed in place: the endpoint's label and, where it selects nothing yet, endpoints_leaving.
 * @param name Name of the endpoint.
 * @param leaving True to stop new work.
 * @return NotFound; FailedPrecondition if endpoints_leaving has another selector than the convention's.
 */
[[nodiscard]] absl::Status set_leaving(nlohmann::json& document, std::string_view name, bool leaving);

} // namespace dandelionbay
