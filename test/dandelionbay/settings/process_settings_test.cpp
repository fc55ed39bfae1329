#include "dandelionbay/settings/process_settings.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace dandelionbay {
namespace {

using nlohmann::json;

json router_settings_json() {
    return json::parse(R"({
        "role": "router", "host": "entry-1", "region": "r", "zone": "z",
        "peer_listen": "10.0.0.1:7000", "store": "10.0.0.9:7100",
        "caller_listen": "0.0.0.0:8080", "admin_listen": "[::1]:8081", "admin_token": "secret",
        "hosts": [{"host": "agent-1", "role": "agent", "region": "r", "zone": "z", "peer": "10.0.0.2:7000"}],
        "isolated_policy": "serve",
        "limits": {"poll_interval_ms": 500, "stop_limit_ms": 60000, "caller_threads": 64, "balancer_delay_ms": 0},
        "log": {"level": "warn", "output": "stdout"}
    })");
}

std::string fault_of(const json& settings) {
    return std::string{check_settings(settings.dump()).status().message()};
}

// Guards against a setting that is accepted and then not used.
TEST(process_settings, converts_every_key) {
    const auto settings = check_settings(router_settings_json().dump()).value();
    const auto& router = settings.router;
    EXPECT_EQ(router.common.host, host_id{"entry-1"});
    EXPECT_EQ(router.common.peer_listen, (socket_address{"10.0.0.1", 7000}));
    EXPECT_EQ(router.admin_listen, (socket_address{"::1", 8081}));
    EXPECT_EQ(to_string(router.admin_listen), "[::1]:8081");
    EXPECT_EQ(router.common.hosts.at(0).role, host_role::agent);
    EXPECT_EQ(router.common.isolated, isolated_policy::serve);
    EXPECT_EQ(router.common.poll_interval, std::chrono::milliseconds{500});
    EXPECT_EQ(router.common.stop_limit, std::chrono::milliseconds{60'000});
    EXPECT_EQ(router.balancer_delay, std::chrono::milliseconds{0});
    EXPECT_EQ(router.caller_threads, 64U);
    EXPECT_EQ(settings.log, (log_settings{"warn", "stdout"}));
    const auto agent = check_settings(R"({"role": "agent", "host": "a", "region": "r", "zone": "z", "endpoint": "e",
        "peer_listen": "10.0.0.1:7000", "store": "10.0.0.9:7100", "endpoint_address": "127.0.0.1:9000"})");
    ASSERT_TRUE(agent.ok()) << agent.status();
    EXPECT_EQ(agent->agent.endpoint_address, (socket_address{"127.0.0.1", 9000}));
    EXPECT_EQ(agent->agent.endpoint, endpoint_id{"e"});
    const auto engine = check_settings(R"({"role": "engine", "listen": "127.0.0.1:9000", "slots": 3, "cold_slots": 2,
        "default_tokens": 9, "cold_time_ms": 1, "first_token_ms": 2, "state_lag_ms": 3, "token_interval_us": 4})");
    ASSERT_TRUE(engine.ok()) << engine.status();
    EXPECT_EQ(engine->engine.slots + engine->engine.cold_slots + engine->engine.default_tokens, 14U);
    EXPECT_EQ(engine->engine.cold_time + engine->engine.first_token + engine->engine.state_lag,
              std::chrono::milliseconds{6});
    EXPECT_EQ(engine->engine.token_interval, std::chrono::microseconds{4});
}

