#include "dandelionbay/proxy/call_attempts.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;

constexpr ticket_id first{1};
constexpr ticket_id second{2};
constexpr ticket_id third{3};
constexpr silence_timeouts limits{milliseconds{1'200}, milliseconds{300}};

/*! A call of which one attempt was sent. */
struct sent_call {
    sent_call() { attempts.add(first, limits, now); }

    [[nodiscard]] bool is_silent(ticket_id it, time_point listening_since = {}) const {
        return attempts.is_silent(it, listening_since, now);
    }

    time_point now{std::chrono::seconds{1'000}};
    call_attempts attempts{};
};

// Guards against calls that are lost because their endpoint is given up for its silence before another one has begun.
TEST(call_attempts, a_silent_attempt_keeps_the_call_until_another_one_goes_on) {
    sent_call call;
    call.now += milliseconds{1'501};
    ASSERT_TRUE(call.is_silent(first));
    call.attempts.add(second, limits, call.now);
    EXPECT_EQ(call.attempts.primary(), first);
    {
        SCOPED_TRACE("the other one refuses: the first has the call as before");
        call.attempts.remove(second);
        EXPECT_EQ(call.attempts.primary(), first);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), call_attempts::progress_result{});
    }
    {
        SCOPED_TRACE("the other one is late, and the first goes on");
        call.attempts.add(third, limits, call.now);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), (call_attempts::progress_result{{third}, false}));
        EXPECT_EQ(call.attempts.primary(), first);
        EXPECT_EQ(call.attempts.size(), 1);
    }
    {
        SCOPED_TRACE("two others are asked one after the other, and the first one goes on");
        call.attempts.add(second, limits, call.now);
        call.attempts.add(third, limits, call.now);
        EXPECT_EQ(call.attempts.size(), call_attempts::max_open);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), (call_attempts::progress_result{{second, third}, false}));
    }
    {
        SCOPED_TRACE("the other one serves, and the first ends");
        call.attempts.add(second, limits, call.now);
        EXPECT_EQ(call.attempts.record_progress(second, call.now), (call_attempts::progress_result{{first}, true}));
        EXPECT_EQ(call.attempts.primary(), second);
        EXPECT_EQ(call.attempts.record_progress(first, call.now), call_attempts::progress_result{}) << "it has ended";
        EXPECT_EQ(call.attempts.primary(), second);
    }
}

// Guards against calls that end with a silent attempt although another one has them in hand.
TEST(call_attempts, the_other_one_has_the_call_when_the_silent_one_fails) {
    sent_call call;
    call.attempts.add(second, limits, call.now);
    call.attempts.remove(first);
    EXPECT_EQ(call.attempts.primary(), second);
    call.attempts.remove(second);
    EXPECT_TRUE(call.attempts.empty());
    EXPECT_EQ(call.attempts.primary(), std::nullopt);
}

// Guards against endpoints that are asked for no reason: a prompt is read before the first event, and a host that did
// not listen knows of no silence.
TEST(call_attempts, silence_counts_from_the_newest_event_while_this_host_listens) {
    sent_call call;
    call.now += milliseconds{1'500};
    EXPECT_FALSE(call.is_silent(first)) << "its prompt is still being read";
    call.now += milliseconds{1};
    EXPECT_TRUE(call.is_silent(first));
    EXPECT_FALSE(call.is_silent(first, call.now - milliseconds{1'000}));
    {
        SCOPED_TRACE("after an event no reading is due");
        EXPECT_EQ(call.attempts.record_progress(first, call.now), call_attempts::progress_result{});
        call.now += milliseconds{1'200};
        EXPECT_FALSE(call.is_silent(first));
        call.now += milliseconds{1};
        EXPECT_TRUE(call.is_silent(first));
    }
}

} // namespace
} // namespace dandelionbay
