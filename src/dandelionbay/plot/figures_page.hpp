#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace dandelionbay::plot {

/**
 * @brief Draws the figures of a run.
 * @param title Title of the page.
 * @param figures What bench or load report; charts of absent figures are left out.
 * @return HTML page: latency quantiles, completed by second, shares of the teams, refusals.
 */
[[nodiscard]] std::string figures_page(std::string_view title, const nlohmann::json& figures);

} // namespace dandelionbay::plot
