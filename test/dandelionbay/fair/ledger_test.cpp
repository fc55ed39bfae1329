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

// Guards against idle time that earns credit, and against a lift that moves a team which is backlogged elsewhere.
TEST(ledger, a_returning_team_is_lifted_to_the_lowest_backlogged_counter) {
    ledger book{a, 1};
    book.set_queued(alpha, 1, start);
    book.charge(alpha, 500.0, start);
    book.set_queued(beta, 1, start);
    {
        SCOPED_TRACE("beta was idle while alpha was served");
        EXPECT_DOUBLE_EQ(book.counter(beta), 500.0);
    }
    {
        SCOPED_TRACE("gamma is backlogged at another router and keeps its counter");
        std::ignore = book.merge(b, {{ledger_row{pool, gamma.team, b, 1, 1, 20.0, 0.0, 3}}, {}}, start);
        book.set_queued(gamma, 1, start);
        EXPECT_DOUBLE_EQ(book.counter(gamma), 20.0);
        EXPECT_EQ(book.lowest_remote(pool)->second, gamma.team);
    }
    {
        SCOPED_TRACE("when no team is backlogged, all are equal");
        for (const auto& key : {alpha, beta, gamma}) {
            book.set_queued(key, 0, start);
        }
        book.tick(start + ledger::remote_load_timeout);
        book.set_queued(gamma, 1, start + ledger::remote_load_timeout);
        EXPECT_DOUBLE_EQ(book.counter(gamma), 500.0);
    }
}

// Guards against a restarted router that lifts a team before it knows the team's service, which would then count twice
// and leave the team without service until all others have caught up.
TEST(ledger, a_lift_without_the_peers_rows_is_provisional) {
    ledger book{a, 2};
    book.merge_floor(team_floor{pool, alpha.team, 500.0}, start);
    book.set_queued(beta, 1, start);
    EXPECT_DOUBLE_EQ(book.counter(beta), 500.0);
    {
        SCOPED_TRACE("the lift is not sent to other routers");
        book.add_peer(b);
        EXPECT_TRUE(book.take_changes(b, everything, 0).lifts.empty());
    }
    {
        SCOPED_TRACE("the rows of a peer take the place of the lift");
        std::ignore = book.merge(b, {{ledger_row{pool, beta.team, b, 1, 1, 480.0, 0.0, 3}}, {}}, start);
        EXPECT_DOUBLE_EQ(book.counter(beta), 500.0);
        book.set_synced(true, start);
        EXPECT_DOUBLE_EQ(book.counter(beta), 480.0);
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

// Guards against rows that are counted twice, rolled back or lost when messages are dropped, repeated or reordered.
TEST(ledger, exchange_survives_loss_duplication_and_reordering) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 rng{seed};
        const std::vector<host_id> names{a, b, c};
        std::vector<ledger> books;
        for (const auto& name : names) {
            books.emplace_back(name, 1);
        }
        for (std::size_t i = 0; i < books.size(); ++i) {
            for (const auto& peer : names) {
                if (peer != names[i]) {
                    books[i].add_peer(peer);
                }
            }
        }
        double total = 0.0;
        std::vector<std::tuple<std::size_t, std::size_t, ledger_rows>> flying;
        auto now = start;
        for (int step = 0; step < 600; ++step) {
            now += std::chrono::milliseconds{20};
            const auto i = rng() % 3;
            if (step < 400) {
                books[i].charge(rng() % 2 == 0 ? alpha : beta, 1.0, now);
                total += 1.0;
            }
            const auto to = (i + 1 + rng() % 2) % 3;
            auto rows = books[i].take_changes(names[to], 4, 2);
            const auto fate = rng() % 4;
            if (fate != 0) {
                flying.emplace_back(i, to, rows);
            }
            if (fate == 1) {
                flying.emplace_back(i, to, rows);
            }
            std::ranges::shuffle(flying, rng);
            while (flying.size() > 5) {
                const auto& [from, target, in] = flying.back();
                EXPECT_EQ(books[target].merge(names[from], in, now), 0U);
                flying.pop_back();
            }
        }
        for (auto& book : books) {
            EXPECT_DOUBLE_EQ(book.charged(alpha) + book.charged(beta), total);
        }
    }
}

