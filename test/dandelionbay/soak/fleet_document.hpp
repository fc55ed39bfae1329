#pragma once

#include <array>
#include <string>
#include <vector>

#include "dandelionbay/agent/agent_core.hpp"
#include "dandelionbay/base/ids.hpp"
#include "soak/options.hpp"

namespace dandelionbay::soak {

inline const std::array zones{zone_id{"north"}, zone_id{"east"}, zone_id{"south"}};
inline const std::array regions{region_id{"west"}, region_id{"west"}, region_id{"far"}};
inline const service_id model_service{"chat"};
inline const service_id plain_service{"orders"};

/*! @brief Name of a team. @param n Its number. @return The name. */
[[nodiscard]] team_id team_name(std::uint32_t n);

/**
 * @brief Configuration document of a fleet.
 * @param chosen Teams and slots.
 * @param agents One endpoint for each.
 * @param out Zone out of service; empty for none.
 * @return JSON text.
 */
[[nodiscard]] std::string make_document(const options& chosen, const std::vector<agent_settings>& agents,
                                        const std::string& out);

} // namespace dandelionbay::soak
