#include <gtest/gtest.h>

#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

// Guards against an answer that is wrong, duplicated or truncated when its messages are misdirected, late, repeated or
// incomplete.
TEST(router_answer, chunks_in_any_state_give_the_exact_answer_or_an_error) {
    router_fixture it;
    const auto work = it.submit_request(chat(team(0), 10), 1);
    const auto other = it.submit_request(chat(team(1), 10), 2);
    {
        SCOPED_TRACE("a chunk before the head makes the router request the head");
        it.receive(chunk{work.id, 0, "ab", 1});
        EXPECT_EQ(it.sent<resume>().back(), (resume{work.id, 0, true}));
    }
    it.receive(head{work.id, 200, {}});
    it.receive(head{work.id, 200, {}});
    it.receive(chunk{work.id, 0, "ab", 1});
    {
        SCOPED_TRACE("repeated and overlapping chunks");
        it.receive(chunk{work.id, 0, "ab", 1});
        it.receive(chunk{work.id, 1, "bcd", 1});
        EXPECT_EQ(it.text(work.id), "abcd");
        EXPECT_EQ(it.metrics.get("duplicate_messages_total", "head"), 1);
        EXPECT_EQ(it.metrics.get("duplicate_messages_total", "chunk"), 1);
    }
    {
        SCOPED_TRACE("a chunk is missing");
        it.advance(milliseconds{600});
        it.receive(chunk{work.id, 6, "gh", 1});
        EXPECT_EQ(it.sent<resume>().back(), (resume{work.id, 4, false}));
        EXPECT_EQ(it.text(work.id), "abcd");
    }
    {
        SCOPED_TRACE("misdirected answers: another agent, another router, an earlier incarnation");
        it.receive(chunk{work.id, 4, "XX", 1}, 1);
        it.record(it.core.link_up(agent_hello(1), it.now));
        it.receive(chunk{work.id, 4, "XX", 1}, 1);
        it.receive(chunk{request_id{host("router", 9), 1, work.id.sequence}, 4, "XX", 1});
        it.receive(chunk{request_id{host("router", 0), 0, work.id.sequence}, 4, "XX", 1});
        EXPECT_EQ(it.metrics.total("foreign_messages_total"), 4);
    }
    {
        SCOPED_TRACE("the end is received before the last bytes");
        it.receive(finish{work.id, result_code::ok, executed::yes, 8, 10, 4});
        EXPECT_TRUE(it.ends().empty());
        it.receive(chunk{work.id, 4, "efgh", 1});
        ASSERT_EQ(it.ends().size(), 1U);
        EXPECT_EQ(it.ends()[0].code, result_code::ok);
        EXPECT_EQ(it.text(work.id), "abcdefgh");
        it.receive(finish{work.id, result_code::ok, executed::yes, 8, 10, 4});
        EXPECT_EQ(it.metrics.get("late_messages_total", "finish"), 1);
    }
    {
        SCOPED_TRACE("a truncated answer is not reported as complete");
        it.receive(head{other.id, 200, {}});
        it.receive(chunk{other.id, 0, "abc", 1});
        it.receive(finish{other.id, result_code::ok, executed::yes, 5, 10, 4});
        it.advance(seconds{6});
        ASSERT_EQ(it.ends().size(), 2U);
        EXPECT_EQ(it.ends()[1].code, result_code::answer_incomplete);
        EXPECT_EQ(it.ends()[1].state, executed::yes);
    }
}

// Guards against a successful end of an answer with more bytes than the announced total, or with two different totals.
TEST(router_answer, an_answer_with_a_wrong_length_ends_with_an_error) {
    for (const auto& [total, text] : {std::pair{2U, "abcdef"}, std::pair{9U, "abcdef"}}) {
        SCOPED_TRACE(total);
        router_fixture it;
        const auto work = it.submit_request(order(team(0)), 1);
        it.receive(head{work.id, 200, {}});
        if (total == 2U) {
            it.receive(chunk{work.id, 0, text, 1});
        }
        it.receive(finish{work.id, result_code::ok, executed::yes, total, 0, 0});
        if (total == 9U) {
            it.receive(finish{work.id, result_code::ok, executed::yes, 5, 0, 0});
        }
        ASSERT_EQ(it.ends().size(), 1U);
        EXPECT_EQ(it.ends()[0].code, result_code::answer_incomplete);
        EXPECT_EQ(it.sent<cancel>().size(), 1U);
    }
}

