#include "dandelionbay/fair/team_scheduler.hpp"

#include <algorithm>
#include <vector>

namespace dandelionbay {

std::pair<double, team_id> team_scheduler::next_leading(const team_queues& queues,
                                                        std::span<const team_queues::group_type> groups, double bound) {
    auto teams = queues.lowest_teams(groups, queues.backlogged_teams());
    std::erase_if(teams, [bound](const auto& it) { return it.first <= bound; });
    const auto next =
        std::ranges::min_element(teams, {}, [this](const auto& it) { return leading_order_.virtual_time(it.second); });
    const auto weight = weights_.find(next->second);
    leading_order_.advance(next->second, weight != weights_.end() ? weight->second : 1.0);
    return *next;
}

std::optional<std::pair<double, team_id>> team_scheduler::choose_team(const team_queues& queues,
                                                                      std::span<const team_queues::group_type> groups,
                                                                      double max_gap) {
    auto lowest = queues.lowest(groups);
    if (!lowest) {
        return lowest;
    }
    const double bound = lowest->first + max_gap;
    if (!queues.lowest_above(groups, bound)) {
        credit_ = {};
        leading_order_.clear();
        return lowest;
    }
    const bool leading = credit_.is_due(leading_share_);
    credit_.record(leading_share_, leading);
    return leading ? next_leading(queues, groups, bound) : lowest;
}

} // namespace dandelionbay
