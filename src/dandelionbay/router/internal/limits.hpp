#pragma once

#include <cstddef>
#include <cstdint>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay::internal {

/*! Shortest distance between two demands to one agent. */
inline constexpr duration min_demand_interval = std::chrono::milliseconds{20};
/*! Longest age of a demand while work waits; repairs a demand that an agent lost. */
inline constexpr duration demand_refresh_interval = std::chrono::seconds{1};
/*! Waiting time after which agents of other regions are asked too: one demand interval, in which agents of the own
 * region answer. These wait for 100 ms more before they grant. With 200 ms here, 5 of 100 calls of a region with too
 * few slots waited for over 0.32 s, and their teams fell behind those of the other region. */
inline constexpr duration remote_demand_delay = std::chrono::milliseconds{20};
/*! Most teams named in a demand; with many agents fewer are named, so that each agent hears more often. */
inline constexpr std::size_t max_demand_teams = 8;
inline constexpr std::size_t min_demand_teams = 2;
/*! Demand bytes per second, counted as sent. With the same amount for ledger rows and 349 heartbeats of 11 bytes it
 * stays under the 9 KB/s of a node. */
inline constexpr double demand_bytes_per_second = 2'500.0;
inline constexpr double demand_burst_bytes = 16'000.0;
/*! Shares of the burst that are kept for urgent demands: an agent that learns of first or ended work. */
inline constexpr double refresh_reserve_share = 0.25;
inline constexpr double piggyback_reserve_share = 0.5;

/*! Interval of the ledger exchange. The gap between teams grows with it; shorter ones gain nothing, because the largest
 * requests then make up the gap (docs/experiments.md). */
inline constexpr duration exchange_interval = std::chrono::milliseconds{50};
inline constexpr double exchange_bytes_per_second = 2'500.0;
inline constexpr double exchange_burst_bytes = 16'000.0;
/*! Rows of one exchange message; keeps a first full exchange from blocking the link. */
inline constexpr std::size_t max_rows_per_exchange = 64;
/*! Unchanged rows appended to an exchange. */
inline constexpr std::size_t unchanged_rows_per_exchange = 2;
/*! Size of an encoded team in a demand with its name in full; decides only how many teams are named. */
inline constexpr double encoded_team_bytes = 24.0;

/*! A grant is not used in its last part, which covers a round trip of 40 ms between regions and scheduling delays. */
inline constexpr duration grant_expiry_margin = std::chrono::milliseconds{250};
/*! Time for which ids of grants that were used or given back are remembered; longer than a grant's lifetime. */
inline constexpr duration spent_grant_retention_window = std::chrono::seconds{10};

/*! Time a broken link may take to come back before the runs on it are given up; silent links take 3 s to be noticed. */
inline constexpr duration link_recovery_timeout = std::chrono::seconds{6};
/*! Time an agent may take to fill a gap in an answer. */
inline constexpr duration gap_timeout = std::chrono::seconds{5};
/*! Distance of two requests to fill the same gap. */
inline constexpr duration gap_request_interval = std::chrono::milliseconds{500};
/*! The agent ends a run at its time limit; the router does so later by this margin if the agent's end is lost. */
inline constexpr duration run_timeout_margin = std::chrono::seconds{2};
/*! Runs of one request, the first included. */
inline constexpr std::uint32_t max_attempts = 3;
/*! Additional wait of a suspect: the same request may crash another endpoint at the moment, and that news comes first.
 */
inline constexpr duration suspect_backoff = std::chrono::seconds{1};
/*! Time for which an agent that rejected a suspect is not offered another one. */
inline constexpr duration suspect_rejection_backoff = std::chrono::milliseconds{500};

/*! Exchange delay in the fairness bound: own interval, two hops of the exchange tree, network, scheduling, and waiting
 * for the byte pace. */
inline constexpr duration max_exchange_delay = std::chrono::milliseconds{800};
/*! Interval of slow work: refresh of rows, rates, expiry. */
inline constexpr duration maintenance_interval = std::chrono::seconds{1};

/*! Limits of the time named in Retry-After. */
inline constexpr duration min_retry_after = std::chrono::seconds{1};
inline constexpr duration max_retry_after = std::chrono::seconds{30};

} // namespace dandelionbay::internal
