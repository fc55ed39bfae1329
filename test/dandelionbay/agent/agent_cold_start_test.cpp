#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_cold_start : public agent_harness {
protected:
    // Starts an agent whose endpoint is at its full limit and has granted all slots to one router.
    void start_with_all_grants() {
        start_agent();
        ramp_up_fully();
        ASSERT_EQ(core->limit(), 8);
        link("r1");
        send_demand("r1", "team", 8);
        ASSERT_EQ(grant_count("r1"), 8);
    }
};

// Guards against a cold endpoint that receives one request from each router, or one more after each restart (R3).
TEST_F(agent_cold_start, a_cold_endpoint_runs_one_request_through_restarts_of_routers_and_agent) {
    start_agent();
    for (const char* const router : {"r1", "r2", "r3", "r4"}) {
        link(router);
        send_demand(router, "team", 5);
    }
    report({.process = "p1", .cold = true});
    const auto outstanding = [&] {
        return grant_count("r1") + grant_count("r2") + grant_count("r3") + grant_count("r4");
    };
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
        if (grant_count(router) > 0) {
            id = submit_one(router);
        }
    }
    send_demand("r1", "team", 5);
    {
        SCOPED_TRACE("the agent restarts while the endpoint still runs the request");
        start_agent(2);
        for (const char* const router : {"r1", "r2", "r3", "r4"}) {
            link(router, 3);
            send_demand(router, "team", 5);
        }
        EXPECT_EQ(outstanding(), 0) << "before the first report it is unknown what runs";
        report({.process = "p1", .cold = true, .running = 1});
        EXPECT_EQ(outstanding(), 0);
        report({.process = "p1", .cold = true, .running = 0});
        EXPECT_EQ(outstanding(), 1);
    }
}

// Guards against an agent that never issues grants because its endpoint sends no load reports.
TEST_F(agent_cold_start, an_endpoint_without_reports_gets_its_cold_limit_after_a_second) {
    start_agent();
    link("r1");
    send_demand("r1", "team", 5);
    advance(milliseconds{980});
    EXPECT_EQ(grant_count("r1"), 0);
    EXPECT_LE(core->next_deadline(), now + milliseconds{20});
    advance(milliseconds{40});
    EXPECT_EQ(grant_count("r1"), 1);
}

