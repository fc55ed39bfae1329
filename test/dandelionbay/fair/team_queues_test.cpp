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

// Guards against a flood that makes the router refuse other teams, and against a full queue that grows further.
TEST(team_queues, only_the_flooding_team_is_refused) {
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
            EXPECT_LT(out.evicted->sequence, 100U) << "a request of the flooding team loses its place";
        }
    }
    EXPECT_EQ(queues.total(), 100U);
    EXPECT_EQ(queues.size(team(0)), 40U);
}

// Guards against lost order within a team and against a requeued request that loses its turn.
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

// Guards against a choice whose cost grows linearly: 64 times the teams may cost 8 times as much, not 64 times.
TEST(team_queues, the_choice_is_logarithmic_in_the_number_of_teams) {
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

// Guards against teams that starve while the deficit of others is repaid, and against a deficit that is not repaid.
TEST(team_scheduler, half_of_the_slots_of_the_teams_ahead_repay) {
    team_queues queues;
    team_scheduler rule;
    queues.set_team(team(0), 0, 0.0);
    queues.set_team(team(1), 0, 1'000.0);
    std::ignore = queues.push(team(0), id(0), {});
    std::ignore = queues.push(team(1), id(1), {});
    rule.set_leading_share(0.5);
    int ahead = 0;
    for (int n = 0; n < 400; ++n) {
        ahead += rule.choose_team(queues, both, 100.0)->second == team(1) ? 1 : 0;
    }
    EXPECT_EQ(ahead, 100) << "one team of two keeps half of its share, a quarter of the slots";
    queues.set_counter(team(0), 950.0);
    for (int n = 0; n < 100; ++n) {
        EXPECT_EQ(rule.choose_team(queues, both, 100.0)->second, team(0));
    }
}

// Guards against a team that is furthest ahead and gets nothing until the other teams ahead have caught up with it.
TEST(team_scheduler, teams_ahead_take_turns_by_weight) {
    team_queues queues;
    team_scheduler rule;
    const std::array counters{0.0, 1'000.0, 5'000.0, 9'000.0};
    for (std::size_t n = 0; n < counters.size(); ++n) {
        queues.set_team(team(n), 0, counters.at(n));
        std::ignore = queues.push(team(n), id(n), {});
    }
    rule.set_leading_share(0.75, {{team(1), 1.0}, {team(2), 1.0}, {team(3), 2.0}});
    std::map<team_id, int> turns;
    int longest = 0;
    int without = 0;
    for (int n = 0; n < 800; ++n) {
        const auto chosen = rule.choose_team(queues, both, 100.0)->second;
        ++turns[chosen];
        without = chosen == team(3) ? 0 : without + 1;
        longest = std::max(longest, without);
    }
    EXPECT_EQ(turns[team(0)], 500);
    EXPECT_NEAR(turns[team(1)], 75, 1);
    EXPECT_NEAR(turns[team(2)], 75, 1);
    EXPECT_NEAR(turns[team(3)], 150, 1);
    EXPECT_LT(longest, 10) << "half of the slots that its weight gives, one in 5 1/3, and one turn of the others";
    {
        SCOPED_TRACE("a team that comes to be ahead starts level with the others");
        queues.set_team(team(4), 0, 7'000.0);
        std::ignore = queues.push(team(4), id(9), {});
        turns.clear();
        for (int n = 0; n < 80; ++n) {
            ++turns[rule.choose_team(queues, both, 100.0)->second];
        }
        EXPECT_LE(turns[team(4)], 8);
        EXPECT_GE(turns[team(4)], 4);
    }
}

// Guards against estimates beyond the caller's limit, reservations that stay behind, and counters that fall.
TEST(cost_model, a_request_reserves_streams_and_settles) {
    const team_key key{pool_id{"p"}, team(0)};
    const time_point now{};
    ledger book{host_id{"r"}, 1};
    cost_model costs;
    EXPECT_DOUBLE_EQ(costs.expected_output(key, 0), cost_model::initial_output_tokens);
    costs.observe_output(key, 100);
    EXPECT_DOUBLE_EQ(costs.expected_output(key, 30), 30.0);
    EXPECT_DOUBLE_EQ(costs.plain_call_cost(2'048), 3.0);

    cost_account account{key, 2.0, 40.0, costs.token_cost(0.0, 30.0), book, now};
    EXPECT_DOUBLE_EQ(book.counter(key), 50.0);
    EXPECT_DOUBLE_EQ(book.charged(key), 0.0);
    account.charge_input(book, now);
    account.charge_output(20.0, book, now);
    EXPECT_DOUBLE_EQ(book.counter(key), 50.0);
    EXPECT_DOUBLE_EQ(book.charged(key), 30.0);
    {
        SCOPED_TRACE("the input was smaller than estimated; the next one pays less");
        costs.add_refund(key, account.settle(50.0, book, now));
        EXPECT_DOUBLE_EQ(book.counter(key), 30.0);
        EXPECT_DOUBLE_EQ(costs.apply_refund(key, 25.0), 15.0);
        EXPECT_DOUBLE_EQ(costs.apply_refund(key, 25.0), 25.0);
    }
    {
        SCOPED_TRACE("an attempt that never ran costs nothing");
        cost_account second{key, 2.0, 40.0, 60.0, book, now};
        EXPECT_DOUBLE_EQ(second.settle(0.0, book, now), 0.0);
        EXPECT_DOUBLE_EQ(book.counter(key), 30.0);
    }
}

} // namespace
} // namespace dandelionbay
