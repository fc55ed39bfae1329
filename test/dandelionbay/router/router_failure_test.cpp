#include <gtest/gtest.h>

#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

// Guards against an answer that is wrong, doubled or cut when its messages come crossed, late, repeated or truncated.
TEST(router_answer, pieces_in_any_state_give_the_exact_answer_or_none) {
    router_fixture it;
    const auto work = it.submit_request(chat(team(0), 10), 1);
    const auto other = it.submit_request(chat(team(1), 10), 2);
    {
        SCOPED_TRACE("a piece before the head asks for the head");
        it.receive(chunk{work.id, 0, "ab", 1});
        EXPECT_EQ(it.sent<resume>().back(), (resume{work.id, 0, true}));
    }
    it.receive(head{work.id, 200, {}});
    it.receive(head{work.id, 200, {}});
    it.receive(chunk{work.id, 0, "ab", 1});
    {
        SCOPED_TRACE("repeated and overlapping pieces");
        it.receive(chunk{work.id, 0, "ab", 1});
        it.receive(chunk{work.id, 1, "bcd", 1});
        EXPECT_EQ(it.text(work.id), "abcd");
        EXPECT_EQ(it.metrics.get("duplicate_messages_total", "head"), 1);
        EXPECT_EQ(it.metrics.get("duplicate_messages_total", "chunk"), 1);
    }
    {
        SCOPED_TRACE("a piece is missing");
        it.advance(milliseconds{600});
        it.receive(chunk{work.id, 6, "gh", 1});
        EXPECT_EQ(it.sent<resume>().back(), (resume{work.id, 4, false}));
        EXPECT_EQ(it.text(work.id), "abcd");
    }
    {
        SCOPED_TRACE("crossed answers: another agent, another router, an earlier life");
        it.receive(chunk{work.id, 4, "XX", 1}, 1);
        it.record(it.core.link_up(agent_hello(1), it.now));
        it.receive(chunk{work.id, 4, "XX", 1}, 1);
        it.receive(chunk{request_id{host("router", 9), 1, work.id.sequence}, 4, "XX", 1});
        it.receive(chunk{request_id{host("router", 0), 0, work.id.sequence}, 4, "XX", 1});
        EXPECT_EQ(it.metrics.total("foreign_messages_total"), 4);
    }
    {
        SCOPED_TRACE("the end comes before the last bytes; the rest follows");
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
        SCOPED_TRACE("a truncated answer never looks complete");
        it.receive(head{other.id, 200, {}});
        it.receive(chunk{other.id, 0, "abc", 1});
        it.receive(finish{other.id, result_code::ok, executed::yes, 5, 10, 4});
        it.advance(seconds{6});
        ASSERT_EQ(it.ends().size(), 2U);
        EXPECT_EQ(it.ends()[1].code, result_code::answer_incomplete);
        EXPECT_EQ(it.ends()[1].state, executed::yes);
    }
}

