#include <gtest/gtest.h>

#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

// Guards against failures on the usual path of a request (demand, grant, submission, answer, settlement), and against
// state that remains after it.
TEST(router_path, a_request_is_granted_submitted_and_answered) {
    router_fixture it;
    const auto id = it.accept(chat(team(0), 100, 50));
    it.advance(milliseconds{20});
    {
        SCOPED_TRACE("the agent receives a demand for the waiting request");
        const auto demands = it.sent<demand>();
        ASSERT_EQ(demands.size(), 1U);
        EXPECT_EQ(demands[0].teams.size(), 1U);
        EXPECT_EQ(demands[0].teams[0].queued, 1U);
    }
    it.send_grant(1);
    const auto work = it.sent<submit>();
    ASSERT_EQ(work.size(), 1U);
    EXPECT_EQ(work[0].timeout_ms, 120'000U);
    it.answer(work[0].id, "abc");
    ASSERT_EQ(it.ends().size(), 1U);
    EXPECT_EQ(it.ends()[0], (answer_end{id, result_code::ok, executed::yes, {}}));
    EXPECT_EQ(it.text(id), "abc");
    EXPECT_TRUE(it.core.idle());
    {
        SCOPED_TRACE("the agent receives an empty demand");
        it.advance(milliseconds{20});
        EXPECT_TRUE(it.sent<demand>().back().teams.empty());
    }
}

// Guards against an additional round trip at light load, in which a spare grant is not used at once, and against the
// use of an expired grant.
TEST(router_path, a_spare_grant_is_used_at_once_until_it_expires) {
    router_fixture it;
    it.send_grant(1, true);
    it.send_grant(2, true);
    std::ignore = it.accept(chat(team(0), 100));
    EXPECT_EQ(it.sent<submit>().size(), 1U);
    it.advance(seconds{3});
    std::ignore = it.accept(chat(team(0), 100));
    EXPECT_EQ(it.sent<submit>().size(), 1U) << "the second grant has expired";
}

// Guards against slots that stay blocked by unneeded grants, and against the use of a recalled grant.
TEST(router_path, unneeded_and_recalled_grants_are_returned) {
    router_fixture it;
    it.send_grant(1);
    ASSERT_EQ(it.sent<returned>().size(), 1U);
    it.send_grant(2, true);
    EXPECT_EQ(it.sent<returned>().size(), 1U) << "a spare grant is kept";
    it.receive(recall{{grant_id{1, 2}, grant_id{1, 3}}});
    EXPECT_EQ(it.sent<returned>().back().ids, (std::vector{grant_id{1, 2}, grant_id{1, 3}}));
    std::ignore = it.accept(chat(team(0), 100));
    {
        SCOPED_TRACE("a grant that arrives after its recall is not used; neither is a repeated one");
        it.send_grant(3, true);
        it.send_grant(2, true);
        EXPECT_TRUE(it.sent<submit>().empty());
        EXPECT_EQ(it.metrics.get("duplicate_messages_total", "grant"), 2);
    }
    {
        SCOPED_TRACE("the recall of a used grant is not answered");
        it.send_grant(4);
        ASSERT_EQ(it.sent<submit>().size(), 1U);
        const auto before = it.sent<returned>().size();
        it.receive(recall{{grant_id{1, 4}}});
        EXPECT_EQ(it.sent<returned>().size(), before);
        it.answer(it.sent<submit>()[0].id, "x");
    }
    {
        SCOPED_TRACE("spare grants are returned at a graceful stop");
        it.send_grant(5, true);
        it.record(it.core.begin_stop(it.now));
        EXPECT_EQ(it.sent<returned>().back().ids, (std::vector{grant_id{1, 5}}));
    }
}

// Guards against a request that loses its position in the queue, or is reported as executed, after an agent rejects it.
TEST(router_path, a_rejected_request_returns_to_the_head_of_its_queue) {
    router_fixture it;
    const auto first = it.accept(order(team(0)));
    const auto second = it.accept(order(team(0)));
    it.send_grant(1);
    const auto work = it.sent<submit>().back();
    it.receive(rejected{work.id, work.grant, result_code::zone_out_of_service});
    it.send_grant(2);
    it.answer(it.sent<submit>().back().id, "one");
    EXPECT_EQ(it.text(first), "one");
    {
        SCOPED_TRACE("a late message of the rejected run is ignored");
        it.receive(head{work.id, 500, {}});
        EXPECT_EQ(it.metrics.get("late_messages_total", "head"), 1);
    }
    {
        SCOPED_TRACE("a request whose only runs were rejected is reported as not executed");
        it.send_grant(3);
        const auto other = it.sent<submit>().back();
        it.receive(rejected{other.id, other.grant, result_code::endpoint_leaving});
        it.advance(seconds{31});
        EXPECT_EQ(it.ends().back().id, second);
        EXPECT_EQ(it.ends().back().code, result_code::queue_timeout);
        EXPECT_EQ(it.ends().back().state, executed::no);
        EXPECT_GT(it.ends().back().retry_after, duration::zero());
    }
}

} // namespace
} // namespace dandelionbay
