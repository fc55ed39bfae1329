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

// Guards against shares of a cold endpoint's rate that add up to more than the endpoint accepts.
TEST(cold_rate_limiter, the_shares_of_all_routers_add_up_to_the_rate) {
    for (std::size_t routers = 1; routers <= 30; ++routers) {
        std::size_t sum = 0;
        for (std::size_t rank = 0; rank < routers; ++rank) {
            sum += cold_rate_limiter::share(13.9, routers, rank);
        }
        EXPECT_EQ(sum, 13) << routers << " routers";
    }
    EXPECT_EQ(cold_rate_limiter::share(0.5, 3, 0), 1) << "an endpoint without calls never becomes warm";
}

// Guards against retries that amplify a failure: in no window may all routers together exceed the fleet's limit.
TEST(retry_window, the_retries_of_all_routers_stay_within_the_limit) {
    const retry_limits limits{0.2, 50.0, seconds{10}};
    constexpr std::size_t routers = 4;
    std::vector<retry_window> windows(routers, retry_window{limits});
    std::mt19937 random{7};
    std::uniform_int_distribution<std::size_t> pick{0, routers - 1};
    std::deque<time_point> calls;
    std::deque<time_point> retries;
    for (auto now = start; now < start + seconds{60}; now += milliseconds{5}) {
        auto& it = windows[pick(random)];
        it.record_call(now);
        calls.push_back(now);
        if (it.try_acquire(routers, now)) {
            retries.push_back(now);
        }
        for (auto* const list : {&calls, &retries}) {
            while (now - list->front() >= seconds{10}) {
                list->pop_front();
            }
        }
        const double allowed = limits.ratio * static_cast<double>(calls.size()) + limits.slack;
        ASSERT_LE(static_cast<double>(retries.size()), allowed);
    }
    EXPECT_GT(retries.size(), 100) << "the limit is used";
}

// Guards against prompts that count as cached although their earlier parts were evicted.
TEST(prefix_cache, least_recently_used_parts_are_evicted_and_later_parts_need_the_earlier_ones) {
    prefix_cache cache;
    cache.set_capacity(1'000);
    const std::vector<prompt_part> first{{1, 400}, {2, 200}};
    const std::vector<prompt_part> second{{1, 400}, {3, 300}};
    cache.record_use(first);
    EXPECT_EQ(cache.cached_tokens(first), 600);
    EXPECT_EQ(cache.cached_tokens(second), 400);
    cache.record_use(second);
    EXPECT_EQ(cache.cached_tokens(second), 700);
    cache.record_use(9, 200);
    EXPECT_EQ(cache.cached_tokens(first), 400) << "the part that only the first prompt used was evicted";
    cache.set_capacity(500);
    EXPECT_EQ(cache.cached_tokens(second), 0) << "without its first part the rest of a prompt is useless";
    cache.clear();
    EXPECT_EQ(cache.cached_tokens(second), 0);
}

// Guards against a backlog that includes only one router's calls, and against a backlog that remains after its calls
// ended.
TEST(endpoint_load, the_backlog_counts_the_calls_of_all_routers_and_falls_as_answers_start) {
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
        SCOPED_TRACE("the report of a silent peer expires");
        EXPECT_EQ(load.calls(start + seconds{2}), 0);
    }
    {
        SCOPED_TRACE("slow answers lower the expected prefill rate");
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

// Guards against a cached sum of the peers' work that misses a change: a new report, an expired one, or a peer that
// returns with the same work as before.
TEST(endpoint_load, work_of_peers_counts_while_their_reports_are_valid) {
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
    EXPECT_EQ(load.calls(expired + milliseconds{1}), 3) << "the peer is back with the same work";
    load.update_peer(second, {}, expired + milliseconds{2});
    EXPECT_EQ(load.calls(expired + milliseconds{2}), 1);
    EXPECT_EQ(load.calls(start + seconds{10}), 0);
}

// Guards against an incrementally updated sum that drifts away from the sum of the valid reports.
TEST(endpoint_load, the_sum_of_many_reports_is_that_of_the_valid_ones) {
    struct peer_report {
        endpoint_work work{};
        time_point reported_at{};
    };
    std::mt19937 random{7};
    const auto below = [&](int n) { return std::uniform_int_distribution{0, n - 1}(random); };
    endpoint_load load;
    std::map<host_id, peer_report> reports;
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
            continue; // Several reports arrive between two reads.
        }
        double memory = 0.0;
        std::uint32_t calls = 0;
        for (const auto& [name, it] : reports) {
            if (now - it.reported_at < endpoint_load::peer_report_timeout) {
                memory += it.work.memory_tokens;
                calls += it.work.calls;
            }
        }
        ASSERT_EQ(load.calls(now), calls) << "step " << step;
        ASSERT_NEAR(load.memory_tokens(now), memory, 1e-6) << "step " << step;
    }
}

