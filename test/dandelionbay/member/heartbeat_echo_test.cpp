#include "dandelionbay/member/heartbeat_echo.hpp"

#include <random>

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

heartbeat make_stamped(heartbeat_echo& echo, time_point now) {
    heartbeat beat;
    echo.stamp(beat, now);
    return beat;
}

// Guards against a send time that is assumed too late because the heartbeat or the one that it echoes was delayed.
TEST(heartbeat_echo, the_send_time_is_bounded_by_the_echoed_heartbeat_and_its_holding_time) {
    heartbeat_echo here;
    heartbeat_echo there;
    time_point now{seconds{100}};
    const auto first = make_stamped(there, now);
    EXPECT_EQ(here.on_heartbeat(first, now), std::nullopt) << "the first heartbeat echoes nothing";
    EXPECT_TRUE(here.is_reply_due());
    const auto reply = make_stamped(here, now);
    EXPECT_FALSE(here.is_reply_due());
    now += seconds{2};
    EXPECT_EQ(there.on_heartbeat(reply, now), time_point{seconds{100}}) << "the reply was delayed by 2 s";
    now += milliseconds{500};
    const auto beat = make_stamped(there, now);
    EXPECT_EQ(beat.echo_held_ms, 500);
    now += seconds{3};
    EXPECT_EQ(here.on_heartbeat(beat, now), time_point{milliseconds{100'500}}) << "delayed by 2 s before, by 3 s after";
}

// Guards against a number that is mistaken for a later use of the same number when a link is very slow, when many
// heartbeats are sent in a row, or when heartbeats are lost.
TEST(heartbeat_echo, the_bound_is_never_later_than_the_send_time) {
    for (unsigned seed = 0; seed < 200; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random{seed};
        const auto pick = [&](int n) { return std::uniform_int_distribution{0, n - 1}(random); };
        const auto max_delay = milliseconds{1 + pick(200'000)};
        struct in_flight_heartbeat {
            heartbeat beat;
            time_point sent;
            time_point due;
        };
        heartbeat_echo ends[2];
        std::deque<in_flight_heartbeat> in_flight[2];
        std::size_t bound_count = 0;
        time_point now{seconds{100}};
        for (int n = 0; n < 1'000; ++n) {
            now += milliseconds{pick(2'000)};
            for (const std::size_t end : {0U, 1U}) {
                auto& arriving = in_flight[1 - end];
                for (; !arriving.empty() && arriving.front().due <= now; arriving.pop_front()) {
                    const auto bound = ends[end].on_heartbeat(arriving.front().beat, now);
                    bound_count += bound.has_value() ? 1 : 0;
                    ASSERT_LE(bound.value_or(time_point{}), arriving.front().sent);
                }
                if (const auto beat = make_stamped(ends[end], now); pick(10) > 0) {
                    const auto due = now + (pick(2) == 0 ? max_delay : max_delay / 10);
                    in_flight[end].push_back(
                        {beat, now, in_flight[end].empty() ? due : std::max(due, in_flight[end].back().due)});
                }
            }
        }
        EXPECT_GT(bound_count, 0U);
    }
}

} // namespace
} // namespace dandelionbay
