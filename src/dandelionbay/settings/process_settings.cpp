#include "dandelionbay/settings/process_settings.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

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
constexpr std::int64_t max_caller_connections = 1'000'000;
constexpr std::int64_t max_caller_threads = 4'096;
constexpr double max_policy_ms = 60'000.0;
constexpr double max_policy_factor = 100.0;
constexpr double max_retry_slack = 1'000'000.0;
constexpr std::int64_t max_standin_slots = 100'000;
constexpr std::int64_t max_standin_tokens = 1'000'000;

template<typename Enum>
struct choice {
    std::string_view name;
    Enum value;
};

constexpr std::array roles{
    choice<process_role>{"router", process_role::router},   choice<process_role>{"agent", process_role::agent},
    choice<process_role>{"gateway", process_role::gateway}, choice<process_role>{"platform", process_role::platform},
    choice<process_role>{"engine", process_role::engine},   choice<process_role>{"service", process_role::service}};
constexpr std::array host_roles{choice<host_role>{"router", host_role::router},
                                choice<host_role>{"agent", host_role::agent}};
constexpr std::array policies{choice<isolated_policy>{"stop", isolated_policy::stop},
                              choice<isolated_policy>{"serve", isolated_policy::serve}};
constexpr std::array levels{choice<std::string_view>{"debug", "debug"}, choice<std::string_view>{"info", "info"},
                            choice<std::string_view>{"warn", "warn"}, choice<std::string_view>{"error", "error"}};
constexpr std::array outputs{choice<std::string_view>{"stderr", "stderr"},
                             choice<std::string_view>{"stdout", "stdout"}};

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

    void read_zones(object_reader& root, router_location& out) {
        const auto* const value = root.child("zones", presence::required);
        if (value == nullptr || !value->is_object()) {
            root.fault("zones", "expected an object with the region of each zone");
            return;
        }
        for (const auto& [zone, region] : value->items()) {
            if (!region.is_string()) {
                root.fault(concat("zones.", zone), "expected the name of a region");
                continue;
            }
            out.zones.emplace(zone_id{zone}, region_id{region.get<std::string>()});
        }
    }

    void read_gateway_limits(object_reader& limits, gateway_options& out) {
        const auto read = [&](std::string_view key, duration& into) {
            auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(into);
            read_ms(limits, key, 1, ms);
            into = ms;
        };
        read("key_withdrawal_ms", out.bounds.key_withdrawal);
        read("leaving_ms", out.bounds.leaving);
        read("config_ms", out.bounds.config);
        read("stop_grace_ms", out.bounds.stop_grace);
        read("retry_window_ms", out.retry.window);
        auto connections = static_cast<std::int64_t>(out.max_connections);
        limits.integer("max_connections", presence::optional, connections, 1, max_caller_connections);
        out.max_connections = static_cast<std::size_t>(connections);
        limits.number("retry_ratio", presence::optional, out.retry.ratio, 0.0, 1.0);
        limits.number("retry_slack", presence::optional, out.retry.slack, 0.0, max_retry_slack);
    }

    /*! Policy of the dispatcher; the defaults fit engines that read 40 to 50 tokens in a ms. */
    void read_dispatch(object_reader& root, dispatch_limits& out) {
        const auto* const value = root.child("dispatch", presence::optional);
        if (value == nullptr) {
            return;
        }
        object_reader reader{*value, root.path_of("dispatch"), faults_};
        reader.number("reading_ahead_ms", presence::optional, out.reading_ahead_ms, 1.0, max_policy_ms);
        reader.number("yield_share", presence::optional, out.yield_share, 0.0, 1.0);
        reader.number("least_share", presence::optional, out.least_share, 1.0, max_policy_factor);
        reader.number("far_yield_share", presence::optional, out.far_yield_share, 0.0, 1.0);
        reader.number("behind_share", presence::optional, out.behind_share, 0.0, 1.0);
        reader.number("yield_margin", presence::optional, out.yield_margin, 1.0, max_policy_factor);
        reader.number("queueing_delay_ms", presence::optional, out.queueing_delay_ms, 1.0, max_policy_ms);
        reader.number("max_queueing_delay_ms", presence::optional, out.max_queueing_delay_ms, 1.0, max_policy_ms);
        reader.number("most_admission", presence::optional, out.most_admission, 0.0, max_policy_factor);
        reader.number("least_admission", presence::optional, out.least_admission, 0.0, max_policy_factor);
        reader.number("memory_share", presence::optional, out.memory_share, 0.0, 1.0);
        reader.number("reading_weight", presence::optional, out.reading_weight, 0.0, max_policy_factor);
        reader.number("zone_cost_ms", presence::optional, out.zone_cost_ms, 0.0, max_policy_ms);
        reader.number("least_distance_share", presence::optional, out.least_distance_share, 0.0, 1.0);
        reader.number("region_cost_ms", presence::optional, out.region_cost_ms, 0.0, max_policy_ms);
        reader.finish();
    }

    void read_gateway(object_reader& root, gateway_options& out) {
        root.name("host", presence::required, out.place.host.value);
        root.name("zone", presence::required, out.place.zone.value);
        root.name("region", presence::required, out.place.region.value);
        read_zones(root, out.place);
        read_address(root, "caller_listen", out.caller_listen);
        read_address(root, "ready_listen", out.ready_listen);
        read_address(root, "peer_listen", out.peer_listen);
        read_address(root, "metrics_listen", out.metrics_listen);
        read_address(root, "store", out.store);
        root.each("first_peers", presence::optional, [&](const json& value, const std::string& path) {
            const auto address = value.is_string() ? parse_address(value.get<std::string>())
                                                   : absl::StatusOr<socket_address>{absl::InvalidArgumentError("text")};
            if (!address.ok()) {
                faults_.push_back(concat(path, ": ", from_absl(address.status().message())));
                return;
            }
            out.first_peers.push_back(*address);
        });
        read_limits(root, [&](object_reader& limits) { read_gateway_limits(limits, out); });
        read_dispatch(root, out.dispatch);
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
        case process_role::gateway:
            read_gateway(root, settings_.gateway);
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
