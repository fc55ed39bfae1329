#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dandelionbay/config/fleet_config.hpp"

namespace dandelionbay {

/*! @brief Target of a call of a plain service. */
struct service_target {
    std::string name{};
    std::string path{};    //!< Path and query below the service's root, as sent by the caller.
    std::string decoded{}; //!< Path below the root, decoded, without repeated slashes; for rules.

    friend bool operator==(const service_target&, const service_target&) = default;
};

/**
 * @brief Takes the target of a request apart.
 * @param target Target as sent, "/services/NAME/...".
 * @param decoded_path Its path, decoded.
 * @return The target; nothing if the name or path is malformed or has dot segments, with which a call could evade a
 *         rule for its path.
 */
[[nodiscard]] std::optional<service_target> parse_service_target(std::string_view target,
                                                                 std::string_view decoded_path);

/*! @brief Tells whether a call must not be repeated. @param service Its service. @param method HTTP method.
 *  @param decoded Decoded path below the root. @return True if a rule of the service matches. */
[[nodiscard]] bool not_repeatable(const service_config& service, std::string_view method, std::string_view decoded);

/*! @brief Tells whether a header field belongs to a connection and not to the call. @param name Name in any case. */
[[nodiscard]] bool is_connection_field(std::string_view name);

} // namespace dandelionbay