// Guards against reservations of a dead router that hold its teams back for ever, and against lost charges of earlier
// incarnations: rows are folded, never dropped, and a late row of a folded incarnation is not counted again.
TEST(ledger, gone_routers_keep_their_charges_and_lose_their_load) {
    ledger book{a, 1};
    const ledger_row first{pool, alpha.team, b, 1, 5, 100.0, 40.0, 2};
    std::ignore = book.merge(b, {{first}, {}}, start);
    EXPECT_DOUBLE_EQ(book.counter(alpha), 140.0);
    {
        SCOPED_TRACE("no refresh for 10 s");
        book.tick(start + ledger::remote_load_timeout);
        EXPECT_DOUBLE_EQ(book.counter(alpha), 100.0);
        EXPECT_EQ(book.queued(alpha), 0U);
    }
    {
        SCOPED_TRACE("the router returns with a new incarnation; the old rows arrive again, late");
        std::ignore = book.merge(b, {{ledger_row{pool, alpha.team, b, 2, 1, 7.0, 1.0, 0}}, {}}, start);
        std::ignore = book.merge(c, {{first}, {}}, start);
        EXPECT_DOUBLE_EQ(book.charged(alpha), 107.0);
        EXPECT_DOUBLE_EQ(book.counter(alpha), 108.0);
    }
    {
        SCOPED_TRACE("a thousand restarts leave two rows");
        for (incarnation_type n = 3; n <= 1'000; ++n) {
            std::ignore = book.merge(b, {{ledger_row{pool, alpha.team, b, n, 1, 1.0, 0.0, 0}}, {}}, start);
        }
        EXPECT_EQ(book.rows(), 2U);
        EXPECT_DOUBLE_EQ(book.charged(alpha), 107.0 + 998.0);
    }
    {
        SCOPED_TRACE("folds of different routers merge to the larger one, in either order");
        ledger other{c, 1};
        std::ignore = other.merge(b, {{ledger_row{pool, alpha.team, b, 1'000, 1, 1.0, 0.0, 0}}, {}}, start);
        book.add_peer(c);
        const auto rows = book.take_changes(c, everything, 0);
        std::ignore = other.merge(a, rows, start);
        std::ignore = other.merge(a, rows, start);
        EXPECT_DOUBLE_EQ(other.charged(alpha), book.charged(alpha));
    }
}

// Guards against a restart with empty memory that puts a router's teams ahead of all others.
TEST(ledger, a_restarted_router_starts_at_the_floor) {
    ledger book{a, 2};
    book.merge_floor(team_floor{pool, alpha.team, 900.0}, start);
    book.merge_floor(team_floor{pool, alpha.team, 300.0}, start);
    EXPECT_DOUBLE_EQ(book.counter(alpha), 900.0);
    {
        SCOPED_TRACE("a team without floor that becomes backlogged alone starts there too");
        book.set_queued(beta, 1, start);
        EXPECT_DOUBLE_EQ(book.counter(beta), 900.0);
    }
    {
        SCOPED_TRACE("its own earlier row comes back from a peer and counts once");
        std::ignore = book.merge(b, {{ledger_row{pool, alpha.team, a, 1, 9, 950.0, 30.0, 4}}, {}}, start);
        EXPECT_DOUBLE_EQ(book.counter(alpha), 950.0);
        EXPECT_EQ(book.queued(alpha), 0U);
    }
}

// Guards against a value from a faulty peer that breaks the order of the counters.
TEST(ledger, values_that_are_not_finite_are_refused) {
    ledger book{a, 1};
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();
    EXPECT_EQ(book.merge(b,
                         {{ledger_row{pool, alpha.team, b, 1, 1, nan, 0.0, 0},
                           ledger_row{pool, alpha.team, b, 1, 2, 1.0, infinite, 0},
                           ledger_row{pool, alpha.team, b, 1, 3, -1.0, 0.0, 0}},
                          {lift_row{pool, alpha.team, nan}}},
                         start),
              4U);
    EXPECT_EQ(book.rows(), 0U);
}

// Guards against rows that never reach a peer because they change faster than the exchange drains.
TEST(ledger, a_row_that_changes_always_is_sent_in_turn) {
    ledger book{a, 1};
    book.add_peer(b);
    for (int n = 0; n < 50; ++n) {
        book.charge(team_key{pool, team_id{std::to_string(n)}}, 1.0, start);
    }
    std::set<std::string> sent;
    for (int round = 0; round < 10; ++round) {
        for (int n = 0; n < 50; ++n) {
            book.charge(team_key{pool, team_id{std::to_string(n)}}, 1.0, start);
        }
        for (const auto& row : book.take_changes(b, 5, 0).rows) {
            sent.insert(row.team.value);
        }
    }
    EXPECT_EQ(sent.size(), 50U);
    EXPECT_TRUE(book.has_changes(b));
}

} // namespace
} // namespace dandelionbay
