#include "dandelionbay/app/dev_fleet.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <thread>
#include <utility>

#include "dandelionbay/app/first_config.hpp"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay::app {

namespace {

// The shortest time in which a process ends and another takes its place; a model engine takes seconds.
constexpr std::chrono::milliseconds restart_time{200};

constexpr auto* loopback = "127.0.0.1";
constexpr std::chrono::seconds start_limit{20};
/*! No balancer sends connections to a development fleet; the stop need not wait for one. */
constexpr std::chrono::milliseconds balancer_delay{200};
constexpr std::uint32_t caller_threads = 128;

/*! The region without the store. */
constexpr std::string_view east = "east";

struct place {
    std::string_view name;
    std::string_view region;
    std::string_view zone;
};

constexpr std::array router_places{place{"router-1", "west", "west-1"}, place{"router-2", "east", "east-1"}};
constexpr std::array engine_places{place{"engine-1", "west", "west-1"}, place{"engine-2", "west", "west-1"},
                                   place{"engine-3", "west", "west-2"}, place{"engine-4", "east", "east-1"}};
constexpr std::array order_services{place{"orders-1", "west", "west-2"}, place{"orders-2", "east", "east-1"}};

constexpr std::string_view document = R"json({
    "zones": [{"name": "west-1", "region": "west"}, {"name": "west-2", "region": "west"},
              {"name": "east-1", "region": "east"}],
    "endpoints": [{"name": "engine-1", "zone": "west-1", "labels": {"serves": "chat"}},
                  {"name": "engine-2", "zone": "west-1", "labels": {"serves": "chat"}},
                  {"name": "engine-3", "zone": "west-2", "labels": {"serves": "chat"}},
                  {"name": "engine-4", "zone": "east-1", "labels": {"serves": "chat"}},
                  {"name": "orders-1", "zone": "west-2", "labels": {"serves": "orders"}, "cold_slots": 8},
                  {"name": "orders-2", "zone": "east-1", "labels": {"serves": "orders"}, "cold_slots": 8}],
    "pools": [{"name": "chat", "endpoints": "serves=chat"}, {"name": "orders", "endpoints": "serves=orders"}],
    "services": [{"name": "chat", "kind": "model", "model": "dev-model", "pool": "chat"},
                 {"name": "orders", "kind": "plain", "pool": "orders",
                  "not_repeatable": [{"method": "POST", "path_prefix": "/orders"}]}],
    "teams": [{"name": "team-1", "token": "dev-team-1"}, {"name": "team-2", "token": "dev-team-2"},
              {"name": "team-3", "token": "dev-team-3"}, {"name": "team-4", "token": "dev-team-4"}],
    "zones_out": "service=out",
    "endpoints_leaving": "state=leaving"
})json";

[[nodiscard]] host_entry entry_of(const place& at, std::string host, host_role role, socket_address peer) {
    return host_entry{host_id{std::move(host)}, role, region_id{std::string{at.region}}, zone_id{std::string{at.zone}},
                      std::move(peer),          false};
}

/*! Stops all nodes at the same time, because each stop waits for its running requests. */
template<typename Node>
void stop_all(std::vector<std::unique_ptr<Node>>& nodes) noexcept {
    std::vector<std::thread> threads;
    threads.reserve(nodes.size());
    for (auto& it : nodes) {
        threads.emplace_back([&it] { it->stop(); });
    }
    for (auto& it : threads) {
        it.join();
    }
    nodes.clear();
}

} // namespace

dev_fleet::dev_fleet(dev_options options) : options_{std::move(options)} {
    for (const auto& it : router_places) {
        hosts_.push_back(entry_of(it, std::string{it.name}, host_role::router, reserve_address()));
    }
    for (const auto& it : engine_places) {
        hosts_.push_back(entry_of(it, concat("agent-", it.name), host_role::agent, reserve_address()));
    }
    for (const auto& it : order_services) {
        hosts_.push_back(entry_of(it, concat("agent-", it.name), host_role::agent, reserve_address()));
    }
    for (const auto& it : hosts_) {
        peer_listen_.push_back(it.peer);
    }
}

dev_fleet::~dev_fleet() {
    stop();
}

socket_address dev_fleet::reserve_address() {
    return reserved_.emplace_back().get();
}

absl::Status dev_fleet::start_relays() {
    if (!options_.relays) {
        return absl::OkStatus();
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].peer = reserve_address();
        relays_.push_back(std::make_unique<tcp_relay>(loopback, hosts_[i].peer.port, peer_listen_[i].port));
    }
    return std::ranges::all_of(relays_, [](const auto& it) { return it->listening(); })
               ? absl::OkStatus()
               : absl::UnavailableError("a relay can't listen");
}

absl::Status dev_fleet::start_platform() {
    const auto rows = std::make_shared<table_map>();
    if (auto status = store_first_config(rows, document); !status.ok()) {
        return status;
    }
    standin_platform_options options;
    options.hosts = hosts_;
    platform_ = std::make_unique<standin_platform>(options, rows);
    if (auto status = platform_->start(); !status.ok() || !options_.relays) {
        return status;
    }
    east_store_port_ = reserve_address().port;
    east_store_ = std::make_unique<tcp_relay>(loopback, east_store_port_, platform_->port());
    return east_store_->listening() ? absl::OkStatus() : absl::UnavailableError("the store's relay can't listen");
}

