#pragma once

#include <map>
#include <utility>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay::internal {

/**
 * @brief Highest reported charged counter of each pool and team (its floor), and the floors sent to each router.
 *
 * A router that restarted reports low counters. The floors keep its teams from being favoured for that: at this agent
 * at once, at the router from the next grant on.
 */
class floor_table {
public:
    using key_type = std::pair<pool_id, team_id>;

    /*! @brief Maximum number of floors in a grant; limits the message to about 2 KB. */
    static constexpr std::size_t max_floors_per_grant = 32;

    /*! @brief Raises the floor of a team to its reported charged counter. */
    void merge(const pool_id& pool, const team_demand& report);

    /*! @brief Returns the floor of a team, or 0 if none was reported. */
    [[nodiscard]] double floor(const pool_id& pool, const team_id& team) const;

    /**
     * @brief Returns the floors to send to a router with a grant and records them as sent.
     * @param router The router.
     * @param pool Pool of the grant.
     * @param step Floors that grew by no more than this since they were last sent are omitted, because routers also
     * exchange them among themselves.
     * @return At most max_floors_per_grant floors.
     */
    [[nodiscard]] std::vector<team_floor> take_updates(const host_id& router, const pool_id& pool, double step);

    /*! @brief Forgets what was sent to a router, so that all floors are sent again. @param router The router. */
    void forget_router(const host_id& router);

    /*! @brief Removes the floors of teams and pools that are gone. @param keep Returns true for keys that stay. */
    template<typename Predicate>
    void retain(Predicate keep) {
        std::erase_if(floors_, [&](const auto& entry) { return !keep(entry.first); });
        for (auto& [router, sent] : sent_) {
            std::erase_if(sent, [&](const auto& entry) { return !keep(entry.first); });
        }
    }

private:
    std::map<key_type, double> floors_{};
    std::map<host_id, std::map<key_type, double>> sent_{};
};

} // namespace dandelionbay::internal
