#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "dispatch_fixture.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against the pattern "many calls about few subjects": prompts whose long shared prefix is prefilled again at
// every endpoint, which overloads a fleet that could otherwise bear the load.
TEST(dispatcher, calls_that_share_a_prefix_go_to_the_endpoint_that_has_it_cached) {
    dispatch_fixture fleet;
    std::map<std::uint64_t, std::set<std::string>> endpoints_by_prefix;
    for (int round = 0; round < 20; ++round) {
        for (std::uint64_t prefix = 1; prefix <= 8; ++prefix) {
            const auto ticket = fleet.send(fleet.call("team", prefix, 3'000, 100));
            endpoints_by_prefix[prefix].insert(fleet.log.placements[ticket]);
            fleet.now += milliseconds{40};
            fleet.router.started(ticket, fleet.now);
            fleet.router.ended(ticket, call_outcome::answered, fleet.now);
        }
    }
    std::set<std::string> used;
    for (const auto& [prefix, endpoints] : endpoints_by_prefix) {
        EXPECT_EQ(endpoints.size(), 1) << "prefix " << prefix;
        used.insert(endpoints.begin(), endpoints.end());
    }
    EXPECT_GT(used.size(), 1) << "prefixes are spread over the endpoints";
    {
        SCOPED_TRACE(
            "a prefix with much of the traffic is prefilled at a second endpoint once the first one is behind");
        std::set<std::string> hot;
        for (int n = 0; n < 60; ++n) {
            const auto ticket = fleet.send(fleet.call("team", 1, 3'000, 900));
            hot.insert(fleet.log.placements[ticket]);
            fleet.advance(milliseconds{2});
        }
        EXPECT_GT(hot.size(), 1);
    }
}

// Guards against the pattern "most callers enter in one region": calls that wait for engines nearby and are refused
// in the end, while the engines of the other region, a round trip of 40 ms away, are idle.
TEST(dispatcher, an_idle_region_takes_calls_of_an_overloaded_one) {
    dispatch_fixture fleet{1};
    fleet.list.entries.push_back(dispatch_fixture::engine("far", "zone-2"));
    fleet.publish();
    std::vector<std::string> chosen;
    for (std::uint64_t prefix = 1; prefix <= 7; ++prefix) {
        const auto ticket = fleet.send(fleet.call("team", prefix, 900, 100));
        ASSERT_TRUE(fleet.log.placements.contains(ticket)) << "call " << prefix << " waits";
        chosen.push_back(fleet.log.placements[ticket]);
    }
    EXPECT_GE(std::ranges::count(chosen, "far"), 2);
    {
        SCOPED_TRACE("while the near engine has no backlog, calls stay with it");
        EXPECT_EQ(chosen[0], "e0");
        EXPECT_EQ(chosen[1], "e0");
    }
    {
        SCOPED_TRACE("after the backlog is gone, calls stay with the near engine again");
        fleet.advance(milliseconds{150}); // About the backlog of the near engine.
        fleet.answer_all();
        EXPECT_EQ(fleet.log.placements[fleet.send(fleet.call("team", 20, 900, 100))], "e0");
    }
}

// Guards against the pattern "one team floods": a team that enters at another router gets nothing while this router
// continues to serve the flood, because each router orders only its own queue (FAIR).
TEST(dispatcher, a_team_with_a_higher_usage_than_one_refused_elsewhere_yields) {
    dispatch_fixture fleet{1};
    const auto fill = [&](const std::string& team, int calls) {
        int placed = 0;
        for (int n = 0; n < calls; ++n) {
            placed += fleet.log.placements.contains(fleet.send(fleet.call(team, 0, 0, 1'500))) ? 1 : 0;
        }
        return placed;
    };
    EXPECT_GE(fill("flood", 6), 3) << "without competition it may fill the endpoint up to the limit";
    fleet.router.usage().update_peer(host_id{"r2"}, {team_usage_entry{team_id{"small"}, 2'000.0, 9'000.0}}, fleet.now);
    fleet.now += milliseconds{100};
    for (ticket_id ticket = 1; ticket <= fleet.last_ticket; ++ticket) {
        fleet.router.withdraw(ticket);
    }
    fleet.answer_all();
    EXPECT_EQ(fill("flood", 6), 1) << "the endpoint keeps room for the other router's team";
    {
        SCOPED_TRACE("a team with a higher usage than a starved one is still served by an idle endpoint");
        fleet.advance(seconds{1});
        fleet.answer_all();
        EXPECT_EQ(fill("flood", 3), 1);
        EXPECT_EQ(fill("flood", 3), 0);
    }
    {
        SCOPED_TRACE("among the calls that wait here, the small team is served first");
        const auto late = fleet.send(fleet.call("flood", 0, 0, 1'500));
        const auto small = fleet.send(fleet.call("small", 0, 0, 1'500));
        fleet.advance(milliseconds{60});
        EXPECT_FALSE(fleet.log.placements.contains(late));
        EXPECT_TRUE(fleet.log.placements.contains(small));
    }
}

// Guards against the pattern "one refused call of a small team": a team with a high usage leaves nearly all of its room
// to a team that lacks one call in a window, while its own calls are refused and endpoints are idle (LOST).
TEST(dispatcher, a_team_yields_to_no_team_that_was_refused_once) {
    const team_id flood{"flood"};
    const team_id small{"small"};
    const auto placed_of_6 = [&](double small_usage, int refused_calls) {
        dispatch_fixture fleet{1};
        auto& usage = fleet.router.usage();
        usage.add(flood, 1'000'000.0, fleet.now);
        usage.add(small, small_usage, fleet.now);
        for (int n = 0; n < refused_calls; ++n) {
            usage.add_refused(small, 10'000.0, fleet.now);
        }
        int placed = 0;
        for (int n = 0; n < 6; ++n) {
            placed += fleet.log.placements.contains(fleet.send(fleet.call(flood.value, 0, 0, 1'500))) ? 1 : 0;
        }
        return placed;
    };
    EXPECT_GE(placed_of_6(120'000.0, 1), 3) << "as without competition";
    EXPECT_EQ(placed_of_6(120'000.0, 2), 1) << "the endpoint keeps room for a team that is refused often";
    EXPECT_EQ(placed_of_6(5'000.0, 1), 1) << "and for one that was refused more than it got";
}

// Guards against the pattern "one large team far behind another": the large team enters at one router only and
// yields to a small team that is rarely refused elsewhere, although it gets less than half of the highest usage
// (FAIR).
TEST(dispatcher, a_team_far_below_the_highest_usage_yields_to_no_other) {
    const auto placed_of_6 = [](double used, double refused) {
        dispatch_fixture fleet{1};
        fleet.router.usage().update_peer(host_id{"r2"},
                                         {team_usage_entry{team_id{"small"}, 2'000.0, 500.0},
                                          team_usage_entry{team_id{"large"}, used, refused},
                                          team_usage_entry{team_id{"most"}, 90'000.0, 9'000.0}},
                                         fleet.now);
        fleet.now += milliseconds{100};
        int placed = 0;
        for (int n = 0; n < 6; ++n) {
            placed += fleet.log.placements.contains(fleet.send(fleet.call("large", 0, 0, 1'500))) ? 1 : 0;
        }
        return placed;
    };
    EXPECT_GE(placed_of_6(40'000.0, 9'000.0), 4) << "below half of the usage of the most served team";
    EXPECT_EQ(placed_of_6(80'000.0, 9'000.0), 1) << "near the highest usage it leaves room";
    EXPECT_EQ(placed_of_6(40'000.0, 500.0), 1) << "it is rarely refused, so it has no priority";
}

// Guards against the pattern "the engines nearest to one team fall dark": calls that the team loses there count as
// its usage, and it yields to teams that are served (FAIR).
TEST(dispatcher, runs_that_were_lost_before_they_started_are_no_usage) {
    const team_id team{"unlucky"};
    dispatch_fixture fleet{2};
    const auto used = [&] {
        fleet.now += milliseconds{50};
        return fleet.router.usage().used(team, fleet.now);
    };
    const auto first = fleet.send(fleet.call(team.value, 1, 0, 1'000));
    const auto second = fleet.send(fleet.call(team.value, 2, 0, 1'000));
    const double one = used() / 2.0;
    ASSERT_GT(one, 0.0);
    {
        SCOPED_TRACE("a run that fails before its answer started");
        fleet.router.ended(first, call_outcome::failed, fleet.now);
        EXPECT_DOUBLE_EQ(used(), one);
    }
    {
        SCOPED_TRACE("a run cancelled by its caller at an endpoint that went silent");
        fleet.now += seconds{2};
        fleet.router.ended(second, call_outcome::answered, fleet.now);
        EXPECT_DOUBLE_EQ(used(), 0.0);
    }
    {
        SCOPED_TRACE("a run whose answer started stays counted, however it ends");
        const auto third = fleet.send(fleet.call(team.value, 3, 0, 1'000));
        fleet.router.data_received(endpoint_id{fleet.log.placements[third]}, fleet.now);
        fleet.router.started(third, fleet.now);
        fleet.router.ended(third, call_outcome::failed, fleet.now);
        EXPECT_DOUBLE_EQ(used(), one);
    }
    {
        SCOPED_TRACE("a run cancelled by its caller at a working endpoint stays counted");
        const auto fourth = fleet.send(fleet.call(team.value, 4, 0, 1'000));
        fleet.router.data_received(endpoint_id{fleet.log.placements[fourth]}, fleet.now);
        fleet.router.ended(fourth, call_outcome::answered, fleet.now);
        EXPECT_DOUBLE_EQ(used(), 2.0 * one);
        fleet.now += team_usage::window;
        EXPECT_DOUBLE_EQ(used(), 0.0) << "all usage leaves the window";
    }
}

// Guards against logs that do not tell why a call was let in: whether its router met no overload, or by its team's
// share.
TEST(dispatcher, tells_the_admission_of_placed_and_of_refused_calls) {
    const team_id team{"often_refused"};
    dispatch_fixture fleet{2};
    EXPECT_EQ(fleet.log.admissions[fleet.send(fleet.call(team.value, 1, 0, 1'000))], admission{});
    for (int n = 0; n < 10; ++n) {
        fleet.send(fleet.call(team.value, 1, 0, 1'000));
    }
    fleet.now += seconds{1};
    fleet.answer_all(); // Their wait is an overload.
    fleet.router.usage().add_refused(team, 2e4, fleet.now);
    const auto placed = fleet.log.placements.size();
    for (int n = 0; n < 200; ++n) {
        fleet.send(fleet.call(team.value, 1, 0, 1'000));
    }
    ASSERT_FALSE(fleet.log.refusals.empty());
    ASSERT_GT(fleet.log.placements.size(), placed);
    for (const auto& it : {fleet.log.refusals.begin()->second.admitted, fleet.log.admissions.rbegin()->second}) {
        EXPECT_GT(it.queueing_delay_ms, dispatch_limits{}.queueing_delay_ms);
        EXPECT_LT(it.share, 1.0);
        EXPECT_GT(it.share, 0.0);
    }
}

// Guards against the pattern "all are served, late": a team whose calls start past their target does not count as
// refused as long as few of its calls are refused, and teams with a higher usage do not yield (FAIR).
TEST(dispatcher, calls_that_start_late_count_as_refused_for_their_team) {
    const team_id team{"late"};
    dispatch_fixture fleet{2};
    const auto serve = [&](duration answer_time) {
        const auto ticket = fleet.send(fleet.call(team.value, 1, 0, 1'000));
        fleet.now += answer_time;
        fleet.router.data_received(endpoint_id{fleet.log.placements[ticket]}, fleet.now);
        fleet.router.started(ticket, fleet.now);
        fleet.router.started(ticket, fleet.now); // Reported with each event.
        fleet.router.ended(ticket, call_outcome::answered, fleet.now);
    };
    for (int n = 0; n < 4; ++n) {
        serve(milliseconds{300});
    }
    EXPECT_FALSE(fleet.router.usage().is_often_refused(team, fleet.now)) << "all calls started in time";
    serve(milliseconds{900});
    const double cost = 1'100.0;
    const std::vector<usage_slice> slices{
        {0.0, cost}, {cost, cost}, {cost, cost}, {2.0 * cost, 2.0 * cost}, {cost, cost}};
    EXPECT_EQ(fleet.router.usage().own(fleet.now).front(), (team_usage_entry{team, 5.0 * cost, cost, 1, 0.0, slices}))
        << "the late call counts as usage too";
    EXPECT_FALSE(fleet.router.usage().is_often_refused(team, fleet.now)) << "a single call";
    serve(milliseconds{900});
    EXPECT_TRUE(fleet.router.usage().is_often_refused(team, fleet.now));
    EXPECT_NEAR(fleet.router.usage().used(team, fleet.now), 6.0 * 1'100.0, 1.0);
}

// Guards against the pattern "callers leave before their answers begin": calls that waited in vain count as usage of
// their team, so that the team which waits longest looks best served (FAIR).
TEST(dispatcher, calls_that_end_past_their_target_before_they_start_are_no_usage) {
    const team_id team{"waits"};
    dispatch_fixture fleet{2};
    std::vector<ticket_id> calls;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        calls.push_back(fleet.send(fleet.call(team.value, n, 0, 1'000)));
    }
    fleet.now += milliseconds{800};
    for (const auto ticket : calls) {
        fleet.router.data_received(endpoint_id{fleet.log.placements[ticket]}, fleet.now); // The engines are working.
        fleet.router.ended(ticket, call_outcome::answered, fleet.now);
    }
    EXPECT_DOUBLE_EQ(fleet.router.usage().used(team, fleet.now), 0.0);
    EXPECT_TRUE(fleet.router.usage().is_often_refused(team, fleet.now));
    {
        SCOPED_TRACE("a call that its caller cancels before its target remains its team's cost");
        const auto early = fleet.send(fleet.call(team.value, 9, 0, 1'000));
        fleet.router.data_received(endpoint_id{fleet.log.placements[early]}, fleet.now);
        fleet.router.ended(early, call_outcome::answered, fleet.now);
        EXPECT_NEAR(fleet.router.usage().used(team, fleet.now), 1'100.0, 1.0);
    }
}

// Guards against the pattern "a slow host whose short queue one team has filled": a call of a team with a far lower
// usage is refused on arrival, before calls are ordered by team (FAIR).
TEST(dispatcher, a_full_queue_makes_room_for_a_team_with_a_far_lower_usage) {
    dispatch_fixture fleet{1};
    fleet.router.usage().update_peer(
        host_id{"r2"},
        {team_usage_entry{team_id{"most"}, 90'000.0, 0.0}, team_usage_entry{team_id{"behind"}, 2'000.0, 9'000.0}},
        fleet.now);
    fleet.router.set_max_waiting(16);
    while (fleet.router.waiting() < 16) {
        fleet.send(fleet.call("most", 0, 0, 1'500));
    }
    const auto refused = fleet.log.refusals.size();
    const auto behind = fleet.send(fleet.call("behind", 0, 0, 1'500));
    EXPECT_FALSE(fleet.log.refusals.contains(behind));
    ASSERT_EQ(fleet.log.refusals.size(), refused + 1) << "a call of the team with the highest usage is refused";
    EXPECT_EQ(fleet.log.refusals.rbegin()->second.code, result_code::router_queue_full);
    EXPECT_EQ(fleet.router.waiting(), 16) << "the queue does not grow";
    {
        SCOPED_TRACE("a further call of the team with the highest usage does not displace others");
        const auto more = fleet.send(fleet.call("most", 0, 0, 1'500));
        EXPECT_TRUE(fleet.log.refusals.contains(more));
    }
}

// Guards against the pattern "answers that started late because endpoints failed": calls of a team that asks for most
// are refused while an endpoint has nothing to do.
TEST(dispatcher, an_idle_endpoint_takes_calls_beyond_the_share_of_their_team) {
    dispatch_fixture fleet{1};
    std::vector<ticket_id> late;
    for (int n = 0; n < 8; ++n) {
        late.push_back(fleet.send(fleet.call("team", 0, 0, 500)));
        ASSERT_TRUE(fleet.log.placements.contains(late.back())) << "call " << n;
    }
    fleet.advance(seconds{1});
    for (const auto it : late) {
        fleet.router.started(it, fleet.now);
        fleet.router.ended(it, call_outcome::answered, fleet.now);
    }
    for (int n = 0; n < 30; ++n) {
        const auto call = fleet.send(fleet.call("team", 0, 0, 500));
        ASSERT_TRUE(fleet.log.placements.contains(call)) << "call " << n;
        fleet.router.ended(call, call_outcome::answered, fleet.now);
    }
    EXPECT_TRUE(fleet.log.refusals.empty());
}

// Guards against the pattern "a burst of calls while other routers have work waiting": calls that are refused in
// their first round, because their prefill time is not counted before it and nearly all of the work seems to wait at
// other routers.
TEST(dispatcher, the_prefill_time_of_a_burst_counts_from_the_start) {
    dispatch_fixture fleet;
    while (fleet.router.waiting() == 0) {
        fleet.send(fleet.call("team", 0, 0, 2'000)); // Until all engines have a backlog.
    }
    fleet.router.update_peer_queues(host_id{"r2"}, {service_queue{service_id{"model"}, 400.0}}, fleet.now);
    for (int n = 0; n < 6; ++n) {
        fleet.send(fleet.call("team", 0, 0, 3'000));
    }
    fleet.advance(milliseconds{8});
    EXPECT_EQ(fleet.log.refusals.size(), 0);
    EXPECT_EQ(fleet.router.waiting(), 7);
}

// Guards against the pattern "more than the fleet can read": calls that are held until their callers give up, and
// refusals that do not say when to retry.
TEST(dispatcher, calls_that_cannot_start_in_time_are_refused_long_before_their_target) {
    dispatch_fixture fleet{2};
    for (int n = 0; n < 200; ++n) {
        fleet.send(fleet.call("team-" + std::to_string(n % 5), 0, 0, 4'000));
    }
    fleet.advance(milliseconds{8});
    EXPECT_GT(fleet.log.refusals.size(), 150) << "what can't be served is refused at once";
    for (int step = 0; step < 70; ++step) {
        fleet.advance(milliseconds{8});
    }
    EXPECT_EQ(fleet.router.waiting(), 0) << "nothing waits past its target";
    for (const auto& [ticket, why] : fleet.log.refusals) {
        EXPECT_EQ(why.code, result_code::queue_timeout);
        EXPECT_GE(why.retry_after, milliseconds{200});
        EXPECT_LE(why.retry_after, seconds{4});
    }
}

// Guards against a queue that is too long for its host to process in time.
TEST(dispatcher, calls_beyond_the_limit_of_a_round_are_refused_at_once) {
    dispatch_fixture fleet{1};
    fleet.router.set_max_waiting(20);
    for (int n = 0; n < 60; ++n) {
        fleet.send(fleet.call("team-" + std::to_string(n % 5), 0, 0, 2'000));
    }
    EXPECT_EQ(fleet.router.waiting(), 20);
    EXPECT_EQ(fleet.log.placements.size() + fleet.log.refusals.size(), 40);
    for (const auto& [ticket, why] : fleet.log.refusals) {
        EXPECT_EQ(why.code, result_code::router_queue_full);
        EXPECT_LE(why.retry_after, milliseconds{500}) << "another router may be faster";
    }
}

// Guards against refusals while endpoints are idle, only because a long prompt is expected to miss its target; a
// retry would not make it faster.
TEST(dispatcher, a_prompt_that_is_too_long_for_its_target_is_served_by_an_idle_endpoint) {
    dispatch_fixture fleet{2};
    const auto ticket = fleet.send(fleet.call("team", 0, 0, 60'000));
    EXPECT_TRUE(fleet.log.placements.contains(ticket));
}

// Guards against crashes of cold endpoints: each router sends only its share of the calls, also while there are many
// routers.
TEST(dispatcher, a_cold_endpoint_gets_this_routers_share_of_its_rate) {
    dispatch_fixture fleet{1};
    fleet.list.entries[0].cold_for = seconds{30};
    fleet.list.entries[0].row_version = 2;
    fleet.publish();
    fleet.router.set_routers({host_id{"r1"}, host_id{"r2"}});
    std::size_t most = 0;
    std::deque<time_point> sent;
    std::size_t known = 0;
    for (int n = 0; n < 400; ++n) {
        fleet.send(fleet.call("team", 0, 0, 50));
        fleet.advance(milliseconds{10});
        fleet.answer_all();
        for (; known < fleet.log.placements.size(); ++known) {
            sent.push_back(fleet.now);
        }
        while (!sent.empty() && fleet.now - sent.front() >= seconds{1}) {
            sent.pop_front();
        }
        most = std::max(most, sent.size());
    }
    EXPECT_GT(known, 4);
    EXPECT_EQ(most, 2) << "half of four calls a second";
}

// Guards against calls sent to endpoints that leave, are out of service, already failed the call or are not allowed
// to serve it.
TEST(dispatcher, only_endpoints_that_may_serve_a_call_are_selected) {
    dispatch_fixture fleet{1};
    fleet.list.entries.push_back(dispatch_fixture::engine("far", "zone-2"));
    fleet.publish();
    EXPECT_EQ(fleet.log.placements[fleet.send(fleet.call("team", 1, 100, 10))], "e0");
    {
        SCOPED_TRACE("a team bound to the other region");
        auto bound = fleet.call("team", 1, 100, 10);
        bound.team_regions = {region_id{"there"}};
        EXPECT_EQ(fleet.log.placements[fleet.send(bound)], "far");
    }
    {
        SCOPED_TRACE("a team and a route bound to different regions");
        auto bound = fleet.call("team", 1, 100, 10);
        bound.team_regions = {region_id{"there"}};
        bound.route_regions = {region_id{"here"}};
        const auto ticket = fleet.send(bound);
        fleet.advance(seconds{1});
        EXPECT_EQ(fleet.log.refusals[ticket].code, result_code::no_endpoint_in_service);
        fleet.answer_all();
    }
    {
        SCOPED_TRACE("after a failure");
        auto again = fleet.call("team", 1, 100, 10);
        again.excluded = {endpoint_id{"e0"}};
        EXPECT_EQ(fleet.log.placements[fleet.send(again)], "far");
    }
    {
        SCOPED_TRACE("leaving, and a zone out of service");
        fleet.list.entries[0].leaving = true;
        fleet.list.entries[0].row_version = 5;
        fleet.publish();
        EXPECT_EQ(fleet.log.placements[fleet.send(fleet.call("team", 1, 100, 10))], "far");
        fleet.view.update_operator_state(operator_state{100, 1, {zone_out{zone_id{"zone-2"}, 100}}}, fleet.now);
        const auto ticket = fleet.send(fleet.call("team", 1, 100, 10));
        EXPECT_FALSE(fleet.log.placements.contains(ticket));
    }
}

// Guards against running streams that are cut because the call has to wait for its next endpoint behind new calls.
TEST(dispatcher, a_call_that_must_continue_is_placed_before_waiting_calls) {
    dispatch_fixture fleet{2};
    auto stuck = fleet.call("team", 1, 2'000, 10);
    stuck.excluded = {endpoint_id{"e0"}, endpoint_id{"e1"}};
    fleet.send(std::move(stuck));
    ASSERT_EQ(fleet.router.waiting(), 1);
    auto running = fleet.call("team", 1, 2'000, 10);
    running.excluded = {endpoint_id{"e0"}};
    const auto choice = fleet.router.try_place(running, fleet.now);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->endpoint, endpoint_id{"e1"});
    EXPECT_EQ(fleet.router.waiting(), 1);
    {
        SCOPED_TRACE("a call without an eligible endpoint is not queued");
        auto next = fleet.call("team", 1, 2'000, 10);
        next.excluded = {endpoint_id{"e0"}, endpoint_id{"e1"}};
        EXPECT_FALSE(fleet.router.try_place(next, fleet.now));
        EXPECT_EQ(fleet.router.waiting(), 1);
        EXPECT_FALSE(fleet.log.placements.contains(next.ticket));
    }
}

// Guards against the pattern "callers resume streams of a service with two versions": the team that got most has to
// leave room, so its streams found no place at the few endpoints of their version while new calls of others did (LOST).
TEST(dispatcher, a_stream_that_began_earlier_is_placed_though_its_team_leaves_room) {
    dispatch_fixture fleet{1};
    fleet.router.usage().add(team_id{"large"}, 1e6, fleet.now);
    fleet.router.usage().add(team_id{"small"}, 1e4, fleet.now);
    for (int n = 0; n < 3; ++n) {
        fleet.router.usage().add_refused(team_id{"small"}, 1e4, fleet.now);
    }
    fleet.send(fleet.call("small", 1, 1'000, 2'000)); // The engine is busy for some 70 ms.
    auto new_call = fleet.call("large", 2, 1'000, 1'000);
    EXPECT_FALSE(fleet.router.try_place(new_call, fleet.now).has_value());
    auto begun = fleet.call("large", 2, 1'000, 1'000);
    begun.has_begun = true;
    EXPECT_TRUE(fleet.router.try_place(begun, fleet.now).has_value());
}

} // namespace
} // namespace dandelionbay
