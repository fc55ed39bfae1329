#include "dandelionbay/fair/team_queues.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <map>

#include <gtest/gtest.h>

#include "dandelionbay/fair/cost_model.hpp"
#include "dandelionbay/fair/team_scheduler.hpp"

namespace dandelionbay {
namespace {

constexpr std::array<team_queues::group_type, 2> both{0, 1};

request_id id(std::uint64_t n) {
    return {host_id{"r"}, 1, n};
}

team_id team(std::size_t n) {
    return team_id{"t" + std::to_string(n)};
}

// Guards against a flood of requests of one team that gets other teams rejected, and against queues above their limits.
TEST(team_queues, only_the_flooding_team_is_rejected) {
    team_queues queues;
    const team_queues::limits bounds{.max_per_team = 100, .max_total = 100};
    for (std::size_t n = 0; n < 4; ++n) {
        queues.set_team(team(n), 0, 0.0);
    }
    std::uint64_t refused = 0;
    for (std::uint64_t n = 0; n < 100'000; ++n) {
        refused += queues.push(team(0), id(n), bounds).result == team_queues::admission::queued ? 0 : 1;
    }
    EXPECT_EQ(refused, 99'900U);
    for (std::uint64_t n = 0; n < 20; ++n) {
        for (std::size_t other = 1; other < 4; ++other) {
            const auto out = queues.push(team(other), id(200'000 + n * 4 + other), bounds);
            EXPECT_EQ(out.result, team_queues::admission::queued);
            ASSERT_TRUE(out.evicted.has_value());
            EXPECT_LT(out.evicted->sequence, 100U) << "a request of the flooding team is evicted";
        }
    }
    EXPECT_EQ(queues.total(), 100U);
    EXPECT_EQ(queues.size(team(0)), 40U);
}

// Guards against reordering within a team, and against a requeued request that loses its place.
TEST(team_queues, a_team_is_served_in_order_and_requeued_at_the_head) {
    team_queues queues;
    queues.set_team(team(0), 0, 5.0);
    queues.set_team(team(1), 1, 3.0);
    for (std::uint64_t n = 0; n < 3; ++n) {
        std::ignore = queues.push(team(0), id(n), {});
    }
    std::ignore = queues.push(team(1), id(9), {});
    EXPECT_EQ(queues.lowest(both)->second, team(1));
    EXPECT_EQ(queues.lowest(std::span{both}.first(1))->second, team(0)) << "group 1 is not permitted";
    EXPECT_EQ(queues.pop(team(0)), id(0));
    queues.requeue(team(0), id(0));
    EXPECT_EQ(*queues.front(team(0)), id(0));
    EXPECT_TRUE(queues.remove(team(0), id(1)));
    EXPECT_FALSE(queues.remove(team(0), id(1)));
    queues.set_counter(team(0), 1.0);
    EXPECT_EQ(queues.lowest(both)->second, team(0));
    EXPECT_EQ(queues.lowest_teams(both, 8).size(), 2U);
    EXPECT_EQ(queues.backlogged_teams(), 2U);
}

// Guards against a team selection of linear cost: with 64 times the teams it may take 8 times as long, not 64 times.
TEST(team_queues, selection_cost_is_sublinear_in_the_number_of_teams) {
    const auto measure = [](std::size_t teams) {
        team_queues queues;
        for (std::size_t n = 0; n < teams; ++n) {
            queues.set_team(team(n), 0, static_cast<double>(n));
            std::ignore = queues.push(team(n), id(n), {.max_per_team = 2, .max_total = teams + 1});
        }
        auto best = std::chrono::nanoseconds::max();
        for (int repeat = 0; repeat < 5; ++repeat) {
            const auto begin = std::chrono::steady_clock::now();
            for (int n = 0; n < 2'000; ++n) {
                const auto next = queues.lowest(both);
                const auto head = queues.pop(next->second);
                queues.requeue(next->second, head);
                queues.set_counter(next->second, next->first + static_cast<double>(teams));
            }
            best = std::min(best, std::chrono::nanoseconds{std::chrono::steady_clock::now() - begin});
        }
        return best;
    };
    EXPECT_LT(measure(16'384), measure(256) * 8);
}

// Guards against teams that starve while the deficit of others is repaid, and against a deficit that isn't repaid.
TEST(team_scheduler, half_of_the_slots_of_leading_teams_repay_the_deficit) {
    team_queues queues;
    team_scheduler scheduler;
    queues.set_team(team(0), 0, 0.0);
    queues.set_team(team(1), 0, 1'000.0);
    std::ignore = queues.push(team(0), id(0), {});
    std::ignore = queues.push(team(1), id(1), {});
    scheduler.set_leading_share(0.5);
    int leading = 0;
    for (int n = 0; n < 400; ++n) {
        leading += scheduler.choose_team(queues, both, 100.0)->second == team(1) ? 1 : 0;
    }
    EXPECT_EQ(leading, 100) << "one team of two keeps half of its share, a quarter of the slots";
    queues.set_counter(team(0), 950.0);
    for (int n = 0; n < 100; ++n) {
        EXPECT_EQ(scheduler.choose_team(queues, both, 100.0)->second, team(0));
    }
}

// Guards against a leading team with the highest counter that gets nothing until other leading teams have caught up.
TEST(team_scheduler, leading_teams_are_served_in_weighted_round_robin_order) {
    team_queues queues;
    team_scheduler scheduler;
    const std::array counters{0.0, 1'000.0, 5'000.0, 9'000.0};
    for (std::size_t n = 0; n < counters.size(); ++n) {
        queues.set_team(team(n), 0, counters.at(n));
        std::ignore = queues.push(team(n), id(n), {});
    }
    scheduler.set_leading_share(0.75, {{team(1), 1.0}, {team(2), 1.0}, {team(3), 2.0}});
    std::map<team_id, int> served;
    int longest = 0;
    int unserved = 0;
    for (int n = 0; n < 800; ++n) {
        const auto chosen = scheduler.choose_team(queues, both, 100.0)->second;
        ++served[chosen];
        unserved = chosen == team(3) ? 0 : unserved + 1;
        longest = std::max(longest, unserved);
    }
    EXPECT_EQ(served[team(0)], 500);
    EXPECT_NEAR(served[team(1)], 75, 1);
    EXPECT_NEAR(served[team(2)], 75, 1);
    EXPECT_NEAR(served[team(3)], 150, 1);
    EXPECT_LT(longest, 10) << "half of its share by weight is one slot in 5 1/3, plus one round of the others";
    {
        SCOPED_TRACE("a team that starts to lead begins at the virtual time of the others");
        queues.set_team(team(4), 0, 7'000.0);
        std::ignore = queues.push(team(4), id(9), {});
        served.clear();
        for (int n = 0; n < 80; ++n) {
            ++served[scheduler.choose_team(queues, both, 100.0)->second];
        }
        EXPECT_LE(served[team(4)], 8);
        EXPECT_GE(served[team(4)], 4);
    }
}

// Guards against estimates above the caller's limit, reservations that aren't released, and counters that decrease.
TEST(cost_model, a_request_reserves_streams_and_settles) {
    const team_key key{pool_id{"p"}, team(0)};
    const time_point now{};
    ledger accounts{host_id{"r"}, 1};
    cost_model costs;
    EXPECT_DOUBLE_EQ(costs.expected_output(key, 0), cost_model::initial_output_tokens);
    costs.observe_output(key, 100);
    EXPECT_DOUBLE_EQ(costs.expected_output(key, 30), 30.0);
    EXPECT_DOUBLE_EQ(costs.plain_call_cost(2'048), 3.0);

    cost_account account{key, 2.0, 40.0, costs.token_cost(0.0, 30.0), accounts, now};
    EXPECT_DOUBLE_EQ(accounts.counter(key), 50.0);
    EXPECT_DOUBLE_EQ(accounts.charged(key), 0.0);
    account.charge_input(accounts, now);
    account.charge_output(20.0, accounts, now);
    EXPECT_DOUBLE_EQ(accounts.counter(key), 50.0);
    EXPECT_DOUBLE_EQ(accounts.charged(key), 30.0);
    {
        SCOPED_TRACE("the input was smaller than estimated; the refund is deducted from the next charge");
        costs.add_refund(key, account.settle(50.0, accounts, now));
        EXPECT_DOUBLE_EQ(accounts.counter(key), 30.0);
        EXPECT_DOUBLE_EQ(costs.apply_refund(key, 25.0), 15.0);
        EXPECT_DOUBLE_EQ(costs.apply_refund(key, 25.0), 25.0);
    }
    {
        SCOPED_TRACE("an attempt that never ran costs nothing");
        cost_account second{key, 2.0, 40.0, 60.0, accounts, now};
        EXPECT_DOUBLE_EQ(second.settle(0.0, accounts, now), 0.0);
        EXPECT_DOUBLE_EQ(accounts.counter(key), 30.0);
    }
}

} // namespace
} // namespace dandelionbay
