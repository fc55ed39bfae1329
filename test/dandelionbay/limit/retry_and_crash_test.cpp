#include <gtest/gtest.h>

#include "dandelionbay/limit/crash_register.hpp"
#include "dandelionbay/limit/retry_budget.hpp"

namespace dandelionbay {
namespace {

const time_point start{std::chrono::seconds{1'000}};

// Guards against retries that multiply the load when everything fails, and against one team that uses up all retries.
TEST(retry_budget, retries_stay_a_tenth_of_the_requests) {
    retry_budget budget;
    const team_id storm{"storm"};
    int taken = 0;
    for (int n = 0; n < 10'000; ++n) {
        budget.request(storm);
        taken += budget.take(storm) ? 1 : 0;
    }
    EXPECT_LE(taken, 1'001);
    EXPECT_GE(taken, 999);
    EXPECT_TRUE(budget.take(team_id{"quiet"}));
    {
        SCOPED_TRACE("many teams that fail at once share one budget");
        int all = 0;
        for (int n = 0; n < 1'000; ++n) {
            all += budget.take(team_id{std::to_string(n)}) ? 1 : 0;
        }
        EXPECT_LE(all, static_cast<int>(retry_budget::fleet_bound));
    }
}

// Guards against retries in step.
TEST(retry_budget, backoff_grows_within_bounds_and_is_jittered) {
    std::mt19937_64 random{7};
    for (std::uint32_t attempt = 1; attempt < 40; ++attempt) {
        const auto wait = retry_budget::backoff(attempt, random);
        EXPECT_GE(wait, retry_budget::first_backoff / 2);
        EXPECT_LE(wait, retry_budget::longest_backoff);
    }
    EXPECT_NE(retry_budget::backoff(5, random), retry_budget::backoff(5, random));
}

// Guards against a request that goes on crashing endpoints, and against an innocent one that stays suspected.
TEST(crash_register, two_crashes_refuse_and_a_normal_end_clears) {
    crash_register here;
    crash_register there;
    const auto first = here.crashed(42, start);
    EXPECT_EQ(here.crashes(42), 1U);
    EXPECT_FALSE(here.refused(42));
    {
        SCOPED_TRACE("merged by maximum: a repeated message counts once");
        EXPECT_TRUE(there.merge(first, start));
        EXPECT_FALSE(there.merge(first, start));
        EXPECT_EQ(there.crashes(42), 1U);
    }
    {
        SCOPED_TRACE("cleared; the late suspicion does not come back");
        for (const auto& it : there.finished(42, start)) {
            EXPECT_TRUE(here.merge(it, start));
        }
        EXPECT_EQ(here.crashes(42), 0U);
        EXPECT_FALSE(here.merge(first, start));
        EXPECT_TRUE(there.finished(42, start).empty());
    }
    {
        SCOPED_TRACE("an agent's clearance without a number covers one crash, not a refusal");
        crash_register other;
        EXPECT_FALSE(other.merge(suspicion{42, 0, true}, start));
        std::ignore = other.crashed(42, start);
        EXPECT_TRUE(other.merge(suspicion{42, 0, true}, start));
        EXPECT_EQ(other.crashes(42), 0U);
        other.merge(suspicion{42, 3, false}, start);
        EXPECT_FALSE(other.merge(suspicion{42, 0, true}, start));
        EXPECT_TRUE(other.refused(42));
    }
    {
        SCOPED_TRACE("a later crash counts from one, two refuse");
        std::ignore = here.crashed(42, start);
        EXPECT_EQ(here.crashes(42), 1U);
        std::ignore = here.crashed(42, start);
        EXPECT_TRUE(here.refused(42));
        crash_register fresh;
        for (const auto& it : here.all()) {
            fresh.merge(it, start);
        }
        EXPECT_TRUE(fresh.refused(42));
    }
    {
        SCOPED_TRACE("forgotten after ten minutes");
        here.expire(start + crash_register::kept);
        EXPECT_EQ(here.size(), 0U);
    }
}

} // namespace
} // namespace dandelionbay
