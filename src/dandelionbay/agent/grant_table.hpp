#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"

namespace dandelionbay::internal {

/*! @brief A grant that was issued and was neither used, returned nor expired. */
struct outstanding_grant {
    grant_id id{};
    host_id router{};
    pool_id pool{};
    team_id team{};        //!< Team whose demand led to the grant; empty for a spare grant.
    bool spare{};          //!< Issued ahead of demand.
    bool suspects_only{};  //!< The demand consists of crash suspects only.
    bool remote{};         //!< The router is in another region.
    double budget_bytes{}; //!< Bytes charged to the budget between regions.
    bool recalled{};       //!< A recall was sent; the slot stays in use until the router answers or the grant expires.
    time_point expiry{};

    friend bool operator==(const outstanding_grant&, const outstanding_grant&) = default;
};

/*! @brief Outstanding grants of an agent; at most as many as the endpoint has slots. */
class grant_table {
    template<typename Predicate>
    std::vector<outstanding_grant> extract(Predicate predicate);

public:
    /*! @brief Lifetime of a grant on the agent's clock. */
    static constexpr duration lifetime = std::chrono::seconds{3};

    /**
     * @brief Difference between the lifetime at the agent and the shorter one that is sent to routers.
     *
     * A router's lifetime starts at receipt, and its submission takes time to arrive; without the margin a submission
     * under a grant that is about to expire would be rejected. 250 ms is several round trips between regions.
     */
    static constexpr duration expiry_margin = std::chrono::milliseconds{250};

    /*! @brief Creates an empty table. @param incarnation Incarnation of the agent, part of each grant's id. */
    explicit grant_table(incarnation_type incarnation) noexcept : incarnation_{incarnation} {}

    /*! @brief Adds a grant and returns its id. @param it The grant without id and expiry. @param now Current time. */
    grant_id issue(outstanding_grant it, time_point now);

    /*! @brief Removes a grant. @param id Its id. @param router Its holder. @return The grant if it was outstanding. */
    std::optional<outstanding_grant> take(const grant_id& id, const host_id& router);

    /*! @brief Removes the expired grants. @param now Current time. @return The removed grants. */
    std::vector<outstanding_grant> take_expired(time_point now);

    /*! @brief Removes all grants of a router. @param router The router. @return The removed grants. */
    std::vector<outstanding_grant> take_all(const host_id& router);

    /*! @brief Returns the number of grants that a router holds for a pool and team, without spare ones. */
    [[nodiscard]] std::uint32_t held_count(const host_id& router, const pool_id& pool,
                                           const team_id& team) const noexcept;

    /*! @brief Returns the number of spare grants that a router holds for a pool, without recalled ones. */
    [[nodiscard]] std::uint32_t spare_count(const host_id& router, const pool_id& pool) const noexcept;

    /*! @brief Returns the number of grants that all routers hold for a pool and team, without spare ones. */
    [[nodiscard]] std::uint32_t pending_count(const pool_id& pool, const team_id& team) const noexcept;

    /*! @brief Returns the outstanding grants in the order of issue. */
    [[nodiscard]] std::vector<outstanding_grant>& all() noexcept { return grants_; }

    /*! @brief Returns the outstanding grants in the order of issue. */
    [[nodiscard]] const std::vector<outstanding_grant>& all() const noexcept { return grants_; }

    /*! @brief Returns the number of outstanding grants. */
    [[nodiscard]] std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(grants_.size()); }

private:
    incarnation_type incarnation_;
    std::uint64_t sequence_{};
    std::vector<outstanding_grant> grants_{};
};

} // namespace dandelionbay::internal
