// Which prompt parts are blocked by which evidence.
#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/limit/part_crash_registry.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{500}};
constexpr duration report_delay = milliseconds{100};

constexpr service_part opening{1, 0xa};
constexpr service_part crashing{1, 0xdead};
constexpr service_part other_crashing{1, 0xdeaf};
constexpr service_part sound{1, 0xc};
constexpr service_part served{1, 0xe};

[[nodiscard]] endpoint_process process(int n) {
    return {endpoint_id{"e" + std::to_string(n)}, 1};
}

/*! A registry in which processes exit, one a second, with the runs that had not begun there. */
class part_crash_test : public testing::Test {
protected:
    void lose(const std::vector<unproven_run>& runs) {
        now += seconds{1};
        ++processes;
        for (const auto& it : runs) {
            registry.record_interrupted_run(process(processes), it, now);
        }
        registry.record_process_exit(process(processes), now);
    }

    [[nodiscard]] std::vector<service_part> review() {
        return registry.review(report_delay, now + report_delay).blocked;
    }

    /*! A registry that has known answers for longer than it needs to learn which parts are served. */
    [[nodiscard]] static part_crash_registry make_experienced() {
        part_crash_registry out;
        out.record_proof({served}, start - part_crash_registry::learning_time);
        return out;
    }

    part_crash_registry registry{make_experienced()};
    time_point now{start};
    int processes{};
};

using parts = std::vector<service_part>;

// Guards against a part that ends one endpoint after the other because each call with it is another one.
TEST_F(part_crash_test, a_part_lost_with_three_calls_is_blocked) {
    for (std::uint64_t call = 1; call <= 2; ++call) {
        lose({{call, {opening, crashing}}});
        registry.record_proof({opening}, now + milliseconds{10});
        EXPECT_EQ(review(), parts{});
    }
    lose({{3, {opening, crashing}}});
    registry.record_proof({opening}, now + milliseconds{10});
    EXPECT_EQ(review(), parts{crashing});
    EXPECT_TRUE(registry.is_blocked({opening, crashing}));
    EXPECT_FALSE(registry.is_blocked({opening, sound}));
    {
        SCOPED_TRACE("a loss that it explains says nothing of the others");
        lose({{4, {crashing}}, {5, {sound}}});
        lose({{6, {crashing}}, {7, {sound}}});
        lose({{8, {crashing}}, {9, {sound}}});
        lose({{10, {crashing}}, {11, {sound}}});
        EXPECT_EQ(review(), parts{});
    }
}

// Guards against a sound part, new to the fleet, that is blocked because unrelated exits follow each other while its
// first calls are under way.
TEST_F(part_crash_test, runs_that_were_under_way_together_are_one_piece_of_evidence) {
    const auto sent = now;
    for (std::uint64_t call = 1; call <= 3; ++call) {
        lose({{call, {sound}, sent + milliseconds{call}}});
        EXPECT_EQ(review(), parts{});
    }
    {
        SCOPED_TRACE("runs that were sent after the exits before count");
        lose({{5, {crashing}, now}});
        lose({{6, {crashing}, now}});
        EXPECT_EQ(review(), parts{});
        lose({{7, {crashing}, now}});
        EXPECT_EQ(review(), parts{crashing});
    }
    {
        SCOPED_TRACE("so do five faults, in any order");
        lose({{8, {sound}, sent}});
        EXPECT_EQ(review(), parts{});
        lose({{9, {sound}, sent}});
        EXPECT_EQ(review(), parts{sound});
    }
}

// Guards against one call that crashes its endpoints and blocks the parts that it shares with sound calls.
TEST_F(part_crash_test, a_single_call_does_not_block_the_parts_of_its_prompt) {
    for (int n = 0; n < 4; ++n) {
        lose({{1, {crashing}}});
        EXPECT_EQ(review(), parts{});
    }
}

// Guards against a cause that ends two endpoints with each call, because a lost call is sent again, and is not blocked
// before its third call.
TEST_F(part_crash_test, a_call_that_was_sent_again_counts_twice) {
    lose({{1, {crashing}}});
    lose({{1, {crashing}}});
    EXPECT_EQ(review(), parts{});
    lose({{2, {crashing}}});
    EXPECT_EQ(review(), parts{crashing});
}

// Guards against a block of a sound part that comes with each of two causes, before either of them is known.
TEST_F(part_crash_test, a_served_part_that_two_causes_share_is_not_blocked) {
    registry.record_proof({opening}, now);
    std::vector<service_part> blocked;
    for (std::uint64_t call = 1; call <= 6; ++call) {
        lose({{call, {opening, call % 2 == 0 ? crashing : other_crashing}}});
        std::ranges::copy(review(), std::back_inserter(blocked));
    }
    std::ranges::sort(blocked);
    EXPECT_EQ(blocked, (parts{crashing, other_crashing}));
}

