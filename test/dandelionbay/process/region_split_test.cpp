#include <thread>

#include "dandelionbay/process/caller_load.hpp"

namespace dandelionbay::testing {
namespace {

using namespace std::chrono_literals;
using process_split = process_fleet;

/*! Time after which a zone out of service receives no new work, and an isolated router refuses (R4). */
constexpr auto zone_limit = 5s;

/*! Sets what happens to all connections between the two regions, those of the east to the store included. */
void set_links_between_regions(process_fleet& fleet, relay_mode mode) {
    fleet.relay("store-east").set(mode);
    for (const auto* it : {"router-1", "agent-1", "agent-2", "agent-orders"}) {
        fleet.relay(it).set(mode, "router-2");
    }
    for (const auto* it : {"router-2", "agent-3"}) {
        fleet.relay(it).set(mode, "router-1");
    }
}

/*! The east refuses chats and orders at once; orders are not held up by their claim. Nothing of it runs. */
void expect_isolated(const process_fleet& fleet) {
    for (const bool stream : {true, false}) {
        const auto chat = send_chat(fleet, "router-2", "isolated", stream);
        EXPECT_EQ(chat.status, 503);
        EXPECT_EQ(chat.code, 3004);
        EXPECT_TRUE(chat.not_run()) << chat.executed;
        EXPECT_TRUE(chat.retry_after);
    }
    const auto sent = std::chrono::steady_clock::now();
    const auto order = send_order(fleet, "router-2", "isolated");
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sent);
    ::testing::Test::RecordProperty("isolated_order_ms", std::to_string(wait.count()));
    EXPECT_EQ(order.status, 503);
    EXPECT_EQ(order.code, 3004);
    EXPECT_TRUE(order.not_run()) << order.executed;
    EXPECT_TRUE(order.retry_after);
    EXPECT_FALSE(fleet.order_runs().contains("isolated"));
}

// Guards against a region that is cut off from the store and the majority and goes on with an old configuration: its
// engines get work after their zone was taken out of service on the other side, its callers wait instead of being
// refused, it accepts a change, or it does not serve again after the rejoin (R4, R6, R10).
TEST_F(process_split, the_side_without_the_store_and_the_majority_refuses_until_the_rejoin) {
    caller_load load{*this};
    ASSERT_TRUE(load.wait_for_more("router-2", 2));
    const auto config = operators("router-2").get("config");
    ASSERT_TRUE(config.ok());
    set_links_between_regions(*this, relay_mode::stall);
    const auto out = set_zone("router-1", "east-1", true);
    ASSERT_TRUE(out.ok()) << out.body;
    std::this_thread::sleep_for(zone_limit); // The bound itself; whatever happens before it is allowed.
    const auto before = started("engine-3");
    {
        SCOPED_TRACE("the east refuses, the west serves");
        expect_isolated(*this);
        EXPECT_TRUE(send_chat(*this, "router-1", "majority", true).whole);
        EXPECT_TRUE(send_order(*this, "router-1", "majority").whole);
    }
    {
        SCOPED_TRACE("only the majority accepts changes");
        const auto refused = operators("router-2").send("PUT", "config", config.etag, config.body.dump());
        EXPECT_EQ(refused.status, 503);
        EXPECT_EQ(refused.body["error"].value("code", 0), 5003) << refused.body;
        EXPECT_EQ(refused.body["error"].value("executed", ""), "no");
        EXPECT_TRUE(set_zone("router-1", "west-1", true).ok());
        EXPECT_TRUE(set_zone("router-1", "west-1", false).ok());
    }
    EXPECT_EQ(started("engine-3"), before) << "new work in a zone out of service";
    {
        SCOPED_TRACE("the rejoin, with the zone still out");
        set_links_between_regions(*this, relay_mode::pass);
        EXPECT_TRUE(wait_until([&] { return in_force("router-2", out.revision() + 2) && serves("router-2"); }));
        EXPECT_TRUE(load.wait_for_more("router-2", 2));
        EXPECT_EQ(started("engine-3"), before) << "new work in a zone out of service";
    }
    {
        SCOPED_TRACE("the zone is back");
        const auto in = set_zone("router-2", "east-1", false);
        EXPECT_TRUE(in.ok()) << in.body;
        EXPECT_TRUE(wait_until([&] { return in_force("router-1", in.revision()); }, zone_limit));
        EXPECT_TRUE(wait_until([&] { return started("engine-3") > before; }));
    }
    load.stop();
    load.expect_promises_kept();
}

// Guards against new work in a zone that is taken out of service while the links of its agents are silent: an agent
// that goes on granting, or one that admits what was sent before and arrives when the links move again (R4).
TEST_F(process_split, a_zone_is_taken_out_while_links_of_its_agents_are_silent) {
    caller_load load{*this};
    ASSERT_TRUE(load.wait_for_more("router-1", 2));
    ASSERT_TRUE(load.wait_for_more("router-2", 2));
    // agent-1 still reads the store; agent-3 hears nobody, while router-2 has its evidence from router-1.
    const auto set_silent = [&](relay_mode mode) {
        relay("agent-1").set(mode);
        relay("agent-3").set(mode);
        relay("store-east").set(mode);
    };
    set_silent(relay_mode::stall);
    ASSERT_TRUE(set_zone("router-1", "west-1", true).ok());
    const auto out = set_zone("router-1", "east-1", true);
    ASSERT_TRUE(out.ok()) << out.body;
    std::this_thread::sleep_for(zone_limit); // The bound itself; whatever happens before it is allowed.
    const auto before = std::pair{started("engine-1"), started("engine-3")};
    const auto now = [&] { return std::pair{started("engine-1"), started("engine-3")}; };
    const auto expect_served = [&](const std::string& prompt) {
        for (const auto* it : {"router-1", "router-2"}) {
            const auto answer = send_chat(*this, it, prompt, true);
            EXPECT_TRUE(answer.whole) << it << " answered " << answer.status << ", code " << answer.code;
        }
    };
    {
        SCOPED_TRACE("while the links are silent");
        expect_served("silent");
        EXPECT_EQ(now(), before) << "new work in a zone out of service";
    }
    {
        SCOPED_TRACE("the links move again, with what was held back");
        set_silent(relay_mode::pass);
        EXPECT_TRUE(
            wait_until([&] { return in_force("router-1", out.revision()) && in_force("router-2", out.revision()); }));
        expect_served("moving");
        EXPECT_TRUE(load.wait_for_more("router-1", 2));
        EXPECT_TRUE(load.wait_for_more("router-2", 2));
        EXPECT_EQ(now(), before) << "new work in a zone out of service";
    }
    load.stop();
    load.expect_promises_kept();
}

} // namespace
} // namespace dandelionbay::testing
