#include "dandelionbay/store/host_json.hpp"

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

using nlohmann::json;

host_role role_from(const std::string& name) {
    if (name != "agent" && name != "router") {
        throw std::invalid_argument{"unknown role " + name};
    }
    return name == "agent" ? host_role::agent : host_role::router;
}

// Throws json::exception or invalid_argument if a member is missing or has the wrong type.
host_entry entry_from(const json& item) {
    host_entry entry;
    entry.host = host_id{item.at("host").get<std::string>()};
    entry.role = role_from(item.at("role").get<std::string>());
    entry.region = region_id{item.at("region").get<std::string>()};
    entry.zone = zone_id{item.at("zone").get<std::string>()};
    entry.peer = {item.at("ip").get<std::string>(), item.at("port").get<std::uint16_t>()};
    entry.leaving = item.at("leaving").get<bool>();
    return entry;
}

} // namespace

std::string hosts_to_json(const std::vector<host_entry>& hosts) {
    auto list = json::array();
    for (const auto& it : hosts) {
        list.push_back({{"host", it.host.value},
                        {"role", it.role == host_role::agent ? "agent" : "router"},
                        {"region", it.region.value},
                        {"zone", it.zone.value},
                        {"ip", it.peer.ip},
                        {"port", it.peer.port},
                        {"leaving", it.leaving}});
    }
    return list.dump();
}

absl::StatusOr<std::vector<host_entry>> hosts_from_json(std::string_view text) {
    const auto list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return absl::InvalidArgumentError("the host list is not a JSON array");
    }
    std::vector<host_entry> hosts;
    hosts.reserve(list.size());
    for (const auto& it : list) {
        try {
            hosts.push_back(entry_from(it));
        } catch (const std::exception& ec) {
            return absl::InvalidArgumentError(absl::StrCat("host list entry ", hosts.size(), ": ", ec.what()));
        }
    }
    return hosts;
}

} // namespace dandelionbay