// Guards against a sound part that is blocked because it was lost beside the cause.
TEST_F(part_crash_test, parts_that_explain_the_same_losses_wait_for_more) {
    lose({{1, {crashing}}, {2, {sound}}});
    lose({{3, {crashing}}, {4, {sound}}});
    lose({{5, {crashing}}, {6, {sound}}});
    EXPECT_EQ(review(), parts{});
    lose({{7, {crashing}}});
    EXPECT_EQ(review(), parts{crashing});
}

// Guards against a cause that is not blocked because an earlier part comes with it each time, and against a block of
// the earlier one, which more calls share.
TEST_F(part_crash_test, the_later_of_parts_that_always_come_together_is_blocked) {
    lose({{1, {opening, crashing}}});
    lose({{2, {opening, crashing}}});
    lose({{3, {opening, crashing}}});
    EXPECT_EQ(review(), parts{crashing});
}

// Guards against a sound part that stays blocked after the cause was found.
TEST_F(part_crash_test, a_block_ends_when_another_cause_explains_its_losses) {
    lose({{1, {crashing, sound}}});
    lose({{2, {crashing, sound}}});
    lose({{3, {crashing, sound}}});
    EXPECT_EQ(review(), parts{sound});
    lose({{4, {crashing, served}}});
    lose({{5, {crashing, served}}});
    lose({{6, {crashing, served}}});
    now += report_delay;
    EXPECT_EQ(registry.review(report_delay, now), (part_changes{{crashing}, {sound}}));
    EXPECT_FALSE(registry.is_blocked({sound}));
}

// Guards against two causes that hide each other.
TEST_F(part_crash_test, two_causes_are_both_blocked) {
    lose({{1, {crashing}}});
    lose({{2, {other_crashing}}});
    lose({{3, {crashing}}});
    lose({{4, {other_crashing}}});
    lose({{5, {crashing}}});
    lose({{6, {other_crashing}}});
    auto blocked = review();
    std::ranges::sort(blocked);
    EXPECT_EQ(blocked, (parts{crashing, other_crashing}));
}

// Guards against a sound part that stays suspected or blocked although it is served.
TEST_F(part_crash_test, an_answer_that_begins_clears_its_parts) {
    lose({{1, {sound}}});
    lose({{2, {sound}}});
    lose({{3, {sound}}});
    registry.record_proof({sound}, now + milliseconds{1});
    EXPECT_EQ(review(), parts{});
    {
        SCOPED_TRACE("a part that was served before needs two losses more");
        for (std::uint64_t call = 4; call <= 7; ++call) {
            lose({{call, {sound}}});
            EXPECT_EQ(review(), parts{});
        }
        lose({{8, {sound}}});
        EXPECT_EQ(review(), parts{sound});
    }
    {
        SCOPED_TRACE("an answer that began all the same ends the block");
        EXPECT_EQ(registry.record_proof({sound}, now + seconds{1}), parts{sound});
        EXPECT_FALSE(registry.is_blocked({sound}));
    }
}

// Guards against a sound part that is blocked because one fault ended many endpoints.
TEST_F(part_crash_test, one_fault_that_ends_many_endpoints_counts_once) {
    for (int n = 0; n < 8; ++n) {
        registry.record_interrupted_run(process(n), {static_cast<std::uint64_t>(n), {sound}}, now);
        registry.record_process_exit(process(n), now + milliseconds{5 * n});
    }
    EXPECT_EQ(review(), parts{});
    EXPECT_EQ(registry.fault_count(sound), 1);
}

// Guards against parts that are suspected because connections broke.
TEST_F(part_crash_test, a_broken_connection_to_a_live_process_is_no_loss) {
    for (int n = 0; n < 4; ++n) {
        now += seconds{1};
        registry.record_interrupted_run(process(n), {static_cast<std::uint64_t>(n), {sound}}, now);
        EXPECT_TRUE(registry.suspected_since(sound));
        registry.record_process_alive(process(n));
        EXPECT_FALSE(registry.suspected_since(sound));
    }
    EXPECT_EQ(review(), parts{});
}

// Guards against a sound part that is blocked because the cause ran at another router, whose report comes later.
TEST_F(part_crash_test, losses_wait_until_all_routers_have_reported_them) {
    lose({{1, {sound}}});
    lose({{2, {sound}}});
    lose({{3, {sound}}});
    EXPECT_EQ(registry.review(report_delay, now).blocked, parts{});
    {
        SCOPED_TRACE("the cause ran at another router");
        registry.merge({{{process(1), start, {{4, {crashing}}}},
                         {process(2), start, {{5, {crashing}}}},
                         {process(3), start, {{6, {crashing}}}}},
                        {}},
                       now);
        EXPECT_EQ(review(), parts{});
        registry.merge({{{process(4), now + seconds{1}, {{7, {crashing}}}}}, {}}, now + seconds{1});
        now += seconds{1};
        EXPECT_EQ(review(), parts{crashing});
    }
}

