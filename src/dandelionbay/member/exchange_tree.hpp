#pragma once

#include <optional>
#include <span>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/member/fwd.hpp"
#include "dandelionbay/member/membership.hpp"

namespace dandelionbay {

/**
 * @brief Which routers exchange service counters with each other.
 *
 * The routers of a region exchange with the region's aggregator, the aggregators with each other. The aggregator is
 * found by rendezvous hashing over the live routers, so that all routers with the same view agree on it, and one that
 * comes or goes changes the aggregator of its own region at most. Routers with different views may see two aggregators
 * for a short time, which is harmless because rows are merged.
 */
class exchange_tree {
public:
    /**
     * @brief Builds the tree from what a router sees.
     * @param self The router.
     * @param members Known hosts and their states; agents, suspect and gone hosts are left out. Leaving routers take
     * part, but aggregate only where no other router lives.
     */
    exchange_tree(host_id self, std::span<const member> members);

    /*! @brief Aggregator of a region. @param region The region. @return It, or nothing if no router lives there. */
    [[nodiscard]] std::optional<host_id> aggregator(const region_id& region) const;

    /*! @brief Tells whether the router aggregates its region. */
    [[nodiscard]] bool is_aggregator() const;

    /*! @brief Routers with which the router exchanges. @return Them, ordered by host. */
    [[nodiscard]] std::vector<host_id> peers() const;

private:
    struct router {
        host_id host{};
        region_id region{};
        bool leaving{};
    };

    host_id self_;
    region_id region_{};
    std::vector<router> routers_{};
};

} // namespace dandelionbay
