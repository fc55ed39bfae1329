#include "dandelionbay/settings/process_settings.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/json_reader.hpp"

namespace dandelionbay {

namespace {

using internal::object_reader;
using internal::presence;
using nlohmann::json;

constexpr std::int64_t max_limit_ms = 3'600'000;
/*! Each caller connection holds one thread; more threads than this would not fit the 128 MB of a node. */
constexpr std::int64_t max_caller_threads = 4'096;
constexpr std::int64_t max_standin_slots = 100'000;
constexpr std::int64_t max_standin_tokens = 1'000'000;

template<typename Enum>
struct choice {
    std::string_view name;
    Enum value;
};

constexpr std::array roles{
    choice<process_role>{"router", process_role::router}, choice<process_role>{"agent", process_role::agent},
    choice<process_role>{"platform", process_role::platform}, choice<process_role>{"engine", process_role::engine},
    choice<process_role>{"service", process_role::service}};
constexpr std::array host_roles{choice<host_role>{"router", host_role::router},
                                choice<host_role>{"agent", host_role::agent}};
constexpr std::array policies{choice<isolated_policy>{"stop", isolated_policy::stop},
                              choice<isolated_policy>{"serve", isolated_policy::serve}};
constexpr std::array levels{choice<std::string_view>{"debug", "debug"}, choice<std::string_view>{"info", "info"},
                            choice<std::string_view>{"warn", "warn"}, choice<std::string_view>{"error", "error"}};
constexpr std::array outputs{choice<std::string_view>{"stderr", "stderr"},
                             choice<std::string_view>{"stdout", "stdout"}};

[[nodiscard]] bool is_ip(const std::string& text, int family) noexcept {
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, text.c_str(), address.data()) == 1;
}

/*! @brief Reads one settings object; the result is of use only if no fault was found. */
class settings_reader {
    template<typename Enum, std::size_t Size, typename Out>
    bool read_choice(object_reader& reader, std::string_view key, presence need,
                     const std::array<choice<Enum>, Size>& choices, Out& out) {
        std::string text;
        if (!reader.text(key, need, text)) {
            return false;
        }
        const auto* const it = std::ranges::find(choices, text, &choice<Enum>::name);
        if (it == choices.end()) {
            reader.fault(key, concat("expected one of ", absl::StrJoin(choices, ", ", [](std::string* list, auto& c) {
                                         list->append(c.name);
                                     })));
            return false;
        }
        out = Out{it->value};
        return true;
    }

    void read_address(object_reader& reader, std::string_view key, socket_address& out) {
        std::string text;
        if (!reader.text(key, presence::required, text)) {
            return;
        }
        auto address = parse_address(text);
        if (!address.ok()) {
            reader.fault(key, from_absl(address.status().message()));
            return;
        }
        out = *std::move(address);
    }

    void read_ms(object_reader& reader, std::string_view key, std::int64_t low, std::chrono::milliseconds& out) {
        auto value = out.count();
        reader.integer(key, presence::optional, value, low, max_limit_ms);
        out = std::chrono::milliseconds{value};
    }

    void read_hosts(object_reader& reader, std::vector<host_entry>& out) {
        std::set<std::string> names;
        reader.each("hosts", presence::optional, [&](const json& value, std::string path) {
            object_reader host{value, std::move(path), faults_};
            auto& it = out.emplace_back();
            if (host.name("host", presence::required, it.host.value) && !names.insert(it.host.value).second) {
                host.fault("host", "this host is listed twice");
            }
            read_choice(host, "role", presence::required, host_roles, it.role);
            host.name("region", presence::required, it.region.value);
            host.name("zone", presence::required, it.zone.value);
            read_address(host, "peer", it.peer);
            host.boolean("leaving", presence::optional, it.leaving);
            host.finish();
        });
    }

    void read_log(object_reader& root) {
        const auto* const value = root.child("log", presence::optional);
        if (value == nullptr) {
            return;
        }
        object_reader reader{*value, root.path_of("log"), faults_};
        read_choice(reader, "level", presence::optional, levels, settings_.log.level);
        read_choice(reader, "output", presence::optional, outputs, settings_.log.output);
        reader.finish();
    }

    /*! Reads the object "limits", which each role fills with its own keys. */
    template<typename Visit>
    void read_limits(object_reader& root, const Visit& visit) {
        const auto* const value = root.child("limits", presence::optional);
        if (value == nullptr) {
            return;
        }
        object_reader reader{*value, root.path_of("limits"), faults_};
        visit(reader);
        reader.finish();
    }

    void read_node(object_reader& root, node_options& out) {
        root.name("host", presence::required, out.host.value);
        root.name("region", presence::required, out.region.value);
        root.name("zone", presence::required, out.zone.value);
        read_address(root, "peer_listen", out.peer_listen);
        read_address(root, "store", out.store);
        read_hosts(root, out.hosts);
        read_choice(root, "isolated_policy", presence::optional, policies, out.isolated);
    }

    void read_node_limits(object_reader& limits, node_options& out) {
        read_ms(limits, "poll_interval_ms", 100, out.poll_interval);
        read_ms(limits, "stop_limit_ms", 0, out.stop_limit);
    }