// Guards against a dead endpoint that counts as alive because its router did not read from connections for some
// time.
TEST(endpoint_load, a_reset_of_the_silence_timer_does_not_count_as_received_data) {
    endpoint_load load;
    load.data_received(start);
    load.sent(1, call_load{}, start);
    const auto later = start + seconds{5};
    EXPECT_TRUE(load.is_stalled(later));
    load.reset_silence(later);
    EXPECT_FALSE(load.is_stalled(later));
    EXPECT_EQ(load.last_data_at(), start);
    load.data_received(later);
    EXPECT_EQ(load.last_data_at(), later);
}

// Guards against calls that wait or are refused while their endpoint is idle, because an order runs there that takes
// as long as its orders usually do, and against a long wait at a fast endpoint that died.
TEST(endpoint_load, an_endpoint_with_slow_answers_counts_as_stalled_later_than_a_fast_one) {
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
        while (!load.is_stalled(now)) {
            now += milliseconds{10};
        }
        return now - sent;
    };
    EXPECT_LE(silence_after(milliseconds{200}), endpoint_load::silence_timeout + milliseconds{10});
    EXPECT_GT(silence_after(milliseconds{1'800}), milliseconds{1'800});
    EXPECT_LT(silence_after(milliseconds{1'800}), 2 * milliseconds{1'800});
    {
        SCOPED_TRACE(
            "the wait for an answer is bounded, and the first events of an engine say nothing about its streams");
        EXPECT_LE(silence_after(seconds{20}), endpoint_load::max_usual_answer_time + milliseconds{10});
        EXPECT_LE(silence_after(milliseconds{1'800}, call_load{0.0, 100.0}),
                  endpoint_load::silence_timeout + milliseconds{10});
    }
}

// Guards against prompts that count as cached by a process that has just started under the id of a previous one.
TEST(endpoint_load, a_new_process_has_an_empty_prefix_cache) {
    endpoint_load load;
    load.cache().set_capacity(1'000);
    load.set_process_start(7);
    load.cache().record_use(1, 100);
    const std::vector<prompt_part> prompt{{1, 100}};
    load.set_process_start(7);
    EXPECT_EQ(load.cache().cached_tokens(prompt), 100);
    load.set_process_start(8);
    EXPECT_EQ(load.cache().cached_tokens(prompt), 0);
}

// Guards against teams that pay forever for a past burst, and against teams that accumulate credit while idle.
TEST(team_usage, only_recent_usage_at_all_routers_counts) {
    team_usage usage;
    for (auto at = start - team_usage::window + team_usage::slice; at <= start; at += team_usage::slice) {
        usage.add(team_id{"a"}, 125.0, at);
    }
    usage.update_peer(host_id{"r2"},
                      {team_usage_entry{team_id{"a"}, 500.0, 0.0}, team_usage_entry{team_id{"b"}, 100.0, 20.0},
                       team_usage_entry{team_id{"c"}, 300.0, 200.0}},
                      start);
    EXPECT_NEAR(usage.used(team_id{"a"}, start), 1'500.0, 1.0);
    EXPECT_NEAR(usage.min_refused_usage(start), 100.0, 1.0);
    EXPECT_NEAR(usage.max_usage(start), 1'500.0, 1.0);
    EXPECT_NEAR(usage.used(team_id{"a"}, start + seconds{1}), 1'250.0, 1.0);
    EXPECT_NEAR(usage.used(team_id{"a"}, start + seconds{5}), 0.0, 1.0);
    EXPECT_TRUE(std::isinf(usage.min_refused_usage(start + seconds{5}))) << "no team is refused any more";
}

// Guards against the pattern "one refused call of a small team" where gateways count alone: two gateways that refused
// one call each, or a peer of an older build, whose reports have no number of calls, are taken for a single refusal.
TEST(team_usage, refused_calls_count_over_all_routers) {
    const team_id team{"a"};
    team_usage usage;
    const auto report = [&](const char* host, std::uint32_t refused_calls) {
        usage.update_peer(host_id{host}, {team_usage_entry{team, 1'000.0, 100.0, refused_calls}}, start);
    };
    usage.add(team, 1'000.0, start);
    usage.add_refused(team, 200.0, start);
    EXPECT_FALSE(usage.is_often_refused(team, start)) << "one refused call";
    EXPECT_TRUE(std::isinf(usage.min_refused_usage(start)));
    EXPECT_EQ(usage.own(start).front(), (team_usage_entry{team, 1'000.0, 200.0, 1, 0.0, {{1'000.0, 1'200.0}}}));
    report("r2", 1);
    EXPECT_TRUE(usage.is_often_refused(team, start)) << "another one at a peer";
    EXPECT_NEAR(usage.min_refused_usage(start), 2'000.0, 1.0);
    usage.update_peer(host_id{"r2"}, {}, start);
    EXPECT_FALSE(usage.is_often_refused(team, start)) << "no longer in the peer's window";
    report("r3", 0);
    EXPECT_TRUE(usage.is_often_refused(team, start)) << "an unknown number at a peer";
    EXPECT_FALSE(usage.is_often_refused(team, start + seconds{5})) << "no longer in any window";
}

// Guards against the pattern "more calls than a small host can decide about": rounds at a fixed interval that use
// all of its processor time, so that no new connection is accepted.
TEST(round_pacer, rounds_leave_processor_time_for_connections) {
    constexpr std::size_t few = 1;
    round_pacer pacer;
    EXPECT_EQ(pacer.interval(false), round_pacer::idle_interval);
    EXPECT_EQ(pacer.interval(true), round_pacer::busy_interval) << "fast rounds follow at the minimum interval";
    for (const auto round : {milliseconds{1}, milliseconds{5}, milliseconds{20}, milliseconds{60}}) {
        pacer.record_round(round, few);
        EXPECT_LE(round * round_pacer::time_divisor, pacer.interval(true) + round);
    }
    {
        SCOPED_TRACE("one very long round does not stop the next ones");
        pacer.record_round(seconds{5}, few);
        EXPECT_EQ(pacer.interval(true), round_pacer::max_interval);
    }
}

// Guards against rounds so long that calls are sent whose callers left meanwhile, and against a queue limit that
// stays low after the host has become fast again.
TEST(round_pacer, as_many_calls_may_wait_as_a_short_round_handles) {
    round_pacer pacer;
    EXPECT_GE(pacer.max_waiting(), 2'000) << "no round has been recorded";
    pacer.record_round(milliseconds{200}, 100);
    EXPECT_EQ(pacer.max_waiting(), 25);
    pacer.record_round(milliseconds{25}, 25);
    EXPECT_EQ(pacer.max_waiting(), 50);
    pacer.record_round(seconds{2}, 50);
    EXPECT_EQ(pacer.max_waiting(), round_pacer::min_waiting);
    pacer.record_round(milliseconds{100}, 3);
    EXPECT_EQ(pacer.max_waiting(), round_pacer::min_waiting) << "a round with few calls does not change the limit";
}

} // namespace
} // namespace dandelionbay
