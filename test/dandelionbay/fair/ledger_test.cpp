#include "dandelionbay/fair/ledger.hpp"

#include <algorithm>
#include <limits>
#include <random>

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using std::chrono::seconds;

const pool_id pool{"p"};
const team_key alpha{pool, team_id{"alpha"}};
const team_key beta{pool, team_id{"beta"}};
const team_key gamma{pool, team_id{"gamma"}};
const host_id a{"ra"};
const host_id b{"rb"};
const host_id c{"rc"};
const time_point start{seconds{1'000}};

constexpr std::size_t everything = 1'000'000;

// Guards against teams that gain credit while idle, and against lifting a team that is backlogged at another router.
TEST(ledger, a_returning_team_is_lifted_to_the_lowest_backlogged_counter) {
    ledger accounts{a, 1};
    accounts.set_queued(alpha, 1, start);
    accounts.charge(alpha, 500.0, start);
    accounts.set_queued(beta, 1, start);
    {
        SCOPED_TRACE("beta was idle while alpha was served");
        EXPECT_DOUBLE_EQ(accounts.counter(beta), 500.0);
    }
    {
        SCOPED_TRACE("gamma is backlogged at another router and keeps its counter");
        std::ignore = accounts.merge(b, {{ledger_row{pool, gamma.team, b, 1, 1, 20.0, 0.0, 3}}, {}}, start);
        accounts.set_queued(gamma, 1, start);
        EXPECT_DOUBLE_EQ(accounts.counter(gamma), 20.0);
        EXPECT_EQ(accounts.lowest_remote(pool)->second, gamma.team);
    }
    {
        SCOPED_TRACE("if no team is backlogged, a team is lifted to the highest charged counter");
        for (const auto& key : {alpha, beta, gamma}) {
            accounts.set_queued(key, 0, start);
        }
        accounts.tick(start + ledger::remote_load_timeout);
        accounts.set_queued(gamma, 1, start + ledger::remote_load_timeout);
        EXPECT_DOUBLE_EQ(accounts.counter(gamma), 500.0);
    }
}

// Guards against a restarted router that lifts a team before it knows the team's service: the service would be counted
// twice, and the team would not be served until all others have caught up.
TEST(ledger, a_lift_is_provisional_until_the_rows_of_peers_are_known) {
    ledger accounts{a, 2};
    accounts.merge_floor(team_floor{pool, alpha.team, 500.0}, start);
    accounts.set_queued(beta, 1, start);
    EXPECT_DOUBLE_EQ(accounts.counter(beta), 500.0);
    {
        SCOPED_TRACE("the lift is not sent to other routers");
        accounts.add_peer(b);
        EXPECT_TRUE(accounts.take_changes(b, everything, 0).lifts.empty());
    }
    {
        SCOPED_TRACE("the rows of a peer replace the lift");
        std::ignore = accounts.merge(b, {{ledger_row{pool, beta.team, b, 1, 1, 480.0, 0.0, 3}}, {}}, start);
        EXPECT_DOUBLE_EQ(accounts.counter(beta), 500.0);
        accounts.set_synced(true, start);
        EXPECT_DOUBLE_EQ(accounts.counter(beta), 480.0);
    }
    {
        SCOPED_TRACE("a lift of a team that no peer has backlogged becomes final");
        ledger other{c, 1};
        other.merge_floor(team_floor{pool, alpha.team, 500.0}, start);
        other.set_queued(beta, 1, start);
        other.add_peer(b);
        other.set_synced(true, start);
        EXPECT_EQ(other.take_changes(b, everything, 0).lifts.size(), 1U);
        EXPECT_DOUBLE_EQ(other.counter(beta), 500.0);
    }
}

// Guards against rows that are counted twice, reverted or lost when messages are dropped, repeated or reordered.
TEST(ledger, exchange_survives_loss_duplication_and_reordering) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 rng{seed};
        const std::vector<host_id> names{a, b, c};
        std::vector<ledger> ledgers;
        for (const auto& name : names) {
            ledgers.emplace_back(name, 1);
        }
        for (std::size_t i = 0; i < ledgers.size(); ++i) {
            for (const auto& peer : names) {
                if (peer != names[i]) {
                    ledgers[i].add_peer(peer);
                }
            }
        }
        double total = 0.0;
        std::vector<std::tuple<std::size_t, std::size_t, ledger_rows>> in_flight;
        auto now = start;
        for (int step = 0; step < 600; ++step) {
            now += std::chrono::milliseconds{20};
            const auto i = rng() % 3;
            if (step < 400) {
                ledgers[i].charge(rng() % 2 == 0 ? alpha : beta, 1.0, now);
                total += 1.0;
            }
            const auto to = (i + 1 + rng() % 2) % 3;
            auto rows = ledgers[i].take_changes(names[to], 4, 2);
            const auto delivery = rng() % 4;
            if (delivery != 0) {
                in_flight.emplace_back(i, to, rows);
            }
            if (delivery == 1) {
                in_flight.emplace_back(i, to, rows);
            }
            std::ranges::shuffle(in_flight, rng);
            while (in_flight.size() > 5) {
                const auto& [from, target, in] = in_flight.back();
                EXPECT_EQ(ledgers[target].merge(names[from], in, now), 0U);
                in_flight.pop_back();
            }
        }
        for (auto& accounts : ledgers) {
            EXPECT_DOUBLE_EQ(accounts.charged(alpha) + accounts.charged(beta), total);
        }
    }
}

