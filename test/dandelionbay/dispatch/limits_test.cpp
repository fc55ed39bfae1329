#include <map>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "dandelionbay/dispatch/cold_rate_limiter.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/dispatch/prefix_cache.hpp"
#include "dandelionbay/dispatch/retry_window.hpp"
#include "dandelionbay/dispatch/round_pacer.hpp"
#include "dandelionbay/dispatch/team_usage.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};

// Guards against shares of a cold endpoint's pace that add up to more than it bears.
TEST(cold_rate_limiter, the_shares_of_all_routers_add_up_to_the_pace) {
    for (std::size_t routers = 1; routers <= 30; ++routers) {
        std::size_t sum = 0;
        for (std::size_t rank = 0; rank < routers; ++rank) {
            sum += cold_rate_limiter::share(13.9, routers, rank);
        }
        EXPECT_EQ(sum, 13) << routers << " routers";
    }
    EXPECT_EQ(cold_rate_limiter::share(0.5, 3, 0), 1) << "an endpoint that gets nothing never becomes warm";
}

// Guards against retries that multiply a failure: in no window do all routers together go over the fleet's limit.
TEST(retry_window, the_repeats_of_all_routers_stay_inside_the_limit) {
    const retry_limits limits{0.2, 50.0, seconds{10}};
    constexpr std::size_t routers = 4;
    std::vector<retry_window> windows(routers, retry_window{limits});
    std::mt19937 random{7};
    std::uniform_int_distribution<std::size_t> pick{0, routers - 1};
    std::deque<time_point> calls;
    std::deque<time_point> repeats;
    for (auto now = start; now < start + seconds{60}; now += milliseconds{5}) {
        auto& it = windows[pick(random)];
        it.record_call(now);
        calls.push_back(now);
        if (it.try_acquire(routers, now)) {
            repeats.push_back(now);
        }
        for (auto* const list : {&calls, &repeats}) {
            while (now - list->front() >= seconds{10}) {
                list->pop_front();
            }
        }
        const double allowed = limits.ratio * static_cast<double>(calls.size()) + limits.slack;
        ASSERT_LE(static_cast<double>(repeats.size()), allowed);
    }
    EXPECT_GT(repeats.size(), 100) << "the limit is used";
}

