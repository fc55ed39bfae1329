#include "dandelionbay/node/fleet_state.hpp"

#include <map>

#include <gtest/gtest.h>

#include "dandelionbay/member/heartbeat_echo.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a node that was isolated for long and admits work with its old configuration when it hears the others
// again, before it has fetched theirs (R4, R10). Found by the randomised runs.
TEST(fleet_state, a_node_that_returns_admits_only_with_what_the_others_have) {
    const std::vector all{host_entry{.host = host_id{"a"}}, host_entry{.host = host_id{"b"}},
                          host_entry{.host = host_id{"c"}}};
    time_point now{seconds{100}};
    counters metrics;
    node_options options;
    options.host = host_id{"a"};
    options.hosts = all;
    fleet_state it{options, host_role::router, 1, metrics, now};
    const std::string document = R"({"zones": [{"name": "z", "region": "r"}]})";
    const auto beat = [&](const char* host, std::uint64_t revision) {
        (void)it.receive(host_id{host}, heartbeat{.incarnation = 1, .config_revision = revision}, now, now);
        (void)it.tick(now);
    };
    EXPECT_NE(it.store_read(1, document, now, now).config, nullptr);
    ASSERT_TRUE(it.fresh(now));
    {
        SCOPED_TRACE("isolated");
        now += seconds{60};
        (void)it.tick(now);
        EXPECT_FALSE(it.fresh(now));
    }
    {
        SCOPED_TRACE("the others are heard again and have more");
        beat("b", 2);
        beat("c", 1);
        EXPECT_TRUE(it.members().has_majority(now));
        EXPECT_FALSE(it.fresh(now));
    }
    {
        SCOPED_TRACE("their configuration is here");
        (void)it.receive(host_id{"b"}, config_document{2, document}, now, std::nullopt);
        (void)it.tick(now);
        EXPECT_EQ(it.revision(), 2U);
        EXPECT_TRUE(it.fresh(now));
    }
    {
        SCOPED_TRACE("a node in touch goes on for a moment while it fetches the next one");
        beat("c", 3);
        EXPECT_TRUE(it.fresh(now));
        now += milliseconds{1'020};
        beat("b", 2);
        beat("c", 3);
        EXPECT_FALSE(it.fresh(now));
    }
}

// Guards against a node that isolates itself although the store answers that nothing changed, and against answers about
// a revision that isn't in force.
TEST(fleet_state, an_unchanged_row_is_evidence_for_its_revision) {
    node_options options;
    options.host = host_id{"a"};
    for (const auto* name : {"a", "b", "c"}) {
        options.hosts.push_back({host_id{name}, host_role::agent, {}, {}, {"127.0.0.1", 1}, false});
    }
    counters metrics;
    const time_point start{std::chrono::hours{1}};
    fleet_state state{options, host_role::agent, 1, metrics, start};
    const auto fresh = [&](duration after) {
        static_cast<void>(state.tick(start + after));
        return state.fresh(start + after);
    };
    static_cast<void>(state.store_unchanged(1, start, start));
    EXPECT_FALSE(fresh(seconds{0})) << "nothing is in force";
    EXPECT_NE(state.store_read(1, "{}", start, start).config, nullptr);
    EXPECT_TRUE(fresh(seconds{3}));
    EXPECT_FALSE(fresh(seconds{5})) << "the evidence is too old";
    static_cast<void>(state.store_unchanged(2, start + seconds{5}, start + seconds{5}));
    EXPECT_FALSE(fresh(seconds{5})) << "revision 2 is not in force";
    static_cast<void>(state.store_unchanged(1, start + seconds{5}, start + seconds{5}));
    EXPECT_TRUE(fresh(seconds{8}));
    EXPECT_FALSE(fresh(seconds{10}));
}

// Guards against a stalled link that prolongs the freshness of an agent: its router last read the store at 6 s, and a
// change may have been accepted since, so that no work may be admitted after 10 s (R4, R8).
TEST(fleet_state, a_stalled_link_does_not_prolong_freshness) {
    const duration step = milliseconds{10};
    for (const bool to_agent : {true, false}) {
        SCOPED_TRACE(to_agent);
        node_options options;
        options.host = host_id{"r"};
        counters metrics;
        const time_point start{seconds{100}};
        fleet_state router{options, host_role::router, 1, metrics, start};
        options.host = host_id{"a"};
        fleet_state agent{options, host_role::agent, 1, metrics, start};
        heartbeat_echo router_end;
        heartbeat_echo agent_end;
        ASSERT_NE(router.store_read(1, "{}", start, start).config, nullptr);
        ASSERT_NE(agent.store_read(1, "{}", start, start).config, nullptr);
        (void)router.link_up({.host = host_id{"a"}, .incarnation = 1}, start);
        (void)agent.link_up({.host = host_id{"r"}, .incarnation = 1}, start);
        std::map<time_point, heartbeat> down;
        std::map<time_point, heartbeat> up;
        // Either direction holds back what is sent from 5 s to 7.9 s.
        const auto due = [&](duration at, bool stalls) {
            return start + (stalls && at >= seconds{5} && at < milliseconds{7'900} ? milliseconds{7'900} + at / 1'000
                                                                                   : at + step);
        };
        const auto beat = [&](const fleet_state& from, heartbeat_echo& end, duration at) {
            auto it = from.make_heartbeat(false, start + at);
            end.stamp(it, start + at);
            return it;
        };
        const auto take = [&](std::map<time_point, heartbeat>& way, fleet_state& to, heartbeat_echo& end,
                              const char* from, time_point now) {
            for (; !way.empty() && way.begin()->first <= now; way.erase(way.begin())) {
                const auto& it = way.begin()->second;
                (void)to.receive(host_id{from}, it, now, end.on_heartbeat(it, now));
            }
            (void)to.tick(now);
        };
        for (duration at{}; at < seconds{14}; at += step) {
            const auto now = start + at;
            if (at <= seconds{6} && at % seconds{2} == duration{}) {
                (void)router.store_unchanged(1, now, now);
            }
            if (at % seconds{1} == duration{}) {
                down.emplace(due(at, to_agent), beat(router, router_end, at));
            }
            if (at % seconds{1} == milliseconds{300}) {
                up.emplace(due(at, !to_agent), beat(agent, agent_end, at));
            }
            take(down, agent, agent_end, "r", now);
            take(up, router, router_end, "a", now);
            const bool fresh = agent.fresh(now);
            EXPECT_TRUE(fresh || at >= milliseconds{9'900}) << at.count();
            EXPECT_FALSE(fresh && at >= seconds{10}) << at.count();
        }
    }
}

} // namespace
} // namespace dandelionbay
