#include <tuple>

#include <gtest/gtest.h>

#include "fleet_simulation.hpp"

namespace dandelionbay {
namespace {

using std::chrono::seconds;

/*! Routers, and what all teams ask for as a part of what the engines read. */
class fleet_fairness : public testing::TestWithParam<std::tuple<std::size_t, double>> {};

INSTANTIATE_TEST_SUITE_P(sizes, fleet_fairness,
                         testing::Combine(testing::Values<std::size_t>(8, 30), testing::Values(1.0, 1.3, 2.0)));

// Guards against the pattern "one team asks for most, and another comes through few routers": that one gets less than
// half of its share for six seconds while the other is served (FAIR).
TEST_P(fleet_fairness, a_team_that_comes_through_few_routers_gets_its_share) {
    const auto [routers, load] = GetParam();
    for (const std::uint64_t seed : {1, 2, 3}) {
        fleet_simulation fleet{routers,
                               routers,
                               {{"wide", 0.55, routers}, {"narrow", 0.3, routers / 4}, {"small", 0.15, routers / 2}},
                               load,
                               seed};
        fleet.run_for(seconds{12});
        EXPECT_GE(fleet.least_part_of_due(6, 2), 1.0) << "seed " << seed;
        EXPECT_GT(fleet.use(), 0.5) << "seed " << seed << ": engines idle while calls wait";
    }
}

/*! What all teams ask for as a part of what the engines read. */
class late_host_fairness : public testing::TestWithParam<double> {};

INSTANTIATE_TEST_SUITE_P(loads, late_host_fairness, testing::Values(0.3, 0.5, 0.7));

// Guards against the pattern "a team's callers all come to one host, which is late": what that host turns away counts
// as lack of service at all routers, and they refuse calls of other teams while the engines have room (FAIR).
TEST_P(late_host_fairness, a_team_that_loses_at_its_host_takes_no_room_from_others) {
    constexpr std::size_t routers = 8;
    for (const std::uint64_t seed : {1, 2, 3}) {
        fleet_simulation usual{routers, routers, {{"one_host", 0.3, 1}, {"wide", 0.7, routers}}, GetParam(), seed};
        usual.run_for(seconds{12});
        fleet_simulation late{routers, routers, {{"one_host", 0.3, 1}, {"wide", 0.7, routers}}, GetParam(), seed};
        late.limit_host(0, 2.0);
        late.run_for(seconds{12});
        SCOPED_TRACE(testing::Message() << "seed " << seed << ", turned away " << late.turned_away());
        EXPECT_GT(late.turned_away(), 0);
        EXPECT_LE(late.refused(), usual.refused()) << "the engines are asked for less than before";
    }
}

} // namespace
} // namespace dandelionbay
