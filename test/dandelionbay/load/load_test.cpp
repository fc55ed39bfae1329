#include "dandelionbay/load/run.hpp"

#include <sstream>

#include <gtest/gtest.h>

#include "dandelionbay/app/dev_fleet.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/load/caller.hpp"
#include "dandelionbay/load/plan.hpp"
#include "dandelionbay/load/tally.hpp"
#include "dandelionbay/net/cut_answers.hpp"
#include "dandelionbay/platform/answering_server.hpp"
#include "dandelionbay/settings/process_settings.hpp"

namespace dandelionbay::load {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

load_profile example() {
    const auto text = read_file(DANDELIONBAY_SOURCE_DIR "/examples/load/dev.json");
    auto profile = text.ok() ? check_profile(*text) : text.status();
    EXPECT_TRUE(profile.ok()) << profile.status();
    return profile.ok() ? *profile : load_profile{};
}

// Guards against a check that stops at the first fault, passes over one or names the wrong place.
TEST(load, names_every_fault_of_a_profile) {
    const std::string faulty = R"({"colour": "red", "teams": [
        {"name": "a b", "token": "", "model": 3, "rate": 0, "streamed": 1.5, "connections": 0, "x": 1},
        {"name": "t", "token": "t", "model": "", "rate": "1", "prompt_tokens": {"min": 0, "max": 1.5, "y": 1},
         "output_tokens": {"min": 9, "max": 3}, "orders": {"path": "orders", "body": [], "rate": 1e9, "z": 1}},
        {"name": "t", "orders": 1, "prompt_tokens": {"min": 1}}, 7]})";
    const auto message = std::string{check_profile(faulty).status().message()};
    for (const auto* path : {"$.colour: unknown",
                             "[0].name: ",
                             "[0].token: ",
                             "[0].model: ",
                             "[0].rate: ",
                             "[0].streamed: ",
                             "[0].connections: ",
                             "[0].x: unknown",
                             "[1].model: ",
                             "[1].rate: ",
                             "[1].prompt_tokens.min: ",
                             "[1].prompt_tokens.max: ",
                             "[1].prompt_tokens.y: unknown",
                             "[1].output_tokens.max: ",
                             "[1].orders.service: is missing",
                             "[1].orders.path: ",
                             "[1].orders.body: ",
                             "[1].orders.rate: ",
                             "[1].orders.z: unknown",
                             "[2].name: ",
                             "[2].token: is missing",
                             "[2].model: is missing",
                             "[2].rate: is missing",
                             "[2].orders: ",
                             "[2].prompt_tokens.max: is missing",
                             "[3]: "}) {
        EXPECT_NE(message.find(path), std::string::npos) << path << " in\n" << message;
    }
    for (const auto* text : {"", "[]", "{}", R"({"teams": []})", R"({"teams": {}})"}) {
        EXPECT_TRUE(absl::IsInvalidArgument(check_profile(text).status())) << text;
    }
    {
        SCOPED_TRACE("more threads than the bound");
        json many{{"teams", json::array()}};
        for (const auto* name : {"a", "b"}) {
            many["teams"].push_back(
                {{"name", name}, {"token", "t"}, {"model", "m"}, {"rate", 1}, {"connections", 600}});
        }
        EXPECT_NE(check_profile(many.dump()).status().message().find("found 1200"), absl::string_view::npos);
    }
}

// Guards against figures that can't be repeated and lengths outside the range.
TEST(load, plan_follows_seed_and_profile) {
    const auto profile = example();
    const auto plan = plan_calls(profile, 20s, 7);
    EXPECT_EQ(plan, plan_calls(profile, 20s, 7));
    EXPECT_NE(plan, plan_calls(profile, 20s, 8));
    ASSERT_EQ(plan.size(), 3U);
    for (const auto& it : plan[0].calls) {
        EXPECT_TRUE(it.prompt_tokens >= 20 && it.prompt_tokens <= 200);
        EXPECT_TRUE(it.output_tokens >= 16 && it.output_tokens <= 48);
    }
    EXPECT_EQ(prompt_text("p", 50).size(), 200U);
}

