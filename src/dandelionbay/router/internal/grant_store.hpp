#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"

namespace dandelionbay::internal {

/*! @brief Grant that has not been used. */
struct held_grant {
    std::uint32_t distance{}; //!< 0 in the router's zone, 1 in its region, 2 elsewhere.
    time_point usable_until{};
    host_id agent{};
    grant_id id{};
    bool spare{};

    friend auto operator<=>(const held_grant&, const held_grant&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const held_grant&, const held_grant&) = default;
};

/*!
 * @brief Unused grants of one pool, ordered by distance and expiry time, and the ids of recently removed ones.
 *
 * The removed ids make repeated grants, and recalls of used grants, recognisable.
 */
class grant_store {
    using key_type = std::pair<host_id, grant_id>;

    void mark_spent(const key_type& key, bool submitted, time_point now);

public:
    using order_type = std::set<held_grant>;

    /*! @brief Adds a grant. @return False if it is present already or was removed. */
    [[nodiscard]] bool add(const held_grant& grant);

    /*! @brief Removes a grant. @param submitted True if a request is submitted under it. */
    void remove(const held_grant& grant, bool submitted, time_point now);

    /**
     * @brief Removes a recalled grant and prevents its use if it arrives later.
     * @return True if it can be reported as returned, because no request was submitted under it.
     */
    [[nodiscard]] bool recall(const host_id& agent, const grant_id& id, time_point now);

    /*! @brief Removes all grants of an agent. */
    void remove_all_of(const host_id& agent, time_point now);

    /*! @brief Removes expired grants and old ids of removed ones. @return Number of grants that expired unused. */
    std::size_t remove_expired(time_point now);

    /*! @brief Returns the grants in the order in which they should be used. */
    [[nodiscard]] const order_type& held() const noexcept { return order_; }

private:
    order_type order_;
    std::map<key_type, order_type::iterator> by_id_;
    std::map<key_type, bool> spent_; // value: whether a request was submitted
    std::deque<std::pair<time_point, key_type>> spent_by_time_;
};

} // namespace dandelionbay::internal
