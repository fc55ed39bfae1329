#include "dandelionbay/proxy/admission_queue.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/proxy/admission_rate_limiter.hpp"
#include "dandelionbay/proxy/read_delay_estimator.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};

// Guards against ages that count one turn of the loop although bytes waited for several (CONFIG).
TEST(read_delay_estimator, bytes_may_have_waited_since_all_before_them_was_read) {
    read_delay_estimator it{start};
    EXPECT_EQ(it.delay(start + seconds{9}), duration{}) << "nothing is being read";
    EXPECT_TRUE(it.note_reading(start + milliseconds{20}));
    {
        SCOPED_TRACE("the mark is behind more sockets than a turn takes");
        EXPECT_FALSE(it.note_reading(start + milliseconds{100}));
        EXPECT_EQ(it.delay(start + milliseconds{900}), milliseconds{900});
    }
    {
        SCOPED_TRACE("when it is read, what came before it was sent has been read");
        EXPECT_TRUE(it.note_probe_read(start + seconds{1})) << "more may wait";
        EXPECT_EQ(it.delay(start + milliseconds{1'100}), milliseconds{1'080});
        EXPECT_FALSE(it.note_probe_read(start + milliseconds{1'200}));
        EXPECT_EQ(it.delay(start + milliseconds{1'300}), duration{});
    }
}

// Guards against a host that is behind and serves the calls for which nobody waits any more, and against a team that
// is passed over there.
TEST(admission_queue, the_newest_call_of_the_least_served_team_goes_first) {
    const auto in_time = [](duration age, duration target) { return age <= target; };
    const auto call = [](ticket_id ticket, const char* team, milliseconds came) {
        return pending_call{ticket, team_id{team}, 10.0, start + came, milliseconds{600}};
    };
    admission_queue it;
    it.add(call(1, "large", milliseconds{0}));
    it.add(call(2, "large", milliseconds{200}));
    it.add(call(3, "large", milliseconds{300}));
    it.add(call(4, "small", milliseconds{100}));
    const auto now = start + milliseconds{650};
    EXPECT_EQ(it.take_expired(in_time, now), std::vector<ticket_id>{1}) << "it can't begin in time";
    it.order([](const team_id& team) { return team == team_id{"large"} ? 5.0 : 0.0; });
    {
        SCOPED_TRACE("at 4 calls a second the third can't begin in time behind the others");
        EXPECT_EQ(it.take_excess(4.0, in_time, now), std::vector<ticket_id>{2});
    }
    EXPECT_EQ(it.take_next().ticket, 4U);
    EXPECT_EQ(it.take_next().ticket, 3U);
    EXPECT_TRUE(it.empty());
}

// Guards against refusals by a host that has time: after one slow turn or a pause of the process, and long after a
// rush.
TEST(admission_rate_limiter, only_turns_that_are_late_one_after_the_other_bound_what_begins) {
    admission_rate_limiter it;
    auto now = start;
    const auto sweep = [&](milliseconds passed, milliseconds delay, int calls) {
        now += passed;
        for (int n = 0; n < calls; ++n) {
            it.note_begun();
        }
        it.note_read_delay(delay, now, false);
    };
    for (int n = 0; n < 20; ++n) {
        sweep(milliseconds{50}, milliseconds{20}, 25);
    }
    EXPECT_GT(it.calls_per_s(), 1e6);
    sweep(seconds{1}, seconds{1}, 0);
    sweep(milliseconds{50}, milliseconds{20}, 25);
    EXPECT_GT(it.calls_per_s(), 1e6) << "one pause of the process";
    {
        SCOPED_TRACE("a host that is late turn after turn begins fewer than lately");
        for (int n = 0; n < 5; ++n) {
            sweep(milliseconds{200}, milliseconds{300}, 40);
        }
        EXPECT_LT(it.calls_per_s(), 200.0);
        EXPECT_GE(it.calls_per_s(), admission_rate_limiter::min_calls_per_s);
        EXPECT_LE(it.available_calls(now), 200.0 * 0.1);
    }
    {
        SCOPED_TRACE("and all again once it has kept up for a while");
        for (int n = 0; n < 50; ++n) {
            sweep(milliseconds{50}, milliseconds{20}, 2);
        }
        EXPECT_GT(it.calls_per_s(), 1e6);
    }
}

} // namespace
} // namespace dandelionbay
