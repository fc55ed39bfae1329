#include "dandelionbay/member/membership.hpp"

#include <random>
#include <set>

#include <gtest/gtest.h>

#include "dandelionbay/member/exchange_tree.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

host_entry router(const std::string& name, const std::string& region = "west") {
    return {.host = host_id{name}, .region = region_id{region}, .zone = zone_id{region + "-1"}};
}

std::vector<host_entry> routers(std::size_t n) {
    std::vector<host_entry> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.push_back(router("h" + std::to_string(i)));
    }
    return result;
}

hello hello_of(const host_entry& it, incarnation_type incarnation = 1) {
    return {.host = it.host, .role = it.role, .region = it.region, .zone = it.zone, .incarnation = incarnation};
}

class membership_test : public ::testing::Test {
public:
    counters metrics;
    time_point now{seconds{100}};
    membership view{router("h0"), routers(5), metrics, now};

    bool beat(const std::string& host, incarnation_type incarnation = 1, bool leaving = false) {
        const bool is_accepted =
            view.on_message(host_id{host}, heartbeat{.incarnation = incarnation, .leaving = leaving}, now);
        if (is_accepted) {
            view.on_heartbeat_confirmed(host_id{host}, now);
        }
        return is_accepted;
    }

    member_state state(const std::string& host) const { return view.state(host_id{host}, now); }
};

