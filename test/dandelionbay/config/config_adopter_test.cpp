#include "dandelionbay/config/config_adopter.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/config/freshness.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const host_id old_peer{"old"};
const host_id new_peer{"new"};

std::string text(const std::string& label = "1") {
    return R"({"zones":[{"name":"z","region":"r","labels":{"n":")" + label + R"("}}]})";
}

class adoption : public ::testing::Test {
public:
    counters metrics;
    time_point now{seconds{100}};
    config_adopter adopter{metrics};
};

// Guards against a configuration that goes back, also to what a peer with an older one sends (R10).
TEST_F(adoption, the_revision_in_force_never_falls) {
    EXPECT_EQ(adopter.from_store(7, text(), now)->revision, 7);
    EXPECT_EQ(adopter.from_peer(old_peer, {6, text("old")}, now), nullptr);
    EXPECT_EQ(adopter.from_store(5, text("older"), now), nullptr) << "a read that was answered late";
    EXPECT_EQ(metrics.get("config_old_revision_total"), 2);
    EXPECT_EQ(adopter.answer({7}), std::nullopt);
    EXPECT_EQ(adopter.answer({6}), (config_document{7, text()}));
    {
        SCOPED_TRACE("the same revision with another text violates the protocol");
        EXPECT_EQ(adopter.from_peer(old_peer, {7, text("other")}, now), nullptr);
        EXPECT_EQ(metrics.get("protocol_violations_total", "config_text_differs"), 1);
        EXPECT_EQ(adopter.text(), text());
        EXPECT_EQ(adopter.from_peer(old_peer, {7, text()}, now), nullptr);
        EXPECT_EQ(metrics.total("protocol_violations_total"), 1);
    }
    {
        SCOPED_TRACE("a document that can't be parsed is not applied and not asked for again");
        EXPECT_EQ(adopter.from_peer(old_peer, {9, "{"}, now), nullptr);
        EXPECT_EQ(adopter.next_query(now), std::nullopt);
        EXPECT_EQ(adopter.from_store(9, text("repaired"), now)->revision, 9);
    }
}

// Guards against a node that hears of a newer configuration and waits for its next read, or asks a silent peer forever.
TEST_F(adoption, a_higher_revision_is_fetched_from_the_peers_that_have_it) {
    ASSERT_NE(adopter.from_store(1, text(), now), nullptr);
    adopter.announced(old_peer, 1);
    EXPECT_EQ(adopter.next_query(now), std::nullopt);
    adopter.announced(old_peer, 2);
    adopter.announced(new_peer, 3);
    const auto query = adopter.next_query(now);
    ASSERT_TRUE(query.has_value());
    EXPECT_EQ(query->first, new_peer);
    EXPECT_EQ(query->second.above_revision, 1);
    EXPECT_EQ(adopter.next_query(now), std::nullopt) << "one query at a time";
    adopter.announced(old_peer, 3);
    EXPECT_EQ(adopter.next_query(now + milliseconds{499}), std::nullopt);
    now += milliseconds{500};
    EXPECT_EQ(adopter.next_query(now)->first, old_peer) << "the first did not answer";
    EXPECT_EQ(adopter.tick(now), nullptr);
    EXPECT_FALSE(adopter.behind(now));
    now += seconds{1};
    EXPECT_EQ(adopter.tick(now), nullptr);
    EXPECT_TRUE(adopter.behind(now)) << "no new work with a configuration that is known to be old";
    EXPECT_EQ(adopter.from_peer(old_peer, {3, text("3")}, now)->revision, 3);
    EXPECT_FALSE(adopter.behind(now));
    {
        SCOPED_TRACE("a peer that is lost is not asked");
        adopter.announced(new_peer, 4);
        adopter.peer_lost(new_peer);
        EXPECT_EQ(adopter.next_query(now), std::nullopt);
    }
}

// Guards against a largest announced revision that outlives its peers, which keeps a node behind, or that is lost with
// one of several peers, which lets it go on with an old configuration.
TEST_F(adoption, the_highest_announced_revision_follows_the_peers) {
    ASSERT_NE(adopter.from_store(1, text(), now), nullptr);
    adopter.announced(old_peer, 3);
    adopter.announced(new_peer, 3);
    adopter.announced(new_peer, 2);
    adopter.peer_lost(old_peer);
    EXPECT_TRUE(adopter.knows_higher()) << "a peer's revision does not fall";
    adopter.announced(old_peer, 2);
    adopter.peer_lost(new_peer);
    EXPECT_EQ(adopter.next_query(now)->second.above_revision, 1) << "revision 2 is still announced";
    adopter.peer_lost(old_peer);
    EXPECT_FALSE(adopter.knows_higher());
    EXPECT_EQ(adopter.next_query(now), std::nullopt);
}