// Guards against more bytes than the announced total, and against two different totals.
TEST(router_answer, an_overlong_answer_is_broken_visibly) {
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

// Guards against callers of an isolated part of the fleet who wait for the queue's time limit though no agent in reach
// admits work (R4, R6), and against running work that is cut by it.
TEST(router_freshness, an_isolated_router_refuses_at_once_and_finishes_what_runs) {
    router_fixture it;
    const auto runs = it.submit_request(chat(team(0), 10), 1);
    const auto waits = it.accept(chat(team(1), 10));
    {
        SCOPED_TRACE("what waits is refused as not run, with the time to come back");
        it.record(it.core.set_fresh(false, it.now));
        ASSERT_EQ(it.ends().size(), 1U);
        EXPECT_EQ(it.ends()[0].id, waits);
        EXPECT_EQ(it.ends()[0].code, result_code::configuration_stale);
        EXPECT_EQ(it.ends()[0].state, executed::no);
        EXPECT_GT(it.ends()[0].retry_after, duration{});
    }
    {
        SCOPED_TRACE("what comes is refused in the same event");
        const auto late = it.accept(chat(team(2), 10));
        ASSERT_EQ(it.ends().size(), 2U);
        EXPECT_EQ(it.ends()[1].id, late);
        EXPECT_EQ(it.ends()[1].code, result_code::configuration_stale);
        EXPECT_EQ(it.metrics.get("refused_total", "configuration_stale"), 1);
    }
    {
        SCOPED_TRACE("what runs gets its whole answer");
        it.answer(runs.id, "whole");
        ASSERT_EQ(it.ends().size(), 3U);
        EXPECT_EQ(it.ends()[2].code, result_code::ok);
        EXPECT_EQ(it.text(runs.id), "whole");
    }
    {
        SCOPED_TRACE("fresh again, work is taken");
        it.record(it.core.set_fresh(true, it.now));
        EXPECT_NE(it.submit_request(chat(team(1), 10), 2).id, runs.id);
        EXPECT_EQ(it.ends().size(), 3U);
    }
}

// Guards against a wrong outcome when the agent dies at any step, and against a second run of an order.
TEST(router_failure, an_agent_that_dies_at_each_step) {
    enum class step { granted, submitted, headed, streamed };
    for (const bool repeatable : {true, false}) {
        for (const auto at : {step::granted, step::submitted, step::headed, step::streamed}) {
            SCOPED_TRACE(testing::Message() << "repeatable " << repeatable << " step " << static_cast<int>(at));
            router_fixture it;
            const auto request = repeatable ? chat(team(0), 10) : order(team(0));
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
            if (at == step::streamed) {
                it.receive(chunk{work.id, 0, "abc", 1});
            }
            it.record(it.core.link_down(host("agent", 0), it.now));
            it.advance(seconds{1});
            EXPECT_TRUE(it.ends().empty()) << "the link may come back";
            it.record(it.core.link_up(agent_hello(0, 2), it.now));
            if (repeatable && at == step::submitted) {
                it.advance(milliseconds{1'200});
                it.send_grant(2);
                ASSERT_EQ(it.sent<submit>().size(), 2U) << "run again";
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

// Guards against a break of a link that costs an answer, and against one that never returns and holds its caller.
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
        SCOPED_TRACE("the agent can't resume");
        const auto next = it.submit_request(order(team(0)), 2);
        it.record(it.core.link_down(host("agent", 0), it.now));
        it.record(it.core.link_up(agent_hello(0), it.now));
        it.receive(finish{next.id, result_code::resume_failed, executed::unknown, 0, 0, 0});
        EXPECT_EQ(it.ends().back().code, result_code::resume_failed);
        EXPECT_EQ(it.ends().back().state, executed::unknown);
        EXPECT_EQ(it.ends().back().retry_after, duration::zero()) << "an order that may have run is not sent again";
    }
    {
        SCOPED_TRACE("the agent never had it");
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

// Guards against work for callers that have left, against an order that is broken off, and against events after the
// last one.
TEST(router_failure, a_caller_that_leaves_at_each_step) {
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
        SCOPED_TRACE("an order runs to its end, so that its claim gets the outcome");
        const auto cancels = it.sent<cancel>().size();
        const auto work = it.submit_request(order(team(0)), 4);
        it.record(it.core.caller_gone(work.id, it.now));
        EXPECT_EQ(it.sent<cancel>().size(), cancels);
        it.answer(work.id, "booked");
        EXPECT_EQ(it.ends().back(), (answer_end{work.id, result_code::ok, executed::yes, {}}));
        EXPECT_EQ(it.text(work.id), "booked");
    }
    {
        SCOPED_TRACE("finished, or never known");
        const auto count = it.ends().size();
        it.record(it.core.caller_gone(request_id{host("router", 0), 1, 1}, it.now));
        EXPECT_EQ(it.ends().size(), count);
        EXPECT_TRUE(it.core.idle());
    }
}

// Guards against retries that multiply the load while every run fails, and against a caller that waits for a retry
// which will not come.
TEST(router_failure, a_retry_storm_stays_within_the_budget) {
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

// Guards against a run whose end is lost, and against an agent that is believed when it denies a run it began.
TEST(router_failure, time_limits_end_what_the_agent_does_not) {
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

// Guards against refusals of other teams while one team sends a thousand times its share.
TEST(router_failure, a_flood_is_refused_with_the_time_to_come_back) {
    auto config = make_config(4, 1);
    config->services[0].max_queued = 64;
    config->services[0].max_queued_per_team = 64;
    router_fixture it{config};
    for (int n = 0; n < 10; ++n) {
        for (int many = 0; many < 1'000; ++many) {
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
    EXPECT_EQ(others, 0U) << "only the flooding team is refused";
    EXPECT_EQ(it.ends().size(), 10'000U + 10U - 64U);
    {
        SCOPED_TRACE("a team without access, an unknown service and a pool without endpoint in service");
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
        SCOPED_TRACE("the new rule holds for what waits already: team 0 is not served");
        it.send_grant(1);
        EXPECT_EQ(it.sent<submit>().back().team, team(1));
    }
}

} // namespace
} // namespace dandelionbay
