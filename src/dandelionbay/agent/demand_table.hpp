#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay::internal {

/*! @brief Waiting requests of a team at a router: the last report less the submissions since. */
struct waiting_team {
    team_demand reported{};
    std::uint32_t submitted{}; //!< Submissions since the report, which the report does not include.

    /*! @brief Returns the number of requests that still wait. */
    [[nodiscard]] std::uint32_t waiting() const noexcept {
        return reported.queued > submitted ? reported.queued - submitted : 0;
    }

    friend bool operator==(const waiting_team&, const waiting_team&) = default;
};

/*! @brief Waiting requests for a pool at a router. */
struct waiting_work {
    std::uint64_t version{};
    time_point waiting_since{}; //!< Time since which requests have been waiting without interruption.
    std::vector<waiting_team> teams{};
    double gap{};                   //!< Value of demand::gap.
    std::uint32_t expired_grants{}; //!< Number of grants for this report that expired unused.
    time_point ignored_until{};     //!< No grants for this report until then.

    friend bool operator==(const waiting_work&, const waiting_work&) = default;
};

/*! @brief Waiting requests at the linked routers. */
class demand_table {
public:
    using key_type = std::pair<host_id, pool_id>;

    /**
     * @brief Replaces the report of a router for a pool.
     * @param router The sender.
     * @param report The report.
     * @param now Current time.
     * @return False if a report of the same or a newer version is known.
     */
    bool update(const host_id& router, const demand& report, time_point now);

    /*! @brief Counts a submission, which removed a request from a router's queue. */
    void record_submission(const host_id& router, const pool_id& pool, const team_id& team);

    /**
     * @brief Records that a grant for waiting requests expired unused.
     *
     * The report may be wrong or the router may be paused. The report is ignored for 1 s, twice as long after each
     * further expired grant up to 32 s, or until the next report.
     */
    void record_expired_grant(const host_id& router, const pool_id& pool, time_point now);

    /*! @brief Removes the waiting requests of a pool at a router, which returned a grant unused. */
    void clear(const host_id& router, const pool_id& pool);

    /*! @brief Removes the reports of a router. @param router The router. */
    void erase(const host_id& router);

    /*! @brief Returns all reports, ordered by router and pool. */
    [[nodiscard]] const std::map<key_type, waiting_work>& all() const noexcept { return work_; }

private:
    std::map<key_type, waiting_work> work_{};
};

} // namespace dandelionbay::internal
