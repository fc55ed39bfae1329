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
 * @brief Chooses the next team and limits the repayment of a service deficit.
 *
 * Without deficit the lowest counter is served. When backlogged counters lie further apart than the fairness bound, as
 * after a partition, the teams ahead keep half of their share of the slots, so at most half of all slots repay. They
 * take turns by weight: by the lowest counter, the team that is furthest ahead would wait for all others ahead.
 */
class team_scheduler {
    [[nodiscard]] std::pair<double, team_id> next_ahead(const team_queues& queues,
                                                        std::span<const team_queues::group_type> groups, double bound);

public:
    using weight_map = std::map<team_id, double>;

    /**
     * @brief Chooses a team.
     * @param queues Waiting requests of the pool.
     * @param groups Groups of teams that may be served.
     * @param gap Distance of counters, in cost units per weight, up to which the lowest counter is served.
     * @return The team and its counter; nothing if none waits.
     */
    [[nodiscard]] std::optional<std::pair<double, team_id>>
    choose_team(const team_queues& queues, std::span<const team_queues::group_type> groups, double gap);

    /**
     * @brief Sets the share of the teams that are ahead by more than the gap.
     * @param share Their weight over the weight of all backlogged teams, from 0 to 1.
     * @param weights Weight of each of them, over 0; a team without one has 1.
     */
    void set_leading_share(double share, weight_map weights = {}) noexcept {
        share_ahead_ = share;
        weights_ = std::move(weights);
    }

private:
    double share_ahead_{0.5};
    leading_credit credit_{};
    weight_map weights_{};
    weighted_round_robin turns_{};
};

} // namespace dandelionbay
