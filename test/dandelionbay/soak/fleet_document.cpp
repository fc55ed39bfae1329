#include "soak/fleet_document.hpp"

#include <nlohmann/json.hpp>

namespace dandelionbay::soak {

namespace {

constexpr std::uint32_t run_timeout_ms = 30'000;

} // namespace

team_id team_name(std::uint32_t n) {
    return team_id{"team-" + std::to_string(n)};
}

std::string make_document(const options& chosen, const std::vector<agent_settings>& agents, const std::string& out) {
    using nlohmann::json;
    json document{{"zones_out", "service=out"}, {"zones", json::array()}, {"teams", json::array()}};
    for (std::uint32_t n = 0; n < chosen.teams; ++n) {
        document["teams"].push_back({{"name", team_name(n).value}, {"token", "token-" + std::to_string(n)}});
    }
    document["services"] = {
        {{"name", model_service.value},
         {"kind", "model"},
         {"model", "m"},
         {"pool", "models"},
         {"run_timeout_ms", run_timeout_ms}},
        {{"name", plain_service.value}, {"kind", "plain"}, {"pool", "desks"}, {"run_timeout_ms", run_timeout_ms}}};
    document["pools"] = {{{"name", "models"}, {"endpoints", "kind=model"}},
                         {{"name", "desks"}, {"endpoints", "kind=plain"}}};
    for (std::size_t n = 0; n < zones.size(); ++n) {
        const auto labels = zones.at(n).value == out ? json{{"service", "out"}} : json::object();
        document["zones"].push_back({{"name", zones.at(n).value}, {"region", regions.at(n).value}, {"labels", labels}});
    }
    for (const auto& it : agents) {
        const bool plain = it.endpoint.value.starts_with("plain");
        document["endpoints"].push_back({{"name", it.endpoint.value},
                                         {"zone", it.zone.value},
                                         {"labels", {{"kind", plain ? "plain" : "model"}}},
                                         {"slots", chosen.slots}});
    }
    return document.dump();
}

} // namespace dandelionbay::soak
