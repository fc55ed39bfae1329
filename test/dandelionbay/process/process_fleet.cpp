#include "dandelionbay/process/process_fleet.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/document_edit.hpp"

namespace dandelionbay::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto* operator_token = "operators";
constexpr std::uint16_t first_port = 10'000;

constexpr auto* document = R"json({
    "zones": [{"name": "west-1", "region": "west"}, {"name": "west-2", "region": "west"},
              {"name": "east-1", "region": "east"}],
    "endpoints": [{"name": "engine-1", "zone": "west-1", "labels": {"serves": "chat"}, "slots": 8, "cold_slots": 8},
                  {"name": "engine-2", "zone": "west-2", "labels": {"serves": "chat"}, "slots": 8, "cold_slots": 8},
                  {"name": "engine-3", "zone": "east-1", "labels": {"serves": "chat"}, "slots": 8, "cold_slots": 8},
                  {"name": "orders", "zone": "west-2", "labels": {"serves": "orders"}, "slots": 8, "cold_slots": 8}],
    "pools": [{"name": "chat", "endpoints": "serves=chat"}, {"name": "orders", "endpoints": "serves=orders"}],
    "services": [{"name": "chat", "kind": "model", "model": "m", "pool": "chat"},
                 {"name": "orders", "kind": "plain", "pool": "orders",
                  "not_repeatable": [{"method": "POST", "path_prefix": "/orders"}]}],
    "teams": [{"name": "team-1", "token": "secret"}],
    "zones_out": "service=out",
    "endpoints_leaving": "state=leaving"
})json";

/*! Own loopback address of this test program, so that tests that run at the same time never meet on a port. */
[[nodiscard]] std::string own_address() {
    const auto pid = static_cast<std::uint32_t>(::getpid());
    return concat("127.", std::to_string(64 + (pid >> 16U) % 64), ".", std::to_string((pid >> 8U) % 256), ".",
                  std::to_string(pid % 256));
}

[[nodiscard]] std::string region_of(const std::string& zone) {
    return zone.substr(0, zone.find('-'));
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream{path} << text;
}

} // namespace

process_fleet::process_fleet()
    : address_{own_address()}, directory_{(std::filesystem::temp_directory_path() / "dandelionbay-XXXXXX").string()},
      next_port_{first_port}, hosts_(json::array()) {}

process_fleet::~process_fleet() {
    processes_.clear();
    std::error_code ec;
    if (!HasFailure()) {
        std::filesystem::remove_all(directory_, ec);
    }
}

std::string process_fleet::at(const std::string& port_name) const {
    return concat(address_, ":", std::to_string(ports_.at(port_name)));
}

void process_fleet::add_process(const std::string& name, std::vector<std::string> command, const json& settings) {
    const auto path = concat(directory_, "/", name, ".json");
    write_file(path, settings.dump());
    command.insert(command.begin(), DANDELIONBAY_BINARY);
    command.push_back("--settings=" + path);
    commands_[name] = std::move(command);
    order_.push_back(name);
}