// Guards against prompts that count as kept although the parts before them had to yield.
TEST(prefix_cache, the_least_recently_used_parts_yield_and_later_parts_need_the_earlier_ones) {
    prefix_cache kept;
    kept.set_capacity(1'000);
    const std::vector<prompt_part> first{{1, 400}, {2, 200}};
    const std::vector<prompt_part> second{{1, 400}, {3, 300}};
    kept.use(first);
    EXPECT_EQ(kept.cached_tokens(first), 600);
    EXPECT_EQ(kept.cached_tokens(second), 400);
    kept.use(second);
    EXPECT_EQ(kept.cached_tokens(second), 700);
    kept.use(9, 200);
    EXPECT_EQ(kept.cached_tokens(first), 400) << "the part that only the first prompt used had to yield";
    kept.set_capacity(500);
    EXPECT_EQ(kept.cached_tokens(second), 0) << "without its first part the rest of a prompt is of no use";
    kept.clear();
    EXPECT_EQ(kept.cached_tokens(second), 0);
}

// Guards against a backlog that only one router sees, and against one that stays after its calls ended.
TEST(endpoint_load, the_backlog_counts_what_all_routers_sent_and_falls_as_answers_begin) {
    endpoint_load load;
    load.sent(1, call_load{4'200.0, 5'000.0}, start);
    EXPECT_NEAR(load.backlog_ms(start), 100.0, 1.0);
    load.update_peer(host_id{"r2"}, endpoint_work{2'100.0, 3, 9'000.0}, start);
    EXPECT_NEAR(load.backlog_ms(start), 150.0, 1.0);
    EXPECT_EQ(load.calls(start), 4);
    EXPECT_NEAR(load.memory_tokens(start), 14'000.0, 1.0);
    load.started(1, start + milliseconds{150});
    EXPECT_NEAR(load.backlog_ms(start + milliseconds{150}), 50.0, 10.0);
    load.ended(1, false, start + milliseconds{300});
    EXPECT_EQ(load.own(start).calls, 0);
    {
        SCOPED_TRACE("a peer that is not heard any more does not count for ever");
        EXPECT_EQ(load.calls(start + seconds{2}), 0);
    }
    {
        SCOPED_TRACE("slow answers lower the expected rate");
        const double before = load.prefill_ms(10'000.0);
        for (ticket_id ticket = 10; ticket < 40; ++ticket) {
            const auto at = start + seconds{static_cast<int>(ticket)};
            load.sent(ticket, call_load{8'000.0, 0.0}, at);
            load.started(ticket, at + milliseconds{600});
            load.ended(ticket, false, at + milliseconds{700});
        }
        EXPECT_GT(load.prefill_ms(10'000.0), before * 1.5);
    }
}

// Guards against a kept sum of the peers' work that misses a change: of a report, by its age, or by a peer that returns
// with the work it had.
TEST(endpoint_load, work_of_peers_counts_while_their_reports_are_fresh) {
    const host_id second{"r2"};
    const host_id third{"r3"};
    endpoint_load load;
    load.update_peer(second, {100.0, 2, 50.0}, start);
    load.update_peer(third, {10.0, 1, 5.0}, start + seconds{1});
    EXPECT_EQ(load.calls(start + seconds{1}), 3);
    EXPECT_EQ(load.memory_tokens(start + seconds{1}), 55.0);
    const auto expired = start + endpoint_load::peer_report_timeout;
    EXPECT_EQ(load.calls(expired), 1);
    EXPECT_EQ(load.memory_tokens(expired), 5.0);
    load.update_peer(second, {100.0, 2, 50.0}, expired + milliseconds{1});
    EXPECT_EQ(load.calls(expired + milliseconds{1}), 3) << "it is back with the same work";
    load.update_peer(second, {}, expired + milliseconds{2});
    EXPECT_EQ(load.calls(expired + milliseconds{2}), 1);
    EXPECT_EQ(load.calls(start + seconds{10}), 0);
}

// Guards against a sum that is changed with each report and drifts away from the reports that count.
TEST(endpoint_load, the_sum_of_many_reports_is_that_of_those_that_count) {
    struct told {
        endpoint_work work{};
        time_point at{};
    };
    std::mt19937 random{7};
    const auto below = [&](int n) { return std::uniform_int_distribution{0, n - 1}(random); };
    endpoint_load load;
    std::map<host_id, told> reports;
    auto now = start;
    for (int step = 0; step < 5'000; ++step) {
        now += milliseconds{below(40)};
        const host_id peer{"r" + std::to_string(below(12))};
        endpoint_work work;
        if (below(3) > 0) {
            work = {below(9'000) * 0.1, static_cast<std::uint32_t>(1 + below(5)), below(500) * 1.0};
        }
        load.update_peer(peer, work, now);
        reports[peer] = {work, now};
        if (below(4) > 0) {
            continue; // Several reports come between two looks.
        }
        double memory = 0.0;
        std::uint32_t calls = 0;
        for (const auto& [name, it] : reports) {
            if (now - it.at < endpoint_load::peer_report_timeout) {
                memory += it.work.memory_tokens;
                calls += it.work.calls;
            }
        }
        ASSERT_EQ(load.calls(now), calls) << "step " << step;
        ASSERT_NEAR(load.memory_tokens(now), memory, 1e-6) << "step " << step;
    }
}

// Guards against an endpoint that fell dark and counts as alive because its router did not listen for some time.
TEST(endpoint_load, forgiven_silence_is_not_a_sign_of_life) {
    endpoint_load load;
    load.data_received(start);
    load.sent(1, call_load{}, start);
    const auto later = start + seconds{5};
    EXPECT_TRUE(load.stalled(later));
    load.reset_silence(later);
    EXPECT_FALSE(load.stalled(later));
    EXPECT_EQ(load.last_data_at(), start);
    load.data_received(later);
    EXPECT_EQ(load.last_data_at(), later);
}

// Guards against calls that wait or are refused while their endpoint is idle, because an order runs there that takes as
// long as its orders usually do, and against a wait at a quick endpoint that fell dark.
TEST(endpoint_load, an_endpoint_of_slow_answers_stalls_later_than_a_quick_one) {
    const auto silence_after = [](milliseconds usual, const call_load& load_of_call = {}) {
        endpoint_load load;
        auto now = start;
        ticket_id ticket = 0;
        for (int n = 0; n < 20; ++n) {
            load.sent(++ticket, load_of_call, now);
            now += usual;
            load.data_received(now);
            load.started(ticket, now);
            load.ended(ticket, false, now);
        }
        load.sent(++ticket, load_of_call, now);
        const auto sent = now;
        while (!load.stalled(now)) {
            now += milliseconds{10};
        }
        return now - sent;
    };
    EXPECT_LE(silence_after(milliseconds{200}), endpoint_load::silence_timeout + milliseconds{10});
    EXPECT_GT(silence_after(milliseconds{1'800}), milliseconds{1'800});
    EXPECT_LT(silence_after(milliseconds{1'800}), 2 * milliseconds{1'800});
    {
        SCOPED_TRACE(
            "no answer is waited for without a bound, and an engine's first events tell nothing of its streams");
        EXPECT_LE(silence_after(seconds{20}), endpoint_load::max_usual_answer_time + milliseconds{10});
        EXPECT_LE(silence_after(milliseconds{1'800}, call_load{0.0, 100.0}),
                  endpoint_load::silence_timeout + milliseconds{10});
    }
}

// Guards against prompts that count as kept by a process that has just started under its old name.
TEST(endpoint_load, a_new_process_keeps_nothing) {
    endpoint_load load;
    load.cache().set_capacity(1'000);
    load.follow_process(7);
    load.cache().use(1, 100);
    const std::vector<prompt_part> prompt{{1, 100}};
    load.follow_process(7);
    EXPECT_EQ(load.cache().cached_tokens(prompt), 100);
    load.follow_process(8);
    EXPECT_EQ(load.cache().cached_tokens(prompt), 0);
}

// Guards against teams that pay for ever for a past flood, and against idle time that is saved up.
TEST(team_usage, only_recent_service_of_all_routers_counts) {
    team_usage usage;
    usage.add(team_id{"a"}, 1'000.0, start);
    usage.update_peer(host_id{"r2"},
                      {team_usage_entry{team_id{"a"}, 500.0, 0.0}, team_usage_entry{team_id{"b"}, 100.0, 20.0},
                       team_usage_entry{team_id{"c"}, 300.0, 200.0}},
                      start);
    EXPECT_NEAR(usage.used(team_id{"a"}, start + seconds{1}), 1'500.0, 1.0);
    EXPECT_NEAR(usage.min_refused_usage(start + seconds{1}), 100.0, 1.0);
    EXPECT_NEAR(usage.max_usage(start + seconds{1}), 1'500.0, 1.0);
    EXPECT_NEAR(usage.used(team_id{"a"}, start + seconds{5}), 0.0, 1.0);
    EXPECT_TRUE(std::isinf(usage.min_refused_usage(start + seconds{5}))) << "nobody is refused any more";
}

// Guards against the pattern "more calls than a small host can decide about": rounds at a fixed interval that take all
// of its processor time, while no new connection is accepted.
TEST(round_pacer, rounds_leave_time_to_connections) {
    constexpr std::size_t few = 1;
    round_pacer pacer;
    EXPECT_EQ(pacer.interval(false), round_pacer::idle_interval);
    EXPECT_EQ(pacer.interval(true), round_pacer::busy_interval) << "quick rounds follow each other closely";
    for (const auto round : {milliseconds{1}, milliseconds{5}, milliseconds{20}, milliseconds{60}}) {
        pacer.record_round(round, few);
        EXPECT_LE(round * round_pacer::parts, pacer.interval(true) + round);
    }
    {
        SCOPED_TRACE("a round that took very long once does not stop the next ones");
        pacer.record_round(seconds{5}, few);
        EXPECT_EQ(pacer.interval(true), round_pacer::max_interval);
    }
}

// Guards against rounds so long that calls are sent on whose callers left during them, and against a queue that
// stays short after its host has become quick again.
TEST(round_pacer, as_many_calls_may_wait_as_a_short_round_decides) {
    round_pacer pacer;
    EXPECT_GE(pacer.max_waiting(), 2'000) << "nothing is known yet";
    pacer.record_round(milliseconds{200}, 100);
    EXPECT_EQ(pacer.max_waiting(), 25);
    pacer.record_round(milliseconds{25}, 25);
    EXPECT_EQ(pacer.max_waiting(), 50);
    pacer.record_round(seconds{2}, 50);
    EXPECT_EQ(pacer.max_waiting(), round_pacer::min_waiting);
    pacer.record_round(milliseconds{100}, 3);
    EXPECT_EQ(pacer.max_waiting(), round_pacer::min_waiting) << "a round with hardly any calls tells nothing";
}

} // namespace
} // namespace dandelionbay
