#include "dandelionbay/member/heartbeat_echo.hpp"

#include <random>

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

heartbeat stamped(heartbeat_echo& it, time_point now) {
    heartbeat beat;
    it.stamp(beat, now);
    return beat;
}

// Guards against a heartbeat that counts as sent later than it was, because it or the one that it echoes was held up.
TEST(heartbeat_echo, a_heartbeat_counts_from_the_echoed_one_and_the_time_it_was_held) {
    heartbeat_echo here;
    heartbeat_echo there;
    time_point now{seconds{100}};
    const auto first = stamped(there, now);
    EXPECT_EQ(here.on_heartbeat(first, now), std::nullopt) << "it echoes nothing";
    EXPECT_TRUE(here.is_reply_due());
    const auto reply = stamped(here, now);
    EXPECT_FALSE(here.is_reply_due());
    now += seconds{2};
    EXPECT_EQ(there.on_heartbeat(reply, now), time_point{seconds{100}}) << "the reply was held up for 2 s";
    now += milliseconds{500};
    const auto beat = stamped(there, now);
    EXPECT_EQ(beat.echo_held_ms, 500);
    now += seconds{3};
    EXPECT_EQ(here.on_heartbeat(beat, now), time_point{milliseconds{100'500}}) << "2 s under way before, 3 s after";
}

// Guards against a number that is taken for a later one with the same value when a link is very slow, when many
// heartbeats follow each other, or when they are lost.
TEST(heartbeat_echo, no_delay_makes_a_heartbeat_younger_than_it_is) {
    for (unsigned seed = 0; seed < 200; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random{seed};
        const auto pick = [&](int n) { return std::uniform_int_distribution{0, n - 1}(random); };
        const auto lag = milliseconds{1 + pick(200'000)};
        struct flight {
            heartbeat beat;
            time_point sent;
            time_point due;
        };
        heartbeat_echo ends[2];
        std::deque<flight> ways[2];
        std::size_t bounds = 0;
        time_point now{seconds{100}};
        for (int n = 0; n < 1'000; ++n) {
            now += milliseconds{pick(2'000)};
            for (const std::size_t end : {0U, 1U}) {
                auto& arriving = ways[1 - end];
                for (; !arriving.empty() && arriving.front().due <= now; arriving.pop_front()) {
                    const auto sent = ends[end].on_heartbeat(arriving.front().beat, now);
                    bounds += sent.has_value() ? 1 : 0;
                    ASSERT_LE(sent.value_or(time_point{}), arriving.front().sent);
                }
                if (const auto beat = stamped(ends[end], now); pick(10) > 0) {
                    const auto due = now + (pick(2) == 0 ? lag : lag / 10);
                    ways[end].push_back({beat, now, ways[end].empty() ? due : std::max(due, ways[end].back().due)});
                }
            }
        }
        EXPECT_GT(bounds, 0U);
    }
}

} // namespace
} // namespace dandelionbay
