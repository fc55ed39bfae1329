#include <gtest/gtest.h>

#include "dandelionbay/limit/crash_registry.hpp"
#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

// Guards against a request that crashes one endpoint after another, and against a slot to which a suspected request is
// submitted and rejected repeatedly.
TEST(router_crash, a_crashing_request_is_submitted_with_its_suspicion_and_then_refused) {
    router_fixture it;
    it.record(it.core.set_exchange_peers({host("router", 1), host("router", 0)}, it.now));
    it.record(it.core.link_up(router_hello(1), it.now));
    const auto work = it.submit_request(chat(team(0), 10), 1);
    it.receive(suspicion{work.fingerprint, {11}, {}});
    EXPECT_EQ(it.sent<suspicion>().size(), 1U) << "forwarded to the other router";
    it.receive(finish{work.id, result_code::endpoint_failed, executed::yes, 0, 0, 0});
    {
        SCOPED_TRACE("the retry is delayed until suspicions from runs of equal requests can arrive");
        it.advance(seconds{1});
        it.send_grant(100);
        EXPECT_EQ(it.sent<submit>().size(), 1U);
        it.advance(milliseconds{200});
    }
    EXPECT_TRUE(it.sent<demand>().back().teams.at(0).suspects_only);
    {
        SCOPED_TRACE("the agent already runs a suspected request; an unsuspected one is submitted first");
        it.send_grant(2);
        const auto again = it.sent<submit>().back();
        EXPECT_EQ(again.suspicion, 1U);
        EXPECT_EQ(again.crashes, (std::vector<crash_id>{11}));
        it.receive(rejected{again.id, again.grant, result_code::endpoint_unavailable});
        auto harmless = chat(team(0), 10);
        harmless.fingerprint = 8;
        std::ignore = it.accept(harmless);
        it.send_grant(3);
        EXPECT_EQ(it.sent<submit>().back().fingerprint, 8U);
        it.answer(it.sent<submit>().back().id, "fine");
        it.send_grant(4);
        EXPECT_EQ(it.sent<returned>().back().ids, (std::vector{grant_id{1, 4}}));
    }
    {
        SCOPED_TRACE("a second crash, reported by the other router: the waiting and all later requests are refused");
        it.record(it.core.receive(host("router", 1), suspicion{work.fingerprint, {12}, {}}, it.now));
        EXPECT_EQ(it.ends().back().code, result_code::crashes_endpoints);
        EXPECT_EQ(it.ends().back().state, executed::yes);
        EXPECT_EQ(it.ends().back().retry_after, duration::zero());
        const auto id = it.accept(chat(team(0), 10));
        EXPECT_EQ(it.ends().back(), (answer_end{id, result_code::crashes_endpoints, executed::no, {}}));
    }
    {
        SCOPED_TRACE("cleared by a completed run at another router");
        it.record(it.core.receive(host("router", 1), suspicion{work.fingerprint, {}, {11, 12}}, it.now));
        const auto next = it.submit_request(chat(team(0), 10), 5);
        EXPECT_EQ(next.suspicion, 0U);
        it.answer(next.id, "x");
    }
}

// Guards against a request that crashes the endpoint and its agent together, so that no agent reports the crash, and
// against a crash that is counted twice.
TEST(router_crash, the_loss_of_an_agent_counts_as_a_crash_of_its_runs) {
    router_fixture it;
    it.record(it.core.set_exchange_peers({host("router", 1)}, it.now));
    it.record(it.core.link_up(router_hello(1), it.now));
    const auto work = it.submit_request(chat(team(0), 10), 1);
    const auto crash = [](incarnation_type incarnation, std::uint16_t sequence) {
        return make_crash_id(host("agent", 0), incarnation, sequence);
    };
    it.receive(suspicion{work.fingerprint, {crash(1, 1)}, {}});
    it.record(it.core.link_up(agent_hello(0, 2), it.now));
    it.advance(milliseconds{1'200});
    it.send_grant(2);
    ASSERT_EQ(it.sent<submit>().size(), 2U) << "a crash that was reported and whose agent was lost is counted once";
    EXPECT_EQ(it.sent<submit>()[1].suspicion, 1U);
    it.record(it.core.link_up(agent_hello(0, 3), it.now));
    ASSERT_EQ(it.ends().size(), 1U);
    EXPECT_EQ(it.ends()[0].code, result_code::crashes_endpoints);
    EXPECT_EQ(it.ends()[0].state, executed::unknown);
    EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{work.fingerprint, {crash(1, 1), crash(2, 0)}, {}}));
    {
        SCOPED_TRACE("the agent does not reconnect; equal requests that are lost together count as one crash");
        auto other = chat(team(0), 10);
        other.fingerprint = 8;
        std::ignore = it.submit_request(other, 3);
        std::ignore = it.submit_request(other, 4);
        it.record(it.core.link_down(host("agent", 0), it.now));
        it.advance(seconds{7});
        EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{8, {crash(3, 0)}, {}}));
    }
}

// Guards against the loss of an agent that is not counted because a crash is reported elsewhere at the same time.
TEST(router_crash, the_loss_of_an_agent_counts_in_addition_to_a_crash_elsewhere) {
    router_fixture it;
    const auto work = it.submit_request(chat(team(0), 10), 1);
    it.record(it.core.receive(host("router", 1), suspicion{work.fingerprint, {11}, {}}, it.now));
    it.record(it.core.link_up(agent_hello(0, 2), it.now));
    ASSERT_EQ(it.ends().size(), 1U);
    EXPECT_EQ(it.ends()[0].code, result_code::crashes_endpoints);
}

// Guards against agents that run a refused request for a router that was paused when the request was refused, and
// against suspicions that are sent to agents although the request is not refused.
TEST(router_crash, only_suspicions_of_refused_requests_are_sent_to_agents) {
    router_fixture it;
    it.record(it.core.receive(host("router", 1), suspicion{42, {11}, {}}, it.now));
    EXPECT_TRUE(it.sent<suspicion>().empty()) << "a request with one crash is not refused";
    it.record(it.core.receive(host("router", 1), suspicion{43, {11}, {}}, it.now));
    it.record(it.core.receive(host("router", 1), suspicion{42, {12}, {}}, it.now));
    const suspicion refused{42, {11, 12}, {}};
    EXPECT_EQ(it.sent<suspicion>(), std::vector{refused});
    it.record(it.core.receive(host("router", 1), suspicion{42, {13}, {}}, it.now));
    EXPECT_EQ(it.sent<suspicion>().size(), 1U) << "agents already reject the request";
    {
        SCOPED_TRACE("an agent that connects later");
        it.record(it.core.link_up(agent_hello(1), it.now));
        ASSERT_EQ(it.sent<suspicion>().size(), 2U);
        EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{42, {11, 12, 13}, {}}));
    }
    {
        SCOPED_TRACE("both agents receive the suspicion when the request is no longer refused");
        it.record(it.core.receive(host("router", 1), suspicion{42, {}, {11, 12}}, it.now));
        EXPECT_EQ(it.sent<suspicion>().size(), 4U);
        EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{42, {13}, {11, 12}}));
    }
}

} // namespace
} // namespace dandelionbay
