#include <gtest/gtest.h>

#include "dandelionbay/router/router_fixture.hpp"

namespace dandelionbay {
namespace {

using namespace testing_support;

// Guards the usual path: demand, grant, submission, answer, settlement, and nothing left behind.
TEST(router_path, a_request_is_granted_submitted_and_answered) {
    router_fixture it;
    const auto id = it.accept(chat(team(0), 100, 50));
    it.advance(milliseconds{20});
    {
        SCOPED_TRACE("the agent hears of the waiting work");
        const auto wish = it.sent<demand>();
        ASSERT_EQ(wish.size(), 1U);
        EXPECT_EQ(wish[0].teams.size(), 1U);
        EXPECT_EQ(wish[0].teams[0].queued, 1U);
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
        SCOPED_TRACE("the agent hears that nothing waits");
        it.advance(milliseconds{20});
        EXPECT_TRUE(it.sent<demand>().back().teams.empty());
    }
}

// Guards against a round trip at light load: a spare grant takes a request at once, an expired one does not.
TEST(router_path, a_spare_grant_is_used_at_once_until_it_expires) {
    router_fixture it;
    it.send_grant(1, true);
    it.send_grant(2, true);
    std::ignore = it.accept(chat(team(0), 100));
    EXPECT_EQ(it.sent<submit>().size(), 1U);
    it.advance(seconds{3});
    std::ignore = it.accept(chat(team(0), 100));
    EXPECT_EQ(it.sent<submit>().size(), 1U) << "the second grant is too old";
}

// Guards against slots that stay blocked by grants which nobody needs, and against a recalled grant that is used.
TEST(router_path, grants_that_are_not_needed_or_recalled_go_back) {
    router_fixture it;
    it.send_grant(1);
    ASSERT_EQ(it.sent<returned>().size(), 1U);
    it.send_grant(2, true);
    EXPECT_EQ(it.sent<returned>().size(), 1U) << "a spare grant is kept";
    it.receive(recall{{grant_id{1, 2}, grant_id{1, 3}}});
    EXPECT_EQ(it.sent<returned>().back().ids, (std::vector{grant_id{1, 2}, grant_id{1, 3}}));
    std::ignore = it.accept(chat(team(0), 100));
    {
        SCOPED_TRACE("a grant that overtook its recall is not used; neither is a repeated one");
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
        SCOPED_TRACE("at the stop spare grants go back");
        it.send_grant(5, true);
        it.record(it.core.begin_stop(it.now));
        EXPECT_EQ(it.sent<returned>().back().ids, (std::vector{grant_id{1, 5}}));
    }
}

// Guards against a request that loses its turn or its truth when an agent rejects it.
TEST(router_path, a_rejected_request_returns_to_the_head) {
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
        SCOPED_TRACE("a late message of the rejected run changes nothing");
        it.receive(head{work.id, 500, {}});
        EXPECT_EQ(it.metrics.get("late_messages_total", "head"), 1);
    }
    {
        SCOPED_TRACE("a request that was only ever rejected has not run");
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
