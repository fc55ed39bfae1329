#include <gtest/gtest.h>

#include "board_fleet.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! What operators of large deployments are promised, for a leaving endpoint and for a configuration. */
constexpr duration facts_bound = seconds{5};

class fleet_facts : public testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(sizes, fleet_facts, testing::Values(30, 103, 300));

// Guards against calls to endpoints that have left, and against configurations that are not in force in time, at
// routers which the store turns away while the configuration changes again and again and calls fill the link.
TEST_P(fleet_facts, routers_without_the_store_know_changes_in_time) {
    board_fleet fleet{{.routers = GetParam()}};
    fleet.run_until(board_fleet::start + seconds{4});
    fleet.lose_store();
    fleet.run_until(fleet.now() + seconds{3});
    for (int n = 0; n < 6; ++n) {
        fleet.change_config();
        fleet.run_until(fleet.now() + milliseconds{500});
    }
    fleet.endpoint_leaves();
    fleet.change_config();
    fleet.run_until(fleet.now() + facts_bound);
    const auto leaving = fleet.last_knew_leaving();
    ASSERT_TRUE(leaving) << "a router still sends calls to the endpoint";
    EXPECT_LT(*leaving, facts_bound);
    const auto config = fleet.last_had_config();
    ASSERT_TRUE(config) << "a router has an old configuration";
    EXPECT_LT(*config, facts_bound);
    const auto evidence = fleet.oldest_evidence();
    ASSERT_TRUE(evidence);
    EXPECT_LT(*evidence, freshness_limits{}.max_key_age) << "calls with sound keys are refused";
    RecordProperty("leaving_ms", std::to_string(leaving->count() / 1'000));
    RecordProperty("config_ms", std::to_string(config->count() / 1'000));
    RecordProperty("lists", std::to_string(fleet.lists_sent()));
    RecordProperty("configs", std::to_string(fleet.configs_sent()));
    RecordProperty("link_wait_ms", std::to_string(fleet.longest_wait().count() / 1'000));
}

// Guards against links that work and are made anew again and again, because the time for a confirmation does not grow
// with the interval at which peers are told.
TEST_P(fleet_facts, links_that_work_are_kept) {
    board_fleet fleet{{.routers = GetParam()}};
    fleet.run_until(board_fleet::start + seconds{15});
    EXPECT_EQ(fleet.redials(), 0);
}

// Guards against links that a crash of many endpoints fills for seconds, because each router tells all others what they
// have just told it.
TEST_P(fleet_facts, lost_runs_are_told_by_the_router_that_lost_them) {
    constexpr std::size_t calls = 500; // Some 15 at each of 32 endpoints.
    board_fleet fleet{{.routers = GetParam()}};
    fleet.run_until(board_fleet::start + seconds{4});
    fleet.lose_runs(calls);
    fleet.run_until(fleet.now() + facts_bound);
    EXPECT_EQ(fleet.routers_that_know(0), GetParam());
    EXPECT_EQ(fleet.routers_that_know(calls - 1), GetParam());
    // Until a peer has confirmed, which takes two intervals, and once more for messages that crossed.
    EXPECT_LE(fleet.losses_sent(), 4 * calls * GetParam());
    RecordProperty("losses", std::to_string(fleet.losses_sent()));
}

} // namespace
} // namespace dandelionbay
