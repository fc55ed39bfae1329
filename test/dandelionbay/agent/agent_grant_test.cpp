#include <array>

#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_grants : public agent_harness {
public:
    void SetUp() override {
        start_agent();
        ramp_up_fully();
        config.endpoints[0].slots = 4;
        ++config.revision;
        apply();
    }

    static team_demand make_demand(const char* team, std::uint32_t n, double counter, double charged = 0) {
        return {.team = team_id{team}, .queued = n, .counter = counter, .charged = charged};
    }
};

// Guards against granting slots out of the order of the counters, and against all free slots for one team (R1).
TEST_F(agent_grants, the_lowest_counter_of_an_allowed_team_goes_first) {
    config.teams.push_back({.id = team_id{"excluded"}});
    config.access = {{.teams = parse_selector("name in (team,other)")}};
    ++config.revision;
    apply();
    link("r1");
    link("r2");
    return_grants("r1");
    return_grants("r2");
    send_demand("r1", {make_demand("excluded", 9, 0), make_demand("team", 9, 100)});
    EXPECT_EQ(grant_count("r1"), 4);
    const auto first = make_submission("r1", take_grant("r1"));
    receive("r1", first);
    send_demand("r2", {make_demand("other", 9, 50)});
    {
        SCOPED_TRACE("a released slot goes to the team that received less service");
        complete(first.id);
        EXPECT_EQ(grant_count("r2"), 1);
        EXPECT_EQ(grant_count("r1"), 3);
    }
    {
        SCOPED_TRACE("a restarted router reports nothing charged, which does not favour its team");
        send_demand("r1", {make_demand("team", 9, 100, 100)});
        link("r2", 2);
        send_demand("r2", {make_demand("team", 9, 0), make_demand("other", 9, 120)});
        return_grants("r1");
        const auto floors = messages<grant>("r2").back().floors;
        EXPECT_EQ(floors, (std::vector<team_floor>{{pool_id{"pool"}, team_id{"team"}, 100}}));
    }
}

// Guards against granting all slots to the first of two equal teams because reported counters lag behind grants.
TEST_F(agent_grants, slots_released_together_are_shared) {
    link("r1");
    link("r2");
    perform(core->set_fresh(false, now));
    return_grants("r1");
    return_grants("r2");
    send_demand("r1", {make_demand("team", 9, 10)});
    send_demand("r2", {make_demand("other", 9, 10)});
    perform(core->set_fresh(true, now));
    EXPECT_EQ(grant_count("r1"), 2);
    EXPECT_EQ(grant_count("r2"), 2);
}

// Guards against spare grants that accumulate at one router, outlive their router or keep slots from waiting
// requests.
TEST_F(agent_grants, spare_grants_are_distributed_expire_and_are_recalled_for_waiting_requests) {
    for (const char* const router : {"r1", "r2", "r3"}) {
        link(router);
    }
    advance(seconds{3});
    EXPECT_EQ(grant_count("r1") + grant_count("r2") + grant_count("r3"), 2);
    EXPECT_LE(grant_count("r1"), 1);
    EXPECT_LE(grant_count("r2"), 1);
    EXPECT_LE(grant_count("r3"), 1);
    const std::string idle = grant_count("r1") > 0 ? "r1" : "r2";
    const std::string busy = idle == "r1" ? "r2" : "r1";
    send_demand(busy, "team", 9);
    EXPECT_GT(recalled_grants[host_id{idle}].size(), 0) << "recalled at once";
    {
        SCOPED_TRACE(
            "a holder that never answers leaves the slot idle, which is counted, until the expiry of the grant");
        while (grant_count(busy) > 0) {
            perform(core->run_data(submit_one(busy), "first", 1, now));
        }
        EXPECT_EQ(core->running(), 3);

        advance(milliseconds{100});
        EXPECT_EQ(metrics.get("idle_while_waiting_total"), 0);
        advance(milliseconds{20});
        EXPECT_GT(metrics.get("idle_while_waiting_total"), 0);
        advance(seconds{3});
        EXPECT_EQ(grant_count(idle), 0);
        EXPECT_EQ(grant_count(busy), 1) << "all slots";
    }
    {
        SCOPED_TRACE("grants whose requests no longer wait are also recalled for others");
        recalled_grants.clear();
        send_demand(busy, "team", 0);
        send_demand(idle, "other", 2);
        EXPECT_EQ(recalled_grants[host_id{busy}].size(), 1);
    }
    for (const auto& it : started_runs) {
        perform(core->run_ended(it.id, run_end::complete, 1, now));
    }
    {
        SCOPED_TRACE("a router that returns grants or is leaving gets no spare grants");
        send_demand(idle, "other", 0);
        receive("r3", heartbeat{.incarnation = 1, .leaving = true});
        for (const char* const router : {"r1", "r2", "r3", "r1", "r2"}) {
            return_grants(router); // Twice, because the return of a recalled grant does not stop spare grants.
        }

        advance(milliseconds{500});
        EXPECT_EQ(grant_count("r1") + grant_count("r2") + grant_count("r3"), 0);
        advance(seconds{3});
        EXPECT_EQ(grant_count("r1") + grant_count("r2"), 2);
        EXPECT_EQ(grant_count("r3"), 0);
    }
}

