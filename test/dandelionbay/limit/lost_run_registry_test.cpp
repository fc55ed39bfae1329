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

/*! Returns a run that lasted 50 ms and ended at this time after the start. */
[[nodiscard]] lost_run run_at(const std::string& name, duration ended) {
    return {process(name), start + ended - milliseconds{50}, start + ended};
}

/*! Records a lost run and the exit of its endpoint's process. */
void lose(lost_run_registry& it, const lost_run& run, std::uint64_t of = call) {
    it.record_interrupted_run(of, run);
    it.record_process_exit(run.process, run.ended);
}

// Guards against a call that crashes every endpoint that runs it and is never refused.
TEST(lost_run_registry, a_call_is_refused_after_three_endpoints_exited_while_running_it) {
    lost_run_registry it;
    lose(it, run_at("a", seconds{1}));
    lose(it, run_at("b", seconds{2}));
    EXPECT_EQ(it.loss_count(call), 2);
    EXPECT_FALSE(it.is_refused(call));
    lose(it, run_at("c", seconds{3}));
    EXPECT_TRUE(it.is_refused(call));
    EXPECT_FALSE(it.is_refused(call + 1)) << "another call";
    {
        SCOPED_TRACE("a restarted endpoint with the same name is another process");
        lost_run_registry again;
        for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
            const auto ended = start + seconds{incarnation};
            lose(again, {process("a", incarnation), ended - milliseconds{50}, ended});
        }
        EXPECT_TRUE(again.is_refused(call));
    }
    {
        SCOPED_TRACE("dropped ten minutes after the last loss");
        it.expire(start + seconds{3} + lost_run_registry::retention_window - milliseconds{1});
        EXPECT_TRUE(it.is_refused(call));
        it.expire(start + seconds{3} + lost_run_registry::retention_window);
        EXPECT_TRUE(it.empty());
    }
}

// Guards against calls that are refused because of broken connections to endpoints that are still alive.
TEST(lost_run_registry, an_interrupted_run_counts_once_the_exit_of_its_process_is_confirmed) {
    lost_run_registry it;
    EXPECT_FALSE(it.record_interrupted_run(call, run_at("a", seconds{1})));
    EXPECT_FALSE(it.record_interrupted_run(call, run_at("b", seconds{2})));
    EXPECT_FALSE(it.record_interrupted_run(call, run_at("c", seconds{3})));
    EXPECT_EQ(it.loss_count(call), 0);
    EXPECT_TRUE(it.should_not_retry(call)) << "the processes may have exited";
    EXPECT_EQ(it.unconfirmed_processes().size(), 3);
    EXPECT_EQ(it.record_process_exit(process("b"), start + seconds{4}), std::vector<std::uint64_t>{call});
    EXPECT_EQ(it.loss_count(call), 1);
    EXPECT_EQ(it.unconfirmed_processes().size(), 2);
    {
        SCOPED_TRACE("further connections of the process break later");
        EXPECT_TRUE(it.record_interrupted_run(call + 1, run_at("b", seconds{4})));
        EXPECT_EQ(it.loss_count(call + 1), 1);
    }
    {
        SCOPED_TRACE("an exit confirmed too late doesn't count for the run");
        it.expire(start + seconds{3} + lost_run_registry::confirmation_timeout);
        EXPECT_TRUE(it.unconfirmed_processes().empty());
        EXPECT_TRUE(it.record_process_exit(process("a"), start + seconds{14}).empty());
        EXPECT_EQ(it.loss_count(call), 1);
        EXPECT_FALSE(it.should_not_retry(call));
    }
    {
        SCOPED_TRACE("a process that still listens has not exited");
        lost_run_registry alive;
        alive.record_interrupted_run(call, run_at("a", seconds{1}));
        alive.record_interrupted_run(call, run_at("b", seconds{2}));
        alive.record_process_alive(process("a"));
        EXPECT_FALSE(alive.should_not_retry(call));
        EXPECT_EQ(alive.unconfirmed_processes(), std::vector<endpoint_process>{process("b")});
        EXPECT_TRUE(alive.record_process_exit(process("a"), start + seconds{3}).empty());
    }
    {
        SCOPED_TRACE("a process that lost the call twice counts with the later run");
        lost_run_registry twice;
        twice.record_interrupted_run(call, run_at("a", seconds{1}));
        lose(twice, run_at("a", seconds{9}));
        lose(twice, run_at("b", seconds{5}));
        EXPECT_EQ(twice.loss_count(call), 2);
    }
}

