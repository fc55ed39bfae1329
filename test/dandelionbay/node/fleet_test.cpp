#include "dandelionbay/node/fleet_fixture.hpp"

#include "dandelionbay/http/event_stream.hpp"

namespace dandelionbay {
namespace {

using namespace std::chrono_literals;
using fleet = testing::fleet_fixture;

// Guards against a break anywhere on the way from a caller to an engine and back.
TEST_F(fleet, a_call_goes_to_the_endpoint_and_back) {
    ASSERT_TRUE(ready()) << router->metrics().render() << engine_agent->metrics().render();
    auto caller = client();
    {
        SCOPED_TRACE("joined answer");
        const auto answer = caller.Post("/v1/chat/completions", chat("hello", 20, false), "application/json");
        ASSERT_TRUE(answer && answer->status == 200);
        const auto body = nlohmann::json::parse(answer->body);
        EXPECT_EQ(body["choices"][0]["message"]["content"], answer_text("hello", 20));
        EXPECT_EQ(body["usage"]["completion_tokens"], 20);
    }
    {
        SCOPED_TRACE("streamed answer");
        const auto answer = caller.Post("/v1/chat/completions", chat("hello", 20, true), "application/json");
        ASSERT_TRUE(answer && answer->status == 200);
        EXPECT_EQ(streamed_text(answer->body), answer_text("hello", 20));
    }
    {
        SCOPED_TRACE("an order runs once, and its resend gets the stored answer");
        const httplib::Headers key{{"Idempotency-Key", "k1"}};
        const auto* const path = "/services/orders/orders";
        const auto first = caller.Post(path, key, R"({"order": "o1"})", "application/json");
        const auto second = caller.Post(path, key, R"({"order": "o1"})", "application/json");
        ASSERT_TRUE(first && second);
        EXPECT_EQ(first->status, 201);
        EXPECT_EQ(second->status, 201);
        EXPECT_EQ(first->body, second->body);
        EXPECT_EQ(orders.runs().at("o1"), 1U);
        const auto without = caller.Post(path, R"({"order": "o2"})", "application/json");
        EXPECT_EQ(without->status, 400);
    }
}

// Guards against polls that read the whole document every time, and against a change that a conditional poll misses.
TEST_F(fleet, polls_read_the_configuration_only_when_it_changed) {
    ASSERT_TRUE(ready());
    const auto reads = [&](const char* result) { return engine_agent->metrics().get("store_reads_total", result); };
    const auto wait_for = [](const auto& condition) {
        for (int n = 0; n < 500 && !condition(); ++n) {
            std::this_thread::sleep_for(10ms);
        }
        return condition();
    };
    const auto whole = reads("ok");
    EXPECT_TRUE(wait_for([&] { return reads("unchanged") >= 5; })) << engine_agent->metrics().render();
    EXPECT_EQ(reads("ok"), whole);
    ASSERT_TRUE(platform->rows().put("config", "fleet", document(), 1).ok());
    EXPECT_TRUE(wait_for([&] { return engine_agent->metrics().get("config_revision") == 2; }));
    platform->set_faults({.down = true});
    const auto failed = reads("failed");
    EXPECT_TRUE(wait_for([&] { return reads("failed") > failed; }));
}

// Guards against answers that are mixed up or cut when many stream at once, and when the router stops meanwhile.
TEST_F(fleet, parallel_streams_are_whole_and_a_stop_cuts_none) {
    ASSERT_TRUE(ready());
    constexpr int calls = 200;
    std::vector<std::thread> threads;
    std::atomic<int> whole{0};
    std::atomic<int> other{0};
    for (int n = 0; n < calls; ++n) {
        threads.emplace_back([&, n] {
            const auto prompt = "prompt " + std::to_string(n);
            const auto answer = client().Post("/v1/chat/completions", chat(prompt, 30, true), "application/json");
            ++(answer && answer->status == 200 && streamed_text(answer->body) == answer_text(prompt, 30) ? whole
                                                                                                         : other);
        });
    }
    while (whole == 0 && other == 0) {
        std::this_thread::sleep_for(5ms);
    }
    router->stop();
    for (auto& it : threads) {
        it.join();
    }
    EXPECT_EQ(whole, calls) << router->metrics().render();
    EXPECT_EQ(router->metrics().total("answers_cut_total"), 0);
}

// Guards against an agent that drops runs when it is stopped, and against new work for it.
TEST_F(fleet, a_stopping_agent_finishes_its_runs) {
    ASSERT_TRUE(ready());
    std::thread running{[&] {
        const auto answer = client().Post("/v1/chat/completions", chat("long", 800, true), "application/json");
        EXPECT_TRUE(answer && streamed_text(answer->body) == answer_text("long", 800));
    }};
    while (engine.running() == 0) {
        std::this_thread::sleep_for(5ms);
    }
    engine_agent->stop();
    running.join();
    const auto refused = client().Post("/v1/chat/completions", chat("late", 1, false), "application/json");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_NE(refused->body.find("\"executed\":\"no\""), std::string::npos);
}

// Guards against a broken engine whose half answer looks complete, and whose crash is taken for a lost connection.
TEST_F(fleet, an_engine_that_crashes_within_a_stream_is_visible) {
    ASSERT_TRUE(ready());
    std::thread crash{[&] {
        while (engine.stats().output_tokens < 20) {
            std::this_thread::sleep_for(1ms);
        }
        engine.crash();
    }};
    const auto answer = client().Post("/v1/chat/completions", chat("broken", 2'000, true), "application/json");
    crash.join();
    EXPECT_TRUE(!answer || streamed_text(answer->body).empty());
    EXPECT_EQ(engine_agent->metrics().get("endpoint_runs_total", "crashed"), 1) << engine_agent->metrics().render();
    EXPECT_TRUE(ready()) << "the engine is used again after its crash";
}

} // namespace
} // namespace dandelionbay
