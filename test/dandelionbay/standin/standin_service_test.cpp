#include "dandelionbay/standin/standin_service.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

namespace dandelionbay {
namespace {

// Guards against a service that hides a doubled run, or that forgets a run whose answer was lost.
TEST(standin_service, shows_every_run_of_an_order) {
    standin_service service{{}};
    ASSERT_TRUE(service.start().ok());
    httplib::Client client{"127.0.0.1", service.port()};
    const auto order = [&] { return client.Post("/orders", R"({"order":"o-1"})", "application/json"); };

    const auto first = order();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->status, 201);
    EXPECT_EQ(first->body, R"({"order":"o-1","runs":1})");
    EXPECT_EQ(client.Get("/orders/o-1")->body, first->body);
    service.set_lose_answers(true);
    EXPECT_FALSE(order());
    EXPECT_EQ(service.runs().at("o-1"), 2);
    EXPECT_EQ(client.Get("/orders")->body, R"({"o-1":2})");
    EXPECT_EQ(client.Get("/orders/o-2")->status, 404);
    EXPECT_EQ(client.Post("/orders", "{}", "application/json")->status, 400);
}

} // namespace
} // namespace dandelionbay
