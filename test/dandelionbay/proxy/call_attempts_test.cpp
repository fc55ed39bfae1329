#include "dandelionbay/proxy/call_attempts.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;

constexpr ticket_id first{1};
constexpr ticket_id second{2};
constexpr ticket_id third{3};
constexpr silence_timeouts timeouts{milliseconds{1'200}, milliseconds{300}};

/*! A call with one sent attempt. */
struct sent_call {
    sent_call() { attempts.add(first, timeouts, now); }

    [[nodiscard]] bool is_silent(ticket_id it, time_point listening_since = {}) const {
        return attempts.is_silent(it, listening_since, now);
    }

    time_point now{std::chrono::seconds{1'000}};
    call_attempts attempts{};
};

// Guards against calls that are lost because a silent endpoint is given up before another one has made progress.
TEST(call_attempts, a_silent_attempt_stays_primary_until_another_one_makes_progress) {
    sent_call call;
    call.now += milliseconds{1'501};
    ASSERT_TRUE(call.is_silent(first));
    call.attempts.add(second, timeouts, call.now);
    EXPECT_EQ(call.attempts.primary(), first);
    {
        SCOPED_TRACE("the hedge is refused: the first attempt stays primary as before");
        call.attempts.remove(second);
        EXPECT_EQ(call.attempts.primary(), first);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), call_attempts::progress_result{});
    }
    {
        SCOPED_TRACE("the hedge is late, and the first attempt makes progress");
        call.attempts.add(third, timeouts, call.now);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), (call_attempts::progress_result{{third}, false}));
        EXPECT_EQ(call.attempts.primary(), first);
        EXPECT_EQ(call.attempts.size(), 1);
    }
    {
        SCOPED_TRACE("two hedges are sent in turn, and the first attempt makes progress");
        call.attempts.add(second, timeouts, call.now);
        call.attempts.add(third, timeouts, call.now);
        EXPECT_EQ(call.attempts.size(), call_attempts::max_open);
        EXPECT_EQ(call.attempts.record_progress(first, call.now),
                  (call_attempts::progress_result{{second, third}, false}));
    }
    {
        SCOPED_TRACE("the hedge makes progress, and the first attempt ends");
        call.attempts.add(second, timeouts, call.now);
        EXPECT_EQ(call.attempts.record_progress(second, call.now), (call_attempts::progress_result{{first}, true}));
        EXPECT_EQ(call.attempts.primary(), second);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), call_attempts::progress_result{})
            << "the first attempt has ended";
        EXPECT_EQ(call.attempts.primary(), second);
    }
}

// Guards against calls that end with a silent attempt although another attempt is open.
TEST(call_attempts, another_attempt_becomes_primary_when_the_silent_one_fails) {
    sent_call call;
    call.attempts.add(second, timeouts, call.now);
    call.attempts.remove(first);
    EXPECT_EQ(call.attempts.primary(), second);
    call.attempts.remove(second);
    EXPECT_TRUE(call.attempts.empty());
    EXPECT_EQ(call.attempts.primary(), std::nullopt);
}

// Guards against needless hedging: before the first event the endpoint processes the prompt, and silence doesn't count
// while this host was not reading.
TEST(call_attempts, silence_counts_from_the_latest_event_while_this_host_reads) {
    sent_call call;
    call.now += milliseconds{1'500};
    EXPECT_FALSE(call.is_silent(first)) << "the prompt is still being processed";
    call.now += milliseconds{1};
    EXPECT_TRUE(call.is_silent(first));
    EXPECT_FALSE(call.is_silent(first, call.now - milliseconds{1'000}));
    {
        SCOPED_TRACE("after an event there is no extra time for the prompt");
        EXPECT_EQ(call.attempts.record_progress(first, call.now), call_attempts::progress_result{});
        call.now += milliseconds{1'200};
        EXPECT_FALSE(call.is_silent(first));
        call.now += milliseconds{1};
        EXPECT_TRUE(call.is_silent(first));
    }
}

} // namespace
} // namespace dandelionbay
