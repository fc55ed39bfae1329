#include "dandelionbay/bench/run.hpp"

#include <algorithm>
#include <limits>
#include <sstream>

#include <gtest/gtest.h>

#include "dandelionbay/base/latency_histogram.hpp"
#include "dandelionbay/bench/engine_times.hpp"
#include "dandelionbay/bench/fairness_meter.hpp"
#include "dandelionbay/bench/recorder.hpp"
#include "dandelionbay/bench/split_meter.hpp"

namespace dandelionbay::bench {
namespace {

using namespace std::chrono_literals;

// Guards against figures that can't be repeated, and against a resent order that would not be one.
TEST(bench, equal_seeds_give_equal_arrivals) {
    for (const auto& it : scenarios()) {
        SCOPED_TRACE(it.name);
        const auto plan = plan_arrivals(it, 10s, 7);
        EXPECT_EQ(plan, plan_arrivals(it, 10s, 7));
        EXPECT_NE(plan, plan_arrivals(it, 10s, 8));
        EXPECT_TRUE(std::ranges::is_sorted(plan, {}, &arrival::at));
    }
    EXPECT_EQ(find_scenario("bogus"), nullptr);
}

// Guards against a quantile from the wrong bin and against times outside the range that are not counted.
TEST(bench, histogram_reads_quantiles_within_its_resolution) {
    latency_histogram it;
    EXPECT_EQ(it.quantile_ms(0.5), 0);
    for (int i = 1; i <= 100; ++i) {
        it.add(i * 1ms);
    }
    EXPECT_NEAR(it.quantile_ms(0.5), 50, 0.6);
    EXPECT_NEAR(it.quantile_ms(0.95), 95, 1.1);
    it.add(0ms);
    it.add(2h);
    EXPECT_EQ(it.summary()["count"], 102);
}

// Guards against a gap that counts time in which only one of the teams is backlogged.
TEST(bench, fairness_gap_covers_only_time_in_which_both_teams_are_backlogged) {
    fairness_meter meter;
    const auto add = [&](team_sample a, team_sample b) { meter.add({a, b, {}, {}}, 20ms); };
    add({0, true}, {0, false});
    add({500, true}, {0, false});
    EXPECT_EQ(meter.gap(), 0);
    {
        SCOPED_TRACE("the second team joins; only the service from here on counts");
        add({500, true}, {0, true});
        add({530, true}, {0, true});
        add({530, true}, {40, true});
        EXPECT_EQ(meter.gap(), 40);
    }
    {
        SCOPED_TRACE("a new interval starts after the second team was idle");
        add({900, true}, {40, false});
        add({900, true}, {40, true});
        add({910, true}, {40, true});
        EXPECT_EQ(meter.gap(), 40);
    }
    EXPECT_EQ(meter.contended(), 100ms);
}

// Guards against a bound with a wrong rate, and against a cost gap that leaves out the input.
TEST(bench, fairness_meter_measures_cost_and_its_rate) {
    fairness_meter meter;
    const auto add = [&](std::int64_t a, std::int64_t b) { meter.add({{{0, true, a}, {0, true, b}, {}, {}}}, 500ms); };
    add(1000, 0);
    add(1100, 0);
    EXPECT_EQ(meter.rate(), 0) << "half a second";
    add(1100, 300);
    EXPECT_DOUBLE_EQ(meter.rate(), 400);
    add(1150, 300);
    add(1150, 350);
    EXPECT_DOUBLE_EQ(meter.rate(), 400) << "the next second is slower";
    EXPECT_EQ(meter.gap(), 0);
    EXPECT_EQ(meter.cost_gap(), 300) << "from 1100 ahead to 800 ahead";
    EXPECT_EQ(meter.widest(), (widest_gap{1, 0, 1000ms, 1500ms}));
}

// Guards against a mean that contains the first second or the event, and against a worst second before the event.
TEST(bench, worst_second_is_compared_with_the_mean_before_the_event) {
    const std::vector<second_of_service> seconds{{1, 0}, {38, 0}, {42, 0}, {30, 0}, {20, 0}, {50, 0}};
    const auto it = worst_second(seconds, 3);
    EXPECT_EQ(it["second"], 5);
    EXPECT_EQ(it["complete"], 20);
    EXPECT_EQ(it["mean_before"], 40);
    EXPECT_EQ(it["ratio"], 0.5);
    EXPECT_EQ(worst_second(seconds, 1)["ratio"], nullptr);
    EXPECT_EQ(worst_second(seconds, 6), nullptr);
}

// Guards against dossiers that are as short as chats, which would not measure fairness between them.
TEST(bench, dossiers_cost_a_multiple_of_a_chat) {
    const auto plan = plan_arrivals(*find_scenario("dossiers"), 2s, 1);
    std::uint32_t cheapest_dossier = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t dearest_chat = 0;
    for (const auto& it : plan) {
        if (!it.is_order()) {
            cheapest_dossier = it.team < 2 ? std::min(cheapest_dossier, cost_of(it)) : cheapest_dossier;
            dearest_chat = it.team < 2 ? dearest_chat : std::max(dearest_chat, cost_of(it));
        }
    }
    EXPECT_GT(cheapest_dossier, 7 * dearest_chat);
}

// Guards against times of one call that are taken for another's, and against memory of finished calls.
TEST(bench, engine_times_belong_to_one_call) {
    engine_times it;
    it.add({"a\n", 50ms});
    it.add({"b\n", 70ms});
    it.add({"a\n", 61ms});
    EXPECT_EQ(it.find("a\n", 0), duration{50ms});
    EXPECT_EQ(it.find("a\n", 1), duration{11ms});
    EXPECT_EQ(it.find("b\n", 0), duration{70ms});
    EXPECT_EQ(it.find("b\n", 1), std::nullopt);
    it.remove("b\n");
    EXPECT_EQ(it.find("b\n", 0), std::nullopt);
}

// Guards against a report that lacks a figure, against answers that are cut, lost, doubled or another caller's, and
// against control traffic over the limit.
TEST(bench, steady_run_reports_all_figures_and_breaks_no_answer) {
    std::ostringstream progress;
    const auto figures = run_bench({*find_scenario("steady"), 2s, 1}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    for (const auto* key :
         {"requests_per_s", "complete", "refused_by_code", "cut", "lost", "doubled", "ttft_ms", "inter_token_ms",
          "utilisation_ratio", "control_bytes_per_node_s", "fairness_gap_tokens", "late_grants_after_5s",
          "fairness_bound_tokens", "fairness_bound_terms", "control_cpu_ratio", "utilisation_of_central_queue",
          "requests_per_s_of_central_queue", "baselines"}) {
        EXPECT_TRUE(figures->contains(key)) << key;
    }
    for (const auto* key : {"ttft_ms", "inter_token_ms", "ttft_added_ms", "inter_token_added_ms"}) {
        for (const auto* quantile : {"p50", "p95", "p99"}) {
            EXPECT_GT((*figures)[key][quantile], 0) << key << ' ' << quantile;
        }
    }
    for (const auto* policy : {"round_robin", "per_router_fairness", "central_queue"}) {
        for (const auto* key : {"fairness_gap_tokens", "utilisation_ratio", "requests_per_s", "ttft_ms"}) {
            EXPECT_TRUE(figures->at("baselines").at(policy).contains(key)) << policy << ' ' << key;
        }
    }
    for (const auto* key : {"cut", "lost", "doubled", "wrong"}) {
        EXPECT_EQ((*figures)[key], 0) << *figures;
    }
    EXPECT_GT((*figures)["control_cpu_ratio"], 0);
    EXPECT_LT((*figures)["ttft_added_ms"]["p50"], (*figures)["ttft_ms"]["p50"]);
    EXPECT_EQ((*figures)["ttft_added_ms"]["count"], (*figures)["ttft_ms"]["count"]);
    EXPECT_GT((*figures)["complete"], 0);
    EXPECT_GT((*figures)["control_bytes_per_node_s"], 0);
    // Limit of design section 1.4.
    EXPECT_LE((*figures)["control_bytes_per_node_s"], 9'000);
    EXPECT_NE(progress.str().find("second 1: "), std::string::npos) << progress.str();
}

// Guards against an endpoint in cold start that gets more than it bears, and against a run without the restart.
TEST(bench, cold_run_restarts_an_engine_and_overruns_no_cold_start) {
    std::ostringstream progress;
    const auto figures = run_bench({*find_scenario("cold"), 6s, 1, 1s}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    EXPECT_EQ((*figures)["cold_violations"], 0) << *figures;
    EXPECT_EQ((*figures)["doubled"], 0);
    EXPECT_NE(progress.str().find("restarted cold"), std::string::npos) << progress.str();
    EXPECT_TRUE((*figures)["worst_second"].is_object());
}

// Guards against refusals of orders that may have run while the store is down, and against chats that need the store.
TEST(bench, store_outage_run_serves_chats_and_refuses_orders_as_not_run) {
    std::ostringstream progress;
    const auto figures = run_bench({*find_scenario("store-outage"), 6s, 1, 1s}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    const auto& orders = (*figures)["orders_by_outcome"];
    EXPECT_GT(orders.value("refused_not_run", 0), 0) << *figures;
    EXPECT_FALSE(orders.contains("refused_unknown")) << *figures;
    std::uint64_t refused = 0;
    for (const auto& [code, n] : (*figures)["refused_by_code"].items()) {
        refused += n.get<std::uint64_t>();
    }
    EXPECT_EQ(refused, orders["refused_not_run"]) << "a chat was refused: " << *figures;
    for (const auto* key : {"doubled", "cut", "lost", "wrong"}) {
        EXPECT_EQ((*figures)[key], 0) << key << *figures;
    }
}

// Guards against figures of one part or region that contain another's, and against a return that counts from the split.
TEST(bench, split_meter_keeps_parts_and_regions_apart) {
    split_meter meter;
    const auto add = [&](split_part part, std::int64_t west, std::int64_t east, std::uint64_t refused, double bytes) {
        std::array<region_sample, router_count> now;
        now[0].teams[0] = {west, true, 2 * west};
        now[0].teams[1] = {0, true, 0};
        now[1].teams[0] = {east, true, 2 * east};
        if (refused > 0) {
            now[1].refused["3004"] = refused;
        }
        meter.add(part, now, now[0].teams, 500ms, bytes);
    };
    add(split_part::before, 10, 10, 0, 100);
    add(split_part::before, 15, 20, 0, 500);
    add(split_part::split, 20, 20, 7, 600);
    add(split_part::split, 40, 20, 9, 1'300);
    add(split_part::after, 60, 20, 10, 1'400);
    add(split_part::after, 70, 25, 10, 1'500);
    add(split_part::after, 80, 35, 12, 1'700);
    const auto it = meter.report({"west", "east"}, 2);
    const auto& split = it["parts"][1];
    EXPECT_EQ(split["part"], "split");
    EXPECT_EQ(split["from_s"], 1.0);
    EXPECT_EQ(split["until_s"], 2.0);
    EXPECT_EQ(split["control_bytes_per_node_s"], 400);
    EXPECT_EQ(split["regions"]["west"]["tokens"], 25);
    EXPECT_EQ(split["regions"]["west"]["fairness"]["gap_tokens"], 20) << "from 20 ahead to 40 ahead";
    EXPECT_EQ(split["regions"]["east"]["tokens"], 0);
    EXPECT_EQ(split["regions"]["east"]["refused_by_code"], (nlohmann::json{{"3004", 9}}));
    EXPECT_EQ(split["regions"]["east"]["fairness"]["contended_s"], 0.0);
    EXPECT_EQ(it["parts"][2]["regions"]["east"]["refused_by_code"], (nlohmann::json{{"3004", 3}}));
    EXPECT_EQ(it["rejoin"]["east"]["first_token_after_s"], 1.0);
    EXPECT_EQ(it["rejoin"]["east"]["service_back_after_s"], 1.5) << "the last refusal";
    EXPECT_EQ(it["rejoin"]["west"]["service_back_after_s"], 0.5);
}

// Guards against a split that cuts nothing, an isolated region that serves or refuses with a wrong promise, one that
// the split of the other region stops, and a region that does not serve again after the rejoin.
TEST(bench, region_split_run_stops_the_east_alone_and_brings_it_back) {
    std::ostringstream progress;
    const auto figures = run_bench({*find_scenario("region-split"), 16s, 1, 1s}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    const auto& split = (*figures)["split"];
    ASSERT_EQ(split["parts"].size(), 3) << *figures;
    const auto& regions = split["parts"][1]["regions"];
    EXPECT_GT(regions["east"]["refused_by_code"].value("3004", 0), 0) << split;
    EXPECT_GT(regions["west"]["tokens"], 0);
    EXPECT_TRUE(regions["west"]["refused_by_code"].empty()) << split;
    EXPECT_TRUE(split["rejoin"]["east"]["service_back_after_s"].is_number()) << split;
    {
        SCOPED_TRACE("nothing of the east completes once it refuses, 5 s after the split at 2.4 s, until 9.6 s");
        EXPECT_EQ(split["service_by_second"]["east"][8]["complete"], 0) << split;
        EXPECT_GT(split["service_by_second"]["west"][8]["complete"], 0) << split;
        EXPECT_GT(split["service_by_second"]["east"][15]["complete"], 0) << split;
    }
    for (const auto* key : {"doubled", "wrong"}) {
        EXPECT_EQ((*figures)[key], 0) << key << *figures;
    }
}

// Guards against a restart of routers that breaks or refuses calls although a balancer sends them elsewhere, and
// against a run that leaves the routers out (R9).
TEST(bench, rolling_restart_run_replaces_all_hosts_and_breaks_no_answer) {
    std::ostringstream progress;
    const auto figures = run_bench({*find_scenario("rolling-restart"), 16s, 1, 1s}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    EXPECT_EQ((*figures)["agents_restarted"], 6);
    EXPECT_EQ((*figures)["routers_restarted"], 2);
    // A resent order may meet the first one while it runs, which is no fault of the restart.
    const auto& refused = (*figures)["refused_by_code"];
    const auto in_progress = refused.value("1008", std::uint64_t{0});
    EXPECT_EQ((*figures)["complete"].get<std::uint64_t>() + in_progress, (*figures)["offered"]) << *figures;
    for (const auto* key : {"doubled", "cut", "lost", "wrong"}) {
        EXPECT_EQ((*figures)[key], 0) << key << *figures;
    }
}

} // namespace
} // namespace dandelionbay::bench