// Guards against reservations of a failed router that permanently delay its teams, and against losing the charges of
// earlier incarnations: their rows are folded, not dropped, and a late row of a folded incarnation isn't counted again.
TEST(ledger, charges_of_failed_routers_are_kept_and_their_load_expires) {
    ledger accounts{a, 1};
    const ledger_row first{pool, alpha.team, b, 1, 5, 100.0, 40.0, 2};
    std::ignore = accounts.merge(b, {{first}, {}}, start);
    EXPECT_DOUBLE_EQ(accounts.counter(alpha), 140.0);
    {
        SCOPED_TRACE("no refresh for 10 s");
        accounts.tick(start + ledger::remote_load_timeout);
        EXPECT_DOUBLE_EQ(accounts.counter(alpha), 100.0);
        EXPECT_EQ(accounts.queued(alpha), 0U);
    }
    {
        SCOPED_TRACE("the router restarts with a new incarnation; the old rows arrive again late");
        std::ignore = accounts.merge(b, {{ledger_row{pool, alpha.team, b, 2, 1, 7.0, 1.0, 0}}, {}}, start);
        std::ignore = accounts.merge(c, {{first}, {}}, start);
        EXPECT_DOUBLE_EQ(accounts.charged(alpha), 107.0);
        EXPECT_DOUBLE_EQ(accounts.counter(alpha), 108.0);
    }
    {
        SCOPED_TRACE("a thousand restarts leave two rows");
        for (incarnation_type n = 3; n <= 1'000; ++n) {
            std::ignore = accounts.merge(b, {{ledger_row{pool, alpha.team, b, n, 1, 1.0, 0.0, 0}}, {}}, start);
        }
        EXPECT_EQ(accounts.row_count(), 2U);
        EXPECT_DOUBLE_EQ(accounts.charged(alpha), 107.0 + 998.0);
    }
    {
        SCOPED_TRACE("folded rows are merged by maximum, repeatedly and in any order");
        ledger other{c, 1};
        std::ignore = other.merge(b, {{ledger_row{pool, alpha.team, b, 1'000, 1, 1.0, 0.0, 0}}, {}}, start);
        accounts.add_peer(c);
        const auto rows = accounts.take_changes(c, everything, 0);
        std::ignore = other.merge(a, rows, start);
        std::ignore = other.merge(a, rows, start);
        EXPECT_DOUBLE_EQ(other.charged(alpha), accounts.charged(alpha));
    }
}

// Guards against a restarted router that prefers its own teams because its counters start at zero.
TEST(ledger, a_restarted_router_starts_at_the_floor) {
    ledger accounts{a, 2};
    accounts.merge_floor(team_floor{pool, alpha.team, 900.0}, start);
    accounts.merge_floor(team_floor{pool, alpha.team, 300.0}, start);
    EXPECT_DOUBLE_EQ(accounts.counter(alpha), 900.0);
    {
        SCOPED_TRACE("a team without a floor starts there too if no other team is backlogged");
        accounts.set_queued(beta, 1, start);
        EXPECT_DOUBLE_EQ(accounts.counter(beta), 900.0);
    }
    {
        SCOPED_TRACE("a peer returns the router's own earlier row, which is counted once");
        std::ignore = accounts.merge(b, {{ledger_row{pool, alpha.team, a, 1, 9, 950.0, 30.0, 4}}, {}}, start);
        EXPECT_DOUBLE_EQ(accounts.counter(alpha), 950.0);
        EXPECT_EQ(accounts.queued(alpha), 0U);
    }
}

// Guards against an invalid value from a faulty peer that corrupts the order of the counters.
TEST(ledger, values_that_are_negative_or_not_finite_are_rejected) {
    ledger accounts{a, 1};
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();
    EXPECT_EQ(accounts.merge(b,
                             {{ledger_row{pool, alpha.team, b, 1, 1, nan, 0.0, 0},
                               ledger_row{pool, alpha.team, b, 1, 2, 1.0, infinite, 0},
                               ledger_row{pool, alpha.team, b, 1, 3, -1.0, 0.0, 0}},
                              {lift_row{pool, alpha.team, nan}}},
                             start),
              4U);
    EXPECT_EQ(accounts.row_count(), 0U);
}

// Guards against rows that are never sent to a peer because rows change faster than the exchange sends them.
TEST(ledger, frequent_changes_do_not_delay_a_row) {
    ledger accounts{a, 1};
    accounts.add_peer(b);
    for (int n = 0; n < 50; ++n) {
        accounts.charge(team_key{pool, team_id{std::to_string(n)}}, 1.0, start);
    }
    std::set<std::string> sent;
    for (int round = 0; round < 10; ++round) {
        for (int n = 0; n < 50; ++n) {
            accounts.charge(team_key{pool, team_id{std::to_string(n)}}, 1.0, start);
        }
        for (const auto& row : accounts.take_changes(b, 5, 0).rows) {
            sent.insert(row.team.value);
        }
    }
    EXPECT_EQ(sent.size(), 50U);
    EXPECT_TRUE(accounts.has_changes(b));
}

} // namespace
} // namespace dandelionbay
