#pragma once

#include <optional>
#include <span>
#include <utility>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"
#include "dandelionbay/fair/team_queues.hpp"

namespace dandelionbay {

/**
 * @brief Chooses the next team and limits the repayment of a service deficit.
 *
 * Without deficit the lowest counter is served. When backlogged counters lie further apart than the fairness bound, as
 * after a partition, the teams ahead keep half of their share of the slots, so at most half of all slots repay.
 */
class repayment {
public:
    /**
     * @brief Chooses a team.
     * @param queues Waiting requests of the pool.
     * @param groups Groups of teams that may be served.
     * @param gap Distance of counters, in cost units per weight, up to which the lowest counter is served.
     * @return The team and its counter; nothing if none waits.
     */
    [[nodiscard]] std::optional<std::pair<double, team_id>>
    choose(const team_queues& queues, std::span<const team_queues::group_type> groups, double gap);

    /**
     * @brief Sets the share of the teams that are ahead by more than the gap.
     * @param share Their weight over the weight of all backlogged teams, from 0 to 1.
     */
    void set_share_ahead(double share) noexcept { share_ahead_ = share; }

private:
    double share_ahead_{0.5};
    double credit_{};
};

} // namespace dandelionbay
