#pragma once

#include <optional>
#include <span>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/member/fwd.hpp"
#include "dandelionbay/member/membership.hpp"

namespace dandelionbay {

/**
 * @brief Selects the routers that exchange service counters with each other.
 *
 * The routers of a region exchange with the aggregator of the region, and the aggregators exchange with each other. The
 * aggregator is selected by rendezvous hashing over the live routers, so that all routers with the same view agree on
 * it, and a router that joins or leaves changes at most the aggregator of its own region. Routers with different views
 * may select two aggregators for a short time, which is harmless because rows are merged.
 */
class exchange_tree {
public:
    /**
     * @brief Builds the tree from the view of one router.
     * @param self The router, which takes part in any state.
     * @param members Known hosts and their states. Agents and suspect and gone hosts are ignored. Leaving routers take
     * part, but aggregate only where no other router of the region takes part.
     */
    exchange_tree(host_id self, std::span<const member> members);

    /*! @brief Finds the aggregator of a region. @return The aggregator, or nothing if no router is live there. */
    [[nodiscard]] std::optional<host_id> aggregator(const region_id& region) const;

    /*! @brief Tells whether this router is the aggregator of its region. */
    [[nodiscard]] bool is_aggregator() const;

    /*! @brief Returns the routers that this router exchanges with, ordered by host. */
    [[nodiscard]] std::vector<host_id> peers() const;

private:
    struct participant {
        host_id host{};
        region_id region{};
        bool leaving{};
    };

    host_id self_;
    region_id region_{};
    std::vector<participant> routers_{};
};

} // namespace dandelionbay
