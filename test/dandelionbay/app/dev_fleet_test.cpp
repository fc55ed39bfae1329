#include "dandelionbay/app/dev_fleet.hpp"

#include <algorithm>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <httplib.h>

#include "dandelionbay/app/admin_client.hpp"
#include "dandelionbay/config/document_edit.hpp"
#include "dandelionbay/net/reserved_address.hpp"

namespace dandelionbay::app {
namespace {

using nlohmann::json;

/*! Waits until every host reports a revision; false after 5 s, the limit of requirement R10. */
bool in_force_everywhere(const admin_client& operators, std::uint64_t revision) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{5};
    while (std::chrono::steady_clock::now() < limit) {
        const auto nodes = operators.get("status").body.value("nodes", json::array());
        if (std::all_of(nodes.begin(), nodes.end(),
                        [&](const json& it) { return it["config_revision"] == revision; })) {
            return nodes.size() == 8;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return false;
}

/*! Tells whether a program that asks for this address would get it. */
bool is_free(const socket_address& address) {
    using boost::asio::ip::tcp;
    boost::asio::io_context loop;
    tcp::acceptor it{loop};
    boost::system::error_code ec;
    it.open(tcp::v4());
    it.bind(tcp::endpoint{boost::asio::ip::make_address(address.ip), address.port}, ec);
    return !ec;
}

// Guards against a port that another program takes between its choice and the start of the host ("can't listen on
// 127.0.0.1 port 27006: Address already in use").
TEST(dev_fleet, addresses_belong_to_the_fleet_before_its_hosts_run) {
    const dev_fleet fleet{dev_options{}};
    ASSERT_FALSE(fleet.peer_addresses().empty());
    for (const auto& it : fleet.peer_addresses()) {
        EXPECT_FALSE(is_free(it)) << it.port;
    }
}

// Guards against parts that work alone and not together: a chat call, a streamed call, an order that is sent twice, a
// zone out of service and back, and the graceful stop.
TEST(dev_fleet, serves_callers_and_operators) {
    const reserved_address caller_address;
    const reserved_address admin_address;
    dev_fleet fleet{dev_options{caller_address.get().port, admin_address.get().port, "operators"}};
    const auto status = fleet.start();
    ASSERT_TRUE(status.ok()) << status;
    httplib::Client callers{"127.0.0.1", caller_address.get().port};
    callers.set_read_timeout(20);
    const admin_client operators{admin_address.get(), "operators"};
    const auto headers = [](const std::string& key) {
        return httplib::Headers{{"Authorization", "Bearer dev-team-1"}, {"Idempotency-Key", key}};
    };
    json chat{{"model", "dev-model"}, {"messages", {{{"role", "user"}, {"content", "hello"}}}}, {"max_tokens", 4}};
    const auto call = [&] {
        return callers.Post("/v1/chat/completions", headers("c"), chat.dump(), "application/json");
    };
    {
        SCOPED_TRACE("a chat call and a streamed call");
        const auto whole = call();
        ASSERT_TRUE(whole);
        EXPECT_EQ(whole->status, 200) << whole->body;
        const auto content = json::parse(whole->body)["choices"][0]["message"]["content"].get<std::string>();
        EXPECT_EQ(content, standin_engine::expected_answer("hello\n", 4));
        chat["stream"] = true;
        const auto stream = call();
        ASSERT_TRUE(stream);
        EXPECT_TRUE(stream->body.ends_with("data: [DONE]\n\n")) << stream->body;
        chat["stream"] = false;
    }
    {
        SCOPED_TRACE("an order runs once, also when it is sent twice");
        for (int i = 0; i < 2; ++i) {
            const auto order =
                callers.Post("/services/orders/orders", headers("order-1"), R"({"order": "o1"})", "application/json");
            ASSERT_TRUE(order);
            EXPECT_EQ(order->status, 201) << order->body;
            EXPECT_EQ(json::parse(order->body)["runs"], 1);
        }
    }
    {
        SCOPED_TRACE("both zones of the west out of service and back");
        for (const bool out : {true, false}) {
            auto config = operators.get("config");
            ASSERT_TRUE(set_zone_out(config.body, "west-1", out).ok());
            ASSERT_TRUE(set_zone_out(config.body, "west-2", out).ok());
            const auto changed = operators.send("PUT", "config", config.etag, config.body.dump());
            ASSERT_TRUE(changed.ok()) << changed.body;
            EXPECT_TRUE(in_force_everywhere(operators, changed.revision()));
            const auto served = call();
            ASSERT_TRUE(served);
            EXPECT_EQ(served->status, 200) << served->body;
        }
    }
    fleet.stop();
    EXPECT_FALSE(callers.Get("/healthz"));
}

} // namespace
} // namespace dandelionbay::app
