#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_cold : public agent_harness {
protected:
    /*! Starts an agent of a warm endpoint whose slots are all granted to one router. */
    void start_with_all_grants() {
        start_agent();
        warm_fully();
        ASSERT_EQ(core->limit(), 8);
        link("r1");
        ask("r1", "team", 8);
        ASSERT_EQ(grants("r1"), 8);
    }
};

// Guards against a cold endpoint that gets one request from each router, or one more after each restart (R3).
TEST_F(agent_cold, a_cold_endpoint_runs_one_request_through_restarts_of_routers_and_agent) {
    start_agent();
    for (const char* const router : {"r1", "r2", "r3", "r4"}) {
        link(router);
        ask(router, "team", 5);
    }
    report({.process = "p1", .cold = true});
    const auto outstanding = [&] { return grants("r1") + grants("r2") + grants("r3") + grants("r4"); };
    EXPECT_EQ(outstanding(), 1);
    {
        SCOPED_TRACE("the router with the grant restarts; only one other router gets a grant");
        link("r1", 2);
        EXPECT_EQ(outstanding(), 1);
        link("r2", 2);
        link("r3", 2);
        EXPECT_EQ(outstanding(), 1);
    }
    request_id id;
    for (const char* const router : {"r1", "r2", "r3", "r4"}) {
        if (grants(router) > 0) {
            id = submit_one(router);
        }
    }
    ask("r1", "team", 5);
    {
        SCOPED_TRACE("the agent restarts while the endpoint still runs the request");
        start_agent(2);
        for (const char* const router : {"r1", "r2", "r3", "r4"}) {
            link(router, 3);
            ask(router, "team", 5);
        }
        EXPECT_EQ(outstanding(), 0) << "before the first report the agent can't know what runs";
        report({.process = "p1", .cold = true, .running = 1});
        EXPECT_EQ(outstanding(), 0);
        report({.process = "p1", .cold = true, .running = 0});
        EXPECT_EQ(outstanding(), 1);
    }
}

// Guards against an agent that never grants because its endpoint sends no load reports.
TEST_F(agent_cold, an_endpoint_without_reports_gets_its_cold_bound_after_a_second) {
    start_agent();
    link("r1");
    ask("r1", "team", 5);
    advance(milliseconds{980});
    EXPECT_EQ(grants("r1"), 0);
    EXPECT_LE(core->next_deadline(), now + milliseconds{20});
    advance(milliseconds{40});
    EXPECT_EQ(grants("r1"), 1);
}