// Guards against full load for an endpoint that became cold without reporting it.
TEST_F(agent_cold_start, late_first_tokens_and_new_processes_reset_the_limit) {
    ASSERT_NO_FATAL_FAILURE(start_with_all_grants());
    const auto id = submit_one("r1");
    advance(milliseconds{2'000});
    EXPECT_EQ(core->limit(), 8);
    advance(milliseconds{20});
    {
        SCOPED_TRACE("no first token for four times the expected time");
        EXPECT_EQ(core->limit(), 1);
        EXPECT_EQ(recalled_grants[host_id{"r1"}].size(), 7);
        submit_one("r1");
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_cold) << "the grant was issued before the reset";
        EXPECT_EQ(started_runs.size(), 1 + sequence - 2) << "the request did not reach the endpoint";
    }
    {
        SCOPED_TRACE("answers from before the reset do not raise the limit");
        complete(id);
        EXPECT_EQ(core->limit(), 1);
    }
    ramp_up_fully();
    ASSERT_EQ(core->limit(), 8);
    {
        SCOPED_TRACE("a restart without a cold report");
        report_warm("p2");
        EXPECT_EQ(core->limit(), 1);
    }
    ramp_up_fully();
    {
        SCOPED_TRACE("a report that the endpoint is cold");
        report({.process = "p1", .cold = true});
        EXPECT_EQ(core->limit(), 1);
    }
    {
        SCOPED_TRACE("an endpoint that does not answer gets no requests until it reports or the pause ends");
        ramp_up_fully();
        send_demand("r1", "team", 8);
        perform(core->endpoint_lost(now));
        EXPECT_EQ(core->limit(), 1);
        submit_one("r1");
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        unlink("r1");
        link("r1");
        send_demand("r1", "team", 8);
        advance(milliseconds{1'980});
        EXPECT_EQ(grant_count("r1"), 0);
        advance(milliseconds{20});
        EXPECT_EQ(grant_count("r1"), 1);
    }
}

// Guards against full load for an endpoint whose process was replaced while it was idle, before its next load report.
// Without running calls no broken connection reveals the end of the process.
TEST_F(agent_cold_start, an_idle_endpoint_is_checked_before_work_starts_at_it) {
    ASSERT_NO_FATAL_FAILURE(start_with_all_grants());
    const auto before = started_runs.size();
    const auto checks_before = check_count;
    advance(milliseconds{60});
    is_endpoint_answering = false;
    const auto first = submit_one("r1");
    const auto second = submit_one("r1");
    const auto third = submit_one("r1");
    {
        SCOPED_TRACE("no run starts before the report, and one check covers all submissions");
        EXPECT_EQ(started_runs.size(), before);
        EXPECT_EQ(check_count, checks_before + 1);
        EXPECT_FALSE(core->idle());
    }
    {
        SCOPED_TRACE("a cancelled submission does not start later");
        receive("r1", cancel{third});
    }
    {
        SCOPED_TRACE("a new process is cold: one request starts, the other is rejected");
        report({.process = "p2", .cold = true});
        ASSERT_EQ(started_runs.size(), before + 1);
        EXPECT_EQ(started_runs.back().id, first);
        ASSERT_EQ(messages<rejected>("r1").size(), 1);
        EXPECT_EQ(messages<rejected>("r1").back().id, second);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_cold);
    }
    {
        SCOPED_TRACE("no check while a call runs, because its connection breaks with the process");
        send_demand("r1", "team", 8);
        advance(milliseconds{200});
        EXPECT_EQ(check_count, checks_before + 1);
    }
    {
        SCOPED_TRACE("a call whose connection broke counts as a run until the cause is known");
        send_demand("r1", "team", 8);
        perform(core->run_broke(first));
        submit_one("r1");
        EXPECT_EQ(check_count, checks_before + 2);
        EXPECT_EQ(started_runs.size(), before + 1);
        report({.process = "p2", .cold = true});
        EXPECT_EQ(started_runs.size(), before + 1);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_cold);
    }
    complete(first);
    is_endpoint_answering = true;
    ramp_up_fully("p2");
    is_endpoint_answering = false;
    link("r1", 2);
    send_demand("r1", "team", 8);
    advance(milliseconds{60});
    {
        SCOPED_TRACE("a submission is rejected as not run if the endpoint does not answer the check");
        const auto checks_after = check_count;
        const auto last = submit_one("r1");
        EXPECT_EQ(check_count, checks_after + 1);
        perform(core->endpoint_lost(now));
        EXPECT_EQ(messages<rejected>("r1").back().id, last);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        EXPECT_TRUE(core->idle());
    }
}

// Guards against reducing the limit of a healthy endpoint because one load report is late.
TEST_F(agent_cold_start, a_late_report_alone_keeps_the_limit) {
    ASSERT_NO_FATAL_FAILURE(start_with_all_grants());
    const auto id = submit_one("r1");
    perform(core->run_data(id, "token", 1, now));
    {
        SCOPED_TRACE("a run that keeps sending tokens: nothing changes");
        advance(milliseconds{980});
        perform(core->run_data(id, "token", 1, now));
        advance(milliseconds{520});
        perform(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        EXPECT_TRUE(recalled_grants[host_id{"r1"}].empty());
        const auto before = started_runs.size();
        const auto other = submit_one("r1");
        EXPECT_EQ(started_runs.size(), before + 1);
        complete(other);
        return_grants("r1");
        send_demand("r1", "team", 7);
        ASSERT_EQ(grant_count("r1"), 7);
    }
    {
        SCOPED_TRACE("no contact: no new requests until the next token, which restores the full limit");
        advance(milliseconds{1'500});
        perform(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(recalled_grants[host_id{"r1"}].size(), 7);
        submit_one("r1");
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        return_grants("r1");
        send_demand("r1", "team", 7);
        advance(milliseconds{500});
        EXPECT_EQ(grant_count("r1"), 0);
        perform(core->run_data(id, "token", 1, now));
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(grant_count("r1"), 7);
    }
    {
        SCOPED_TRACE("no contact until a report of the same process");
        advance(milliseconds{1'500});
        perform(core->report_timed_out(now));
        return_grants("r1");
        send_demand("r1", "team", 7);
        advance(milliseconds{500});
        EXPECT_EQ(grant_count("r1"), 0);
        report_warm();
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(grant_count("r1"), 7);
    }
    {
        SCOPED_TRACE("each silence is timed from its own start");
        advance(milliseconds{1'500});
        perform(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        advance(milliseconds{500});
        report_warm();
        EXPECT_EQ(core->limit(), 8);
    }
    EXPECT_EQ(metrics.total("endpoint_lost_total"), 0);
}

// Guards against reducing the limit of an idle endpoint because its answer to a check is late, and against starting a
// submission without that answer.
TEST_F(agent_cold_start, a_late_check_starts_nothing_and_keeps_the_limit) {
    start_agent();
    ramp_up_fully();
    link("r1");
    send_demand("r1", "team", 8);
    is_endpoint_answering = false;
    advance(milliseconds{60});
    const auto before = started_runs.size();
    const auto id = submit_one("r1");
    advance(milliseconds{1'000});
    perform(core->report_timed_out(now));
    EXPECT_EQ(started_runs.size(), before);
    ASSERT_EQ(messages<rejected>("r1").size(), 1);
    EXPECT_EQ(messages<rejected>("r1").back().id, id);
    EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
    EXPECT_EQ(core->limit(), 8);
    return_grants("r1");
    send_demand("r1", "team", 8);
    EXPECT_EQ(grant_count("r1"), 0);
    report_warm();
    EXPECT_EQ(grant_count("r1"), 8);
}

// Guards against full load for an endpoint that was lost, or was replaced by a cold process, during a silence.
TEST_F(agent_cold_start, a_silence_that_lasts_or_ends_with_another_process_resets_the_limit) {
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
        ramp_up_fully(why == end::no_name ? "" : "p1");
        ASSERT_EQ(core->limit(), 8);
        link("r1");
        send_demand("r1", "team", 8);
        const auto id = submit_one("r1");
        perform(core->run_data(id, "token", 1, now)); // A late first token alone would reduce the limit.
        advance(milliseconds{1'500});
        perform(core->report_timed_out(now));
        EXPECT_EQ(core->limit(), 8);
        return_grants("r1");
        send_demand("r1", "team", 8);
        const auto before = started_runs.size();
        advance(milliseconds{1'000});
        EXPECT_EQ(core->limit(), 8);
        EXPECT_EQ(grant_count("r1"), 0);
        bool reports = false;
        switch (why) {
        case end::second_late_report:
            perform(core->report_timed_out(now));
            break;
        case end::no_second_report:
            advance(milliseconds{1'000});
            break;
        case end::refused_connection:
            perform(core->endpoint_lost(now));
            break;
        case end::refused_run:
            perform(core->run_ended(id, run_end::not_started, 0, now));
            break;
        case end::crash:
            perform(core->run_ended(id, run_end::crashed, 0, now));
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
        EXPECT_EQ(started_runs.size(), before);
        EXPECT_LE(core->running() + grant_count("r1"), 1);
        if (!reports && why != end::no_second_report) {
            EXPECT_EQ(grant_count("r1"), 0);
            advance(milliseconds{1'980});
            EXPECT_EQ(grant_count("r1"), 0) << "the same pause as after other losses";
            advance(milliseconds{20});
            EXPECT_LE(core->running() + grant_count("r1"), 1);
        }
    }
}

// Guards against a request that circulates between a router and the agent of a dead endpoint, and against refusing a
// request as a duplicate although it did not run.
TEST_F(agent_cold_start, a_request_that_did_not_start_is_rejected_as_not_run_and_may_be_resubmitted) {
    start_agent();
    report_warm();
    link("r1");
    send_demand("r1", "team", 2);
    const auto it = make_submission("r1", take_grant("r1"));
    receive("r1", it);
    perform(core->run_ended(it.id, run_end::not_started, 0, now));
    EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
    EXPECT_TRUE(messages<finish>("r1").empty());
    EXPECT_EQ(core->running(), 0);
    advance(seconds{4});
    auto again = it;
    again.grant = held_grants[host_id{"r1"}].back();
    receive("r1", again);
    ASSERT_EQ(started_runs.size(), 2);
    {
        SCOPED_TRACE("grants pause after the endpoint refuses a request");
        perform(core->run_ended(it.id, run_end::refused, 0, now));
        return_grants("r1");
        send_demand("r1", "team", 1);
        EXPECT_EQ(grant_count("r1"), 0);
        advance(milliseconds{200});
        EXPECT_EQ(grant_count("r1"), 1);
    }
}

} // namespace
} // namespace dandelionbay