// Guards against traffic between regions while the own region has capacity, and against exceeding the capacity of the
// link between regions.
TEST_F(agent_grants, a_router_of_another_region_waits_for_its_own_region_and_has_a_byte_budget) {
    link("far", 1, "east");
    EXPECT_EQ(grant_count("far"), 0) << "no spare grants";
    send_demand("far", {make_demand("team", 99, 0)});
    EXPECT_EQ(grant_count("far"), 0);
    advance(milliseconds{80});
    EXPECT_EQ(grant_count("far"), 0);
    EXPECT_LE(core->next_deadline(), now + milliseconds{20});
    advance(milliseconds{20});
    EXPECT_EQ(grant_count("far"), 4);
    {
        SCOPED_TRACE("an answer larger than the budget stops grants until the budget has recovered");
        const auto id = submit_one("far");
        for (int i = 0; i < 100; ++i) {
            perform(core->run_data(id, std::string(64U << 10U, 'x'), 1, now));
        }
        perform(core->run_ended(id, run_end::complete, 1, now));
        return_grants("far");
        send_demand("far",
                    {make_demand("team", 98, 0)}); // After a return nothing waits until a new demand is received.
        EXPECT_EQ(grant_count("far"), 0);
        advance(seconds{1});
        EXPECT_EQ(grant_count("far"), 0);
        link("near");
        send_demand("near", {make_demand("other", 1, 1e6)});
        EXPECT_GE(grant_count("near"), 1) << "the own region is not affected";
        advance(seconds{5});
        EXPECT_GT(grant_count("far"), 0);
    }
}

// Guards against a router that does not use its grants, because it is paused or its report was wrong, and whose old
// report keeps the slots from other routers.
TEST_F(agent_grants, a_report_whose_grants_expire_unused_is_ignored_for_a_while) {
    link("r1");
    link("r2");
    send_demand("r1", {make_demand("team", 9, 0)});
    send_demand("r2", {make_demand("other", 9, 1e6)});
    advance(milliseconds{3'020});
    EXPECT_EQ(grant_count("r1"), 0);
    EXPECT_EQ(grant_count("r2"), 4);
    send_demand("r1", {make_demand("team", 9, 0)});
    return_grants("r2");
    EXPECT_EQ(grant_count("r1"), 4) << "a new report takes effect at once";
}

// Guards against a delayed demand that hides waiting requests or reports them again.
TEST_F(agent_grants, an_older_demand_is_ignored) {
    link("r1");
    return_grants("r1");
    send_demand("r1", "team", 3);
    EXPECT_EQ(grant_count("r1"), 3);
    receive("r1", demand{.pool = pool_id{"pool"}, .version = version - 1});
    EXPECT_EQ(metrics.get("late_messages_total", "demand"), 1);
}

// Guards against a grant that goes back and forth between an agent with an old demand and a router without waiting
// requests, which filled the links with 18,000 returns in 14 s.
TEST_F(agent_grants, a_returned_grant_is_not_reissued_before_the_next_demand) {
    link("r1");
    return_grants("r1");
    send_demand("r1", "team", 3);
    ASSERT_EQ(grant_count("r1"), 3);
    return_grants("r1");
    EXPECT_EQ(grant_count("r1"), 0);
    send_demand("r1", "team", 2);
    EXPECT_EQ(grant_count("r1"), 2);
}

// Guards against an agent that starts with a configuration that may be old, as from a peer in an isolated partition,
// and keeps granting because its driver reports only changes of the freshness (R4, R8).
TEST_F(agent_harness, an_agent_issues_grants_only_once_its_configuration_is_fresh) {
    core = std::make_unique<agent_core>(agent_settings{.host = host_id{"a"},
                                                       .region = region_id{"west"},
                                                       .zone = zone_id{"z1"},
                                                       .endpoint = endpoint_id{"e"},
                                                       .incarnation = 1},
                                        metrics);
    apply();
    report_warm();
    link("r1");
    send_demand("r1", "team", 4);
    EXPECT_EQ(grant_count("r1"), 0);
    perform(core->set_fresh(true, now));
    EXPECT_GT(grant_count("r1"), 0);
}

// Guards against turns by router among the leading teams, which would give a team of three times the weight no more
// grants.
TEST_F(agent_grants, leading_teams_at_other_routers_take_turns_by_weight) {
    config.teams = {{.id = team_id{"owed"}}, {.id = team_id{"team"}}, {.id = team_id{"other"}, .weight = 3.0}};
    ++config.revision;
    apply();
    const std::array routers{std::pair{"r1", "owed"}, std::pair{"r2", "team"}, std::pair{"r3", "other"}};
    for (const auto& [router, team] : routers) {
        link(router);
    }
    std::map<std::string, int> turns;
    for (int n = 0; n < 400; ++n) {
        for (const auto& [router, team] : routers) {
            receive(router, demand{.pool = pool_id{"pool"},
                                   .version = ++version,
                                   .teams = {make_demand(team, 30, router == std::string{"r1"} ? 0 : 1e6)},
                                   .gap = 1'000});
        }
        for (const auto& [router, team] : routers) {
            if (grant_count(router) > 0) {
                auto it = make_submission(router, take_grant(router));
                it.team = team_id{team};
                receive(router, it);
                complete(it.id);
                ++turns[team];
            }
        }
        advance(milliseconds{20});
    }
    EXPECT_GT(turns["team"], 0);
    EXPECT_NEAR(turns["other"], 3 * turns["team"], 0.3 * turns["team"]);
}

} // namespace
} // namespace dandelionbay
