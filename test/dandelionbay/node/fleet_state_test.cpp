#include "dandelionbay/node/fleet_state.hpp"

#include <gtest/gtest.h>

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
        (void)it.receive(host_id{host}, heartbeat{.incarnation = 1, .config_revision = revision}, now);
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
        EXPECT_TRUE(it.members().hears_majority(now));
        EXPECT_FALSE(it.fresh(now));
    }
    {
        SCOPED_TRACE("their configuration is here");
        (void)it.receive(host_id{"b"}, config_document{2, document}, now);
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

} // namespace
} // namespace dandelionbay