// Guards against work sent to hosts that are gone, and against messages of an earlier incarnation of a host that change
// the state of the present one.
TEST_F(membership_test, states_follow_received_messages) {
    EXPECT_EQ(state("h0"), member_state::live);
    EXPECT_EQ(state("h1"), member_state::suspect) << "listed, but no message received yet";
    EXPECT_EQ(state("nobody"), member_state::gone);
    EXPECT_TRUE(beat("h1", 2));
    EXPECT_EQ(state("h1"), member_state::live);
    now += milliseconds{2'999};
    EXPECT_EQ(state("h1"), member_state::live);
    now += milliseconds{1};
    EXPECT_EQ(state("h1"), member_state::suspect);
    now += seconds{7};
    EXPECT_EQ(state("h1"), member_state::gone);
    {
        SCOPED_TRACE("a message of an older incarnation does not change the state");
        EXPECT_FALSE(beat("h1", 1));
        EXPECT_FALSE(view.on_message(hello_of(router("h1"), 1), now));
        EXPECT_FALSE(view.on_message(host_id{"h1"}, 1, now));
        EXPECT_EQ(state("h1"), member_state::gone);
        EXPECT_EQ(metrics.get("old_incarnation_total"), 3);
    }
    {
        SCOPED_TRACE("an announced stop holds until a new incarnation");
        EXPECT_TRUE(beat("h1", 2, true));
        EXPECT_TRUE(beat("h1", 2, false));
        EXPECT_EQ(state("h1"), member_state::leaving);
        EXPECT_TRUE(view.on_message(hello_of(router("h1"), 3), now));
        EXPECT_EQ(state("h1"), member_state::live);
        EXPECT_EQ(view.incarnation(host_id{"h1"}), 3);
        beat("h1", 3, true);
        now += seconds{3};
        EXPECT_EQ(state("h1"), member_state::gone) << "it stopped as announced";
    }
}

// Guards against a lagging host list that hides a host that sends messages or keeps a silent host live.
TEST_F(membership_test, received_messages_take_precedence_over_the_list) {
    EXPECT_TRUE(view.on_message(hello_of(router("new")), now));
    beat("h1");
    view.update_host_list(routers(1), now);
    EXPECT_EQ(state("new"), member_state::live);
    EXPECT_EQ(state("h1"), member_state::live) << "no longer listed, but sends messages";
    view.update_host_list(routers(5), now);
    now += seconds{10};
    EXPECT_EQ(state("h1"), member_state::gone) << "listed, but silent";
    EXPECT_EQ(view.members(now).size(), 6);
    {
        SCOPED_TRACE(
            "a silent host is removed with its list entry; a new host is kept until the list had time to contain it");
        view.update_host_list(routers(1), now);
        EXPECT_EQ(view.members(now).size(), 2);
        now += seconds{50};
        view.update_host_list(routers(1), now);
        EXPECT_EQ(view.members(now).size(), 1);
    }
    {
        SCOPED_TRACE("the list says that a host is leaving");
        auto list = routers(2);
        list[1].leaving = true;
        view.update_host_list(list, now);
        beat("h1");
        EXPECT_EQ(state("h1"), member_state::leaving);
    }
}

// Guards against a side of a partition that removes silent hosts from its set until it is itself the majority.
TEST_F(membership_test, the_majority_is_computed_over_all_known_hosts) {
    EXPECT_FALSE(view.has_majority(now));
    EXPECT_EQ(view.majority_confirmed_at(now), std::nullopt);
    beat("h1");
    now += seconds{1};
    EXPECT_FALSE(view.has_majority(now));
    beat("h2");
    EXPECT_TRUE(view.has_majority(now)) << "three of five, this host included";
    EXPECT_EQ(view.majority_confirmed_at(now), now - seconds{1}) << "the oldest of the latest three times";
    auto other = view;
    EXPECT_TRUE(other.on_message(host_id{"h1"}, 1, now));
    EXPECT_EQ(other.majority_confirmed_at(now), now - seconds{1}) << "the message may have been delayed";
    now += seconds{2};
    EXPECT_FALSE(view.has_majority(now)) << "a rack failed at once";
    now += seconds{3'600};
    beat("h1");
    EXPECT_EQ(view.known_count(now), 5) << "silent hosts still count";
    EXPECT_FALSE(view.has_majority(now));
    {
        SCOPED_TRACE("hosts that announced their stop or are no longer listed do not count");
        beat("h2", 1, true);
        now += seconds{3};
        beat("h1");
        EXPECT_EQ(view.known_count(now), 4);
        view.update_host_list(routers(2), now);
        EXPECT_EQ(view.known_count(now), 2);
        EXPECT_TRUE(view.has_majority(now));
    }
}

// Guards against a process that restarts in an isolated part of a network, knows only the hosts that it receives
// messages from, and counts them as a majority.
TEST_F(membership_test, a_majority_needs_hosts_named_by_the_settings_or_the_list) {
    membership restarted{router("h0"), {}, metrics, now};
    for (const char* const name : {"h1", "h2"}) {
        EXPECT_TRUE(restarted.on_message(hello_of(router(name)), now));
    }
    EXPECT_FALSE(restarted.has_majority(now));
    EXPECT_EQ(restarted.majority_confirmed_at(now), std::nullopt);
    EXPECT_EQ(restarted.majority_revision(3, now), 0);
    restarted.update_host_list(routers(5), now);
    EXPECT_TRUE(restarted.has_majority(now)) << "3 of 5";
    restarted.update_host_list(routers(7), now);
    EXPECT_FALSE(restarted.has_majority(now)) << "3 of 7";
}

// Guards against a change that is reported as accepted before a majority has it.
TEST_F(membership_test, the_majority_revision_was_reached_by_more_than_half_of_the_hosts) {
    const auto announce = [this](const char* host, std::uint64_t revision) {
        EXPECT_TRUE(view.on_message(host_id{host}, heartbeat{.incarnation = 1, .config_revision = revision}, now));
    };
    EXPECT_EQ(view.majority_revision(7, now), 0);
    announce("h1", 7);
    EXPECT_EQ(view.majority_revision(7, now), 0) << "2 of 5";
    announce("h2", 6);
    EXPECT_EQ(view.majority_revision(7, now), 6);
    announce("h3", 8);
    EXPECT_EQ(view.majority_revision(7, now), 7) << "7, 7 and 8 of 5";
}

// Guards against two sides of a partition that both accept changes, whichever hosts the settings and the lagging list
// contain (R10).
TEST(partition, at_most_one_side_has_a_majority) {
    for (unsigned seed = 0; seed < 300; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random{seed};
        const auto pick = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>{0, n - 1}(random); };
        const auto all = routers(3 + pick(9));
        const auto listed = routers(1 + pick(all.size()));
        counters metrics;
        time_point now{seconds{100}};
        std::vector<membership> views;
        for (const auto& it : all) {
            views.emplace_back(it, listed, metrics, now);
        }
        const auto exchange = [&](const auto& connected) {
            for (std::size_t to = 0; to < all.size(); ++to) {
                for (std::size_t from = 0; from < all.size(); ++from) {
                    if (from != to && connected(from, to)) {
                        EXPECT_TRUE(views[to].on_message(hello_of(all[from]), now));
                    }
                }
            }
        };
        exchange([](auto, auto) { return true; });
        const auto split = 1 + pick(all.size() - 1);
        for (int i = 0; i < 20; ++i) {
            now += seconds{1};
            exchange([&](auto from, auto to) { return (from < split) == (to < split); });
            if (pick(4) == 0) {
                views[pick(all.size())].update_host_list(listed, now);
            }
            const auto sees_majority = [&](std::size_t n) { return views[n].has_majority(now); };
            EXPECT_FALSE(i >= 3 && sees_majority(0) && sees_majority(all.size() - 1)) << i;
        }
    }
}

// Guards against a router that no other exchanges with, and against new aggregators in all regions when one router
// joins or leaves.
TEST(exchange_tree, routers_exchange_with_their_aggregator_and_aggregators_with_each_other) {
    std::vector<member> members;
    for (const char* const region : {"west", "east"}) {
        for (int i = 0; i < 5; ++i) {
            members.push_back({.entry = router(region + std::to_string(i), region), .state = member_state::live});
        }
    }
    members.push_back({.entry = {.host = host_id{"agent"}, .role = host_role::agent, .region = region_id{"west"}},
                       .state = member_state::live});
    const auto tree = [&](const host_id& self) { return exchange_tree{self, members}; };
    const auto west_aggregator = *tree(host_id{"west0"}).aggregator(region_id{"west"});
    const auto east_aggregator = *tree(host_id{"west0"}).aggregator(region_id{"east"});
    for (std::size_t i = 0; i < 10; ++i) {
        const auto& self = members[i].entry.host;
        const auto peers = tree(self).peers();
        const std::set<host_id> seen{peers.begin(), peers.end()};
        EXPECT_EQ(tree(self).is_aggregator(), self == west_aggregator || self == east_aggregator);
        EXPECT_EQ(peers.size(), self == west_aggregator || self == east_aggregator ? 5 : 1)
            << "four routers of the region and the other aggregator";
        EXPECT_FALSE(seen.contains(self) || seen.contains(host_id{"agent"}));
    }
    {
        SCOPED_TRACE("another router replaces a lost aggregator; the other region keeps its own");
        for (auto& it : members) {
            if (it.entry.host == west_aggregator) {
                it.state = member_state::suspect;
            }
        }
        const auto next = *tree(host_id{"east0"}).aggregator(region_id{"west"});
        EXPECT_NE(next, west_aggregator);
        EXPECT_EQ(tree(host_id{"east0"}).aggregator(region_id{"east"}), east_aggregator);
        EXPECT_TRUE(tree(west_aggregator).is_aggregator())
            << "an isolated aggregator still selects itself; two aggregators are harmless";
    }
    {
        SCOPED_TRACE("a leaving router aggregates only if its region has no other");
        for (auto& it : members) {
            it.state = it.entry.host == east_aggregator ? member_state::leaving : it.state;
        }
        EXPECT_NE(tree(east_aggregator).aggregator(region_id{"east"}), east_aggregator);
        for (auto& it : members) {
            it.state = it.entry.host == east_aggregator ? member_state::leaving : member_state::gone;
        }
        EXPECT_TRUE(tree(east_aggregator).is_aggregator());
        EXPECT_TRUE(tree(east_aggregator).peers().empty());
    }
}

} // namespace
} // namespace dandelionbay
