#pragma once

#include <map>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

/*! @brief Order of the teams ahead in a repayment: they take turns by weight. */
class weighted_round_robin {
public:
    /**
     * @brief Position of a team; the lowest one is next.
     * @param team The team. One without a turn so far starts level with the others, so that it gets no turns for the
     * time without it.
     * @return Its turns over its weight.
     */
    [[nodiscard]] double virtual_time(const team_id& team) const {
        const auto known = turns_.find(team);
        return known != turns_.end() ? known->second : latest_;
    }

    /*! @brief Books a turn. @param team The team. @param weight Its weight, over 0. */
    void advance(const team_id& team, double weight) {
        latest_ = virtual_time(team);
        turns_[team] = latest_ + 1.0 / weight;
    }

    /*! @brief Forgets the turns of all teams; to be called when no team is ahead. */
    void clear() noexcept { turns_.clear(); }

private:
    std::map<team_id, double> turns_{};
    double latest_{}; //!< Position of the team that took the last turn, before it.
};

} // namespace dandelionbay
