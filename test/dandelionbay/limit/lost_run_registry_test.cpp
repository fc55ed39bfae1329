#include "dandelionbay/limit/lost_run_registry.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t call = 42;
const time_point start{seconds{1'000}};

[[nodiscard]] endpoint_process process(const std::string& name, std::uint64_t started = 1) {
    return {endpoint_id{name}, started};
}

/*! A run that lasted 50 ms and ended at this time after the start. */
[[nodiscard]] lost_run run_at(const std::string& name, duration ended) {
    return {process(name), start + ended - milliseconds{50}, start + ended};
}

/*! A run ends with its endpoint. */
void lose(lost_run_registry& it, const lost_run& run, std::uint64_t of = call) {
    it.record_interrupted_run(of, run);
    it.record_process_exit(run.process, run.ended);
}

// Guards against a call that ends each endpoint that runs it and is never refused.
TEST(lost_run_registry, a_call_is_refused_after_three_endpoints_ended_under_it) {
    lost_run_registry it;
    lose(it, run_at("a", seconds{1}));
    lose(it, run_at("b", seconds{2}));
    EXPECT_EQ(it.loss_count(call), 2);
    EXPECT_FALSE(it.is_refused(call));
    lose(it, run_at("c", seconds{3}));
    EXPECT_TRUE(it.is_refused(call));
    EXPECT_FALSE(it.is_refused(call + 1)) << "another call";
    {
        SCOPED_TRACE("an endpoint that runs under the same name again is another process");
        lost_run_registry again;
        for (std::uint64_t life = 1; life <= 3; ++life) {
            const auto ended = start + seconds{life};
            lose(again, {process("a", life), ended - milliseconds{50}, ended});
        }
        EXPECT_TRUE(again.is_refused(call));
    }
    {
        SCOPED_TRACE("forgotten ten minutes after the last loss");
        it.expire(start + seconds{3} + lost_run_registry::retention_window - milliseconds{1});
        EXPECT_TRUE(it.is_refused(call));
        it.expire(start + seconds{3} + lost_run_registry::retention_window);
        EXPECT_TRUE(it.empty());
    }
}

// Guards against calls that are refused because connections broke whose endpoints live on.
TEST(lost_run_registry, a_broken_connection_counts_once_its_endpoint_is_known_to_have_ended) {
    lost_run_registry it;
    EXPECT_FALSE(it.record_interrupted_run(call, run_at("a", seconds{1})));
    EXPECT_FALSE(it.record_interrupted_run(call, run_at("b", seconds{2})));
    EXPECT_FALSE(it.record_interrupted_run(call, run_at("c", seconds{3})));
    EXPECT_EQ(it.loss_count(call), 0);
    EXPECT_TRUE(it.should_not_retry(call)) << "they may have ended";
    EXPECT_EQ(it.unconfirmed_processes().size(), 3);
    EXPECT_EQ(it.record_process_exit(process("b"), start + seconds{4}), std::vector<std::uint64_t>{call});
    EXPECT_EQ(it.loss_count(call), 1);
    EXPECT_EQ(it.unconfirmed_processes().size(), 2);
    {
        SCOPED_TRACE("its other connections break after the first one");
        EXPECT_TRUE(it.record_interrupted_run(call + 1, run_at("b", seconds{4})));
        EXPECT_EQ(it.loss_count(call + 1), 1);
    }
    {
        SCOPED_TRACE("an end that is learned too late is another one");
        it.expire(start + seconds{3} + lost_run_registry::confirmation_timeout);
        EXPECT_TRUE(it.unconfirmed_processes().empty());
        EXPECT_TRUE(it.record_process_exit(process("a"), start + seconds{14}).empty());
        EXPECT_EQ(it.loss_count(call), 1);
        EXPECT_FALSE(it.should_not_retry(call));
    }
    {
        SCOPED_TRACE("a process that still listens has not ended");
        lost_run_registry alive;
        alive.record_interrupted_run(call, run_at("a", seconds{1}));
        alive.record_interrupted_run(call, run_at("b", seconds{2}));
        alive.record_process_alive(process("a"));
        EXPECT_FALSE(alive.should_not_retry(call));
        EXPECT_EQ(alive.unconfirmed_processes(), std::vector<endpoint_process>{process("b")});
        EXPECT_TRUE(alive.record_process_exit(process("a"), start + seconds{3}).empty());
    }
    {
        SCOPED_TRACE("a process that lost the call twice counts from the later time");
        lost_run_registry twice;
        twice.record_interrupted_run(call, run_at("a", seconds{1}));
        lose(twice, run_at("a", seconds{9}));
        lose(twice, run_at("b", seconds{5}));
        EXPECT_EQ(twice.loss_count(call), 2);
    }
}

// Guards against an innocent call, which many callers send alike, that is refused after one fault took all endpoints.
TEST(lost_run_registry, endpoints_that_end_at_once_count_once) {
    lost_run_registry it;
    for (const auto* const name : {"a", "b", "c", "d"}) {
        lose(it, run_at(name, seconds{1}));
    }
    EXPECT_EQ(it.loss_count(call), 1);
    EXPECT_EQ(it.lost_endpoint_count(call), 4);
    lose(it, run_at("e", seconds{2}));
    EXPECT_EQ(it.loss_count(call), 2);
    {
        SCOPED_TRACE("a failed zone: the call was sent on to endpoints that had ended with the first one");
        lost_run_registry zone;
        for (int n = 0; n < 4; ++n) {
            const auto began = start + milliseconds{n * 2};
            lose(zone, {process(std::to_string(n)), began, began + milliseconds{1}});
        }
        EXPECT_EQ(zone.loss_count(call), 1);
        EXPECT_TRUE(zone.should_not_retry(call)) << "only its caller may have it run again";
    }
    {
        SCOPED_TRACE("a long run that covers two others adds nothing to them");
        lose(it, {process("f"), start, start + seconds{3}});
        EXPECT_EQ(it.loss_count(call), 2);
    }
}

// Guards against a copy of a call that runs so early after a loss that its own loss would count as the same one.
TEST(lost_run_registry, a_call_is_just_lost_for_as_long_as_one_fault_lasts) {
    lost_run_registry it;
    EXPECT_FALSE(it.is_suspected(call));
    it.record_interrupted_run(call, run_at("a", seconds{1}));
    EXPECT_TRUE(it.is_suspected(call)) << "its endpoint may have ended";
    EXPECT_TRUE(it.is_recently_lost(call, start + seconds{1} + lost_run_registry::same_fault_window - milliseconds{1}));
    EXPECT_FALSE(it.is_recently_lost(call, start + seconds{1} + lost_run_registry::same_fault_window));
    it.record_process_alive(process("a"));
    EXPECT_FALSE(it.is_suspected(call));
}

// Guards against an innocent call that stays suspected for losses before an answer.
TEST(lost_run_registry, an_answer_clears_the_losses_before_it) {
    lost_run_registry it;
    it.record_answer(call, start);
    EXPECT_TRUE(it.empty()) << "nothing to clear";
    it.record_interrupted_run(call, run_at("z", milliseconds{500}));
    it.record_answer(call, start + milliseconds{600});
    EXPECT_TRUE(it.empty()) << "nothing that the peers know of";
    lose(it, run_at("a", seconds{1}));
    lose(it, run_at("b", seconds{2}));
    it.record_answer(call, start + seconds{3});
    EXPECT_EQ(it.loss_count(call), 0);
    lose(it, run_at("c", seconds{4}));
    EXPECT_EQ(it.loss_count(call), 1);
    {
        SCOPED_TRACE("a late message does not bring them back");
        EXPECT_FALSE(
            it.merge(call_losses{call, {run_at("a", seconds{1}), run_at("b", seconds{2})}, {}}, start + seconds{5}));
        EXPECT_EQ(it.loss_count(call), 1);
    }
    {
        SCOPED_TRACE("the peers hear of it");
        lost_run_registry peer;
        lose(peer, run_at("a", seconds{1}));
        for (const auto& told : it.changed_since(start)) {
            peer.merge(told, start + seconds{5});
        }
        EXPECT_EQ(peer.loss_count(call), 1) << "that of c";
        EXPECT_TRUE(it.has_local_loss(call));
        EXPECT_FALSE(peer.has_local_loss(call)) << "that of a was cleared";
    }
}

// Guards against losses that are told too seldom, so that a call is refused at some routers only, or for ever.
TEST(lost_run_registry, what_changed_is_told) {
    lost_run_registry it;
    it.record_interrupted_run(call, run_at("a", seconds{1}));
    EXPECT_TRUE(it.changed_since(start).empty()) << "nothing counts yet";
    it.record_process_exit(process("a"), start + seconds{2});
    ASSERT_EQ(it.changed_since(start + seconds{2}).size(), 1);
    EXPECT_EQ(it.changed_since(start + seconds{2})[0], (call_losses{call, {run_at("a", seconds{1})}, {}}));
    EXPECT_TRUE(it.changed_since(start + seconds{3}).empty());
}

// Guards against messages that grow with the square of the fleet after a fault that ends many endpoints: each router
// told all others what it had been told itself.
TEST(lost_run_registry, what_a_peer_told_is_told_on_only_if_the_call_lost_more_than_one_endpoint) {
    lost_run_registry it;
    it.merge(call_losses{call, {run_at("a", seconds{1})}, {}}, start + seconds{1});
    EXPECT_EQ(it.loss_count(call), 1);
    EXPECT_TRUE(it.changed_since(time_point{}).empty());
    {
        SCOPED_TRACE("a second one, wherever it was, may be the call's doing");
        it.merge(call_losses{call, {run_at("b", seconds{2})}, {}}, start + seconds{2});
        ASSERT_EQ(it.changed_since(time_point{}).size(), 1);
        EXPECT_EQ(it.changed_since(time_point{})[0].runs.size(), 2);
    }
    {
        SCOPED_TRACE("an answer elsewhere is told by the router that passed it on");
        it.merge(call_losses{call, {}, start + seconds{3}}, start + seconds{3});
        EXPECT_EQ(it.loss_count(call), 0);
        EXPECT_TRUE(it.changed_since(time_point{}).empty());
        lose(it, run_at("c", seconds{4}));
        lose(it, run_at("d", seconds{5}));
        ASSERT_EQ(it.changed_since(time_point{}).size(), 1);
        EXPECT_FALSE(it.changed_since(time_point{})[0].answered)
            << "it would go back and forth, a little later each time";
        it.record_answer(call, start + seconds{6});
        ASSERT_EQ(it.changed_since(time_point{}).size(), 1);
        EXPECT_EQ(it.changed_since(time_point{})[0], (call_losses{call, {}, start + seconds{6}}));
    }
}

// Guards against a record that grows without bound, and against a bound that lets a refused call through again.
TEST(lost_run_registry, is_bounded) {
    lost_run_registry small{2};
    for (const auto* const name : {"a", "b", "c"}) {
        lose(small, run_at(name, seconds{1 + name[0] - 'a'}));
    }
    for (std::uint64_t other = call + 1; other < call + 9; ++other) {
        lose(small, run_at("z", seconds{9}), other);
        EXPECT_LE(small.size(), 2);
    }
    EXPECT_TRUE(small.is_refused(call));
    {
        SCOPED_TRACE("a call has a bounded number of runs");
        lost_run_registry long_one;
        for (int n = 0; n < 50; ++n) {
            lose(long_one, run_at(std::to_string(n), seconds{n}));
        }
        EXPECT_EQ(long_one.loss_count(call), lost_run_registry::max_runs_per_call);
    }
}

/*! Merges messages in an order and tells what came of it. */
[[nodiscard]] call_losses merged(const std::vector<call_losses>& messages) {
    lost_run_registry it;
    for (const auto& message : messages) {
        it.merge(message, start);
    }
    auto out = it.losses_of(call);
    std::ranges::sort(out.runs, {}, &lost_run::process);
    return out;
}

// Guards against routers that believe different things after the same messages in another order, or repeated.
TEST(lost_run_registry, messages_merge_to_the_same_in_any_order) {
    const bool held = rc::check("any order, and repeated", [] {
        std::vector<call_losses> messages;
        const auto n = *rc::gen::inRange(0, 8);
        for (int left = n; left > 0; --left) {
            const auto at = *rc::gen::inRange(0, 6);
            call_losses out{call, {}, std::nullopt};
            if (*rc::gen::arbitrary<bool>()) {
                out.answered = start + seconds{at};
            } else {
                out.runs = {run_at(std::to_string(at), seconds{at})};
            }
            messages.push_back(out);
        }
        auto others = messages;
        others.insert(others.end(), messages.rbegin(), messages.rend());
        std::ranges::rotate(others, others.begin() + *rc::gen::inRange(0, n + 1));
        RC_ASSERT(merged(messages) == merged(others));
    });
    EXPECT_TRUE(held);
}

} // namespace
} // namespace dandelionbay
