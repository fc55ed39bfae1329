#include "dandelionbay/standin/standin_engine.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace dandelionbay {
namespace {

using nlohmann::json;

std::string body_of(const std::string& prompt, std::uint32_t tokens, bool stream) {
    return json{{"model", "m"},
                {"messages", json::array({{{"role", "user"}, {"content", prompt}}})},
                {"max_tokens", tokens},
                {"stream", stream}}
        .dump();
}

httplib::Result post(const standin_engine& engine, const std::string& prompt, std::uint32_t tokens,
                     bool stream = false) {
    httplib::Client client{"127.0.0.1", engine.port()};
    return client.Post("/v1/chat/completions", body_of(prompt, tokens, stream), "application/json");
}

std::string streamed_text(const std::string& body) {
    std::string text;
    for (std::size_t at = body.find("data: {"); at != std::string::npos; at = body.find("data: {", at + 1)) {
        const auto event = json::parse(body.substr(at + 6, body.find("\n\n", at) - at - 6));
        for (const auto& choice : event.at("choices")) {
            text += choice.at("delta").value("content", "");
        }
    }
    return text;
}

bool eventually(const std::function<bool()>& condition) {
    for (int n = 0; n < 500 && !condition(); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return condition();
}

standin_engine_options fast() {
    standin_engine_options options;
    options.first_token = std::chrono::milliseconds{5};
    options.token_interval = std::chrono::microseconds{1'000};
    options.state_lag = std::chrono::milliseconds{0};
    return options;
}

// Guards against answers that tests can't attribute to their caller.
TEST(standin_engine, gives_each_caller_its_own_whole_answer) {
    standin_engine engine{fast()};
    ASSERT_TRUE(engine.start().ok());
    std::vector<std::thread> callers;
    for (int n = 0; n < 8; ++n) {
        callers.emplace_back([&engine, n] {
            const auto prompt = "prompt " + std::to_string(n);
            const auto answer = post(engine, prompt, 10, n % 2 == 0);
            ASSERT_TRUE(answer);
            const auto expected = standin_engine::expected_answer(prompt + "\n", 10);
            if (n % 2 == 0) {
                EXPECT_EQ(streamed_text(answer->body), expected);
                EXPECT_TRUE(answer->body.ends_with("data: [DONE]\n\n"));
                EXPECT_NE(answer->body.find("\"completion_tokens\":10"), std::string::npos);
            } else {
                const auto document = json::parse(answer->body);
                EXPECT_EQ(document["choices"][0]["message"]["content"], expected);
                EXPECT_EQ(document["usage"]["prompt_tokens"], 2);
            }
        });
    }
    for (auto& it : callers) {
        it.join();
    }
    EXPECT_EQ(engine.stats().completed, 8);
    EXPECT_EQ(engine.running(), 0);
}

// Guards against a cold state that bears any load, which would hide violations of the cold bound.
TEST(standin_engine, counts_violations_and_fails_under_full_load_while_cold) {
    auto options = fast();
    options.slots = 3;
    options.cold_time = std::chrono::seconds{60};
    standin_engine engine{options};
    ASSERT_TRUE(engine.start().ok());
    engine.set_hanging(true);
    std::vector<std::thread> callers;
    for (std::uint32_t n = 0; n < 2; ++n) {
        callers.emplace_back([&engine] { EXPECT_TRUE(post(engine, "a", 1)); });
        ASSERT_TRUE(eventually([&] { return engine.running() == n + 1; }));
        EXPECT_EQ(engine.stats().cold_violations, n);
    }
    const auto answer = post(engine, "b", 1);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 500);
    EXPECT_EQ(engine.stats().cold_violations, 2);
    engine.set_hanging(false);
    for (auto& it : callers) {
        it.join();
    }
    EXPECT_TRUE(engine.cold());
}

// Guards against a crash that answers someone, keeps its identity or comes back warm.
TEST(standin_engine, a_crash_breaks_all_calls_and_starts_a_cold_process) {
    auto options = fast();
    options.cold_time = std::chrono::milliseconds{200};
    standin_engine engine{options};
    ASSERT_TRUE(engine.start().ok());
    ASSERT_TRUE(eventually([&] { return !engine.cold(); }));
    httplib::Client client{"127.0.0.1", engine.port()};
    const auto before = json::parse(client.Get("/state")->body);
    EXPECT_EQ(before["cold"], false);

    std::thread neighbour{[&engine] { EXPECT_FALSE(post(engine, "long", 5'000, true)); }};
    ASSERT_TRUE(eventually([&] { return engine.running() == 1; }));
    EXPECT_FALSE(post(engine, "x CRASH-ENGINE y", 1));
    neighbour.join();

    const auto after = json::parse(httplib::Client("127.0.0.1", engine.port()).Get("/state")->body);
    EXPECT_NE(after["process"], before["process"]);
    EXPECT_EQ(after["cold"], true);
    EXPECT_EQ(engine.running(), 0);
    EXPECT_EQ(engine.stats().crashes, 1);
}

// Guards against runs that go on for a caller that is gone.
TEST(standin_engine, cancels_a_run_when_its_connection_closes) {
    standin_engine engine{fast()};
    ASSERT_TRUE(engine.start().ok());
    for (const bool stream : {false, true}) {
        SCOPED_TRACE(stream);
        httplib::Client client{"127.0.0.1", engine.port()};
        std::thread caller{
            [&] { EXPECT_FALSE(client.Post("/v1/chat/completions", body_of("p", 5'000, stream), "x")); }};
        ASSERT_TRUE(eventually([&] { return engine.running() == 1; }));
        client.stop();
        caller.join();
        EXPECT_TRUE(eventually([&] { return engine.running() == 0; }));
    }
    EXPECT_EQ(engine.stats().cancelled, 2);
}

// Guards against a report without lag, which real engines do not give.
TEST(standin_engine, reports_its_state_late) {
    auto options = fast();
    options.state_lag = std::chrono::milliseconds{300};
    standin_engine engine{options};
    ASSERT_TRUE(engine.start().ok());
    httplib::Client client{"127.0.0.1", engine.port()};
    engine.make_cold(std::chrono::seconds{60});
    EXPECT_TRUE(engine.cold());
    EXPECT_EQ(json::parse(client.Get("/state")->body)["cold"], false);
    EXPECT_TRUE(eventually([&] { return json::parse(client.Get("/state")->body)["cold"] == true; }));
}

} // namespace
} // namespace dandelionbay