// Guards against promises to operators that are read in other units or not at all.
TEST(process_settings, a_gateways_bounds_and_policy_are_read) {
    auto json_settings = json::parse(R"({
        "role": "gateway", "host": "g", "zone": "z1", "region": "north", "zones": {"z1": "north", "z2": "south"},
        "caller_listen": "10.0.0.1:1", "ready_listen": "10.0.0.1:2", "peer_listen": "10.0.0.1:3",
        "metrics_listen": "10.0.0.1:4", "store": "10.0.0.9:5", "first_peers": ["10.0.0.2:3"],
        "limits": {"key_withdrawal_ms": 5000, "leaving_ms": 2500, "config_ms": 2400, "stop_grace_ms": 8000,
                   "retry_ratio": 0.2, "retry_slack": 54, "retry_window_ms": 10000, "max_connections": 77},
        "dispatch": {"reading_ahead_ms": 99, "yield_share": 0.5}
    })");
    const auto settings = check_settings(json_settings.dump());
    ASSERT_TRUE(settings.ok()) << settings.status();
    const auto& it = settings->gateway;
    EXPECT_EQ(it.place.zones.at(zone_id{"z2"}), region_id{"south"});
    EXPECT_EQ(it.first_peers, (std::vector<socket_address>{{"10.0.0.2", 3}}));
    EXPECT_EQ(it.bounds, (gateway_bounds{std::chrono::seconds{5}, std::chrono::milliseconds{2'500},
                                         std::chrono::milliseconds{2'400}, std::chrono::seconds{8}}));
    EXPECT_EQ(it.retry, (retry_limits{0.2, 54.0, std::chrono::seconds{10}}));
    EXPECT_EQ(it.max_connections, 77U);
    EXPECT_EQ(it.dispatch.reading_ahead_ms, 99.0);
    EXPECT_EQ(it.dispatch.yield_share, 0.5);
    {
        SCOPED_TRACE("faults have a place");
        const std::vector<std::tuple<const char*, json, const char*>> cases{
            {"/zones", 3, "$.zones: expected an object"},
            {"/zones/z1", 3, "$.zones.z1: expected the name of a region"},
            {"/first_peers/0", "here", "$.first_peers[0]: expected IP address"},
            {"/limits/retry_ratio", 2, "$.limits.retry_ratio: "},
            {"/limits/max_connections", 0, "$.limits.max_connections: "},
            {"/limits/colour", 1, "$.limits.colour: unknown key"},
            {"/dispatch/colour", 1, "$.dispatch.colour: unknown key"},
            {"/colour", 1, "$.colour: unknown key"},
        };
        for (const auto& [pointer, value, fault] : cases) {
            auto faulty = json_settings;
            faulty[json::json_pointer{pointer}] = value;
            EXPECT_TRUE(fault_of(faulty).starts_with(fault)) << fault_of(faulty) << " instead of " << fault;
        }
    }
}

// Guards against a fault that is accepted or reported without its place.
TEST(process_settings, names_each_fault_by_its_path) {
    const std::vector<std::tuple<const char*, json, const char*>> cases{
        {"/colour", 1, "$.colour: unknown key"},
        {"/limits/colour", 1, "$.limits.colour: unknown key"},
        {"/hosts/0/colour", 1, "$.hosts[0].colour: unknown key"},
        {"/endpoint", "e", "$.endpoint: unknown key"},
        {"/role", "boss", "$.role: expected one of router, agent, gateway, platform, engine, service"},
        {"/host", 5, "$.host: expected a string, found number"},
        {"/host", "", "$.host: expected 1 to 100"},
        {"/store", "localhost:80", "$.store: expected an IP address"},
        {"/store", "10.0.0.1", "$.store: expected IP address, colon and a port"},
        {"/store", "10.0.0.1:70000", "$.store: expected IP address, colon and a port"},
        {"/store", "10.0.0.1:0", "$.store: expected IP address, colon and a port"},
        {"/store", "::1:80", "$.store: expected an IP address"},
        {"/store", "]:80", "$.store: expected an IP address"},
        {"/admin_token", "", "$.admin_token: the token is empty"},
        {"/limits/caller_threads", 0, "$.limits.caller_threads: expected 1 to 4096, found 0"},
        {"/limits/poll_interval_ms", "2s", "$.limits.poll_interval_ms: expected an integer, found string"},
        {"/log/level", "loud", "$.log.level: expected one of debug, info, warn, error"},
        {"/isolated_policy", true, "$.isolated_policy: expected a string, found boolean"},
        {"/hosts/0/role", "engine", "$.hosts[0].role: expected one of router, agent"},
        {"/hosts/1", json::object(), "$.hosts[1].host: is missing"},
    };
    for (const auto& [pointer, value, fault] : cases) {
        auto settings = router_settings_json();
        settings[json::json_pointer{pointer}] = value;
        EXPECT_TRUE(fault_of(settings).starts_with(fault)) << fault_of(settings) << " instead of " << fault;
    }
    {
        SCOPED_TRACE("missing keys, a host that is listed twice, and several faults at once");
        for (const auto* key : {"role", "host", "region", "zone", "peer_listen", "store", "caller_listen",
                                "admin_listen", "admin_token"}) {
            auto settings = router_settings_json();
            settings.erase(key);
            EXPECT_EQ(fault_of(settings), std::string{"$."} + key + ": is missing");
        }
        auto settings = router_settings_json();
        settings["hosts"].push_back(settings["hosts"][0]);
        EXPECT_EQ(fault_of(settings), "$.hosts[1].host: this host is listed twice");
        settings["store"] = 1;
        settings["x"] = 1;
        const auto faults = fault_of(settings);
        EXPECT_EQ(std::ranges::count(faults, '\n'), 2) << faults;
        EXPECT_TRUE(absl::IsNotFound(load_settings("/nonexistent").status()));
    }
}

} // namespace
} // namespace dandelionbay
