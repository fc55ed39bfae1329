#include "dandelionbay/fair/repayment.hpp"

namespace dandelionbay {

std::optional<std::pair<double, team_id>>
repayment::choose(const team_queues& queues, std::span<const team_queues::group_type> groups, double gap) {
    auto lowest = queues.lowest(groups);
    if (!lowest) {
        return lowest;
    }
    auto ahead = queues.lowest_above(groups, lowest->first + gap);
    if (!ahead) {
        credit_ = 0.0;
        return lowest;
    }
    credit_ += share_ahead_ / 2.0;
    if (credit_ >= 1.0) {
        credit_ -= 1.0;
        return ahead;
    }
    return lowest;
}

} // namespace dandelionbay
