#include "dandelionbay/node/fleet_state.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using namespace std::chrono_literals;

// Guards against a node that isolates itself although the store answers that nothing changed, and against answers about
// a revision that isn't in force.
TEST(fleet_state, an_unchanged_row_is_evidence_for_its_revision) {
    node_options options;
    options.host = host_id{"a"};
    for (const auto* name : {"a", "b", "c"}) {
        options.hosts.push_back({host_id{name}, host_role::agent, {}, {}, {"127.0.0.1", 1}, false});
    }
    counters metrics;
    const time_point start{1h};
    fleet_state state{options, host_role::agent, 1, metrics, start};
    const auto fresh = [&](duration after) {
        static_cast<void>(state.tick(start + after));
        return state.fresh(start + after);
    };
    static_cast<void>(state.store_unchanged(1, start, start));
    EXPECT_FALSE(fresh(0s)) << "nothing is in force";
    EXPECT_NE(state.store_read(1, "{}", start, start).config, nullptr);
    EXPECT_TRUE(fresh(3s));
    EXPECT_FALSE(fresh(5s)) << "the evidence is too old";
    static_cast<void>(state.store_unchanged(2, start + 5s, start + 5s));
    EXPECT_FALSE(fresh(5s)) << "revision 2 is not in force";
    static_cast<void>(state.store_unchanged(1, start + 5s, start + 5s));
    EXPECT_TRUE(fresh(8s));
    EXPECT_FALSE(fresh(10s));
}

} // namespace
} // namespace dandelionbay