// Guards against callers in an isolated part of the fleet that wait until the queue timeout although no reachable agent
// admits requests (R4, R6), and against runs that are aborted by the isolation.
TEST(router_freshness, an_isolated_router_refuses_requests_and_finishes_runs) {
    router_fixture it;
    const auto running = it.submit_request(chat(team(0), 10), 1);
    const auto waiting = it.accept(chat(team(1), 10));
    {
        SCOPED_TRACE("waiting requests are refused as not executed, with a retry delay");
        it.record(it.core.set_fresh(false, it.now));
        ASSERT_EQ(it.ends().size(), 1U);
        EXPECT_EQ(it.ends()[0].id, waiting);
        EXPECT_EQ(it.ends()[0].code, result_code::configuration_stale);
        EXPECT_EQ(it.ends()[0].state, executed::no);
        EXPECT_GT(it.ends()[0].retry_after, duration{});
    }
    {
        SCOPED_TRACE("a new request is refused in the same event");
        const auto late = it.accept(chat(team(2), 10));
        ASSERT_EQ(it.ends().size(), 2U);
        EXPECT_EQ(it.ends()[1].id, late);
        EXPECT_EQ(it.ends()[1].code, result_code::configuration_stale);
        EXPECT_EQ(it.metrics.get("refused_total", "configuration_stale"), 1);
    }
    {
        SCOPED_TRACE("a running request receives its complete answer");
        it.answer(running.id, "whole");
        ASSERT_EQ(it.ends().size(), 3U);
        EXPECT_EQ(it.ends()[2].code, result_code::ok);
        EXPECT_EQ(it.text(running.id), "whole");
    }
    {
        SCOPED_TRACE("requests are accepted when the configuration is fresh again");
        it.record(it.core.set_fresh(true, it.now));
        EXPECT_NE(it.submit_request(chat(team(1), 10), 2).id, running.id);
        EXPECT_EQ(it.ends().size(), 3U);
    }
}

