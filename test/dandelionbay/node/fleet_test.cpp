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

} // namespace
} // namespace dandelionbay
