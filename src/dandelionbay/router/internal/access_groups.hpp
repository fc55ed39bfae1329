#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/fair/team_queues.hpp"

namespace dandelionbay::internal {

/**
 * @brief Groups of teams to which the same access rules apply.
 *
 * Rules are evaluated once for each team and each endpoint, not for each pair: 1,000 teams and 640 endpoints make
 * 640,000 pairs, which would delay every configuration change.
 */
class access_groups {
    using rule_set = std::vector<bool>;

    struct availability {
        bool is_permitted{};
        bool has_endpoint_in_service{};
    };

    [[nodiscard]] static bool intersects(const rule_set& a, const rule_set& b) noexcept;

public:
    using group_type = team_queues::group_type;

    access_groups() = default;

    /*! @brief Evaluates the access rules of a configuration. @param config The configuration. */
    explicit access_groups(const fleet_config& config);

    /*! @brief Returns the group of a team; for an unknown team, the group to which no rule applies. */
    [[nodiscard]] group_type group_of(const team_id& team) const;

    /*! @brief Returns the groups that may use an endpoint; none for an unknown endpoint. */
    [[nodiscard]] const std::vector<group_type>& allowed_groups(const endpoint_id& endpoint) const;

    /*! @brief Returns the pools that an endpoint belongs to; none for an unknown endpoint. */
    [[nodiscard]] const std::vector<pool_id>& pools_of(const endpoint_id& endpoint) const;

    /*! @brief Returns whether a group may use any endpoint of a pool. */
    [[nodiscard]] bool is_permitted(const pool_id& pool, group_type group) const;

    /*! @brief Returns whether a group may use an endpoint of a pool that is in service. */
    [[nodiscard]] bool has_endpoint_in_service(const pool_id& pool, group_type group) const;

private:
    std::unordered_map<team_id, group_type> teams_;
    std::unordered_map<endpoint_id, std::vector<group_type>> allowed_groups_;
    std::unordered_map<endpoint_id, std::vector<pool_id>> pools_;
    std::map<std::pair<pool_id, group_type>, availability> availability_;
};

} // namespace dandelionbay::internal
