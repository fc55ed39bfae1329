#include <string>

#include <gtest/gtest.h>

#include "soak/options.hpp"

namespace dandelionbay::soak {
namespace {

class random_faults : public testing::TestWithParam<std::uint64_t> {};

// Guards every promise of the request path (whole answers, truthful outcomes, at most one run, cold bounds, zones out
// of service, graceful stops, bounded waits) against combinations of faults.
TEST_P(random_faults, keep_all_promises) {
    const auto result = run(options_for_seed(GetParam()));
    for (const auto& it : result.violations) {
        ADD_FAILURE() << it << "\nrepeat with: tools/soak --seeds=" << GetParam() << ".." << GetParam();
    }
    EXPECT_GT(result.complete, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, random_faults, testing::Range<std::uint64_t>(1, 25));

// Guards against teams that gain from a router of their own, from sending more, or from leaving the exchange.
TEST(fair_share, gap_of_uneven_backlogged_teams_stays_under_the_bound) {
    for (const double share : {0.2, 0.5, 0.9}) {
        SCOPED_TRACE(share);
        options chosen{};
        chosen.seed = 7;
        chosen.teams = 16;
        chosen.requests_per_second = 150;
        chosen.large_team_share = share;
        const auto result = run(chosen);
        EXPECT_TRUE(result.violations.empty()) << result.violations.front();
        EXPECT_LE(result.fairness_gap, result.fairness_bound);
    }
}

// Guards against slots that stay free while work waits. Under this load a perfect central queue keeps every slot busy;
// the first seconds, in which the endpoints warm up, are part of the measurement.
TEST(fair_share, slots_stay_busy_while_work_waits) {
    options chosen{};
    chosen.seed = 11;
    chosen.teams = 16;
    chosen.requests_per_second = 60;
    chosen.load = std::chrono::seconds{120};
    const auto result = run(chosen);
    EXPECT_TRUE(result.violations.empty()) << result.violations.front();
    EXPECT_GE(result.utilisation, 0.95);
    RecordProperty("utilisation", std::to_string(result.utilisation));
}

} // namespace
} // namespace dandelionbay::soak
