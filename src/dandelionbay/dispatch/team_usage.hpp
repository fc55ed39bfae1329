#pragma once

#include <deque>
#include <map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/fwd.hpp"

namespace dandelionbay {

/*! @brief Service that a team got, and was refused, in the current window. */
struct team_usage_entry {
    team_id team{};
    double cost{};
    double refused_cost{};

    friend bool operator==(const team_usage_entry&, const team_usage_entry&) = default;
};

/**
 * @brief Service of each team in a sliding window, fleet-wide: what this router dispatched and what its peers told.
 *
 * Teams are served in the order of their service, which gives max-min shares; only recent service counts, so that a
 * team neither pays for a past flood nor saves up idle time.
 */
class team_usage {
    struct account {
        double used{};
        double refused_cost{};
    };
    struct charge {
        time_point at{};
        team_id team{};
        account amount{};
    };

    struct peer_report {
        time_point at{};
        std::vector<team_usage_entry> teams{};
    };

    /*! Changes a team's total; a team without any is forgotten. */
    void change_total(const team_id& team, const account& by);
    void forget(const peer_report& it);
    void expire(time_point now);
    void charge_team(const team_id& team, const account& amount, time_point now);
    void find_extremes(time_point now);

public:
    /*! @brief Length of the window. */
    static constexpr duration window = std::chrono::seconds{4}; // The time over which shares are to be even.

    /*! @brief A team counts as refused if that is more than this share of what it got. */
    static constexpr double refused_share_threshold = 0.05;

    /*! @brief Counts dispatched work. @param team Its team. @param cost Prompt tokens plus twice the generated ones. */
    void add(const team_id& team, double cost, time_point now);

    /*! @brief Takes back dispatched work that was lost before it began. @param team Its team. @param cost As in add().
     *  @param added When it was counted. */
    void refund(const team_id& team, double cost, time_point added);

    /*! @brief Counts refused work. @param team Its team. @param cost As in add(). */
    void add_refused(const team_id& team, double cost, time_point now);

    /*! @brief Replaces what a peer reported. @param peer Its name. @param teams Its own part. @param now Time. */
    void update_peer(const host_id& peer, const std::vector<team_usage_entry>& teams, time_point now);

    /*! @brief Service of a team. @param now Time. @return Cost units in the window. */
    [[nodiscard]] double used(const team_id& team, time_point now);

    /**
     * @brief Service of the least served team that was refused work.
     * @param now Time.
     * @return Cost units; infinite if no team was. A team above it has to leave room for that one.
     */
    [[nodiscard]] double min_refused_usage(time_point now);

    /*! @brief Tells whether a team was refused more than now and then. @param now Time. */
    [[nodiscard]] bool is_often_refused(const team_id& team, time_point now);

    /*! @brief Service of the most served team. @param now Time. @return Cost units; 0 if none was served. */
    [[nodiscard]] double max_usage(time_point now);

    /*! @brief This router's own part, for its peers. */
    [[nodiscard]] std::vector<team_usage_entry> own(time_point now);

private:
    std::deque<charge> charges_{};
    std::map<team_id, account> own_{};
    std::map<host_id, peer_report> peers_{};
    std::map<team_id, account> totals_{}; //!< Over all routers.
    double min_refused_usage_{};
    double max_usage_{};
    bool extremes_known_{};
    time_point peers_looked_at_{}; //!< When reports were last searched for old ones.
};

} // namespace dandelionbay
