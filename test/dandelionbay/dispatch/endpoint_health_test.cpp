#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "dispatch_fixture.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against calls to an endpoint that asked for a pause, and against callers that wait for it or come back before
// it takes calls again.
TEST(dispatcher, an_endpoint_that_asks_for_a_pause_gets_no_work_until_its_end) {
    dispatch_fixture fleet{2};
    const auto first = fleet.send(fleet.call("team", 1, 2'000, 10));
    const endpoint_id home{fleet.log.placements[first]};
    fleet.answer_all();
    fleet.router.pause(home, fleet.now + seconds{2});
    {
        SCOPED_TRACE("its subject's calls go elsewhere");
        const auto next = fleet.send(fleet.call("team", 1, 2'000, 10));
        ASSERT_TRUE(fleet.log.placements.contains(next));
        EXPECT_NE(fleet.log.placements[next], home.value);
        fleet.answer_all();
    }
    {
        SCOPED_TRACE("with all of them paused a call is refused at once, with a time after the first pause's end");
        const endpoint_id other{home.value == "e0" ? "e1" : "e0"};
        fleet.router.pause(other, fleet.now + seconds{5});
        fleet.router.pause(home, fleet.now + seconds{1}); // Does not shorten the longer one.
        const auto next = fleet.send(fleet.call("team", 1, 2'000, 10));
        fleet.router.process_waiting(fleet.now);
        ASSERT_TRUE(fleet.log.refusals.contains(next));
        EXPECT_EQ(fleet.log.refusals[next].code, result_code::endpoint_unavailable);
        EXPECT_GE(fleet.log.refusals[next].retry_after, seconds{2});
        EXPECT_LT(fleet.log.refusals[next].retry_after, seconds{3});
    }
    {
        SCOPED_TRACE("a pause that ends before the call's own limit is waited for");
        fleet.now += seconds{2} - milliseconds{100};
        const auto next = fleet.send(fleet.call("team", 1, 2'000, 10));
        fleet.router.process_waiting(fleet.now);
        EXPECT_FALSE(fleet.log.refusals.contains(next));
        EXPECT_FALSE(fleet.log.placements.contains(next));
        fleet.advance(milliseconds{100});
        EXPECT_EQ(fleet.log.placements[next], home.value);
    }
}

// Guards against work for an endpoint that went silent or can't be reached, and against its return with full load.
TEST(dispatcher, silent_and_unreachable_endpoints_get_no_work) {
    dispatch_fixture fleet{2};
    const auto first = fleet.send(fleet.call("team", 1, 2'000, 10));
    const auto silent = fleet.log.placements[first];
    fleet.now += seconds{3};
    {
        SCOPED_TRACE("nothing was heard of it for longer than its reading takes");
        const auto next = fleet.send(fleet.call("team", 1, 2'000, 10));
        EXPECT_NE(fleet.log.placements[next], silent);
    }
    {
        SCOPED_TRACE("refused connections pause it, and then it gets one call at a time");
        dispatch_fixture other{1};
        other.router.unreachable(endpoint_id{"e0"}, other.now);
        EXPECT_FALSE(other.log.placements.contains(other.send(other.call("team", 1, 100, 10))));
        other.now += seconds{1};
        const auto trial = other.send(other.call("team", 1, 100, 10));
        other.router.process_waiting(other.now);
        EXPECT_TRUE(other.log.placements.contains(trial) || other.log.placements.size() == 1);
        EXPECT_EQ(other.log.placements.size(), 1);
        other.router.started(other.log.placements.begin()->first, other.now);
        other.advance(milliseconds{8});
        EXPECT_TRUE(other.log.placements.contains(other.send(other.call("team", 1, 100, 10))));
    }
}

// Guards against calls that wait or are refused until the last stream of a sound endpoint has ended, because one
// connection to it failed while its streams went on.
TEST(dispatcher, an_endpoint_whose_streams_go_on_takes_calls_again_after_a_failed_connection) {
    dispatch_fixture fleet{1};
    const endpoint_id only{"e0"};
    const auto stream = fleet.send(fleet.call("team", 1, 100, 10));
    ASSERT_TRUE(fleet.log.placements.contains(stream));
    fleet.router.started(stream, fleet.now);
    const auto placed = [&](const std::vector<ticket_id>& calls) {
        return std::ranges::count_if(calls, [&](ticket_id it) { return fleet.log.placements.contains(it); });
    };
    const auto send_two = [&] {
        const auto first = fleet.send(fleet.call("team", 1, 100, 10));
        return std::vector{first, fleet.send(fleet.call("team", 1, 100, 10))};
    };
    fleet.router.unreachable(only, fleet.now);
    const auto calls = send_two();
    {
        SCOPED_TRACE("one call tries a new connection, although the stream still runs");
        EXPECT_EQ(placed(calls), 0);
        fleet.advance(endpoint_load::initial_ejection);
        EXPECT_EQ(placed(calls), 1);
        fleet.advance(milliseconds{10});
        fleet.router.data_received(only, fleet.now); // An event of the stream says nothing of new connections.
        fleet.router.process_waiting(fleet.now);
        EXPECT_EQ(placed(calls), 1);
    }
    {
        SCOPED_TRACE("its answer begins");
        fleet.router.started(fleet.log.placements.contains(calls[0]) ? calls[0] : calls[1], fleet.now);
        fleet.advance(milliseconds{10});
        EXPECT_EQ(placed(calls), 2);
    }
    {
        SCOPED_TRACE("connections that fail together are one failure");
        for (int n = 0; n < 4; ++n) {
            fleet.router.unreachable(only, fleet.now);
        }
        const auto more = send_two();
        fleet.advance(endpoint_load::initial_ejection);
        EXPECT_EQ(placed(more), 1);
        SCOPED_TRACE("a second failure keeps calls away for longer");
        fleet.router.unreachable(only, fleet.now);
        const auto last = send_two();
        fleet.advance(endpoint_load::initial_ejection);
        EXPECT_EQ(placed(last) + placed(more), 1);
        fleet.advance(endpoint_load::initial_ejection);
        EXPECT_EQ(placed(last) + placed(more), 2);
    }
}

} // namespace
} // namespace dandelionbay
