#pragma once

#include <map>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

/*! @brief Weighted round-robin order of the leading teams, kept as one virtual time for each team. */
class weighted_round_robin {
public:
    /**
     * @brief Returns the virtual time of a team; the team with the lowest one is next.
     * @param team The team. A team that has not been served yet starts at the virtual time of the last service, so
     * that it is not compensated for the time before it became eligible.
     * @return Its starting time plus the number of times it was served divided by its weight.
     */
    [[nodiscard]] double virtual_time(const team_id& team) const {
        const auto known = virtual_times_.find(team);
        return known != virtual_times_.end() ? known->second : last_served_;
    }

    /*! @brief Records that a team was served. @param team The team. @param weight Its weight, greater than 0. */
    void advance(const team_id& team, double weight) {
        last_served_ = virtual_time(team);
        virtual_times_[team] = last_served_ + 1.0 / weight;
    }

    /*! @brief Resets the order; to be called when no team is leading. */
    void clear() noexcept { virtual_times_.clear(); }

private:
    std::map<team_id, double> virtual_times_{};
    double last_served_{}; //!< Virtual time of the team that was served last, before that service.
};

} // namespace dandelionbay
