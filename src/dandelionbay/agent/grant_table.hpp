#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"

namespace dandelionbay::internal {

/*! @brief A grant that was issued and neither used, returned nor expired. */
struct outstanding_grant {
    grant_id id{};
    host_id router{};
    pool_id pool{};
    team_id team{}; //!< Team whose demand led to it; empty for a grant ahead of need.
    bool spare{};
    bool suspects_only{};  //!< The demand consists of crash suspects only.
    bool remote{};         //!< The router is in another region.
    double budget_bytes{}; //!< Bytes taken from the budget between regions.
    bool recalled{};       //!< A recall was sent; the slot stays in use until the router's answer or the expiry.
    time_point expiry{};

    friend bool operator==(const outstanding_grant&, const outstanding_grant&) = default;
};

/*! @brief All outstanding grants of an agent; at most as many as the endpoint has slots. */
class grant_table {
    template<typename Predicate>
    std::vector<outstanding_grant> extract(Predicate which);

public:
    /*! @brief Lifetime of a grant on the agent's clock. */
    static constexpr duration lifetime = std::chrono::seconds{3};

    /**
     * @brief Part of the lifetime that routers are not told of.
     *
     * A router counts from receipt and its submission takes time to arrive; without the margin a grant used at the last
     * moment would be rejected. 250 ms cover the round trip between regions several times.
     */
    static constexpr duration expiry_margin = std::chrono::milliseconds{250};

    /*! @brief Creates an empty book. @param incarnation Incarnation of the agent, part of each grant's id. */
    explicit grant_table(incarnation_type incarnation) noexcept : incarnation_{incarnation} {}

    /*! @brief Adds a grant. @param it The grant without id and expiry. @param now Current time. @return Its id. */
    grant_id issue(outstanding_grant it, time_point now);

    /*! @brief Removes a grant. @param id Its id. @param router Its holder. @return The grant if it was outstanding. */
    std::optional<outstanding_grant> take(const grant_id& id, const host_id& router);

    /*! @brief Removes the grants whose lifetime is over. @param now Current time. @return They. */
    std::vector<outstanding_grant> take_expired(time_point now);

    /*! @brief Removes all grants of a router. @param router The router. @return They. */
    std::vector<outstanding_grant> take_all(const host_id& router);

    /*! @brief Grants held by a router for a pool and team. @return Their number. */
    [[nodiscard]] std::uint32_t held_count(const host_id& router, const pool_id& pool,
                                           const team_id& team) const noexcept;

    /*! @brief Grants ahead of need held by a router for a pool, without recalled ones. @return Their number. */
    [[nodiscard]] std::uint32_t spare_count(const host_id& router, const pool_id& pool) const noexcept;

    /*! @brief Grants issued for a team to any router. @return Their number. */
    [[nodiscard]] std::uint32_t pending_count(const pool_id& pool, const team_id& team) const noexcept;

    /*! @brief The outstanding grants in the order of issue. */
    [[nodiscard]] std::vector<outstanding_grant>& all() noexcept { return grants_; }

    /*! @brief The outstanding grants in the order of issue. */
    [[nodiscard]] const std::vector<outstanding_grant>& all() const noexcept { return grants_; }

    /*! @brief Number of outstanding grants. */
    [[nodiscard]] std::uint32_t size() const noexcept { return static_cast<std::uint32_t>(grants_.size()); }

private:
    incarnation_type incarnation_;
    std::uint64_t sequence_{};
    std::vector<outstanding_grant> grants_{};
};

} // namespace dandelionbay::internal
