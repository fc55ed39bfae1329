#include <gtest/gtest.h>

#include "dandelionbay/net/link_server.hpp"
#include "dandelionbay/router/internal/limits.hpp"
#include "dandelionbay/wire/codec.hpp"

namespace dandelionbay {
namespace {

// Sizes, rates and limit of design section 1.4: 10 entry routers and 340 agents, 3,400 requests/s, 9 KB/s for a node.
constexpr double routers = 10;
constexpr double agents = 340;
constexpr double requests_per_agent = 3'400 / agents;
constexpr double limit = 9'000;
// 410 changes a day for two years.
constexpr std::uint64_t revision = 300'000;
constexpr incarnation_type life = 1'800'000'000'000;

const hello router{host_id{"router-10"}, host_role::router, {}, {}, life, {}, revision - 2'000};
const hello agent{host_id{"agent-100"}, host_role::agent, {}, {}, life + 1, {}, revision - 2'000};
const link_context from_router{router, agent};
const link_context from_agent{agent, router};

double bytes(const message& body, const link_context& link) {
    return static_cast<double>(encode_frame(body, link).value().size() - payload_bytes(body));
}

// A heartbeat on an idle link, five days after its hello, with the highest evidence age at which a node serves alone.
double heartbeats_per_link(const link_context& link) {
    const std::chrono::duration<double> interval = link_options{}.heartbeat;
    return bytes(heartbeat{link.sender.incarnation, revision, 4'000, false, 63, 63, 3'000}, link) / interval.count();
}

// Guards against heartbeats, demands and ledger rows that together exceed a router's limit; docs/CAPACITY.md shows that
// submissions exceed it beside them.
TEST(control_bytes, heartbeats_demands_and_ledger_of_a_router_are_within_the_limit) {
    const auto heartbeats = (agents + routers - 1) * heartbeats_per_link(from_router);
    EXPECT_LE(heartbeats + internal::demand_bytes_per_second + internal::exchange_bytes_per_second, limit);
}

// Guards against an agent whose traffic without tokens exceeds the limit; docs/CAPACITY.md shows that tokens exceed it.
TEST(control_bytes, an_agent_without_tokens_is_within_the_limit) {
    const request_id id{router.host, router.incarnation, 1ULL << 32U};
    grant leave{pool_id{"bay-assist"}, {{agent.incarnation, 1ULL << 32U}}, 3'000, false, {}};
    for (int n = 0; n < 8; ++n) {
        leave.floors.push_back({leave.pool, team_id{"team-1000"}, 0.1});
    }
    // For each request a grant with all floors, its recall, a rejection, a head and a finish.
    const auto request = bytes(leave, from_agent) + bytes(recall{leave.ids}, from_agent) +
                         bytes(rejected{id, leave.ids[0], result_code::grant_unknown}, from_agent) +
                         bytes(head{id, 200, {{"Content-Type", "text/event-stream"}}}, from_agent) +
                         bytes(finish{id, result_code::ok, executed::yes, 1U << 20U, 1U << 16U, 1U << 16U}, from_agent);
    EXPECT_LE(routers * heartbeats_per_link(from_agent) + requests_per_agent * request, limit);
}

} // namespace
} // namespace dandelionbay