// Guards against a target that is taken for another host or port.
TEST(load, target_is_an_http_url) {
    EXPECT_EQ(*parse_target("http://fleet.example"), (load_target{"fleet.example", 80}));
    EXPECT_EQ(*parse_target("http://127.0.0.1:8080/"), (load_target{"127.0.0.1", 8080}));
    EXPECT_EQ(*parse_target("http://[::1]:81"), (load_target{"::1", 81}));
    for (const auto* url : {"", "https://a", "http://", "http://:1", "http://a:0", "http://a:65536", "http://a/b",
                            "http://[::1", "http://a:b", "http://u@a"}) {
        EXPECT_FALSE(parse_target(url).ok()) << url;
    }
}

/*! Calls of one object of the figures that ended in some way. */
std::uint64_t ended(const json& figures) {
    std::uint64_t sum = 0;
    for (const auto* key : {"complete", "cut", "lost", "unsent"}) {
        sum += figures[key].get<std::uint64_t>();
    }
    for (const auto& it : figures["refused_by_code"]) {
        sum += it.get<std::uint64_t>();
    }
    return sum;
}

// Guards against calls that no figure counts, refusals without their code, and busy threads that hide late calls.
TEST(load, development_fleet_serves_the_example_and_refuses_a_wrong_token) {
    app::dev_fleet fleet{app::dev_options{}};
    ASSERT_TRUE(fleet.start().ok());
    auto profile = example();
    profile.teams.push_back({"nobody", "wrong-token", "dev-model", 10});
    team_profile narrow{"narrow", "dev-team-3", "dev-model", 40};
    narrow.connections = 1;
    profile.teams.push_back(narrow);
    std::ostringstream progress;
    const load_target target{"127.0.0.1", fleet.routers().front()->caller_port()};
    const auto figures = run_load({profile, target, 3s, 1, 1s}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    SCOPED_TRACE(figures->dump(2));
    const auto& teams = (*figures)["teams"];
    EXPECT_EQ(ended(*figures), (*figures)["offered"]);
    for (const auto* name : {"team-1", "team-2", "nobody", "narrow"}) {
        EXPECT_EQ(ended(teams[name]), teams[name]["offered"]) << name;
    }
    EXPECT_EQ(teams["team-1"]["complete"], teams["team-1"]["offered"]);
    EXPECT_EQ(teams["nobody"]["complete"], 0);
    EXPECT_EQ(teams["nobody"]["refused_by_code"].size(), 1U);
    EXPECT_GT(teams["narrow"]["no_free_thread"], 0);
    EXPECT_GT(teams["narrow"]["unsent"], 0);
    for (const auto* key : {"latency_ms", "ttft_ms", "inter_token_ms"}) {
        EXPECT_GT((*figures)[key]["p99"], 0) << key;
    }
    EXPECT_GT((*figures)["tokens_per_s"], 0);
    EXPECT_NE(progress.str().find("second 3: "), std::string::npos) << progress.str();
    std::uint64_t orders = 0;
    for (const auto& it : fleet.services()) {
        orders += it->runs().size();
    }
    EXPECT_GT(orders, 0U);
}

// Guards against an unreachable fleet that looks like an idle one.
TEST(load, calls_without_an_answer_are_lost) {
    load_profile profile;
    profile.teams.push_back({"a", "t", "m", 20});
    std::ostringstream progress;
    const auto figures = run_load({profile, {"127.0.0.1", 1}, 1s, 1, 1s}, progress);
    ASSERT_TRUE(figures.ok()) << figures.status();
    EXPECT_GT((*figures)["offered"], 0);
    EXPECT_EQ((*figures)["lost"], (*figures)["offered"]) << *figures;
}

// Guards against answers that were cut and that the figures count as complete.
TEST(load, a_call_whose_answer_is_cut_is_not_complete) {
    const std::string fields = "Content-Type: text/plain\r\n";
    const auto whole = whole_answers(fields, false);
    const auto cut = cut_answers(fields);
    platform::answering_server server;
    const auto start = monotonic_clock{}.now();
    team_profile team{"a", "t", "m", 20};
    team.orders = order_profile{"desk", "/orders", 1};
    const load_target target{"127.0.0.1", server.address().port};
    tally results{{"a"}, start, 60};
    const caller sender{team, 0, target, results};
    for (const auto& it : whole) {
        server.answer(it);
        sender.send(planned_call{}, "1", start);
    }
    EXPECT_EQ(results.report()["complete"], whole.size());
    for (const auto& it : cut) {
        server.answer(it);
        sender.send(planned_call{}, "1", start);
        ASSERT_EQ(results.report()["complete"], whole.size()) << it;
    }
}

} // namespace
} // namespace dandelionbay::load
