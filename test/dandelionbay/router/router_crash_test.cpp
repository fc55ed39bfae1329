#include <gtest/gtest.h>

#include "dandelionbay/limit/crash_registry.hpp"
#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

// Guards against a request that crashes one endpoint after the other, and against a slot that spins on a suspect.
TEST(router_crash, a_crashing_request_is_submitted_with_its_suspicion_and_then_refused) {
    router_fixture it;
    it.record(it.core.set_exchange_peers({host("router", 1), host("router", 0)}, it.now));
    it.record(it.core.link_up(router_hello(1), it.now));
    const auto work = it.submit_request(chat(team(0), 10), 1);
    it.receive(suspicion{work.fingerprint, {11}, {}});
    EXPECT_EQ(it.sent<suspicion>().size(), 1U) << "passed on to the other router";
    it.receive(finish{work.id, result_code::endpoint_failed, executed::yes, 0, 0, 0});
    {
        SCOPED_TRACE("it waits for news of other runs of the same request");
        it.advance(seconds{1});
        it.send_grant(100);
        EXPECT_EQ(it.sent<submit>().size(), 1U);
        it.advance(milliseconds{200});
    }
    EXPECT_TRUE(it.sent<demand>().back().teams.at(0).suspects_only);
    {
        SCOPED_TRACE("the agent already runs a suspect; another request goes past it");
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
        SCOPED_TRACE("a second crash, reported by the other router: refused while it waits and from then on");
        it.record(it.core.receive(host("router", 1), suspicion{work.fingerprint, {12}, {}}, it.now));
        EXPECT_EQ(it.ends().back().code, result_code::crashes_endpoints);
        EXPECT_EQ(it.ends().back().state, executed::yes);
        EXPECT_EQ(it.ends().back().retry_after, duration::zero());
        const auto id = it.accept(chat(team(0), 10));
        EXPECT_EQ(it.ends().back(), (answer_end{id, result_code::crashes_endpoints, executed::no, {}}));
    }
    {
        SCOPED_TRACE("cleared by a normal end elsewhere");
        it.record(it.core.receive(host("router", 1), suspicion{work.fingerprint, {}, {11, 12}}, it.now));
        const auto next = it.submit_request(chat(team(0), 10), 5);
        EXPECT_EQ(next.suspicion, 0U);
        it.answer(next.id, "x");
    }
}

// Guards against a request that crashes endpoint and agent together, so that no agent reports the crash, and against
// one crash that counts twice.
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
    ASSERT_EQ(it.sent<submit>().size(), 2U) << "one crash, reported and seen, counts once";
    EXPECT_EQ(it.sent<submit>()[1].suspicion, 1U);
    it.record(it.core.link_up(agent_hello(0, 3), it.now));
    ASSERT_EQ(it.ends().size(), 1U);
    EXPECT_EQ(it.ends()[0].code, result_code::crashes_endpoints);
    EXPECT_EQ(it.ends()[0].state, executed::unknown);
    EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{work.fingerprint, {crash(1, 1), crash(2, 0)}, {}}));
    {
        SCOPED_TRACE("the agent does not come back; equal requests that are lost together count once");
        auto other = chat(team(0), 10);
        other.fingerprint = 8;
        std::ignore = it.submit_request(other, 3);
        std::ignore = it.submit_request(other, 4);
        it.record(it.core.link_down(host("agent", 0), it.now));
        it.advance(seconds{7});
        EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{8, {crash(3, 0)}, {}}));
    }
}

// Guards against a crash elsewhere that hides the loss of an agent at the same moment.
TEST(router_crash, the_loss_of_an_agent_counts_beside_a_crash_elsewhere) {
    router_fixture it;
    const auto work = it.submit_request(chat(team(0), 10), 1);
    it.record(it.core.receive(host("router", 1), suspicion{work.fingerprint, {11}, {}}, it.now));
    it.record(it.core.link_up(agent_hello(0, 2), it.now));
    ASSERT_EQ(it.ends().size(), 1U);
    EXPECT_EQ(it.ends()[0].code, result_code::crashes_endpoints);
}

// Guards against agents that run a refused request for a router that was paused while it was refused.
TEST(router_crash, agents_are_told_of_refused_requests_only) {
    router_fixture it;
    it.record(it.core.receive(host("router", 1), suspicion{42, {11}, {}}, it.now));
    EXPECT_TRUE(it.sent<suspicion>().empty()) << "one crash is not worth the control traffic";
    it.record(it.core.receive(host("router", 1), suspicion{43, {11}, {}}, it.now));
    it.record(it.core.receive(host("router", 1), suspicion{42, {12}, {}}, it.now));
    const suspicion refused{42, {11, 12}, {}};
    EXPECT_EQ(it.sent<suspicion>(), std::vector{refused});
    it.record(it.core.receive(host("router", 1), suspicion{42, {13}, {}}, it.now));
    EXPECT_EQ(it.sent<suspicion>().size(), 1U) << "they reject it already";
    {
        SCOPED_TRACE("an agent that comes later");
        it.record(it.core.link_up(agent_hello(1), it.now));
        ASSERT_EQ(it.sent<suspicion>().size(), 2U);
        EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{42, {11, 12, 13}, {}}));
    }
    {
        SCOPED_TRACE("both are told when it is not refused any more");
        it.record(it.core.receive(host("router", 1), suspicion{42, {}, {11, 12}}, it.now));
        EXPECT_EQ(it.sent<suspicion>().size(), 4U);
        EXPECT_EQ(it.sent<suspicion>().back(), (suspicion{42, {13}, {11, 12}}));
    }
}

} // namespace
} // namespace dandelionbay