// Guards against a harmless call, sent identically by many callers, that is refused after one fault ended all
// endpoints.
TEST(lost_run_registry, endpoints_that_exit_together_count_once) {
    lost_run_registry it;
    for (const auto* const name : {"a", "b", "c", "d"}) {
        lose(it, run_at(name, seconds{1}));
    }
    EXPECT_EQ(it.loss_count(call), 1);
    EXPECT_EQ(it.lost_endpoint_count(call), 4);
    lose(it, run_at("e", seconds{2}));
    EXPECT_EQ(it.loss_count(call), 2);
    {
        SCOPED_TRACE("a failed zone: the call was retried on endpoints that had exited together with the first one");
        lost_run_registry zone;
        for (int n = 0; n < 4; ++n) {
            const auto began = start + milliseconds{n * 2};
            lose(zone, {process(std::to_string(n)), began, began + milliseconds{1}});
        }
        EXPECT_EQ(zone.loss_count(call), 1);
        EXPECT_TRUE(zone.should_not_retry(call)) << "a retry is left to its caller";
    }
    {
        SCOPED_TRACE("a long run that overlaps two others adds no loss");
        lose(it, {process("f"), start, start + seconds{3}});
        EXPECT_EQ(it.loss_count(call), 2);
    }
}

// Guards against a copy of a call that starts so soon after a loss that its own loss would count as the same fault.
TEST(lost_run_registry, a_call_is_recently_lost_within_the_same_fault_window) {
    lost_run_registry it;
    EXPECT_FALSE(it.is_suspected(call));
    it.record_interrupted_run(call, run_at("a", seconds{1}));
    EXPECT_TRUE(it.is_suspected(call)) << "its endpoint may have exited";
    EXPECT_TRUE(it.is_recently_lost(call, start + seconds{1} + lost_run_registry::same_fault_window - milliseconds{1}));
    EXPECT_FALSE(it.is_recently_lost(call, start + seconds{1} + lost_run_registry::same_fault_window));
    it.record_process_alive(process("a"));
    EXPECT_FALSE(it.is_suspected(call));
}

// Guards against a harmless call that stays suspected because of losses before a successful answer.
TEST(lost_run_registry, an_answer_clears_the_losses_before_it) {
    lost_run_registry it;
    it.record_answer(call, start);
    EXPECT_TRUE(it.empty()) << "nothing to clear";
    it.record_interrupted_run(call, run_at("z", milliseconds{500}));
    it.record_answer(call, start + milliseconds{600});
    EXPECT_TRUE(it.empty()) << "the loss was not reported to peers";
    lose(it, run_at("a", seconds{1}));
    lose(it, run_at("b", seconds{2}));
    it.record_answer(call, start + seconds{3});
    EXPECT_EQ(it.loss_count(call), 0);
    lose(it, run_at("c", seconds{4}));
    EXPECT_EQ(it.loss_count(call), 1);
    {
        SCOPED_TRACE("a late message doesn't restore them");
        EXPECT_FALSE(
            it.merge(call_losses{call, {run_at("a", seconds{1}), run_at("b", seconds{2})}, {}}, start + seconds{5}));
        EXPECT_EQ(it.loss_count(call), 1);
    }
    {
        SCOPED_TRACE("the answer is reported to peers");
        lost_run_registry peer;
        lose(peer, run_at("a", seconds{1}));
        for (const auto& message : it.changed_since(start)) {
            peer.merge(message, start + seconds{5});
        }
        EXPECT_EQ(peer.loss_count(call), 1) << "the loss of c";
        EXPECT_TRUE(it.has_local_loss(call));
        EXPECT_FALSE(peer.has_local_loss(call)) << "the loss of a was cleared";
    }
}