node_options dev_fleet::common_options(std::size_t host) const {
    const auto& self = hosts_.at(host);
    node_options out;
    out.host = self.host;
    out.region = self.region;
    out.zone = self.zone;
    out.peer_listen = peer_listen_.at(host);
    const bool relayed = east_store_ != nullptr && self.region.value == east;
    out.store = socket_address{loopback, relayed ? east_store_port_ : platform_->port()};
    out.hosts = hosts_;
    return out;
}

absl::Status dev_fleet::start_endpoints() {
    for (std::size_t i = 0; i < engine_places.size(); ++i) {
        engines_.push_back(std::make_unique<standin_engine>(standin_engine_options{.restart_time = restart_time}));
        if (auto status = engines_.back()->start(); !status.ok()) {
            return status;
        }
    }
    for (std::size_t i = 0; i < order_services.size(); ++i) {
        services_.push_back(std::make_unique<standin_service>(standin_service_options{}));
        if (auto status = services_.back()->start(); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

std::unique_ptr<agent_node> dev_fleet::make_agent(std::size_t index) const {
    const bool engine = index < engine_places.size();
    const auto& at = engine ? engine_places.at(index) : order_services.at(index - engine_places.size());
    agent_node_options options;
    options.common = common_options(router_places.size() + index);
    options.endpoint = endpoint_id{std::string{at.name}};
    options.endpoint_address = socket_address{loopback, engine ? engines_.at(index)->port()
                                                               : services_.at(index - engine_places.size())->port()};
    return std::make_unique<agent_node>(options);
}

absl::Status dev_fleet::start_agents() {
    for (std::size_t i = 0; i < engine_places.size() + order_services.size(); ++i) {
        agents_.push_back(make_agent(i));
        if (auto status = agents_.back()->start(); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<agent_node>> dev_fleet::restart_agent(std::size_t index) {
    agents_.at(index)->stop();
    auto old = std::exchange(agents_.at(index), make_agent(index));
    if (auto status = agents_.at(index)->start(); !status.ok()) {
        return status;
    }
    return old;
}

std::unique_ptr<router_node> dev_fleet::make_router(std::size_t index, std::uint16_t port,
                                                    std::uint16_t admin_port) const {
    router_node_options options;
    options.common = common_options(index);
    options.caller_listen = socket_address{loopback, port};
    options.admin_listen = socket_address{loopback, admin_port};
    options.admin_token = options_.admin_token;
    options.caller_threads = caller_threads;
    options.balancer_delay = balancer_delay;
    return std::make_unique<router_node>(options);
}

absl::Status dev_fleet::start_routers() {
    const auto port_or_reserved = [&](std::uint16_t port) { return port != 0 ? port : reserve_address().port; };
    for (std::size_t i = 0; i < router_places.size(); ++i) {
        routers_.push_back(make_router(i, port_or_reserved(i == 0 ? options_.port : 0),
                                       port_or_reserved(i == 0 ? options_.admin_port : 0)));
        if (auto status = routers_.back()->start(); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<router_node>> dev_fleet::restart_router(std::size_t index) {
    auto& router = routers_.at(index);
    const auto port = router->caller_port();
    const auto admin_port = router->admin_port();
    router->stop();
    auto old = std::exchange(router, make_router(index, port, admin_port));
    if (auto status = router->start(); !status.ok()) {
        return status;
    }
    if (auto status = wait_until_serving(); !status.ok()) {
        return status;
    }
    return old;
}

void dev_fleet::split_regions(bool split) {
    const auto mode = split ? relay_mode::stall : relay_mode::pass;
    for (std::size_t i = 0; i < relays_.size(); ++i) {
        // Only routers dial.
        for (const auto& it : router_places) {
            if (it.region != hosts_[i].region.value) {
                relays_[i]->set(mode, std::string{it.name});
            }
        }
    }
    if (east_store_ != nullptr) {
        east_store_->set(mode);
    }
}

bool dev_fleet::serving() {
    return std::ranges::all_of(routers_, [&](const auto& router) {
        const auto nodes = router->view().nodes();
        return nodes.size() == hosts_.size() && std::ranges::all_of(nodes, [](const node_state& it) {
                   return it.state == "live" && it.config_revision > 0;
               });
    });
}

absl::Status dev_fleet::wait_until_serving() {
    const auto limit = std::chrono::steady_clock::now() + start_limit;
    while (!serving()) {
        if (std::chrono::steady_clock::now() > limit) {
            return absl::DeadlineExceededError("not all hosts are live with a configuration");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return absl::OkStatus();
}

absl::Status dev_fleet::start() {
    auto status = start_relays();
    if (status.ok()) {
        status = start_platform();
    }
    if (status.ok()) {
        status = start_endpoints();
    }
    if (status.ok()) {
        status = start_agents();
    }
    if (status.ok()) {
        status = start_routers();
    }
    return status.ok() ? wait_until_serving() : status;
}

std::string dev_fleet::region_of_router(std::size_t index) {
    return std::string{router_places.at(index).region};
}

std::vector<const standin_engine*> dev_fleet::engines_in(std::string_view zone) const {
    std::vector<const standin_engine*> out;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engine_places.at(i).zone == zone) {
            out.push_back(engines_[i].get());
        }
    }
    return out;
}

void dev_fleet::stop() noexcept {
    stop_all(routers_);
    stop_all(agents_);
    engines_.clear();
    services_.clear();
    relays_.clear();
    east_store_.reset();
    platform_.reset();
}

} // namespace dandelionbay::app
