#pragma once

#include <memory>
#include <string_view>

#include "absl/status/status.h"
#include "dandelionbay/store/table_map.hpp"

namespace dandelionbay::app {

/**
 * @brief Checks a fleet configuration and stores it as the first revision.
 * @param rows Rows of the platform stand-in.
 * @param document JSON text.
 * @return InvalidArgument with one line for each fault.
 */
[[nodiscard]] absl::Status store_first_config(const std::shared_ptr<table_map>& rows, std::string_view document);

} // namespace dandelionbay::app
