#pragma once

#include <map>
#include <utility>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay::internal {

/**
 * @brief Highest charged counter heard for each pool and team, and what each router was told of it.
 *
 * A router that lost its memory reports low counters. The floors keep its teams from gaining by that, at this agent at
 * once and at the router with the next grant.
 */
class floor_table {
public:
    using key_type = std::pair<pool_id, team_id>;

    /*! @brief Most floors in one grant; bounds the message to about 2 KB. */
    static constexpr std::size_t max_floors_per_grant = 32;

    /*! @brief Merges a report by maximum. */
    void merge(const pool_id& pool, const team_demand& report);

    /*! @brief Highest charged counter heard. @return It, or 0. */
    [[nodiscard]] double floor(const pool_id& pool, const team_id& team) const;

    /**
     * @brief Floors to send to a router with a grant.
     * @param router The router.
     * @param pool Pool of the grant.
     * @param step Floors that grew by no more than this since the router was last told are left out, because routers
     * also learn them from each other.
     * @return At most max_floors_per_grant floors; recorded as told.
     */
    [[nodiscard]] std::vector<team_floor> take_updates(const host_id& router, const pool_id& pool, double step);

    /*! @brief A link of a router is new: it is told everything again. @param router The router. */
    void forget_router(const host_id& router);

    /*! @brief Drops the floors of teams and pools that are gone. @param keep Tells which ones stay. */
    template<typename Predicate>
    void retain(Predicate keep) {
        std::erase_if(floors_, [&](const auto& entry) { return !keep(entry.first); });
        for (auto& [router, told] : sent_) {
            std::erase_if(told, [&](const auto& entry) { return !keep(entry.first); });
        }
    }

private:
    std::map<key_type, double> floors_{};
    std::map<host_id, std::map<key_type, double>> sent_{};
};

} // namespace dandelionbay::internal
