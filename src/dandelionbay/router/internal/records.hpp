#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/cost_model.hpp"
#include "dandelionbay/fair/team_queues.hpp"
#include "dandelionbay/fair/team_scheduler.hpp"
#include "dandelionbay/router/internal/answer_progress.hpp"
#include "dandelionbay/router/internal/grant_store.hpp"
#include "dandelionbay/router/router_action.hpp"

namespace dandelionbay::internal {

/*! @brief State of a request. */
enum class request_phase : std::uint8_t {
    queued,  //!< In its team's queue.
    backoff, //!< Waits for a retry after a failed run.
    running, //!< Submitted to an agent.
};

/*! @brief One run of a request at an agent. */
struct attempt {
    request_id wire_id{}; //!< Each retry has its own id, so that late messages of an earlier run are recognised.
    host_id agent{};
    grant_id grant{};
    std::vector<crash_id> known_crashes{}; //!< Crashes attributed to the request when it was submitted.
    time_point run_deadline{time_point::max()};
    time_point link_deadline{time_point::max()};    //!< Set while the agent's link is down.
    time_point gap_deadline{time_point::max()};     //!< Set while bytes are missing.
    time_point next_gap_request{time_point::max()}; //!< Time at which missing bytes are requested again.
    answer_progress progress{};
    cost_account account{};
};

/*! @brief A request from its acceptance to its last event. */
struct request_record {
    request_id id{};
    accepted_request request{};
    pool_id pool{};
    bool is_model_call{};
    bool has_caller_left{};    //!< The caller disconnected from a non-idempotent run, which continues.
    std::uint32_t attempts{};  //!< Runs that were not rejected.
    bool has_been_submitted{}; //!< Its own id has been used in a submission.
    request_phase phase{request_phase::queued};
    executed combined_outcome{executed::no}; //!< Combined outcome of the runs that have ended.
    time_point accepted_at{};
    time_point queue_deadline{};
    time_point backoff_until{};
    attempt run{};
    time_point timer_deadline{time_point::max()}; //!< Position in the timer index.

    /*! @brief Returns the earliest deadline that applies in the present state. */
    [[nodiscard]] time_point next_event() const noexcept {
        switch (phase) {
        case request_phase::queued:
            return queue_deadline;
        case request_phase::backoff:
            return backoff_until;
        case request_phase::running:
            break;
        }
        return std::min({run.run_deadline, run.link_deadline, run.gap_deadline, run.next_gap_request});
    }
};

/*! @brief Combines the outcomes of two runs of a request. */
[[nodiscard]] constexpr executed combine(executed a, executed b) noexcept {
    if (a == executed::yes || b == executed::yes) {
        return executed::yes;
    }
    return a == executed::unknown || b == executed::unknown ? executed::unknown : executed::no;
}

/*! @brief Demand for a pool that was last sent to an agent. */
struct sent_demand {
    std::vector<team_demand> teams{};
    time_point sent_at{};
    bool is_known{}; //!< False if no demand has been sent on the present link.
};

/*! @brief Agent that has or had a link. */
struct agent_record {
    host_id host{};
    incarnation_type incarnation{};
    endpoint_id endpoint{};
    std::uint32_t distance{};
    bool is_up{};
    time_point suspect_backoff_until{}; //!< No suspected request is submitted to it before this time.
    std::map<pool_id, sent_demand> sent_demands{};
};

/*! @brief Waiting requests and grants of a pool. */
struct pool_record {
    pool_id id{};
    team_queues queues{};
    team_scheduler scheduler{};
    grant_store grants{};
    std::set<std::pair<time_point, std::uint64_t>> waiting_by_age{};
    double max_weighted_cost{};  //!< Largest cost of a request, divided by its team's weight.
    double service_rate{};       //!< Cost units per weight and second, at all routers.
    double last_total_service{}; //!< Total charges when the rate was last measured.
    bool is_dirty{};             //!< Queues or counters have changed since demands were sent.

    /*!
     * @brief Returns the difference of team counters up to which the team with the lowest counter alone is served.
     *
     * It is at least the bound U of docs/fairness.md.
     */
    [[nodiscard]] double max_counter_gap(duration exchange) const noexcept {
        const double seconds = std::chrono::duration<double>{exchange}.count();
        // The error of an estimate is at most the cost of the largest request, so L + E is at most twice L.
        return 2.0 * (max_weighted_cost + max_weighted_cost) + 2.0 * service_rate * seconds;
    }
};

} // namespace dandelionbay::internal
