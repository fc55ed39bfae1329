#include <array>

#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_grants : public agent_harness {
public:
    void SetUp() override {
        start_agent();
        warm_fully();
        config.endpoints[0].slots = 4;
        ++config.revision;
        apply();
    }

    static team_demand wants(const char* team, std::uint32_t n, double counter, double charged = 0) {
        return {.team = team_id{team}, .queued = n, .counter = counter, .charged = charged};
    }
};

// Guards against a router that gets slots out of turn, and against all free slots for one team (R1).
TEST_F(agent_grants, the_lowest_counter_of_an_allowed_team_goes_first) {
    config.teams.push_back({.id = team_id{"excluded"}});
    config.access = {{.teams = select("name in (team,other)")}};
    ++config.revision;
    apply();
    link("r1");
    link("r2");
    give_back("r1");
    give_back("r2");
    ask("r1", {wants("excluded", 9, 0), wants("team", 9, 100)});
    EXPECT_EQ(grants("r1"), 4);
    const auto first = make("r1", pop("r1"));
    receive("r1", first);
    ask("r2", {wants("other", 9, 50)});
    {
        SCOPED_TRACE("the slot that becomes free goes to the team with less service");
        complete(first.id);
        EXPECT_EQ(grants("r2"), 1);
        EXPECT_EQ(grants("r1"), 3);
    }
    {
        SCOPED_TRACE("a router that lost its memory reports nothing charged, and its team gains nothing by that");
        ask("r1", {wants("team", 9, 100, 100)});
        link("r2", 2);
        ask("r2", {wants("team", 9, 0), wants("other", 9, 120)});
        give_back("r1");
        const auto floors = messages<grant>("r2").back().floors;
        EXPECT_EQ(floors, (std::vector<team_floor>{{pool_id{"pool"}, team_id{"team"}, 100}}));
    }
}

// Guards against grants that all go to the first of two equal teams, because counters lag behind grants.
TEST_F(agent_grants, slots_that_become_free_together_are_shared) {
    link("r1");
    link("r2");
    take(core->set_fresh(false, now));
    give_back("r1");
    give_back("r2");
    ask("r1", {wants("team", 9, 10)});
    ask("r2", {wants("other", 9, 10)});
    take(core->set_fresh(true, now));
    EXPECT_EQ(grants("r1"), 2);
    EXPECT_EQ(grants("r2"), 2);
}

// Guards against spare grants that pile up at one router, outlive their router or keep slots from waiting work.
TEST_F(agent_grants, spare_grants_spread_expire_and_come_back_for_waiting_work) {
    for (const char* const router : {"r1", "r2", "r3"}) {
        link(router);
    }
    advance(seconds{3});
    EXPECT_EQ(grants("r1") + grants("r2") + grants("r3"), 2);
    EXPECT_LE(grants("r1"), 1);
    EXPECT_LE(grants("r2"), 1);
    EXPECT_LE(grants("r3"), 1);
    const std::string idle = grants("r1") > 0 ? "r1" : "r2";
    const std::string busy = idle == "r1" ? "r2" : "r1";
    ask(busy, "team", 9);
    EXPECT_GT(recalled[host_id{idle}].size(), 0) << "recalled at once";
    {
        SCOPED_TRACE("a holder that never answers leaves the slot idle; that is counted, and ends with the grant");
        while (grants(busy) > 0) {
            take(core->run_data(submit_one(busy), "first", 1, now));
        }
        EXPECT_EQ(core->running(), 3);

        advance(milliseconds{100});
        EXPECT_EQ(metrics.get("idle_while_waiting_total"), 0);
        advance(milliseconds{20});
        EXPECT_GT(metrics.get("idle_while_waiting_total"), 0);
        advance(seconds{3});
        EXPECT_EQ(grants(idle), 0);
        EXPECT_EQ(grants(busy), 1) << "all slots";
    }
    {
        SCOPED_TRACE("grants for which the work has gone are recalled for others too");
        recalled.clear();
        ask(busy, "team", 0);
        ask(idle, "other", 2);
        EXPECT_EQ(recalled[host_id{busy}].size(), 1);
    }
    for (const auto& it : started) {
        take(core->run_ended(it.id, run_end::complete, 1, now));
    }
    {
        SCOPED_TRACE("a router that gives grants back or is leaving gets none ahead of need");
        ask(idle, "other", 0);
        receive("r3", heartbeat{.incarnation = 1, .leaving = true});
        for (const char* const router : {"r1", "r2", "r3", "r1", "r2"}) {
            give_back(router); // Twice, because the return of a recalled grant is not unasked.
        }

        advance(milliseconds{500});
        EXPECT_EQ(grants("r1") + grants("r2") + grants("r3"), 0);
        advance(seconds{3});
        EXPECT_EQ(grants("r1") + grants("r2"), 2);
        EXPECT_EQ(grants("r3"), 0);
    }
}

