#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "dandelionbay/http/event_stream.hpp"
#include "dandelionbay/node/agent_node.hpp"
#include "dandelionbay/node/router_node.hpp"
#include "dandelionbay/standin/standin_engine.hpp"
#include "dandelionbay/standin/standin_platform.hpp"
#include "dandelionbay/standin/standin_service.hpp"

namespace dandelionbay::testing {

/*! @brief Platform, one engine, one order service, an agent for each and a router, all on loopback. */
class fleet_fixture : public ::testing::Test {
public:
    using milliseconds = std::chrono::milliseconds;

    static node_options common(const std::string& host, const socket_address& store) {
        node_options options;
        options.host = host_id{host};
        options.region = region_id{"r"};
        options.zone = zone_id{"z"};
        options.peer_listen = {"127.0.0.1", 0};
        options.store = store;
        options.poll_interval = milliseconds{200};
        options.stop_limit = milliseconds{10'000};
        return options;
    }

    static std::string document() {
        return R"({"change_id": "first", "document": {
            "teams": [{"name": "t1", "token": "secret-1"}, {"name": "t2", "token": "secret-2"}],
            "zones": [{"name": "z", "region": "r"}],
            "pools": [{"name": "models", "endpoints": "kind=model"}, {"name": "orders", "endpoints": "kind=orders"}],
            "services": [{"name": "chat", "kind": "model", "model": "m", "pool": "models", "queue_timeout_ms": 3000},
                         {"name": "orders", "kind": "plain", "pool": "orders", "queue_timeout_ms": 3000,
                          "not_repeatable": [{"method": "POST", "path_prefix": "/orders"}]}],
            "endpoints": [{"name": "e1", "zone": "z", "labels": {"kind": "model"}, "slots": 8, "cold_slots": 8},
                          {"name": "e2", "zone": "z", "labels": {"kind": "orders"}, "slots": 8, "cold_slots": 8}]}})";
    }

    void SetUp() override {
        ASSERT_TRUE(engine.start().ok());
        ASSERT_TRUE(orders.start().ok());
        platform = std::make_unique<standin_platform>(standin_platform_options{.host_list_lag = milliseconds{0}});
        ASSERT_TRUE(platform->start().ok());
        ASSERT_TRUE(platform->rows().put("config", "fleet", document(), 0).ok());
        const socket_address store{"127.0.0.1", platform->port()};
        start_agent(engine_agent, "a1", "e1", engine.port(), store);
        start_agent(order_agent, "a2", "e2", orders.port(), store);
        router_node_options options;
        options.common = common("r1", store);
        options.common.hosts = hosts;
        options.caller_listen = {"127.0.0.1", 0};
        options.caller_threads = 256;
        options.balancer_delay = milliseconds{200};
        router = std::make_unique<router_node>(options);
        ASSERT_TRUE(router->start().ok());
        hosts.push_back({host_id{"r1"}, host_role::router, {}, {}, {"127.0.0.1", router->peer_port()}, false});
        platform->set_hosts(hosts);
    }

    void TearDown() override {
        router.reset();
        engine_agent.reset();
        order_agent.reset();
        platform.reset();
        engine.stop();
        orders.stop();
    }

    httplib::Client client() const {
        httplib::Client it{"127.0.0.1", router->caller_port()};
        it.set_tcp_nodelay(true);
        it.set_read_timeout(30);
        it.set_bearer_token_auth("secret-1");
        return it;
    }

    static std::string chat(const std::string& prompt, int tokens, bool stream) {
        return nlohmann::json{{"model", "m"},
                              {"max_tokens", tokens},
                              {"stream", stream},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
    }

    static std::string answer_text(const std::string& prompt, std::uint32_t tokens) {
        return standin_engine::expected_answer(prompt + "\n", tokens);
    }

    /*! @brief Text of a streamed answer. @return It; empty if the stream has no end mark. */
    static std::string streamed_text(const std::string& body) {
        std::string text;
        bool ended = false;
        event_splitter splitter;
        splitter.feed(body, [&](std::string_view event) {
            const auto data = event_data(event);
            ended = ended || data == end_of_stream;
            const auto value = nlohmann::json::parse(data, nullptr, false);
            if (value.is_object() && value.contains("choices") && !value["choices"].empty()) {
                text += value["choices"][0]["delta"].value("content", "");
            }
        });
        return ended ? text : std::string{};
    }

    /*! @brief Waits until a call succeeds, which needs configuration, links and grants. */
    bool ready() const {
        for (int n = 0; n < 10; ++n) {
            auto it = client();
            const auto chat_answer = it.Post("/v1/chat/completions", chat("ready", 1, false), "application/json");
            const auto order_answer = it.Get("/services/orders/orders");
            if (chat_answer && chat_answer->status == 200 && order_answer && order_answer->status == 200) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

    standin_engine engine{standin_engine_options{.first_token = milliseconds{5},
                                                 .token_interval = std::chrono::microseconds{1'000},
                                                 .state_lag = milliseconds{100}}};
    standin_service orders{standin_service_options{.run_time = milliseconds{5}}};
    std::unique_ptr<standin_platform> platform;
    std::unique_ptr<agent_node> engine_agent;
    std::unique_ptr<agent_node> order_agent;
    std::unique_ptr<router_node> router;
    std::vector<host_entry> hosts;

private:
    void start_agent(std::unique_ptr<agent_node>& agent, const std::string& host, const std::string& endpoint,
                     std::uint16_t port, const socket_address& store) {
        agent_node_options options;
        options.common = common(host, store);
        options.endpoint = endpoint_id{endpoint};
        options.endpoint_address = {"127.0.0.1", port};
        agent = std::make_unique<agent_node>(options);
        ASSERT_TRUE(agent->start().ok());
        hosts.push_back(
            {host_id{host}, host_role::agent, region_id{"r"}, zone_id{"z"}, {"127.0.0.1", agent->peer_port()}, false});
    }
};

} // namespace dandelionbay::testing