// Guards against an endpoint that became cold without saying so and is given its full load again.
TEST_F(agent_cold, late_first_tokens_and_new_processes_bring_the_ramp_back) {
    ASSERT_NO_FATAL_FAILURE(start_with_all_grants());
    const auto id = submit_one("r1");
    advance(milliseconds{2'000});
    EXPECT_EQ(core->limit(), 8);
    advance(milliseconds{20});
    {
        SCOPED_TRACE("no first token for four times the expected time");
        EXPECT_EQ(core->limit(), 1);
        EXPECT_EQ(recalled[host_id{"r1"}].size(), 7);
        submit_one("r1");
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_cold) << "a grant from before the reset";
        EXPECT_EQ(started.size(), 1 + sequence - 2) << "it did not reach the endpoint";
    }
    {
        SCOPED_TRACE("answers from before the reset do not raise the limit");
        complete(id);
        EXPECT_EQ(core->limit(), 1);
    }
    warm_fully();
    ASSERT_EQ(core->limit(), 8);
    {
        SCOPED_TRACE("an unannounced restart");
        warm("p2");
        EXPECT_EQ(core->limit(), 1);
    }
    warm_fully();
    {
        SCOPED_TRACE("a report that says cold");
        report({.process = "p1", .cold = true});
        EXPECT_EQ(core->limit(), 1);
    }
    {
        SCOPED_TRACE("an endpoint that does not answer gets nothing until it reports or the pause is over");
        warm_fully();
        ask("r1", "team", 8);
        take(core->endpoint_lost(now));
        EXPECT_EQ(core->limit(), 1);
        submit_one("r1");
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        unlink("r1");
        link("r1");
        ask("r1", "team", 8);
        advance(milliseconds{1'980});
        EXPECT_EQ(grants("r1"), 0);
        advance(milliseconds{20});
        EXPECT_EQ(grants("r1"), 1);
    }
}

// Guards against full load for an endpoint whose process ended while it was idle, before its next load report. Found by
// the randomised runs once they stopped telling the agent of such an end.
TEST_F(agent_cold, an_idle_endpoint_is_checked_before_work_starts_at_it) {
    ASSERT_NO_FATAL_FAILURE(start_with_all_grants());
    const auto before = started.size();
    const auto checks_before = checks;
    advance(milliseconds{60});
    endpoint_answers = false;
    const auto first = submit_one("r1");
    const auto second = submit_one("r1");
    const auto third = submit_one("r1");
    {
        SCOPED_TRACE("nothing starts before the answer, and one check serves all");
        EXPECT_EQ(started.size(), before);
        EXPECT_EQ(checks, checks_before + 1);
        EXPECT_FALSE(core->idle());
    }
    {
        SCOPED_TRACE("a caller that leaves meanwhile is forgotten");
        receive("r1", cancel{third});
    }
    {
        SCOPED_TRACE("a new process is cold: one request starts, the other was not run");
        report({.process = "p2", .cold = true});
        ASSERT_EQ(started.size(), before + 1);
        EXPECT_EQ(started.back().id, first);
        ASSERT_EQ(messages<rejected>("r1").size(), 1);
        EXPECT_EQ(messages<rejected>("r1").back().id, second);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_cold);
    }
    {
        SCOPED_TRACE("while a call runs its connection tells of the end of the process");
        ask("r1", "team", 8);
        advance(milliseconds{200});
        EXPECT_EQ(checks, checks_before + 1);
    }
    {
        SCOPED_TRACE("a call that broke is still among the runs until it is known why");
        ask("r1", "team", 8);
        take(core->run_broke(first));
        submit_one("r1");
        EXPECT_EQ(checks, checks_before + 2);
        EXPECT_EQ(started.size(), before + 1);
        report({.process = "p2", .cold = true});
        EXPECT_EQ(started.size(), before + 1);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_cold);
    }
    complete(first);
    endpoint_answers = true;
    warm_fully("p2");
    endpoint_answers = false;
    link("r1", 2);
    ask("r1", "team", 8);
    advance(milliseconds{60});
    {
        SCOPED_TRACE("an endpoint that does not answer the check: provably not run");
        const auto checks_after = checks;
        const auto last = submit_one("r1");
        EXPECT_EQ(checks, checks_after + 1);
        take(core->endpoint_lost(now));
        EXPECT_EQ(messages<rejected>("r1").back().id, last);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        EXPECT_TRUE(core->idle());
    }
}

// Guards against a sound endpoint that loses its capacity because one load report is late.
TEST_F(agent_cold, a_late_report_alone_keeps_the_capacity) {
    ASSERT_NO_FATAL_FAILURE(start_with_all_grants());
    const auto id = submit_one("r1");
    take(core->run_data(id, "token", 1, now));
    {
        SCOPED_TRACE("a run goes on sending tokens: nothing changes");
        advance(milliseconds{980});
        take(core->run_data(id, "token", 1, now));
        advance(milliseconds{520});
        take(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        EXPECT_TRUE(recalled[host_id{"r1"}].empty());
        const auto before = started.size();
        const auto other = submit_one("r1");
        EXPECT_EQ(started.size(), before + 1);
        complete(other);
        give_back("r1");
        ask("r1", "team", 7);
        ASSERT_EQ(grants("r1"), 7);
    }
    {
        SCOPED_TRACE("nothing heard: no new work until the next token, which brings all capacity back");
        advance(milliseconds{1'500});
        take(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(recalled[host_id{"r1"}].size(), 7);
        submit_one("r1");
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        give_back("r1");
        ask("r1", "team", 7);
        advance(milliseconds{500});
        EXPECT_EQ(grants("r1"), 0);
        take(core->run_data(id, "token", 1, now));
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(grants("r1"), 7);
    }
    {
        SCOPED_TRACE("nothing heard until a report of the same process");
        advance(milliseconds{1'500});
        take(core->report_timed_out(now));
        give_back("r1");
        ask("r1", "team", 7);
        advance(milliseconds{500});
        EXPECT_EQ(grants("r1"), 0);
        warm();
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(grants("r1"), 7);
    }
    {
        SCOPED_TRACE("each silence counts from its own beginning");
        advance(milliseconds{1'500});
        take(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        advance(milliseconds{500});
        warm();
        EXPECT_EQ(core->limit(), 8);
    }
    EXPECT_EQ(metrics.total("endpoint_lost_total"), 0);
}

// Guards against an idle endpoint that loses its capacity because the answer to its check is late, and against a
// submission that starts without that answer.
TEST_F(agent_cold, a_late_check_starts_nothing_and_keeps_the_capacity) {
    start_agent();
    warm_fully();
    link("r1");
    ask("r1", "team", 8);
    endpoint_answers = false;
    advance(milliseconds{60});
    const auto before = started.size();
    const auto id = submit_one("r1");
    advance(milliseconds{1'000});
    take(core->report_timed_out(now));
    EXPECT_EQ(started.size(), before);
    ASSERT_EQ(messages<rejected>("r1").size(), 1);
    EXPECT_EQ(messages<rejected>("r1").back().id, id);
    EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
    EXPECT_EQ(core->limit(), 8);
    give_back("r1");
    ask("r1", "team", 8);
    EXPECT_EQ(grants("r1"), 0);
    warm();
    EXPECT_EQ(grants("r1"), 8);
}

// Guards against full load for an endpoint that is lost, or was replaced by a cold process, during a silence.
TEST_F(agent_cold, a_silence_that_lasts_or_ends_with_another_process_costs_the_capacity) {
    enum class end {
        second_late_report,
        no_second_report,
        refused_connection,
        refused_run,
        crash,
        new_process,
        cold,
        no_name
    };
    for (const auto why : {end::second_late_report, end::no_second_report, end::refused_connection, end::refused_run,
                           end::crash, end::new_process, end::cold, end::no_name}) {
        SCOPED_TRACE(static_cast<int>(why));
        start_agent();
        warm_fully(why == end::no_name ? "" : "p1");
        ASSERT_EQ(core->limit(), 8);
        link("r1");
        ask("r1", "team", 8);
        const auto id = submit_one("r1");
        take(core->run_data(id, "token", 1, now)); // A late first token alone would cost the capacity.
        advance(milliseconds{1'500});
        take(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        give_back("r1");
        ask("r1", "team", 8);
        const auto before = started.size();
        advance(milliseconds{1'000});
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(grants("r1"), 0);
        bool reports = false;
        switch (why) {
        case end::second_late_report:
            take(core->report_timed_out(now));
            break;
        case end::no_second_report:
            advance(milliseconds{1'000});
            break;
        case end::refused_connection:
            take(core->endpoint_lost(now));
            break;
        case end::refused_run:
            take(core->run_ended(id, run_end::not_started, 0, now));
            break;
        case end::crash:
            take(core->run_ended(id, run_end::crashed, 0, now));
            break;
        case end::new_process:
            reports = true;
            report({.process = "p2"});
            break;
        case end::cold:
            reports = true;
            report({.process = "p1", .cold = true});
            break;
        case end::no_name:
            reports = true;
            report({});
            break;
        }
        EXPECT_EQ(core->limit(), 1);
        EXPECT_EQ(started.size(), before);
        EXPECT_LE(core->running() + grants("r1"), 1);
        if (!reports && why != end::no_second_report) {
            EXPECT_EQ(grants("r1"), 0);
            advance(milliseconds{1'980});
            EXPECT_EQ(grants("r1"), 0) << "a pause as after any loss";
            advance(milliseconds{20});
            EXPECT_LE(core->running() + grants("r1"), 1);
        }
    }
}

// Guards against a request that a dead endpoint can't take and that circulates between router and agent, and against
// one that is lost because its id counts as admitted though it did not run.
TEST_F(agent_cold, a_request_that_did_not_start_is_rejected_as_not_run_and_may_come_again) {
    start_agent();
    warm();
    link("r1");
    ask("r1", "team", 2);
    const auto it = make("r1", pop("r1"));
    receive("r1", it);
    take(core->run_ended(it.id, run_end::not_started, 0, now));
    EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
    EXPECT_TRUE(messages<finish>("r1").empty());
    EXPECT_EQ(core->running(), 0);
    advance(seconds{4});
    auto again = it;
    again.grant = held[host_id{"r1"}].back();
    receive("r1", again);
    ASSERT_EQ(started.size(), 2);
    {
        SCOPED_TRACE("an endpoint that refuses gets a pause");
        take(core->run_ended(it.id, run_end::refused, 0, now));
        give_back("r1");
        ask("r1", "team", 1);
        EXPECT_EQ(grants("r1"), 0);
        advance(milliseconds{200});
        EXPECT_EQ(grants("r1"), 1);
    }
}

} // namespace
} // namespace dandelionbay
