#include <map>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/net/link_server.hpp"
#include "dandelionbay/router/internal/limits.hpp"
#include "dandelionbay/router/router_core.hpp"
#include "dandelionbay/wire/codec.hpp"

namespace dandelionbay {
namespace {

// Fleet size, request rate and limit of design section 1.4: 10 entry routers, 340 agents, 3,400 requests/s, 9 KB/s per
// node.
constexpr double routers = 10;
constexpr double agents = 340;
constexpr double requests_per_agent = 3'400 / agents;
constexpr double limit = 9'000;
// Revision number after two years with 410 changes a day.
constexpr std::uint64_t revision = 300'000;
constexpr incarnation_type incarnation = 1'800'000'000'000;

const hello router{host_id{"router-10"}, host_role::router, {}, {}, incarnation, {}, revision - 2'000};
const hello agent{host_id{"agent-100"}, host_role::agent, {}, {}, incarnation + 1, {}, revision - 2'000};
const link_context from_router{router, agent};
const link_context from_agent{agent, router};

double bytes(const message& body, const link_context& link) {
    return static_cast<double>(encode_frame(body, link).value().size() - payload_bytes(body));
}

// Heartbeat traffic in bytes per second of an idle link five days after its hello, with the highest evidence age at
// which an isolated node serves requests.
double heartbeats_per_link(const link_context& link) {
    const std::chrono::duration<double> interval = link_options{}.heartbeat;
    return bytes(heartbeat{link.sender.incarnation, revision, 4'000, false, 63, 63, 3'000}, link) / interval.count();
}

// Guards against heartbeats, demands and ledger rows that together exceed a router's limit; docs/CAPACITY.md shows that
// the total including submissions exceeds it.
TEST(control_bytes, heartbeats_demands_and_ledger_of_a_router_are_within_the_limit) {
    const auto heartbeats = (agents + routers - 1) * heartbeats_per_link(from_router);
    EXPECT_LE(heartbeats + internal::demand_bytes_per_second + internal::exchange_bytes_per_second, limit);
}

// Guards against byte budgets that are charged other sizes than the links send, so that the traffic exceeds its limit
// or does not reach it.
TEST(control_bytes, demands_and_ledger_are_sent_at_their_rate_limits) {
    auto config = std::make_shared<fleet_config>();
    config->revision = 1;
    config->zones = {{.id = zone_id{"z"}, .region = region_id{"r"}}};
    config->pools = {{.id = pool_id{"bay-assist"}}};
    config->services = {{.id = service_id{"s"}, .pool = pool_id{"bay-assist"}, .queue_timeout_ms = 3'600'000}};
    for (int n = 0; n < 100; ++n) {
        config->teams.push_back({.id = team_id{"team-" + std::to_string(n)}});
    }
    counters metrics;
    router_core core{{router.host, region_id{"r"}, zone_id{"z"}, incarnation, 1}, metrics};
    std::map<host_id, frame_encoder> links;
    std::map<std::size_t, double> sent;
    const auto count_sent_bytes = [&](const router_core::actions& actions) {
        for (const auto& it : actions) {
            if (const auto* const out = std::get_if<send_message>(&it); out != nullptr) {
                sent[out->body.index()] += static_cast<double>(links.at(out->to).encode(out->body).value().size());
            }
        }
    };
    time_point now{std::chrono::seconds{100}};
    std::vector<hello> peers{
        {host_id{"router-11"}, host_role::router, region_id{"r"}, zone_id{"z"}, incarnation, {}, 1}};
    for (int n = 0; n < static_cast<int>(agents); ++n) {
        const endpoint_id endpoint{"e" + std::to_string(n)};
        config->endpoints.push_back({.id = endpoint, .zone = zone_id{"z"}});
        peers.push_back({host_id{"agent-" + std::to_string(n)}, host_role::agent, region_id{"r"}, zone_id{"z"},
                         incarnation, endpoint, 1});
    }
    count_sent_bytes(core.apply(config, now));
    count_sent_bytes(core.set_fresh(true, now));
    for (const auto& it : peers) {
        links[it.host].set_link({router, it});
        count_sent_bytes(core.link_up(it, now));
    }
    count_sent_bytes(core.set_exchange_peers({peers[0].host}, now));
    const auto run = [&](std::size_t from, std::size_t to) {
        for (auto n = from; n < to; ++n) {
            request_id id;
            count_sent_bytes(core.accept(
                {.team = config->teams[n % 100].id, .service = service_id{"s"}, .fingerprint = n}, now, id));
            if (n >= 300) {
                count_sent_bytes(core.receive(peers[1 + n % 340].host,
                                              grant{pool_id{"bay-assist"}, {{incarnation, n}}, 3'000, false, {}}, now));
                now += std::chrono::milliseconds{4};
                count_sent_bytes(core.tick(now));
            }
        }
    };
    // Exhausts the burst of both byte budgets.
    run(0, 15'300);
    sent.clear();
    run(15'300, 20'300);
    const double seconds = 20.0;
    EXPECT_NEAR(sent[message{demand{}}.index()] / seconds, internal::demand_bytes_per_second, 125.0);
    EXPECT_NEAR(sent[message{ledger_rows{}}.index()] / seconds, internal::exchange_bytes_per_second, 125.0);
}

// Guards against an agent whose traffic without tokens exceeds the limit; docs/CAPACITY.md shows that the traffic with
// tokens exceeds it.
TEST(control_bytes, an_agent_without_tokens_is_within_the_limit) {
    const request_id id{router.host, router.incarnation, 1ULL << 32U};
    grant leave{pool_id{"bay-assist"}, {{agent.incarnation, 1ULL << 32U}}, 3'000, false, {}};
    for (int n = 0; n < 8; ++n) {
        leave.floors.push_back({leave.pool, team_id{"team-1000"}, 0.1});
    }
    // Each request costs a grant with the maximum number of floors, its recall, a rejection, a head and a finish.
    const auto request = bytes(leave, from_agent) + bytes(recall{leave.ids}, from_agent) +
                         bytes(rejected{id, leave.ids[0], result_code::grant_unknown}, from_agent) +
                         bytes(head{id, 200, {{"Content-Type", "text/event-stream"}}}, from_agent) +
                         bytes(finish{id, result_code::ok, executed::yes, 1U << 20U, 1U << 16U, 1U << 16U}, from_agent);
    EXPECT_LE(routers * heartbeats_per_link(from_agent) + requests_per_agent * request, limit);
}

} // namespace
} // namespace dandelionbay
