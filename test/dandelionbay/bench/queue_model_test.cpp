#include "dandelionbay/bench/queue_model.hpp"

#include <gtest/gtest.h>

namespace dandelionbay::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::array all_policies{queue_policy::round_robin, queue_policy::per_router_fairness,
                                  queue_policy::central_queue};

arrival chat(duration at, std::size_t team, std::size_t router, std::uint32_t tokens) {
    return {at, team, router, tokens, "a prompt"};
}

queue_model_options engines_with(std::size_t engines, std::uint32_t slots) {
    queue_model_options out;
    out.engines = engines;
    out.engine.slots = slots;
    return out;
}

// Guards against a model that leaves out the first token's delay, an interval, the wait for a slot or idle time.
TEST(bench, queue_model_times_follow_from_the_engines_parameters) {
    for (const auto policy : all_policies) {
        SCOPED_TRACE(name_of(policy));
        {
            SCOPED_TRACE("one slot: 50 ms and two intervals of 10 ms, then the second call's 50 ms and no interval");
            const auto it = run_queue_model(policy, {chat(0ms, 0, 0, 3), chat(0ms, 0, 0, 1)}, 1s, engines_with(1, 1));
            EXPECT_EQ(it["requests_per_s"], 2);
            EXPECT_NEAR(it["utilisation_ratio"], 0.12, 1e-9);
            EXPECT_NEAR(it["ttft_ms"]["p50"], 50, 0.6);
            EXPECT_NEAR(it["ttft_ms"]["p99"], 120, 1.3);
        }
        {
            SCOPED_TRACE("two slots: the interval after a token grows while another call runs");
            auto options = engines_with(1, 2);
            options.engine.interval_growth = 0.5;
            const auto it = run_queue_model(policy, {chat(0ms, 0, 0, 2), chat(0ms, 1, 0, 3)}, 1s, options);
            // Both make their first token after 50 ms and plan the second 15 ms later; the third follows alone.
            EXPECT_NEAR(it["utilisation_ratio"], (0.065 + 0.075) / 2, 1e-9);
        }
    }
}

// Guards against figures that differ between two calculations, and against work beyond the load's end that counts.
TEST(bench, queue_model_repeats_its_figures_and_counts_the_load_only) {
    const auto plan = plan_arrivals(*find_scenario("skew"), 2s, 3);
    EXPECT_EQ(run_baselines(plan, 2s, {}), run_baselines(plan, 2s, {}));
    const auto it = run_baselines(plan, 2s, {});
    for (const auto policy : all_policies) {
        const auto& figures = it.at(std::string{name_of(policy)});
        EXPECT_LE(figures["utilisation_ratio"], 1);
        EXPECT_GT(figures["utilisation_ratio"], 0.9);
        std::int64_t tokens = 0;
        for (const auto& call : plan) {
            tokens += call.tokens;
        }
        EXPECT_EQ(figures["tokens_by_team"].get<std::vector<std::int64_t>>().size(), team_count);
        std::int64_t made = 0;
        for (const std::int64_t n : figures["tokens_by_team"]) {
            made += n;
        }
        EXPECT_EQ(made, tokens);
    }
}

// Guards against baselines that do not differ in what they are for: sharing between teams and between routers.
TEST(bench, queue_model_policies_share_as_they_are_named) {
    std::vector<arrival> plan;
    for (int i = 0; i < 150; ++i) {
        plan.push_back(chat(i * 1us, 0, 0, 20));
        plan.push_back(chat(i * 1us, 1, 1, 20));
        plan.push_back(chat(i * 1us, 2, 1, 20));
        if (i % 10 == 0) {
            plan.push_back(chat(i * 1us, 3, 1, 20));
        }
    }
    const auto it = run_baselines(plan, 4s, engines_with(2, 4));
    const auto gap = [&](const char* policy) { return it.at(policy)["fairness_gap_tokens"].get<std::int64_t>(); };
    EXPECT_LE(gap("central_queue"), 2 * (20 + 20));
    EXPECT_GT(gap("per_router_fairness"), 5 * gap("central_queue"));
    EXPECT_GT(gap("round_robin"), gap("central_queue"));
}

// Guards against work that starts on engines out of service, and against engines that stay out.
TEST(bench, queue_model_starts_no_work_on_engines_out_of_service) {
    auto options = engines_with(2, 1);
    options.outage = engine_outage{100ms, 400ms, {0}};
    const std::vector plan{chat(200ms, 0, 0, 1), chat(200ms, 0, 1, 1), chat(500ms, 0, 0, 1), chat(500ms, 0, 1, 1)};
    for (const auto policy : all_policies) {
        SCOPED_TRACE(name_of(policy));
        const auto it = run_queue_model(policy, plan, 1s, options);
        EXPECT_NEAR(it["ttft_ms"]["p50"], 50, 0.6);
        EXPECT_NEAR(it["ttft_ms"]["p99"], 100, 1.1);
        EXPECT_NEAR(it["utilisation_ratio"], 4 * 0.05 / 2, 1e-9);
    }
}

// Guards against calls that the callers could not have sent, and against such that are dropped without being counted.
TEST(bench, queue_model_sends_no_more_than_the_lanes_hold) {
    auto options = engines_with(1, 8);
    options.calls_per_lane = 1;
    options.last_send = 60ms;
    const std::vector plan{chat(0ms, 0, 0, 1), chat(0ms, 0, 0, 2), chat(0ms, 0, 0, 1)};
    for (const auto policy : all_policies) {
        const auto it = run_queue_model(policy, plan, 1s, options);
        EXPECT_EQ(it["requests_per_s"], 2) << "the third call's turn comes after 110 ms";
        EXPECT_NEAR(it["utilisation_ratio"], (0.05 + 0.06) / 8, 1e-9);
    }
}

} // namespace
} // namespace dandelionbay::bench
