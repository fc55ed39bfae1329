#include <algorithm>
#include <filesystem>
#include <map>

#include <gtest/gtest.h>

#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/settings/process_settings.hpp"

namespace dandelionbay {
namespace {

const std::filesystem::path examples{std::filesystem::path{DANDELIONBAY_SOURCE_DIR} / "examples"};

/*! Loads one deployment and checks that its files agree with each other. */
void expect_consistent(const std::string& name, std::size_t routers, std::size_t agents) {
    SCOPED_TRACE(name);
    const auto document = read_file((examples / name / "fleet.json").string());
    ASSERT_TRUE(document.ok()) << document.status();
    const auto config = parse_fleet_config(*document, 1);
    ASSERT_TRUE(config.ok()) << config.status();
    std::map<std::string, std::string> endpoint_zone;
    std::size_t found_routers = 0;
    for (const auto& file : std::filesystem::directory_iterator{examples / name}) {
        const auto path = file.path().string();
        if (file.path().filename() == "fleet.json") {
            continue;
        }
        const auto settings = load_settings(path);
        ASSERT_TRUE(settings.ok()) << path << "\n" << settings.status();
        if (settings->role != process_role::router && settings->role != process_role::agent) {
            continue;
        }
        const bool router = settings->role == process_role::router;
        const auto& node = router ? settings->router.common : settings->agent.common;
        found_routers += router ? 1 : 0;
        if (!router) {
            endpoint_zone[settings->agent.endpoint.value] = node.zone.value;
        }
        ASSERT_NE(config->find(node.zone), nullptr) << path;
        EXPECT_EQ(config->find(node.zone)->region, node.region) << path;
        EXPECT_EQ(node.hosts.size(), routers + agents) << path;
        const bool listed = std::ranges::any_of(
            node.hosts, [&](const host_entry& it) { return it.host == node.host && it.peer == node.peer_listen; });
        EXPECT_TRUE(listed) << path;
    }
    EXPECT_EQ(found_routers, routers);
    EXPECT_EQ(endpoint_zone.size(), agents);
    ASSERT_EQ(config->endpoints.size(), agents);
    for (const auto& it : config->endpoints) {
        EXPECT_EQ(endpoint_zone[it.id.value], it.zone.value) << it.id.value;
        EXPECT_FALSE(config->zone_out(it.zone) || config->leaving(it.id)) << it.id.value;
        EXPECT_TRUE(std::ranges::any_of(config->pools, [&](const auto& p) { return config->in_pool(it, p); }));
    }
    for (const auto& team : config->teams) {
        EXPECT_TRUE(std::ranges::any_of(config->endpoints, [&](const auto& e) { return config->may_use(team, e); }));
    }
}

// Guards against examples that the program refuses, or whose settings and fleet configuration contradict each other.
TEST(examples, are_valid_and_consistent) {
    expect_consistent("press-rota", 3, 13);
    expect_consistent("folibaz", 3, 15);
    expect_consistent("demo", 1, 3);
}

} // namespace
} // namespace dandelionbay