// Guards against a restarted node that takes an older configuration than it had before, from the first peer it meets.
TEST_F(adoption, a_node_that_starts_takes_the_store_or_the_highest_revision_of_its_peers) {
    {
        SCOPED_TRACE("the store's answer decides");
        EXPECT_EQ(adopter.from_peer(old_peer, {3, text("old")}, now), nullptr) << "the store was not asked yet";
        EXPECT_EQ(adopter.from_store(4, text("4"), now)->revision, 4);
    }
    {
        SCOPED_TRACE("the store is down");
        config_adopter other{metrics};
        other.store_failed(now);
        EXPECT_EQ(other.from_peer(old_peer, {3, text("old")}, now), nullptr);
        other.announced(new_peer, 4);
        EXPECT_EQ(other.next_query(now)->first, new_peer);
        EXPECT_EQ(other.tick(now + seconds{1}), nullptr) << "a higher one is known";
        EXPECT_EQ(other.from_peer(new_peer, {4, text("4")}, now + seconds{1})->revision, 4);
    }
    {
        SCOPED_TRACE("no peer has more, or the one that has never answers");
        config_adopter other{metrics};
        other.store_failed(now);
        EXPECT_EQ(other.from_peer(old_peer, {3, text("old")}, now), nullptr);
        EXPECT_EQ(other.tick(now + milliseconds{999}), nullptr);
        other.announced(new_peer, 4);
        EXPECT_EQ(other.tick(now + milliseconds{4'999}), nullptr);
        EXPECT_EQ(other.tick(now + seconds{5})->revision, 3);
        EXPECT_TRUE(other.behind(now + seconds{6})) << "it serves nothing with it";
    }
    {
        SCOPED_TRACE("a peer is ahead of a read that began before the change");
        config_adopter other{metrics};
        EXPECT_EQ(other.from_peer(new_peer, {5, text("5")}, now), nullptr);
        EXPECT_EQ(other.from_store(4, text("4"), now)->revision, 5);
    }
    {
        SCOPED_TRACE("a new fleet without a configuration");
        config_adopter other{metrics};
        other.store_empty(now);
        EXPECT_EQ(other.from_peer(new_peer, {1, text("1")}, now)->revision, 1);
    }
}

// Guards against admitting work with an old configuration in a partition (R4, R8), and against a store outage that
// stops the fleet.
TEST(freshness, evidence_ages_and_ends) {
    counters metrics;
    const time_point start{seconds{100}};
    freshness node{isolated_policy::stop, metrics};
    EXPECT_FALSE(node.fresh(start));
    EXPECT_EQ(node.evidence_age_ms(start), freshness::no_evidence);
    {
        SCOPED_TRACE("a read counts from its start, because the row may have changed since");
        node.store_read(start);
        EXPECT_TRUE(node.fresh(start + milliseconds{3'999}));
        EXPECT_FALSE(node.fresh(start + seconds{4}));
    }
    {
        SCOPED_TRACE("a peer's evidence has the peer's age");
        node.peer_evidence(3'000, start + seconds{5});
        EXPECT_TRUE(node.fresh(start + milliseconds{5'999}));
        EXPECT_FALSE(node.fresh(start + seconds{6}));
        node.peer_evidence(freshness::no_evidence, start + seconds{6});
        node.peer_evidence(4'000, start + seconds{6});
        EXPECT_FALSE(node.fresh(start + seconds{6}));
    }
    {
        SCOPED_TRACE("two cut-off nodes can't keep each other fresh");
        freshness other{isolated_policy::stop, metrics};
        for (auto now = start + milliseconds{5'500}; now < start + seconds{20}; now += milliseconds{100}) {
            other.peer_evidence(node.evidence_age_ms(now), now);
            node.peer_evidence(other.evidence_age_ms(now), now);
            EXPECT_EQ(other.fresh(now), now < start + seconds{6}) << now.time_since_epoch().count();
        }
        EXPECT_FALSE(node.fresh(start + seconds{20}));
    }
    {
        SCOPED_TRACE("the store is down and a majority is heard");
        node.majority_heard(start + seconds{20});
        EXPECT_TRUE(node.fresh(start + seconds{21}));
        EXPECT_EQ(node.evidence_age_ms(start + seconds{21}), 1'000);
        EXPECT_EQ(node.expires(), start + seconds{24});
        node.majority_heard(std::nullopt);
        EXPECT_FALSE(node.fresh(start + seconds{24}));
        EXPECT_EQ(metrics.get("isolation_changes_total", "isolated"), 5);
    }
    {
        SCOPED_TRACE("an operator prefers to serve");
        freshness serving{isolated_policy::serve, metrics};
        EXPECT_TRUE(serving.fresh(start));
        EXPECT_FALSE(serving.has_evidence(start));
    }
}

} // namespace
} // namespace dandelionbay
