#include <csignal>
#include <thread>

#include "dandelionbay/process/caller_load.hpp"

namespace dandelionbay::testing {
namespace {

using namespace std::chrono_literals;
using process_agent = process_fleet;

constexpr const char* routers[] = {"router-1", "router-2"};
constexpr const char* struck[] = {"agent-1", "agent-orders"};

/*! The engines of the other agents serve the callers of both routers. */
void expect_chats_served(const process_fleet& fleet, const std::string& prompt) {
    for (const auto* router : routers) {
        EXPECT_TRUE(send_chat(fleet, router, prompt, true).whole) << router;
    }
}

void expect_all_serve(const process_fleet& fleet, const caller_load& load) {
    for (const auto* router : routers) {
        EXPECT_TRUE(process_fleet::wait_until([&] { return fleet.in_force(router, 1); })) << router;
        EXPECT_TRUE(load.wait_for_more(router, 2)) << router;
    }
}

// Guards against agent processes of an engine and of the order service that are killed, or frozen and continued: orders
// run twice or are called "not run" though they ran, a broken stream looks complete, or the other engines idle. Also
// against calls that are lost because a link breaks for a moment.
TEST_F(process_agent, killed_and_frozen_agents_repeat_no_order_and_cut_no_answer_unseen) {
    caller_load load{*this};
    for (const auto* router : routers) {
        ASSERT_TRUE(load.wait_for_more(router, 2)) << router;
    }
    {
        SCOPED_TRACE("links cut while answers stream over them, which resume");
        for (const auto mode : {relay_mode::cut, relay_mode::pass}) {
            for (const auto* it : {"agent-1", "agent-2", "agent-3", "agent-orders"}) {
                relay(it).set(mode);
            }
            std::this_thread::sleep_for(50ms); // Longer than the 10 ms after which a relay follows its mode.
        }
        expect_all_serve(*this, load);
        for (const auto* router : routers) {
            const auto seen = load.seen(router);
            EXPECT_EQ(seen.whole_chats(), seen.chats.size()) << router;
            EXPECT_EQ(seen.first_confirmed(), seen.orders.size()) << router << " refused " << seen.first_refusals();
        }
    }
    {
        SCOPED_TRACE("killed and started again");
        for (const auto* it : struck) {
            process(it).kill();
        }
        expect_chats_served(*this, "while agents are killed");
        for (const auto* it : struck) {
            ASSERT_NO_FATAL_FAILURE(start(it));
        }
        expect_all_serve(*this, load);
    }
    {
        SCOPED_TRACE("frozen until their links are closed, and continued");
        for (const auto* it : struck) {
            process(it).signal(SIGSTOP);
        }
        for (const auto* router : routers) {
            for (const auto* it : struck) {
                EXPECT_TRUE(wait_until([&] { return state_of(router, it) != "live"; })) << it << " at " << router;
            }
        }
        expect_chats_served(*this, "while agents are frozen");
        for (const auto* it : struck) {
            process(it).signal(SIGCONT);
        }
        expect_all_serve(*this, load);
    }
    load.stop();
    load.expect_promises_kept();
}

} // namespace
} // namespace dandelionbay::testing
