#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief Writes a host list as the platform does. @param hosts The list. @return JSON array of objects. */
[[nodiscard]] std::string hosts_to_json(const std::vector<host_entry>& hosts);

/**
 * @brief Reads a host list as the platform writes it.
 * @param text JSON array of {host, role, region, zone, ip, port, leaving}.
 * @return The list, or InvalidArgument that names the faulty entry.
 */
[[nodiscard]] absl::StatusOr<std::vector<host_entry>> hosts_from_json(std::string_view text);

} // namespace dandelionbay
