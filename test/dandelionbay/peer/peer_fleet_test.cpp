#include <gtest/gtest.h>

#include "peer_fleet_simulation.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! Guaranteed bound in large deployments, for a leaving endpoint and for a configuration. */
constexpr duration max_propagation_time = seconds{5};

class peer_fleet : public testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(sizes, peer_fleet, testing::Values(30, 103, 300));

// Guards against calls to endpoints that have left and against late configurations, at routers that the store refuses
// while the configuration changes repeatedly and calls use part of the link.
TEST_P(peer_fleet, routers_without_the_store_learn_changes_in_time) {
    peer_fleet_simulation fleet{{.routers = GetParam()}};
    fleet.run_until(peer_fleet_simulation::start + seconds{4});
    fleet.lose_store();
    fleet.run_until(fleet.now() + seconds{3});
    for (int n = 0; n < 6; ++n) {
        fleet.change_config();
        fleet.run_until(fleet.now() + milliseconds{500});
    }
    fleet.begin_endpoint_leaving();
    fleet.change_config();
    fleet.run_until(fleet.now() + max_propagation_time);
    const auto leaving = fleet.leaving_propagation_time();
    ASSERT_TRUE(leaving) << "a router still sends calls to the endpoint";
    EXPECT_LT(*leaving, max_propagation_time);
    const auto config = fleet.config_propagation_time();
    ASSERT_TRUE(config) << "a router has an old configuration";
    EXPECT_LT(*config, max_propagation_time);
    const auto operators_age = fleet.oldest_operators_age();
    ASSERT_TRUE(operators_age);
    EXPECT_LT(*operators_age, freshness_limits{}.max_key_age) << "calls with valid keys are refused";
    RecordProperty("leaving_ms", std::to_string(leaving->count() / 1'000));
    RecordProperty("config_ms", std::to_string(config->count() / 1'000));
    RecordProperty("lists", std::to_string(fleet.lists_sent()));
    RecordProperty("configs", std::to_string(fleet.configs_sent()));
    RecordProperty("link_wait_ms", std::to_string(fleet.max_link_wait().count() / 1'000));
}

// Guards against working connections that are replaced repeatedly because the confirmation timeout does not grow with
// the message interval.
TEST_P(peer_fleet, working_connections_are_kept) {
    peer_fleet_simulation fleet{{.routers = GetParam()}};
    fleet.run_until(peer_fleet_simulation::start + seconds{15});
    EXPECT_EQ(fleet.redials(), 0);
}

// Guards against a crash of many endpoints saturating the link for seconds because each router forwards to all others
// the losses that it received from them.
TEST_P(peer_fleet, lost_runs_are_sent_only_by_the_router_that_lost_them) {
    constexpr std::size_t calls = 500; // About 15 at each of 32 endpoints.
    peer_fleet_simulation fleet{{.routers = GetParam()}};
    fleet.run_until(peer_fleet_simulation::start + seconds{4});
    fleet.lose_runs(calls);
    fleet.run_until(fleet.now() + max_propagation_time);
    EXPECT_EQ(fleet.count_routers_knowing(0), GetParam());
    EXPECT_EQ(fleet.count_routers_knowing(calls - 1), GetParam());
    // Repeated until the peer confirms, which takes two intervals, and once more for messages that crossed.
    EXPECT_LE(fleet.losses_sent(), 4 * calls * GetParam());
    RecordProperty("losses", std::to_string(fleet.losses_sent()));
}

} // namespace
} // namespace dandelionbay
