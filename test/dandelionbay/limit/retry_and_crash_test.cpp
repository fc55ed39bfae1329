#include <array>
#include <chrono>

#include <gtest/gtest.h>

#include "dandelionbay/limit/crash_registry.hpp"
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
        budget.record_request(storm);
        taken += budget.try_take(storm) ? 1 : 0;
    }
    EXPECT_LE(taken, 1'001);
    EXPECT_GE(taken, 999);
    EXPECT_TRUE(budget.try_take(team_id{"quiet"}));
    {
        SCOPED_TRACE("many teams that fail at once share one budget");
        int all = 0;
        for (int n = 0; n < 1'000; ++n) {
            all += budget.try_take(team_id{std::to_string(n)}) ? 1 : 0;
        }
        EXPECT_LE(all, static_cast<int>(retry_budget::max_router_retries));
    }
}

// Guards against retries in step.
TEST(retry_budget, backoff_grows_within_bounds_and_is_jittered) {
    std::mt19937_64 random{7};
    for (std::uint32_t attempt = 1; attempt < 40; ++attempt) {
        const auto wait = retry_budget::backoff(attempt, random);
        EXPECT_GE(wait, retry_budget::initial_backoff / 2);
        EXPECT_LE(wait, retry_budget::max_backoff);
    }
    EXPECT_NE(retry_budget::backoff(5, random), retry_budget::backoff(5, random));
}

// Guards against a request that goes on crashing endpoints, and against an innocent one that stays suspected.
TEST(crash_registry, two_crashes_refuse_and_a_normal_end_clears) {
    const std::array<crash_id, 4> ids{11, 12, 13, 14};
    crash_registry here;
    crash_registry there;
    EXPECT_TRUE(here.record_crash(42, ids[0], start));
    const auto first = here.suspicion_of(42);
    EXPECT_EQ(first, (suspicion{42, {ids[0]}, {}}));
    EXPECT_EQ(here.crash_count(42), 1U);
    EXPECT_FALSE(here.is_refused(42));
    {
        SCOPED_TRACE("merged by union: a repeated message counts once");
        EXPECT_TRUE(there.merge(first, start));
        EXPECT_FALSE(there.merge(first, start));
        EXPECT_FALSE(there.record_crash(42, ids[0], start));
        EXPECT_EQ(there.crash_count(42), 1U);
    }
    {
        SCOPED_TRACE("cleared; the late suspicion does not come back");
        EXPECT_TRUE(there.record_completion(42, first.crashes, start));
        EXPECT_TRUE(here.merge(there.suspicion_of(42), start));
        EXPECT_EQ(here.crash_count(42), 0U);
        EXPECT_FALSE(here.merge(first, start));
        EXPECT_EQ(here.crash_count(42), 0U);
        EXPECT_FALSE(there.record_completion(42, first.crashes, start));
        crash_registry other;
        EXPECT_FALSE(other.record_completion(42, {}, start));
        EXPECT_EQ(other.size(), 0U);
        EXPECT_TRUE(other.merge(there.suspicion_of(42), start)) << "also where the clearance comes first";
        EXPECT_FALSE(other.merge(first, start));
        EXPECT_EQ(other.crash_count(42), 0U);
    }
    {
        SCOPED_TRACE("a normal end clears only the crashes before its start");
        crash_registry other;
        std::ignore = other.record_crash(42, ids[0], start);
        std::ignore = other.record_crash(42, ids[1], start);
        std::ignore = other.record_crash(42, ids[2], start);
        EXPECT_TRUE(other.record_completion(42, std::array{ids[0]}, start));
        EXPECT_TRUE(other.is_refused(42));
    }
    {
        SCOPED_TRACE("a later crash counts from one, two refuse");
        std::ignore = here.record_crash(42, ids[1], start);
        EXPECT_EQ(here.crash_count(42), 1U);
        EXPECT_TRUE(here.refused_suspicions().empty());
        std::ignore = here.record_crash(42, ids[2], start);
        EXPECT_TRUE(here.is_refused(42));
        EXPECT_EQ(here.refused_suspicions(), here.all_suspicions());
        crash_registry fresh;
        for (const auto& it : here.all_suspicions()) {
            fresh.merge(it, start);
        }
        EXPECT_TRUE(fresh.is_refused(42));
    }
    {
        SCOPED_TRACE("forgotten after ten minutes");
        here.expire(start + crash_registry::retention_window);
        EXPECT_EQ(here.size(), 0U);
    }
}

// Guards against two endpoints that crash at the same moment and whose agents do not know of each other: both crashes
// used to have number 1 and counted as one.
TEST(crash_registry, crashes_at_the_same_moment_all_count) {
    crash_registry a;
    crash_registry b;
    std::ignore = a.record_crash(42, make_crash_id(host_id{"a"}, 1, 1), start);
    std::ignore = b.record_crash(42, make_crash_id(host_id{"b"}, 1, 1), start);
    crash_registry router;
    router.merge(a.suspicion_of(42), start);
    router.merge(b.suspicion_of(42), start);
    EXPECT_EQ(router.crash_count(42), 2U);
    EXPECT_TRUE(router.is_refused(42));
}

// Guards against names that differ between hosts that see the same crash, or are equal for different crashes.
TEST(crash_registry, an_id_names_agent_incarnation_and_sequence) {
    const auto id = make_crash_id(host_id{"a"}, 1, 1);
    EXPECT_EQ(id, make_crash_id(host_id{"a"}, 1, 1));
    EXPECT_NE(id, make_crash_id(host_id{"a"}, 1, 2));
    EXPECT_TRUE(is_same_agent_incarnation(id, make_crash_id(host_id{"a"}, 1, 2)));
    EXPECT_FALSE(is_same_agent_incarnation(id, make_crash_id(host_id{"a"}, 2, 1)));
    EXPECT_FALSE(is_same_agent_incarnation(id, make_crash_id(host_id{"b"}, 1, 1)));
}

// Guards against a register that grows without bound, and against a bound that drops a refusal.
TEST(crash_registry, is_bounded) {
    crash_registry small{2};
    {
        SCOPED_TRACE("crashes of one request: cleared ones make room first");
        for (crash_id id = 1; id <= crash_registry::max_crashes; ++id) {
            EXPECT_TRUE(small.record_crash(42, id, start));
        }
        EXPECT_FALSE(small.record_crash(42, 100, start));
        EXPECT_TRUE(small.record_completion(42, std::array<crash_id, 1>{1}, start));
        EXPECT_TRUE(small.record_crash(42, 100, start));
        EXPECT_EQ(small.crash_count(42), crash_registry::max_crashes);
        EXPECT_TRUE(small.suspicion_of(42).cleared.empty());
    }
    {
        SCOPED_TRACE("requests: the least recently changed one makes room");
        std::ignore = small.record_crash(43, 1, start + std::chrono::seconds{1});
        std::ignore = small.record_crash(44, 1, start + std::chrono::seconds{2});
        EXPECT_EQ(small.size(), 2U);
        EXPECT_EQ(small.crash_count(42), 0U);
        EXPECT_EQ(small.crash_count(43), 1U);
    }
}

} // namespace
} // namespace dandelionbay