// Guards against traffic between regions while the own region has capacity, and against more of it than the link bears.
TEST_F(agent_grants, a_router_of_another_region_waits_for_its_own_region_and_has_a_byte_budget) {
    link("far", 1, "east");
    EXPECT_EQ(grants("far"), 0) << "nothing ahead of need";
    ask("far", {wants("team", 99, 0)});
    EXPECT_EQ(grants("far"), 0);
    advance(milliseconds{80});
    EXPECT_EQ(grants("far"), 0);
    EXPECT_LE(core->next_deadline(), now + milliseconds{20});
    advance(milliseconds{20});
    EXPECT_EQ(grants("far"), 4);
    {
        SCOPED_TRACE("an answer larger than the budget stops further ones until it is paid");
        const auto id = submit_one("far");
        for (int i = 0; i < 100; ++i) {
            take(core->run_data(id, std::string(64U << 10U, 'x'), 1, now));
        }
        take(core->run_ended(id, run_end::complete, 1, now));
        give_back("far");
        ask("far", {wants("team", 98, 0)}); // A return without a new demand says that nothing waits.
        EXPECT_EQ(grants("far"), 0);
        advance(seconds{1});
        EXPECT_EQ(grants("far"), 0);
        link("near");
        ask("near", {wants("other", 1, 1e6)});
        EXPECT_GE(grants("near"), 1) << "the own region is not affected";
        advance(seconds{5});
        EXPECT_GT(grants("far"), 0);
    }
}

// Guards against a router that does not use its grants, because it is paused or its report was wrong, and keeps the
// slots from others by its stale report. Found by agent_world.
TEST_F(agent_grants, a_report_whose_grants_lapse_does_not_count_for_a_while) {
    link("r1");
    link("r2");
    ask("r1", {wants("team", 9, 0)});
    ask("r2", {wants("other", 9, 1e6)});
    advance(milliseconds{3'020});
    EXPECT_EQ(grants("r1"), 0);
    EXPECT_EQ(grants("r2"), 4);
    ask("r1", {wants("team", 9, 0)});
    give_back("r2");
    EXPECT_EQ(grants("r1"), 4) << "a new report counts at once";
}

// Guards against a demand that arrives late and hides or repeats work.
TEST_F(agent_grants, an_older_demand_is_ignored) {
    link("r1");
    give_back("r1");
    ask("r1", "team", 3);
    EXPECT_EQ(grants("r1"), 3);
    receive("r1", demand{.pool = pool_id{"pool"}, .version = version - 1});
    EXPECT_EQ(metrics.get("late_messages_total", "demand"), 1);
}

// Guards against a grant that goes back and forth between an agent with an old demand and a router without work, which
// filled the links with 18,000 returns in 14 s.
TEST_F(agent_grants, a_returned_grant_is_not_given_again_before_the_next_demand) {
    link("r1");
    give_back("r1");
    ask("r1", "team", 3);
    ASSERT_EQ(grants("r1"), 3);
    give_back("r1");
    EXPECT_EQ(grants("r1"), 0);
    ask("r1", "team", 2);
    EXPECT_EQ(grants("r1"), 2);
}

// Guards against an agent that starts with a configuration that may be old, as from a peer in an isolated partition,
// and grants for good because its driver reports only changes of the freshness (R4, R8).
TEST_F(agent_harness, an_agent_grants_only_after_it_was_told_that_its_configuration_is_fresh) {
    core = std::make_unique<agent_core>(agent_settings{.host = host_id{"a"},
                                                       .region = region_id{"west"},
                                                       .zone = zone_id{"z1"},
                                                       .endpoint = endpoint_id{"e"},
                                                       .incarnation = 1},
                                        metrics);
    apply();
    warm();
    link("r1");
    ask("r1", "team", 4);
    EXPECT_EQ(grants("r1"), 0);
    take(core->set_fresh(true, now));
    EXPECT_GT(grants("r1"), 0);
}

// Guards against turns of the teams ahead by router, which give a team of three times the weight no more grants.
TEST_F(agent_grants, teams_ahead_at_other_routers_take_turns_by_weight) {
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
                                   .teams = {wants(team, 30, router == std::string{"r1"} ? 0 : 1e6)},
                                   .gap = 1'000});
        }
        for (const auto& [router, team] : routers) {
            if (grants(router) > 0) {
                auto it = make(router, pop(router));
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
