#pragma once

#include <map>
#include <optional>
#include <span>
#include <utility>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"
#include "dandelionbay/fair/leading_credit.hpp"
#include "dandelionbay/fair/team_queues.hpp"
#include "dandelionbay/fair/weighted_round_robin.hpp"

namespace dandelionbay {

/**
 * @brief Selects the next team to serve and limits how fast a service deficit is repaid.
 *
 * Normally the team with the lowest counter is served. When counters of backlogged teams differ by more than the
 * fairness bound, as after a network partition, the leading teams (those above the bound) keep half of their share of
 * the slots, so that at most half of all slots repay the deficit. Leading teams are served in weighted round-robin
 * order: ordered by counter, the team with the highest one would get nothing until all other leading teams have caught
 * up with it.
 */
class team_scheduler {
    [[nodiscard]] std::pair<double, team_id>
    next_leading(const team_queues& queues, std::span<const team_queues::group_type> groups, double bound);

public:
    using weight_map = std::map<team_id, double>;

    /**
     * @brief Selects the next team.
     * @param queues Waiting requests of the pool.
     * @param groups Groups of teams that may be served.
     * @param max_gap Largest difference to the lowest counter, in cost units per weight, at which a team isn't leading.
     * @return The team and its counter; nothing if no request is waiting.
     */
    [[nodiscard]] std::optional<std::pair<double, team_id>>
    choose_team(const team_queues& queues, std::span<const team_queues::group_type> groups, double max_gap);

    /**
     * @brief Sets the share and the weights of the leading teams.
     * @param share Sum of their weights divided by that of all backlogged teams, from 0 to 1.
     * @param weights Weight of each leading team, greater than 0; a team without an entry has weight 1.
     */
    void set_leading_share(double share, weight_map weights = {}) noexcept {
        leading_share_ = share;
        weights_ = std::move(weights);
    }

private:
    double leading_share_{0.5};
    leading_credit credit_{};
    weight_map weights_{};
    weighted_round_robin leading_order_{};
};

} // namespace dandelionbay