void process_fleet::add_engine(const std::string& name) {
    // Slow enough that a strike meets running streams.
    add_process(name, {"standin", "engine"},
                {{"role", "engine"},
                 {"listen", at(name)},
                 {"slots", 16},
                 {"cold_slots", 16},
                 {"cold_time_ms", 100},
                 {"first_token_ms", 20},
                 {"token_interval_us", 20'000},
                 {"state_lag_ms", 100}});
}

json process_fleet::node_settings(const std::string& name, const std::string& zone) const {
    return {{"host", name},
            {"region", region_of(zone)},
            {"zone", zone},
            {"peer_listen", at(name + ".peer")},
            {"store", at("store-" + region_of(zone))},
            {"hosts", hosts_},
            {"log", {{"level", "info"}}}};
}

void process_fleet::add_agent(const std::string& name, const std::string& endpoint, const std::string& zone) {
    auto settings = node_settings(name, zone);
    settings["role"] = "agent";
    settings["endpoint"] = endpoint;
    settings["endpoint_address"] = at(endpoint);
    settings["limits"] = {{"stop_limit_ms", 10'000}};
    add_process(name, {"serve"}, settings);
}

void process_fleet::add_router(const std::string& name, const std::string& zone) {
    auto settings = node_settings(name, zone);
    settings["role"] = "router";
    settings["caller_listen"] = at(name);
    settings["admin_listen"] = at(name + ".admin");
    settings["admin_token"] = operator_token;
    settings["limits"] = {{"caller_threads", 64}, {"balancer_delay_ms", 100}, {"stop_limit_ms", 10'000}};
    add_process(name, {"serve"}, settings);
}

void process_fleet::SetUp() {
    ASSERT_NE(::mkdtemp(directory_.data()), nullptr);
    for (const auto* it : {"platform", "engine-1", "engine-2", "engine-3", "orders", "router-1", "router-2",
                           "router-1.admin", "router-2.admin", "router-1.peer", "router-2.peer", "agent-1.peer",
                           "agent-2.peer", "agent-3.peer", "agent-orders.peer", "store-west", "store-east"}) {
        ports_[it] = next_port_++;
    }
    const std::map<std::string, std::string> zones{{"router-1", "west-1"}, {"router-2", "east-1"},
                                                   {"agent-1", "west-1"},  {"agent-2", "west-2"},
                                                   {"agent-3", "east-1"},  {"agent-orders", "west-2"}};
    for (const auto& [name, zone] : zones) {
        const auto port = ports_[concat(name, ".relay")] = next_port_++;
        relays_[name] = std::make_unique<tcp_relay>(address_, port, ports_.at(name + ".peer"));
        hosts_.push_back({{"host", name},
                          {"role", name.starts_with("router") ? "router" : "agent"},
                          {"region", region_of(zone)},
                          {"zone", zone},
                          {"peer", at(name + ".relay")}});
    }
    for (const auto* it : {"store-west", "store-east"}) {
        relays_[it] = std::make_unique<tcp_relay>(address_, ports_.at(it), ports_.at("platform"));
    }
    for (const auto& [name, it] : relays_) {
        ASSERT_TRUE(it->listening()) << name;
    }
    write_file(concat(directory_, "/fleet.json"), document);
    add_process("platform", {"standin", "platform"},
                {{"role", "platform"}, {"listen", at("platform")}, {"fleet_config", "fleet.json"}, {"hosts", hosts_}});
    for (const auto* it : {"engine-1", "engine-2", "engine-3"}) {
        add_engine(it);
    }
    // Orders run long enough that a strike meets running ones.
    add_process("orders", {"standin", "service"},
                {{"role", "service"}, {"listen", at("orders")}, {"run_time_ms", 200}});
    add_agent("agent-1", "engine-1", zones.at("agent-1"));
    add_agent("agent-2", "engine-2", zones.at("agent-2"));
    add_agent("agent-3", "engine-3", zones.at("agent-3"));
    add_agent("agent-orders", "orders", zones.at("agent-orders"));
    add_router("router-1", zones.at("router-1"));
    add_router("router-2", zones.at("router-2"));
    for (const auto& it : order_) {
        ASSERT_NO_FATAL_FAILURE(start(it));
    }
    for (const auto* it : {"router-1", "router-2"}) {
        ASSERT_TRUE(wait_until([&] { return in_force(it, 1) && serves(it); })) << directory_;
    }
}

void process_fleet::TearDown() {
    // The hosts stop together; the systems behind them stay until the hosts have finished their requests.
    for (const bool hosts : {true, false}) {
        const auto in_stage = [&](const std::string& name) { return ports_.contains(name + ".peer") == hosts; };
        for (const auto& [name, it] : processes_) {
            if (in_stage(name)) {
                it->signal(SIGCONT);
                it->signal(SIGTERM);
            }
        }
        for (const auto& name : order_) {
            if (in_stage(name)) {
                expect_stop(name);
            }
        }
    }
}

void process_fleet::start(const std::string& name) {
    auto& it = processes_[name];
    it.reset();
    it = std::make_unique<child_process>(commands_.at(name), concat(directory_, "/", name));
    ASSERT_TRUE(wait_until([&] { return it->ready(); })) << name << " did not start:\n" << it->errors();
}

void process_fleet::expect_stop(const std::string& name) {
    const auto it = processes_.find(name);
    if (it == processes_.end()) {
        return;
    }
    const auto status = it->second->wait(20s);
    EXPECT_TRUE(status.has_value() && WIFEXITED(*status) && WEXITSTATUS(*status) == 0)
        << name << " ended with status " << status.value_or(-1) << ":\n"
        << it->second->errors();
    EXPECT_EQ(it->second->errors().find("Sanitizer"), std::string::npos) << name << ":\n" << it->second->errors();
    processes_.erase(it);
}

httplib::Client process_fleet::client(const std::string& name) const {
    httplib::Client out{address_, ports_.at(name)};
    out.set_tcp_nodelay(true);
    out.set_connection_timeout(5s);
    out.set_read_timeout(30s);
    out.set_bearer_token_auth("secret");
    return out;
}

app::admin_client process_fleet::operators(const std::string& router) const {
    return {{address_, ports_.at(router + ".admin")}, operator_token};
}

bool process_fleet::serves(const std::string& router) const {
    auto caller = client(router);
    const json call{{"model", "m"}, {"max_tokens", 1}, {"messages", {{{"role", "user"}, {"content", "ready"}}}}};
    const auto chat = caller.Post("/v1/chat/completions", call.dump(), "application/json");
    const auto orders = caller.Get("/services/orders/orders");
    return chat && chat->status == 200 && orders && orders->status == 200;
}

std::string process_fleet::state_of(const std::string& router, const std::string& host) const {
    for (const auto& it : operators(router).get("status").body.value("nodes", json::array())) {
        if (it.value("host", "") == host) {
            return it.value("state", "");
        }
    }
    return {};
}

bool process_fleet::in_force(const std::string& router, std::uint64_t revision) const {
    const auto nodes = operators(router).get("status").body.value("nodes", json::array());
    return nodes.size() == hosts_.size() && std::ranges::all_of(nodes, [&](const json& it) {
               return it.value("state", "") == "live" && it.value("config_revision", std::uint64_t{0}) >= revision;
           });
}

app::admin_reply process_fleet::set_zone(const std::string& router, const std::string& zone, bool out) const {
    const auto at_router = operators(router);
    auto config = at_router.get("config");
    if (!config.ok() || !set_zone_out(config.body, zone, out).ok()) {
        return config;
    }
    return at_router.send("PUT", "config", config.etag, config.body.dump());
}

std::uint64_t process_fleet::started(const std::string& engine) const {
    const auto stats = client(engine).Get("/stats");
    EXPECT_TRUE(stats) << engine;
    return stats ? json::parse(stats->body).value("started", std::uint64_t{0}) : 0;
}

std::map<std::string, std::uint64_t> process_fleet::order_runs() const {
    const auto runs = client("orders").Get("/orders");
    EXPECT_TRUE(runs);
    return runs ? json::parse(runs->body).get<std::map<std::string, std::uint64_t>>()
                : std::map<std::string, std::uint64_t>{};
}

bool process_fleet::wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

} // namespace dandelionbay::testing
