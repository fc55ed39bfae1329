#pragma once

#include <cstddef>
#include <cstdint>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay::internal {

/*! Shortest interval between two demands to one agent. */
inline constexpr duration min_demand_interval = std::chrono::milliseconds{20};
/*! Interval at which an unchanged demand is repeated while requests wait, in case the agent lost it. */
inline constexpr duration demand_refresh_interval = std::chrono::seconds{1};
/*! Waiting time of a request after which demands are sent to agents of other regions too. One demand interval lets
 * agents of the router's own region answer first; agents of other regions wait for another 100 ms before they grant.
 * With a delay of 200 ms, 5 of 100 calls in a region with too few slots waited for more than 0.32 s, and their teams
 * received less service than teams of the other region. */
inline constexpr duration remote_demand_delay = std::chrono::milliseconds{20};
/*! Bounds of the number of teams in a demand. It decreases with the number of agents, so that each agent is updated
 * more often. */
inline constexpr std::size_t max_demand_teams = 8;
inline constexpr std::size_t min_demand_teams = 2;
/*! Rate limit of demands, in encoded bytes. Together with the same rate of ledger rows and 349 heartbeats of 11 bytes
 * per second, it stays below the limit of 9 KB/s for a node. */
inline constexpr double demand_bytes_per_second = 2'500.0;
inline constexpr double demand_burst_bytes = 16'000.0;
/*! Shares of the burst reserved for more urgent demands, such as those that report the first or the end of the demand
 * to an agent. */
inline constexpr double refresh_reserve_share = 0.25;
inline constexpr double piggyback_reserve_share = 0.5;

/*! Interval of the ledger exchange. The service gap between teams grows with the interval. Shorter intervals don't
 * reduce it, because the largest requests then determine the gap (docs/experiments.md). */
inline constexpr duration exchange_interval = std::chrono::milliseconds{50};
inline constexpr double exchange_bytes_per_second = 2'500.0;
inline constexpr double exchange_burst_bytes = 16'000.0;
/*! Bounded so that the initial exchange of all rows doesn't block the link. */
inline constexpr std::size_t max_rows_per_exchange = 64;
/*! Unchanged rows appended to each exchange message, which repairs lost rows. */
inline constexpr std::size_t unchanged_rows_per_exchange = 2;
/*! Size of a team entry with its full name in an encoded demand; used only to choose the number of teams. */
inline constexpr double encoded_team_bytes = 24.0;

/*! Part of a grant's lifetime, at its end, in which it isn't used. Covers a round trip of 40 ms between regions and
 * scheduling delays. */
inline constexpr duration grant_expiry_margin = std::chrono::milliseconds{250};
/*! Time for which the ids of used and returned grants are kept; longer than the lifetime of a grant. */
inline constexpr duration spent_grant_retention_window = std::chrono::seconds{10};

/*! Time after which the runs of an agent whose link is down fail. A silent link is detected after 3 s. */
inline constexpr duration link_recovery_timeout = std::chrono::seconds{6};
/*! Time in which an agent must send the missing bytes of an answer. */
inline constexpr duration gap_timeout = std::chrono::seconds{5};
/*! Interval at which missing bytes are requested again. */
inline constexpr duration gap_request_interval = std::chrono::milliseconds{500};
/*! Time after the agent's run timeout at which the router ends a run itself, in case the agent's message is lost. */
inline constexpr duration run_timeout_margin = std::chrono::seconds{2};
/*! Runs of one request, including the first. */
inline constexpr std::uint32_t max_attempts = 3;
/*! Added to the retry delay of a request suspected of crashing endpoints: an equal request may crash another endpoint
 * at the same time, and this suspicion must arrive before the retry. */
inline constexpr duration suspect_backoff = std::chrono::seconds{1};
/*! Time for which no suspected request is submitted to an agent that rejected one. */
inline constexpr duration suspect_rejection_backoff = std::chrono::milliseconds{500};

/*! Exchange delay assumed by the fairness bound: the exchange interval, two hops of the exchange tree, network and
 * scheduling delays, and the wait for the byte budget. */
inline constexpr duration max_exchange_delay = std::chrono::milliseconds{800};
/*! Interval at which ledger rows are refreshed, service rates updated and old entries removed. */
inline constexpr duration maintenance_interval = std::chrono::seconds{1};

/*! Bounds of the Retry-After header's value. */
inline constexpr duration min_retry_after = std::chrono::seconds{1};
inline constexpr duration max_retry_after = std::chrono::seconds{30};

} // namespace dandelionbay::internal
