#pragma once

#include <map>
#include <utility>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay::soak {

/**
 * @brief Measures the service gap between backlogged teams.
 *
 * For each pair the difference of weighted service is followed while both are backlogged; the gap is the largest
 * difference gained by one of them over any part of such a period.
 */
class fairness_meter {
    struct team_state {
        double weight{1.0};
        double service{};
        long waiting{};
    };

    struct pair_state {
        bool active{};
        double lowest{};
        double highest{};
    };

    [[nodiscard]] static double weighted(const team_state& it) { return it.service / it.weight; }

    void observe(const team_id& changed) {
        const auto& a = teams_[changed];
        for (const auto& [other, b] : teams_) {
            if (other == changed) {
                continue;
            }
            auto& pair = pairs_[std::minmax(changed, other)];
            const bool both = a.waiting > 0 && b.waiting > 0;
            const double difference = changed < other ? weighted(a) - weighted(b) : weighted(b) - weighted(a);
            if (!both) {
                pair.active = false;
                continue;
            }
            if (!pair.active) {
                pair = {true, difference, difference};
            }
            pair.lowest = std::min(pair.lowest, difference);
            pair.highest = std::max(pair.highest, difference);
            gap_ = std::max(gap_, pair.highest - pair.lowest);
        }
    }

public:
    void add_team(const team_id& team, double weight) { teams_[team].weight = weight; }

    void waiting(const team_id& team, long change) {
        teams_[team].waiting += change;
        observe(team);
    }

    void served(const team_id& team, double cost) {
        teams_[team].service += cost;
        observe(team);
    }

    /*! @brief Largest gap seen, cost units per weight. */
    [[nodiscard]] double gap() const noexcept { return gap_; }
    [[nodiscard]] double service(const team_id& team) const { return teams_.at(team).service; }

private:
    std::map<team_id, team_state> teams_;
    std::map<std::pair<team_id, team_id>, pair_state> pairs_;
    double gap_{};
};

} // namespace dandelionbay::soak
