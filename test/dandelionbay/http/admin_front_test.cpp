#include "dandelionbay/http/admin_front.hpp"

#include <chrono>

#include <gtest/gtest.h>
#include <httplib.h>

#include "dandelionbay/http/admin_fixture.hpp"

namespace dandelionbay {
namespace {

using nlohmann::json;

// Guards against calls without the operators' token, header fields that get lost, connections that the server closes
// after a few calls, and a stop that hangs on an idle connection.
TEST(admin_front, serves_the_api_over_http) {
    admin_fixture it;
    const monotonic_clock time;
    kernel host;
    admin_front front{{{"127.0.0.1", 0}, "admin-token"}, it.api, time, it.metrics};
    ASSERT_TRUE(front.start(host).ok());
    httplib::Client client{"127.0.0.1", front.port()};
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    {
        SCOPED_TRACE("two servers on one port");
        admin_front second{{{"127.0.0.1", front.port()}, "admin-token"}, it.api, time, it.metrics};
        EXPECT_TRUE(absl::IsUnavailable(second.start(host)));
    }
    {
        SCOPED_TRACE("token");
        for (const httplib::Headers& headers :
             {httplib::Headers{}, httplib::Headers{{"Authorization", "Bearer admin-tokem"}},
              httplib::Headers{{"Authorization", "admin-token"}}, httplib::Headers{{"Authorization", "Bearer "}}}) {
            const auto result = client.Get("/admin/v1/config", headers);
            ASSERT_TRUE(result);
            EXPECT_EQ(result->status, 401);
            EXPECT_EQ(json::parse(result->body)["error"]["code"], 1001);
        }
    }
    const httplib::Headers token{{"Authorization", "Bearer admin-token"}};
    {
        SCOPED_TRACE("a write with its precondition, then 20 reads on one connection");
        auto headers = token;
        headers.emplace("If-Match", "\"0\"");
        const auto written = client.Put("/admin/v1/config", headers, it.first_document, "application/json");
        ASSERT_TRUE(written);
        EXPECT_EQ(written->status, 200);
        EXPECT_EQ(written->get_header_value("ETag"), "\"1\"");
        for (int i = 0; i < 20; ++i) {
            const auto result = client.Get("/admin/v1/teams/t1", token);
            ASSERT_TRUE(result) << i;
            EXPECT_NE(result->get_header_value("Connection"), "close");
            EXPECT_EQ(result->get_header_value("ETag"), "\"1\"");
        }
    }
    {
        SCOPED_TRACE("errors that the library finds have the same form");
        const auto elsewhere = client.Get("/elsewhere", token);
        ASSERT_TRUE(elsewhere);
        EXPECT_EQ(json::parse(elsewhere->body)["error"]["code"], 5004);
        const auto large = client.Put("/admin/v1/config", token, std::string(6U << 20U, 'x'), "application/json");
        ASSERT_TRUE(large);
        EXPECT_EQ(large->status, 413);
        // Without this field the client sends its next request on a connection that the server closes.
        EXPECT_EQ(large->get_header_value("Connection"), "close");
        EXPECT_EQ(json::parse(large->body)["error"]["code"], 1005);
    }
    {
        SCOPED_TRACE("an advice to retry");
        it.view.majority = false;
        auto headers = token;
        headers.emplace("If-Match", "\"1\"");
        const auto refused = client.Delete("/admin/v1/teams/t1", headers);
        ASSERT_TRUE(refused) << httplib::to_string(refused.error());
        EXPECT_EQ(refused->status, 503);
        EXPECT_EQ(refused->get_header_value("Retry-After"), "1");
    }
    const auto begin = std::chrono::steady_clock::now();
    front.stop();
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds{5});
}

} // namespace
} // namespace dandelionbay
