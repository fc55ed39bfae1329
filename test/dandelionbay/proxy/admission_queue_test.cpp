#include "dandelionbay/proxy/admission_queue.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/proxy/admission_rate_limiter.hpp"
#include "dandelionbay/proxy/read_delay_estimator.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};

// Guards against call ages that count one turn of the loop although the bytes waited for several (CONFIG).
TEST(read_delay_estimator, delay_counts_from_the_last_time_that_everything_was_read) {
    read_delay_estimator it{start};
    EXPECT_EQ(it.delay(start + seconds{9}), duration{}) << "nothing is being read";
    EXPECT_TRUE(it.note_reading(start + milliseconds{20}));
    {
        SCOPED_TRACE("the probe is behind more sockets than one turn processes");
        EXPECT_FALSE(it.note_reading(start + milliseconds{100}));
        EXPECT_EQ(it.delay(start + milliseconds{900}), milliseconds{900});
    }
    {
        SCOPED_TRACE("once the probe is read, everything that arrived before it has been read");
        EXPECT_TRUE(it.note_probe_read(start + seconds{1})) << "more bytes may be waiting";
        EXPECT_EQ(it.delay(start + milliseconds{1'100}), milliseconds{1'080});
        EXPECT_FALSE(it.note_probe_read(start + milliseconds{1'200}));
        EXPECT_EQ(it.delay(start + milliseconds{1'300}), duration{});
    }
}

// Guards against a host that is behind and serves calls whose callers have given up, and against a team that gets no
// service there.
TEST(admission_queue, the_newest_call_of_the_least_served_team_goes_first) {
    const auto in_time = [](duration age, duration target) { return age <= target; };
    const auto call = [](ticket_id ticket, const char* team, milliseconds arrival) {
        return pending_call{ticket, team_id{team}, 10.0, start + arrival, milliseconds{600}};
    };
    admission_queue it;
    it.add(call(1, "large", milliseconds{0}));
    it.add(call(2, "large", milliseconds{200}));
    it.add(call(3, "large", milliseconds{300}));
    it.add(call(4, "small", milliseconds{100}));
    const auto now = start + milliseconds{650};
    EXPECT_EQ(it.take_expired(in_time, now), std::vector<ticket_id>{1}) << "the oldest call cannot begin in time";
    it.order([](const team_id& team) { return team == team_id{"large"} ? 5.0 : 0.0; });
    {
        SCOPED_TRACE("at 4 calls per second the third call cannot begin in time after the others");
        EXPECT_EQ(it.take_excess(4.0, in_time, now), std::vector<ticket_id>{2});
    }
    EXPECT_EQ(it.take_next().ticket, 4U);
    EXPECT_EQ(it.take_next().ticket, 3U);
    EXPECT_TRUE(it.empty());
}

// Guards against refusals by a host with spare capacity: after one slow turn or a pause of the process, and long after
// an overload.
TEST(admission_rate_limiter, only_consecutive_late_turns_limit_the_rate) {
    admission_rate_limiter it;
    auto now = start;
    const auto advance = [&](milliseconds elapsed, milliseconds delay, int calls) {
        now += elapsed;
        for (int n = 0; n < calls; ++n) {
            it.note_begun();
        }
        it.note_read_delay(delay, now, false);
    };
    for (int n = 0; n < 20; ++n) {
        advance(milliseconds{50}, milliseconds{20}, 25);
    }
    EXPECT_GT(it.calls_per_s(), 1e6);
    advance(seconds{1}, seconds{1}, 0);
    advance(milliseconds{50}, milliseconds{20}, 25);
    EXPECT_GT(it.calls_per_s(), 1e6) << "a single pause of the process";
    {
        SCOPED_TRACE("consecutive late turns lower the rate below the recent one");
        for (int n = 0; n < 5; ++n) {
            advance(milliseconds{200}, milliseconds{300}, 40);
        }
        EXPECT_LT(it.calls_per_s(), 200.0);
        EXPECT_GE(it.calls_per_s(), admission_rate_limiter::min_calls_per_s);
        EXPECT_LE(it.available_calls(now), 200.0 * 0.1);
    }
    {
        SCOPED_TRACE("the limit is lifted after the recovery window");
        for (int n = 0; n < 50; ++n) {
            advance(milliseconds{50}, milliseconds{20}, 2);
        }
        EXPECT_GT(it.calls_per_s(), 1e6);
    }
}

} // namespace
} // namespace dandelionbay
