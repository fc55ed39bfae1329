#include <gtest/gtest.h>

#include "dandelionbay/proxy/overload_detector.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! A host whose loop is due each 10 ms and comes later than that. */
struct host {
    /*! Runs for some time with the same lateness at each turn. @return True if it was overloaded at the end. */
    bool run(duration time, duration late) {
        const auto end = now + time;
        while (now < end) {
            now += milliseconds{10} + late;
            gauge.note_turn(late, now);
        }
        return gauge.is_overloaded();
    }

    /*! Callers overload it until it leaves the rotation. @return Time that this took. */
    duration overload() {
        const auto start = now;
        while (!gauge.is_overloaded() && now < start + seconds{60}) {
            run(milliseconds{10}, milliseconds{120});
        }
        return now - start;
    }

    /*! Its callers are gone. @return Time until it is back in the rotation. */
    duration rest() {
        const auto start = now;
        while (gauge.is_overloaded() && now < start + seconds{200}) {
            run(milliseconds{10}, milliseconds{1});
        }
        return now - start;
    }

    time_point now{seconds{100}};
    overload_detector gauge{};
};

// Guards against the pattern "the balancer's hash sends most callers to one small host": a router that goes on to say
// that it is ready while it serves a tenth of its callers and its neighbours are idle.
TEST(overload_detector, a_host_that_cannot_keep_up_leaves_the_rotation) {
    host it;
    EXPECT_FALSE(it.run(seconds{30}, milliseconds{5})) << "a busy host that keeps up stays";
    EXPECT_LE(it.overload(), seconds{2});
    {
        SCOPED_TRACE("it is back once its callers have moved and its loop is on time");
        EXPECT_LE(it.rest(), overload_detector::initial_backoff + seconds{1});
    }
    {
        SCOPED_TRACE("if the balancer has no other host and its callers stay, it does not flap");
        it.run(overload_detector::relapse_window, milliseconds{1});
        it.overload();
        EXPECT_TRUE(it.run(overload_detector::initial_backoff * 3, milliseconds{100}));
        EXPECT_LE(it.rest(), seconds{5});
    }
}

// Guards against a router that leaves the rotation, so that its callers overload the others, over something that is
// past: a burst of calls, or a pause of the whole process.
TEST(overload_detector, what_is_worked_off_at_once_is_no_overload) {
    host it;
    it.run(seconds{5}, milliseconds{1});
    EXPECT_FALSE(it.run(milliseconds{200}, milliseconds{150})) << "a burst";
    it.run(seconds{5}, milliseconds{1});
    EXPECT_FALSE(it.run(milliseconds{10}, seconds{5})) << "a pause";
    EXPECT_FALSE(it.run(seconds{5}, milliseconds{1}));
}

// Guards against the pattern "more calls than a small host can read": calls that waited before they were read count as
// new, are taken in and begin long after their target, at a host that goes on like that.
TEST(overload_detector, a_host_that_is_late_again_and_again_serves_no_calls_that_it_cannot_begin_in_time) {
    constexpr milliseconds target{600};
    host it;
    it.run(seconds{1}, milliseconds{5});
    EXPECT_TRUE(it.gauge.can_begin(it.gauge.read_delay(it.now), target, it.now));
    it.run(seconds{1}, milliseconds{140});
    EXPECT_TRUE(it.gauge.can_begin(it.gauge.read_delay(it.now), target, it.now)) << "four such turns end in time";
    it.run(seconds{1}, milliseconds{160});
    EXPECT_EQ(it.gauge.read_delay(it.now), milliseconds{160});
    EXPECT_FALSE(it.gauge.can_begin(it.gauge.read_delay(it.now), target, it.now));
    EXPECT_TRUE(it.gauge.can_begin(it.gauge.read_delay(it.now), milliseconds{800}, it.now))
        << "a call with more time is served";
    {
        SCOPED_TRACE("a turn that is overdue counts as late already");
        it.run(seconds{1}, milliseconds{50});
        it.gauge.set_next_turn(it.now + milliseconds{10});
        EXPECT_TRUE(it.gauge.can_begin(it.gauge.read_delay(it.now), target, it.now));
        EXPECT_FALSE(
            it.gauge.can_begin(it.gauge.read_delay(it.now + milliseconds{500}), target, it.now + milliseconds{500}));
        EXPECT_EQ(it.gauge.read_delay(it.now + milliseconds{500}), milliseconds{490});
    }
    {
        SCOPED_TRACE("a single late turn is past when a call comes to its next one");
        it.run(seconds{1}, milliseconds{1});
        it.run(milliseconds{10}, milliseconds{300});
        it.gauge.set_next_turn(it.now + milliseconds{10});
        EXPECT_TRUE(it.gauge.can_begin(it.gauge.read_delay(it.now), target, it.now));
        EXPECT_FALSE(it.gauge.can_begin(it.gauge.read_delay(it.now), milliseconds{250}, it.now))
            << "it may have waited that long already";
    }
}

// Guards against flapping: each time that the host is back the same callers overload it for some seconds, until it has
// noticed and the balancer too.
TEST(overload_detector, a_host_that_is_overloaded_again_stays_out_for_longer) {
    host it;
    duration last{};
    for (int n = 0; n < 4; ++n) {
        it.overload();
        const auto rest = it.rest();
        EXPECT_GE(rest, last * 3 / 2) << "overload " << n;
        last = rest;
    }
    it.overload();
    EXPECT_LE(it.rest(), overload_detector::max_backoff + seconds{1}) << "it is tried again at last";
    {
        SCOPED_TRACE("an overload long after the last one is a new one");
        it.run(overload_detector::relapse_window + seconds{1}, milliseconds{1});
        it.overload();
        EXPECT_LE(it.rest(), overload_detector::initial_backoff + seconds{1});
    }
}

} // namespace
} // namespace dandelionbay
