#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "dandelionbay/base/socket_address.hpp"
#include "dandelionbay/node/gateway_options.hpp"
#include "dandelionbay/node/node_options.hpp"
#include "dandelionbay/settings/fwd.hpp"
#include "dandelionbay/standin/standin_engine.hpp"
#include "dandelionbay/standin/standin_platform.hpp"
#include "dandelionbay/standin/standin_service.hpp"

namespace dandelionbay {

/*! @brief What a process does. The last three are stand-ins for systems of the platform. */
enum class process_role : std::uint8_t { router, agent, gateway, platform, engine, service };

/*! @brief Name of a role. @param role The role. @return The text used in settings. */
[[nodiscard]] std::string_view to_string(process_role role) noexcept;

/*! @brief Where and how much a process logs. */
struct log_settings {
    std::string level{"info"};    //!< "debug", "info", "warn" or "error".
    std::string output{"stderr"}; //!< "stderr" or "stdout".

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

/*! @brief Settings of one process; only the part of its role has a meaning. */
struct process_settings {
    process_role role{process_role::router};
    router_node_options router{};
    agent_node_options agent{};
    gateway_options gateway{};
    standin_platform_options platform{};
    standin_engine_options engine{};
    standin_service_options service{};
    std::string fleet_config{}; //!< Platform: file with a fleet configuration to store at the start; empty for none.
    log_settings log{};

    friend bool operator==(const process_settings&, const process_settings&) = default;
};

/**
 * @brief Parses and checks settings.
 * @param text JSON text.
 * @return The settings, or InvalidArgument with one line "JSON path: fault" for each fault.
 */
[[nodiscard]] absl::StatusOr<process_settings> check_settings(std::string_view text);

/**
 * @brief Reads a settings file and checks it.
 * @param path File name.
 * @return As check_settings(), with fleet_config relative to the file's directory; NotFound if it can't be read.
 */
[[nodiscard]] absl::StatusOr<process_settings> load_settings(const std::string& path);

/*! @brief Reads a whole file. @param path File name. @return Its bytes, or NotFound. */
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace dandelionbay
