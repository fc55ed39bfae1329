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

/*! @brief Unused grant. */
struct held_grant {
    std::uint32_t distance{}; //!< 0 in the router's zone, 1 in its region, 2 elsewhere.
    time_point usable_until{};
    host_id agent{};
    grant_id id{};
    bool spare{};

    friend auto operator<=>(const held_grant&, const held_grant&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const held_grant&, const held_grant&) = default;
};

/*! @brief Unused grants of one pool, nearest and oldest first, and a memory of those that are spent. */
class grant_store {
    using key_type = std::pair<host_id, grant_id>;

    void mark_spent(const key_type& key, bool submitted, time_point now);

public:
    using order_type = std::set<held_grant>;

    /*! @brief Adds a grant. @return False if it is held already or was spent. */
    [[nodiscard]] bool add(const held_grant& grant);

    /*! @brief Takes a grant away. @param submitted True if a request goes out under it. */
    void remove(const held_grant& grant, bool submitted, time_point now);

    /**
     * @brief Takes a recalled grant away.
     * @return True if it may be reported as returned: it is not and will not be used.
     */
    [[nodiscard]] bool recall(const host_id& agent, const grant_id& id, time_point now);

    /*! @brief Forgets all grants of an agent. */
    void remove_all_of(const host_id& agent, time_point now);

    /*! @brief Forgets grants that are too old to be used, and old memories. @return Grants that expired unused. */
    std::size_t remove_expired(time_point now);

    /*! @brief Grants in order of use. */
    [[nodiscard]] const order_type& held() const noexcept { return order_; }

private:
    order_type order_;
    std::map<key_type, order_type::iterator> by_id_;
    std::map<key_type, bool> spent_; // true if submitted
    std::deque<std::pair<time_point, key_type>> spent_by_time_;
};

} // namespace dandelionbay::internal