// Guards against losses that are reported too rarely, so that only some routers refuse a call, or refuse it for ever.
TEST(lost_run_registry, changed_losses_are_reported) {
    lost_run_registry it;
    it.record_interrupted_run(call, run_at("a", seconds{1}));
    EXPECT_TRUE(it.changed_since(start).empty()) << "the loss is not confirmed yet";
    it.record_process_exit(process("a"), start + seconds{2});
    ASSERT_EQ(it.changed_since(start + seconds{2}).size(), 1);
    EXPECT_EQ(it.changed_since(start + seconds{2})[0], (call_losses{call, {run_at("a", seconds{1})}, {}}));
    EXPECT_TRUE(it.changed_since(start + seconds{3}).empty());
}

// Guards against message traffic that grows quadratically with the fleet after a fault that ends many endpoints,
// because each router relayed the reports of its peers to all others.
TEST(lost_run_registry, reported_losses_are_relayed_only_if_the_call_lost_several_endpoints) {
    lost_run_registry it;
    it.merge(call_losses{call, {run_at("a", seconds{1})}, {}}, start + seconds{1});
    EXPECT_EQ(it.loss_count(call), 1);
    EXPECT_TRUE(it.changed_since(time_point{}).empty());
    {
        SCOPED_TRACE("a second loss at any router may be caused by the call");
        it.merge(call_losses{call, {run_at("b", seconds{2})}, {}}, start + seconds{2});
        ASSERT_EQ(it.changed_since(time_point{}).size(), 1);
        EXPECT_EQ(it.changed_since(time_point{})[0].runs.size(), 2);
    }
    {
        SCOPED_TRACE("an answer is reported only by the router that saw it");
        it.merge(call_losses{call, {}, start + seconds{3}}, start + seconds{3});
        EXPECT_EQ(it.loss_count(call), 0);
        EXPECT_TRUE(it.changed_since(time_point{}).empty());
        lose(it, run_at("c", seconds{4}));
        lose(it, run_at("d", seconds{5}));
        ASSERT_EQ(it.changed_since(time_point{}).size(), 1);
        EXPECT_FALSE(it.changed_since(time_point{})[0].answered) << "its time would get later with each relay";
        it.record_answer(call, start + seconds{6});
        ASSERT_EQ(it.changed_since(time_point{}).size(), 1);
        EXPECT_EQ(it.changed_since(time_point{})[0], (call_losses{call, {}, start + seconds{6}}));
    }
}

// Guards against a registry that grows without limit, and against a limit that drops the record of a refused call.
TEST(lost_run_registry, size_is_limited) {
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
        SCOPED_TRACE("a call has a limited number of runs");
        lost_run_registry repeated;
        for (int n = 0; n < 50; ++n) {
            lose(repeated, run_at(std::to_string(n), seconds{n}));
        }
        EXPECT_EQ(repeated.loss_count(call), lost_run_registry::max_runs_per_call);
    }
}

/*! Merges messages in the given order and returns the resulting losses. */
[[nodiscard]] call_losses merged(const std::vector<call_losses>& messages) {
    lost_run_registry it;
    for (const auto& message : messages) {
        it.merge(message, start);
    }
    auto out = it.losses_of(call);
    std::ranges::sort(out.runs, {}, &lost_run::process);
    return out;
}

// Guards against routers whose state differs after they got the same messages in another order or repeatedly.
TEST(lost_run_registry, merging_is_independent_of_order_and_repetition) {
    const bool passed = rc::check("any order and repetition", [] {
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
        auto reordered = messages;
        reordered.insert(reordered.end(), messages.rbegin(), messages.rend());
        std::ranges::rotate(reordered, reordered.begin() + *rc::gen::inRange(0, n + 1));
        RC_ASSERT(merged(messages) == merged(reordered));
    });
    EXPECT_TRUE(passed);
}

} // namespace
} // namespace dandelionbay