// Guards against a wrong outcome when an agent fails at any step, and against a second run of a non-idempotent request.
TEST(router_failure, an_agent_fails_at_each_step) {
    enum class step { granted, submitted, head_received, data_received };
    for (const bool is_idempotent : {true, false}) {
        for (const auto at : {step::granted, step::submitted, step::head_received, step::data_received}) {
            SCOPED_TRACE(testing::Message() << "idempotent " << is_idempotent << " step " << static_cast<int>(at));
            router_fixture it;
            const auto request = is_idempotent ? chat(team(0), 10) : order(team(0));
            if (at == step::granted) {
                it.send_grant(1, true);
                it.record(it.core.link_down(host("agent", 0), it.now));
                std::ignore = it.accept(request);
                EXPECT_TRUE(it.sent<submit>().empty()) << "grants of a lost agent are not used";
                it.advance(seconds{31});
                EXPECT_EQ(it.ends().back().state, executed::no);
                continue;
            }
            const auto work = it.submit_request(request, 1);
            if (at != step::submitted) {
                it.receive(head{work.id, 200, {}});
            }
            if (at == step::data_received) {
                it.receive(chunk{work.id, 0, "abc", 1});
            }
            it.record(it.core.link_down(host("agent", 0), it.now));
            it.advance(seconds{1});
            EXPECT_TRUE(it.ends().empty()) << "the link may be restored";
            it.record(it.core.link_up(agent_hello(0, 2), it.now));
            if (is_idempotent && at == step::submitted) {
                it.advance(milliseconds{1'200});
                it.send_grant(2);
                ASSERT_EQ(it.sent<submit>().size(), 2U) << "the request is retried";
                EXPECT_NE(it.sent<submit>()[1].id, work.id);
                it.answer(it.sent<submit>()[1].id, "again");
                EXPECT_EQ(it.ends().back().code, result_code::ok);
                EXPECT_EQ(it.text(work.id), "again");
                continue;
            }
            ASSERT_EQ(it.ends().size(), 1U);
            EXPECT_EQ(it.ends()[0].code,
                      at == step::submitted ? result_code::outcome_unknown : result_code::answer_incomplete);
            EXPECT_EQ(it.ends()[0].state, at == step::submitted ? executed::unknown : executed::yes);
            it.send_grant(2);
            EXPECT_EQ(it.sent<submit>().size(), 1U);
        }
    }
}

// Guards against an answer that is lost with a broken link, and against a caller that waits forever for a link that is
// not restored.
TEST(router_failure, an_answer_resumes_after_a_link_breaks) {
    router_fixture it;
    const auto work = it.submit_request(order(team(0)), 1);
    it.receive(head{work.id, 200, {}});
    it.receive(chunk{work.id, 0, "abc", 1});
    it.record(it.core.link_down(host("agent", 0), it.now));
    it.advance(seconds{2});
    it.record(it.core.link_up(agent_hello(0), it.now));
    EXPECT_EQ(it.sent<resume>().back(), (resume{work.id, 3, false}));
    it.receive(chunk{work.id, 3, "def", 1});
    it.receive(finish{work.id, result_code::ok, executed::yes, 6, 0, 0});
    EXPECT_EQ(it.text(work.id), "abcdef");
    EXPECT_EQ(it.ends().back().code, result_code::ok);
    {
        SCOPED_TRACE("the agent can't resume the answer");
        const auto next = it.submit_request(order(team(0)), 2);
        it.record(it.core.link_down(host("agent", 0), it.now));
        it.record(it.core.link_up(agent_hello(0), it.now));
        it.receive(finish{next.id, result_code::resume_failed, executed::unknown, 0, 0, 0});
        EXPECT_EQ(it.ends().back().code, result_code::resume_failed);
        EXPECT_EQ(it.ends().back().state, executed::unknown);
        EXPECT_EQ(it.ends().back().retry_after, duration::zero())
            << "a non-idempotent request that may have run must not be retried";
    }
    {
        SCOPED_TRACE("the agent never received the submission");
        const auto next = it.submit_request(order(team(0)), 3);
        it.record(it.core.link_down(host("agent", 0), it.now));
        it.record(it.core.link_up(agent_hello(0), it.now));
        it.receive(rejected{next.id, next.grant, result_code::grant_unknown});
        it.send_grant(4);
        it.answer(it.sent<submit>().back().id, "x");
        EXPECT_EQ(it.ends().back().code, result_code::ok);
    }
    {
        SCOPED_TRACE("the link stays down");
        std::ignore = it.submit_request(order(team(0)), 5);
        it.record(it.core.link_down(host("agent", 0), it.now));
        it.advance(seconds{7});
        EXPECT_EQ(it.ends().back().code, result_code::outcome_unknown);
        EXPECT_EQ(it.ends().back().state, executed::unknown);
        EXPECT_TRUE(it.core.idle());
    }
}

// Guards against runs for disconnected callers, against a non-idempotent run that is cancelled, and against events
// after the last one.
TEST(router_failure, a_caller_disconnects_at_each_step) {
    router_fixture it;
    {
        SCOPED_TRACE("waiting");
        const auto id = it.accept(chat(team(0), 10));
        it.record(it.core.caller_gone(id, it.now));
        EXPECT_EQ(it.ends().back().state, executed::no);
        it.send_grant(1);
        EXPECT_TRUE(it.sent<submit>().empty());
        EXPECT_EQ(it.sent<returned>().size(), 1U) << "the grant is not lost";
    }
    {
        SCOPED_TRACE("running");
        const auto work = it.submit_request(chat(team(0), 10), 2);
        it.record(it.core.caller_gone(work.id, it.now));
        EXPECT_EQ(it.sent<cancel>().back().id, work.id);
        EXPECT_EQ(it.ends().back().state, executed::unknown);
        it.answer(work.id, "late");
        EXPECT_EQ(it.text(work.id), "");
    }
    {
        SCOPED_TRACE("streaming");
        const auto work = it.submit_request(chat(team(0), 10), 3);
        it.receive(head{work.id, 200, {}});
        it.record(it.core.caller_gone(work.id, it.now));
        EXPECT_EQ(it.ends().back().state, executed::yes);
    }
    {
        SCOPED_TRACE("a non-idempotent request is completed, so that its claim receives the outcome");
        const auto cancels = it.sent<cancel>().size();
        const auto work = it.submit_request(order(team(0)), 4);
        it.record(it.core.caller_gone(work.id, it.now));
        EXPECT_EQ(it.sent<cancel>().size(), cancels);
        it.answer(work.id, "booked");
        EXPECT_EQ(it.ends().back(), (answer_end{work.id, result_code::ok, executed::yes, {}}));
        EXPECT_EQ(it.text(work.id), "booked");
    }
    {
        SCOPED_TRACE("the id of an ended request is no longer known");
        const auto count = it.ends().size();
        it.record(it.core.caller_gone(request_id{host("router", 0), 1, 1}, it.now));
        EXPECT_EQ(it.ends().size(), count);
        EXPECT_TRUE(it.core.idle());
    }
}

// Guards against retries that multiply the load while every run fails, and against a caller that waits for a retry that
// is not made.
TEST(router_failure, retries_stay_within_the_budget_when_every_run_fails) {
    router_fixture it;
    std::uint64_t next = 1;
    constexpr int requests = 400;
    for (int n = 0; n < requests; ++n) {
        std::ignore = it.accept(chat(team(static_cast<std::size_t>(n) % 4), 10));
        for (int round = 0; round < 4; ++round) {
            it.send_grant(next++);
            it.advance(milliseconds{20});
        }
        std::set<request_id> done;
        for (const auto& work : it.sent<submit>()) {
            it.receive(finish{work.id, result_code::endpoint_failed, executed::yes, 0, 0, 0});
        }
    }
    it.advance(seconds{40});
    const auto runs = it.sent<submit>().size();
    EXPECT_GT(runs, requests * 1.05);
    EXPECT_LE(runs, requests * 1.1 + 4);
    EXPECT_EQ(it.ends().size(), static_cast<std::size_t>(requests));
    EXPECT_GT(it.metrics.get("failed_total", "retry_budget_exhausted"), 0);
    for (const auto& end : it.ends()) {
        EXPECT_EQ(end.state, executed::yes);
    }
}

// Guards against a run whose end is lost, and against accepting that an agent denies a run that it started.
TEST(router_failure, the_run_timeout_ends_a_run_that_the_agent_does_not_end) {
    auto config = make_config(2, 1);
    config->services[0].run_timeout_ms = 1'000;
    router_fixture it{config};
    const auto work = it.submit_request(chat(team(0), 10), 1);
    EXPECT_EQ(work.timeout_ms, 1'000U);
    it.advance(seconds{4});
    ASSERT_EQ(it.ends().size(), 1U);
    EXPECT_EQ(it.ends()[0].code, result_code::deadline_exceeded);
    EXPECT_EQ(it.ends()[0].state, executed::unknown);
    EXPECT_EQ(it.sent<cancel>().back().id, work.id);
}

// Guards against refused requests of other teams while one team sends a thousand times its share.
TEST(router_failure, excess_requests_of_a_team_are_refused_with_a_retry_delay) {
    auto config = make_config(4, 1);
    config->services[0].max_queued = 64;
    config->services[0].max_queued_per_team = 64;
    router_fixture it{config};
    for (int n = 0; n < 10; ++n) {
        for (int extra = 0; extra < 1'000; ++extra) {
            std::ignore = it.accept(chat(team(0), 10));
        }
        std::ignore = it.accept(chat(team(1), 10));
    }
    std::size_t others = 0;
    for (const auto& end : it.ends()) {
        EXPECT_EQ(end.code, result_code::team_queue_full);
        EXPECT_EQ(end.state, executed::no);
        EXPECT_GE(end.retry_after, seconds{1});
        others += end.id.sequence % 1'001 == 0 ? 1 : 0;
    }
    EXPECT_EQ(others, 0U) << "only requests of the overloading team are refused";
    EXPECT_EQ(it.ends().size(), 10'000U + 10U - 64U);
    {
        SCOPED_TRACE("a pool without an endpoint in service, a team without access and an unknown service");
        auto next = std::make_shared<fleet_config>(*config);
        next->zones_out = selector{};
        it.record(it.core.apply(next, it.now));
        std::ignore = it.accept(chat(team(2), 10));
        EXPECT_EQ(it.ends().back().code, result_code::no_endpoint_in_service);
        next = std::make_shared<fleet_config>(*config);
        next->access.push_back(access_rule{selector::parse("name=t1").value(), {}});
        it.record(it.core.apply(next, it.now));
        std::ignore = it.accept(chat(team(2), 10));
        EXPECT_EQ(it.ends().back().code, result_code::not_permitted);
        auto unknown = chat(team(1), 10);
        unknown.service = service_id{"none"};
        std::ignore = it.accept(unknown);
        EXPECT_EQ(it.ends().back().code, result_code::unknown_service);
    }
    {
        SCOPED_TRACE("the new rule applies to waiting requests: team 0 is not served");
        it.send_grant(1);
        EXPECT_EQ(it.sent<submit>().back().team, team(1));
    }
}

} // namespace
} // namespace dandelionbay
