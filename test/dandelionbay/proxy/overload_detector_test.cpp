#include <gtest/gtest.h>

#include "dandelionbay/proxy/overload_detector.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! Simulates a host whose loop turns are due every 10 ms and come late. */
struct simulated_loop {
    /*! Runs turns with a constant lateness. @return True if the host is overloaded at the end. */
    bool run(duration time, duration late) {
        const auto end = now + time;
        while (now < end) {
            now += milliseconds{10} + late;
            detector.note_turn(late, now);
        }
        return detector.is_overloaded();
    }

    /*! Runs late turns until the host leaves the rotation. @return Time that this took. */
    duration overload() {
        const auto start = now;
        while (!detector.is_overloaded() && now < start + seconds{60}) {
            run(milliseconds{10}, milliseconds{120});
        }
        return now - start;
    }

    /*! Runs without load until the host returns to the rotation. @return Time that this took. */
    duration recover() {
        const auto start = now;
        while (detector.is_overloaded() && now < start + seconds{200}) {
            run(milliseconds{10}, milliseconds{1});
        }
        return now - start;
    }

    time_point now{seconds{100}};
    overload_detector detector{};
};

// Guards against a router that reports ready while the balancer's hash sends it most callers: it serves a tenth of them
// and its neighbours are idle.
TEST(overload_detector, a_host_that_cannot_keep_up_leaves_the_rotation) {
    simulated_loop it;
    EXPECT_FALSE(it.run(seconds{30}, milliseconds{5})) << "a busy host that keeps up stays in the rotation";
    EXPECT_LE(it.overload(), seconds{2});
    {
        SCOPED_TRACE("returns once its callers have moved and its loop is on time");
        EXPECT_LE(it.recover(), overload_detector::initial_backoff + seconds{1});
    }
    {
        SCOPED_TRACE("does not flap if the balancer has no other host and the callers stay");
        it.run(overload_detector::relapse_window, milliseconds{1});
        it.overload();
        EXPECT_TRUE(it.run(overload_detector::initial_backoff * 3, milliseconds{100}));
        EXPECT_LE(it.recover(), seconds{5});
    }
}

// Guards against a router that leaves the rotation after a short burst of calls or a pause of the whole process, so
// that its callers overload the others.
TEST(overload_detector, a_burst_or_a_pause_is_no_overload) {
    simulated_loop it;
    it.run(seconds{5}, milliseconds{1});
    EXPECT_FALSE(it.run(milliseconds{200}, milliseconds{150})) << "a burst";
    it.run(seconds{5}, milliseconds{1});
    EXPECT_FALSE(it.run(milliseconds{10}, seconds{5})) << "a pause";
    EXPECT_FALSE(it.run(seconds{5}, milliseconds{1}));
}

// Guards against calls that begin long after their target latency on a host that gets more than it can read, because
// the time that they waited unread is not counted.
TEST(overload_detector, repeated_lateness_counts_towards_the_target_latency) {
    constexpr milliseconds target{600};
    simulated_loop it;
    it.run(seconds{1}, milliseconds{5});
    EXPECT_TRUE(it.detector.can_begin(it.detector.read_delay(it.now), target, it.now));
    it.run(seconds{1}, milliseconds{140});
    EXPECT_TRUE(it.detector.can_begin(it.detector.read_delay(it.now), target, it.now)) << "four such turns end in time";
    it.run(seconds{1}, milliseconds{160});
    EXPECT_EQ(it.detector.read_delay(it.now), milliseconds{160});
    EXPECT_FALSE(it.detector.can_begin(it.detector.read_delay(it.now), target, it.now));
    EXPECT_TRUE(it.detector.can_begin(it.detector.read_delay(it.now), milliseconds{800}, it.now))
        << "a call with a longer target is served";
    {
        SCOPED_TRACE("an overdue turn counts as late before it runs");
        it.run(seconds{1}, milliseconds{50});
        it.detector.set_next_turn(it.now + milliseconds{10});
        EXPECT_TRUE(it.detector.can_begin(it.detector.read_delay(it.now), target, it.now));
        EXPECT_FALSE(it.detector.can_begin(it.detector.read_delay(it.now + milliseconds{500}), target,
                                           it.now + milliseconds{500}));
        EXPECT_EQ(it.detector.read_delay(it.now + milliseconds{500}), milliseconds{490});
    }
    {
        SCOPED_TRACE("a single late turn does not delay the call's next turn");
        it.run(seconds{1}, milliseconds{1});
        it.run(milliseconds{10}, milliseconds{300});
        it.detector.set_next_turn(it.now + milliseconds{10});
        EXPECT_TRUE(it.detector.can_begin(it.detector.read_delay(it.now), target, it.now));
        EXPECT_FALSE(it.detector.can_begin(it.detector.read_delay(it.now), milliseconds{250}, it.now))
            << "the bytes may have waited that long already";
    }
}

// Guards against flapping: at each return the same callers overload the host again for the seconds until the host and
// the balancer have noticed.
TEST(overload_detector, repeated_overloads_double_the_time_out_of_the_rotation) {
    simulated_loop it;
    duration last{};
    for (int n = 0; n < 4; ++n) {
        it.overload();
        const auto backoff = it.recover();
        EXPECT_GE(backoff, last * 3 / 2) << "overload " << n;
        last = backoff;
    }
    it.overload();
    EXPECT_LE(it.recover(), overload_detector::max_backoff + seconds{1}) << "the backoff is bounded";
    {
        SCOPED_TRACE("an overload after the relapse window starts with the initial backoff");
        it.run(overload_detector::relapse_window + seconds{1}, milliseconds{1});
        it.overload();
        EXPECT_LE(it.recover(), overload_detector::initial_backoff + seconds{1});
    }
}

} // namespace
} // namespace dandelionbay
