#include "dandelionbay/node/start_watch.hpp"

#include <memory>
#include <thread>

#include <gtest/gtest.h>

#include "dandelionbay/node/agent_node.hpp"
#include "dandelionbay/store/memory_table_store.hpp"

namespace dandelionbay {
namespace {

using namespace std::chrono_literals;

// Guards against "ready" before a configuration is in force, and against a start that needs the store.
TEST(start_watch, a_node_is_ready_with_a_configuration_or_when_there_is_none_to_wait_for) {
    const time_point start{1h};
    {
        SCOPED_TRACE("the store does not answer");
        counters metrics;
        start_watch watch{metrics, start};
        metrics.add("store_reads_total", "failed");
        EXPECT_EQ(watch.check(start + start_watch::limit - 1ms), start_state::waiting);
        EXPECT_EQ(watch.check(start + start_watch::limit), start_state::store_unanswered);
        EXPECT_EQ(metrics.get("started_without_config_total", "store_unanswered"), 1);
    }
    {
        SCOPED_TRACE("the row is malformed");
        counters metrics;
        start_watch watch{metrics, start};
        metrics.add("store_reads_total", "malformed");
        EXPECT_EQ(watch.check(start), start_state::waiting);
        EXPECT_EQ(watch.check(start + start_watch::limit), start_state::config_unusable);
    }
    {
        SCOPED_TRACE("a new fleet, whose first configuration an operator writes");
        counters metrics;
        start_watch watch{metrics, start};
        metrics.add("store_reads_total", "not_found");
        EXPECT_EQ(watch.check(start), start_state::store_empty);
    }
    {
        SCOPED_TRACE("a configuration comes into force");
        counters metrics;
        start_watch watch{metrics, start};
        EXPECT_EQ(watch.check(start), start_state::waiting);
        metrics.set("config_revision", 1);
        EXPECT_EQ(watch.check(start), start_state::in_force);
        EXPECT_EQ(metrics.total("started_without_config_total"), 0);
    }
}

// Guards against a watch that reads other counters than the node writes.
TEST(start_watch, follows_a_node_from_a_store_outage_to_its_configuration) {
    const auto store = std::make_shared<memory_table_store>();
    store->set_faults([](const auto& /*call*/) { return store_fault::before; });
    agent_node_options options;
    options.common.host = host_id{"a"};
    options.common.peer_listen = {"127.0.0.1", 0};
    options.common.poll_interval = 100ms;
    options.endpoint_address = {"127.0.0.1", 1};
    node_environment environment;
    environment.store = store;
    agent_node node{options, environment};
    ASSERT_TRUE(node.start().ok());
    const monotonic_clock time;
    start_watch watch{node.metrics(), time.now()};
    const auto state_within = [&](std::chrono::milliseconds limit) {
        auto out = watch.check(time.now());
        for (const auto end = time.now() + limit; out == start_state::waiting && time.now() < end;) {
            std::this_thread::sleep_for(10ms);
            out = watch.check(time.now());
        }
        return out;
    };
    EXPECT_EQ(state_within(500ms), start_state::waiting);
    EXPECT_GT(node.metrics().get("store_reads_total", "failed"), 0);
    store->set_faults({});
    ASSERT_TRUE(store->put("config", "fleet", R"({"change_id": "c", "document": {}})", 0).ok());
    EXPECT_EQ(state_within(5s), start_state::in_force);
}

} // namespace
} // namespace dandelionbay
