#include "dandelionbay/fair/team_scheduler.hpp"

#include <algorithm>
#include <vector>

namespace dandelionbay {

std::pair<double, team_id> team_scheduler::next_ahead(const team_queues& queues,
                                                      std::span<const team_queues::group_type> groups, double bound) {
    auto teams = queues.lowest_teams(groups, queues.backlogged_teams());
    std::erase_if(teams, [bound](const auto& it) { return it.first <= bound; });
    const auto next =
        std::ranges::min_element(teams, {}, [this](const auto& it) { return turns_.virtual_time(it.second); });
    const auto weight = weights_.find(next->second);
    turns_.advance(next->second, weight != weights_.end() ? weight->second : 1.0);
    return *next;
}

std::optional<std::pair<double, team_id>>
team_scheduler::choose_team(const team_queues& queues, std::span<const team_queues::group_type> groups, double gap) {
    auto lowest = queues.lowest(groups);
    if (!lowest) {
        return lowest;
    }
    const double bound = lowest->first + gap;
    if (!queues.lowest_above(groups, bound)) {
        credit_ = {};
        turns_.clear();
        return lowest;
    }
    const bool ahead = credit_.is_due(share_ahead_);
    credit_.record(share_ahead_, ahead);
    return ahead ? next_ahead(queues, groups, bound) : lowest;
}

} // namespace dandelionbay