// Guards against calls with popular parts that run one at a time after each exit of an endpoint.
TEST_F(part_crash_test, a_suspect_that_was_not_served_lately_runs_alone) {
    registry.record_proof({opening}, now);
    lose({{1, {opening, crashing}}});
    EXPECT_FALSE(registry.suspected_since(opening));
    EXPECT_EQ(registry.suspected_since(crashing), now);
    registry.record_proof({crashing}, now + milliseconds{1});
    EXPECT_FALSE(registry.suspected_since(crashing));
}

// Guards against routers that differ in what they refuse, or that start without knowing it.
TEST_F(part_crash_test, peers_learn_what_changed) {
    auto peer = make_experienced();
    lose({{1, {crashing}}});
    lose({{2, {crashing}}});
    lose({{3, {crashing}}});
    peer.merge(registry.changed_since(start), now);
    EXPECT_EQ(peer.review(report_delay, now + report_delay).blocked, parts{crashing});
    EXPECT_EQ(review(), parts{crashing});
    {
        SCOPED_TRACE("a router that starts later learns of the block from one that did not lose the runs");
        part_crash_registry third;
        EXPECT_EQ(third.merge(peer.changed_since(start), now).blocked, parts{crashing});
    }
    {
        SCOPED_TRACE("an answer that began at one router ends the block at all");
        registry.record_proof({crashing}, now + seconds{1});
        EXPECT_EQ(peer.merge(registry.changed_since(now), now + seconds{1}).unblocked, parts{crashing});
        EXPECT_TRUE(registry.merge(peer.changed_since(start), now + seconds{1}).empty());
    }
    {
        SCOPED_TRACE("a router at which an answer began does not adopt an earlier block, and tells so");
        auto fourth = make_experienced();
        fourth.record_proof({sound}, now + seconds{1});
        EXPECT_TRUE(fourth.merge({{}, {{sound, std::nullopt, now}}}, now + seconds{2}).empty());
        EXPECT_EQ(fourth.changed_since(now + seconds{2}).parts,
                  (std::vector<part_status>{{sound, now + seconds{1}, std::nullopt}}));
    }
}

// Guards against sound parts that are blocked after the start of all routers because none is known to be served yet.
TEST_F(part_crash_test, a_new_registry_needs_more_losses) {
    registry = {};
    registry.record_proof({served}, now + seconds{2});
    lose({{1, {crashing}}});
    lose({{2, {crashing}}});
    lose({{3, {crashing}}});
    EXPECT_EQ(review(), parts{});
    EXPECT_EQ(registry.review(report_delay, now + part_crash_registry::learning_time).blocked, parts{crashing});
}

// Guards against sound calls that are refused at a router that has just started after the loss of a zone: it reads what
// its peers lost before it reads which parts they have seen answered since.
TEST_F(part_crash_test, a_new_registry_blocks_nothing_by_reports_alone) {
    registry = {};
    registry.record_proof({served}, now);
    part_evidence reported;
    for (std::uint64_t call = 1; call <= 8; ++call) {
        now += milliseconds{200};
        reported.losses.push_back({process(static_cast<int>(call)), now, {{call, {sound}}}});
    }
    EXPECT_TRUE(registry.merge(reported, now).empty());
    EXPECT_EQ(review(), parts{});
    {
        SCOPED_TRACE("after it has lost a run itself, the reports count");
        auto other = registry;
        other.record_interrupted_run(process(9), {9, {sound}}, now + seconds{1});
        other.record_process_exit(process(9), now + seconds{1});
        EXPECT_EQ(other.review(report_delay, now + seconds{1} + report_delay).blocked, parts{sound});
    }
    {
        SCOPED_TRACE("after it has learned which parts are answered, they clear the part");
        EXPECT_TRUE(registry.merge({{}, {{sound, now + milliseconds{1}, std::nullopt}}}, now + seconds{1}).empty());
        EXPECT_EQ(registry.review(report_delay, now + part_crash_registry::learning_time).blocked, parts{});
    }
}

// Guards against a sound part that is blocked because it is met by chance in some of many losses.
TEST_F(part_crash_test, many_losses_of_other_causes_need_more_evidence) {
    std::uint64_t call = 0;
    for (std::uint64_t n = 0; n < 8; ++n) {
        lose({{++call, {{1, 100 + n}}}});
    }
    lose({{++call, {sound}}});
    lose({{++call, {sound}}});
    lose({{++call, {sound}}});
    EXPECT_EQ(review(), parts{});
    lose({{++call, {sound}}});
    lose({{++call, {sound}}});
    EXPECT_EQ(review(), parts{sound});
}

// Guards against a part that is refused for ever, and against a registry that grows without limit.
TEST_F(part_crash_test, evidence_expires) {
    lose({{1, {crashing}}});
    lose({{2, {crashing}}});
    lose({{3, {crashing}}});
    EXPECT_EQ(review(), parts{crashing});
    registry.expire(now + part_crash_registry::retention_window - seconds{1});
    EXPECT_TRUE(registry.is_blocked({crashing}));
    registry.expire(now + part_crash_registry::retention_window + seconds{1});
    EXPECT_FALSE(registry.is_blocked({crashing}));
    EXPECT_TRUE(registry.empty());
}

} // namespace
} // namespace dandelionbay
