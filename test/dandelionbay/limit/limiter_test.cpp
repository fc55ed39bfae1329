#include <random>

#include <gtest/gtest.h>

#include "dandelionbay/limit/byte_budget.hpp"
#include "dandelionbay/limit/ramp_limiter.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a restarted agent that takes a warm endpoint for cold because its report came before the
// configuration, and against one that goes by such a report after the endpoint became cold (R3).
TEST(ramp_limiter, a_warm_report_before_the_configuration_counts_unless_the_endpoint_became_cold) {
    ramp_limiter warm;
    warm.raise_to_quarter();
    EXPECT_EQ(warm.limit(), 0) << "no slots yet";
    warm.configure(8, 1, milliseconds{500});
    EXPECT_EQ(warm.limit(), 2);
    ramp_limiter cold;
    cold.raise_to_quarter();
    cold.set_reported_cold(true, time_point{seconds{1}});
    cold.configure(8, 1, milliseconds{500});
    EXPECT_EQ(cold.limit(), 1);
}

// Guards against a cold endpoint that is given its full load within moments (R3).
TEST(ramp_limiter, the_limit_at_most_doubles_in_any_two_seconds) {
    ramp_limiter ramp;
    ramp.configure(64, 2, milliseconds{500});
    time_point now{seconds{10}};
    ramp.reset(now);
    EXPECT_EQ(ramp.limit(), 2);
    std::vector<std::pair<time_point, std::uint32_t>> history;
    std::mt19937 random{1};
    std::uniform_int_distribution<int> step{1, 200};
    while (ramp.limit() < 64 && now < time_point{seconds{60}}) {
        now += milliseconds{step(random)};
        ramp.record_first_token(now - milliseconds{1}, now);
        history.emplace_back(now, ramp.limit());
        for (const auto& [at, limit] : history) {
            EXPECT_TRUE(at <= now - seconds{2} || ramp.limit() <= 2 * limit);
        }
    }
    EXPECT_EQ(ramp.limit(), 64);
    EXPECT_GT(now, time_point{seconds{10 + 8}}) << "five doublings, the first one at once";
    {
        SCOPED_TRACE("answers between the expected time and four times it change nothing");
        ramp.lower_to_quarter();
        EXPECT_EQ(ramp.limit(), 16);
        ramp.record_first_token(now - milliseconds{501}, now);
        ramp.record_first_token(now - seconds{2}, now);
        EXPECT_EQ(ramp.limit(), 16);
        ramp.record_first_token(now - milliseconds{2'001}, now);
        EXPECT_EQ(ramp.limit(), 2);
        ramp.record_first_token(now - milliseconds{1}, now);
        EXPECT_EQ(ramp.limit(), 2) << "sent before the reset";
    }
    {
        SCOPED_TRACE("the endpoint says that it is cold");
        ramp.set_reported_cold(true, now);
        ramp.record_first_token(now + milliseconds{1}, now + milliseconds{2});
        EXPECT_EQ(ramp.limit(), 2);
        ramp.set_reported_cold(false, now);
        ramp.record_completion(now + milliseconds{1}, now + milliseconds{2});
        EXPECT_EQ(ramp.limit(), 3);
    }
    {
        SCOPED_TRACE("a change of the configuration");
        ramp.configure(1, 4, milliseconds{500});
        EXPECT_EQ(ramp.limit(), 1);
        ramp.configure(0, 0, milliseconds{500});
        EXPECT_EQ(ramp.limit(), 0);
        ramp.configure(8, 0, milliseconds{500});
        EXPECT_EQ(ramp.limit(), 1) << "more slots have to be reached step by step";
    }
}

// Guards against a control sender or a region link that exceeds its rate, and against one that stays blocked.
TEST(byte_budget, takes_no_more_than_burst_and_rate) {
    time_point now{seconds{10}};
    byte_budget budget{1'000, 500, now};
    EXPECT_TRUE(budget.try_take(400, now));
    EXPECT_FALSE(budget.try_take(200, now));
    EXPECT_EQ(budget.ready_at(200, now), now + milliseconds{100});
    now += milliseconds{100};
    EXPECT_TRUE(budget.try_take(200, now));
    {
        SCOPED_TRACE("a charge makes debt, which is paid at the rate");
        budget.charge(1'000, now);
        EXPECT_FALSE(budget.try_take(1, now + milliseconds{1'000}));
        EXPECT_TRUE(budget.try_take(1, now + milliseconds{1'001}));
        budget.charge(-10'000, now + milliseconds{1'001});
        EXPECT_DOUBLE_EQ(budget.available(now + milliseconds{1'001}), 500) << "never over the capacity";
    }
    {
        SCOPED_TRACE("more than the capacity goes through a full bucket");
        now += seconds{2};
        EXPECT_TRUE(budget.try_take(600, now));
        EXPECT_DOUBLE_EQ(budget.available(now), -100);
        EXPECT_DOUBLE_EQ(budget.available(now - seconds{1}), -100) << "an earlier time refills nothing";
    }
    {
        SCOPED_TRACE("without a rate it stays empty");
        budget.configure(0, 500, now);
        EXPECT_EQ(budget.ready_at(1, now), now + seconds{3'600});
        EXPECT_FALSE(budget.try_take(1, now + seconds{3'600}));
    }
}

} // namespace
} // namespace dandelionbay