    void read_router(object_reader& root, router_node_options& out) {
        read_node(root, out.common);
        read_address(root, "caller_listen", out.caller_listen);
        read_address(root, "admin_listen", out.admin_listen);
        root.token("admin_token", presence::required, out.admin_token);
        read_limits(root, [&](object_reader& limits) {
            read_node_limits(limits, out.common);
            limits.integer("caller_threads", presence::optional, out.caller_threads, 1, max_caller_threads);
            read_ms(limits, "balancer_delay_ms", 0, out.balancer_delay);
        });
    }

    void read_agent(object_reader& root, agent_node_options& out) {
        read_node(root, out.common);
        root.name("endpoint", presence::required, out.endpoint.value);
        read_address(root, "endpoint_address", out.endpoint_address);
        read_limits(root, [&](object_reader& limits) { read_node_limits(limits, out.common); });
    }

    void read_platform(object_reader& root, standin_platform_options& out) {
        read_address(root, "listen", out.listen);
        root.text("fleet_config", presence::optional, settings_.fleet_config);
        read_hosts(root, out.hosts);
        read_ms(root, "host_list_lag_ms", 0, out.host_list_lag);
    }

    void read_engine(object_reader& root, standin_engine_options& out) {
        read_address(root, "listen", out.listen);
        root.integer("slots", presence::optional, out.slots, 1, max_standin_slots);
        root.integer("cold_slots", presence::optional, out.cold_slots, 1, max_standin_slots);
        root.integer("default_tokens", presence::optional, out.default_tokens, 1, max_standin_tokens);
        read_ms(root, "cold_time_ms", 0, out.cold_time);
        read_ms(root, "first_token_ms", 0, out.first_token);
        read_ms(root, "state_lag_ms", 0, out.state_lag);
        auto interval = out.token_interval.count();
        root.integer("token_interval_us", presence::optional, interval, 0, max_limit_ms * 1'000);
        out.token_interval = std::chrono::microseconds{interval};
    }

    void read_service(object_reader& root, standin_service_options& out) {
        read_address(root, "listen", out.listen);
        read_ms(root, "run_time_ms", 0, out.run_time);
    }

    void read_root(object_reader& root) {
        if (!read_choice(root, "role", presence::required, roles, settings_.role)) {
            return; // Which other keys are known depends on the role.
        }
        read_log(root);
        switch (settings_.role) {
        case process_role::router:
            read_router(root, settings_.router);
            break;
        case process_role::agent:
            read_agent(root, settings_.agent);
            break;
        case process_role::platform:
            read_platform(root, settings_.platform);
            break;
        case process_role::engine:
            read_engine(root, settings_.engine);
            break;
        case process_role::service:
            read_service(root, settings_.service);
            break;
        }
        root.finish();
    }

public:
    [[nodiscard]] absl::StatusOr<process_settings> run(std::string_view text) {
        auto status = internal::read_document(text, faults_, [this](object_reader& root) { read_root(root); });
        if (!status.ok()) {
            return status;
        }
        return std::move(settings_);
    }

private:
    process_settings settings_;
    internal::fault_list faults_;
};

} // namespace

std::string_view to_string(process_role role) noexcept {
    const auto* const it = std::ranges::find(roles, role, &choice<process_role>::value);
    return it != roles.end() ? it->name : "unknown";
}

absl::StatusOr<socket_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos || !absl::SimpleAtoi(to_absl(text.substr(colon + 1)), &port) || port == 0 ||
        port > 65'535) {
        return absl::InvalidArgumentError("expected IP address, colon and a port from 1 to 65535");
    }
    const bool bracketed = text.starts_with('[') && colon > 0 && text[colon - 1] == ']';
    const std::string ip{bracketed ? text.substr(1, colon - 2) : text.substr(0, colon)};
    if (!is_ip(ip, bracketed ? AF_INET6 : AF_INET)) {
        return absl::InvalidArgumentError(R"(expected an IP address such as "10.0.0.1:80" or "[::1]:80")");
    }
    return socket_address{ip, static_cast<std::uint16_t>(port)};
}

std::string to_string(const socket_address& address) {
    const bool v6 = address.ip.find(':') != std::string::npos;
    return concat(v6 ? "[" : "", address.ip, v6 ? "]:" : ":", address.port);
}

absl::StatusOr<process_settings> check_settings(std::string_view text) {
    return settings_reader{}.run(text);
}

absl::StatusOr<std::string> read_file(const std::string& path) {
    const std::ifstream file{path, std::ios::binary};
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        return absl::NotFoundError(concat(path, ": can't be read"));
    }
    return content.str();
}

absl::StatusOr<process_settings> load_settings(const std::string& path) {
    auto text = read_file(path);
    if (!text.ok()) {
        return text.status();
    }
    auto settings = check_settings(*text);
    if (settings.ok() && !settings->fleet_config.empty()) {
        settings->fleet_config = (std::filesystem::path{path}.parent_path() / settings->fleet_config).string();
    }
    return settings;
}

} // namespace dandelionbay
