#pragma once

#include <functional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"

namespace dandelionbay {

/*! @brief A call that was read and has neither begun nor been refused. */
struct pending_call {
    ticket_id ticket{};
    team_id team{};
    double cost{};        //!< In cost units, as for the shares of teams.
    time_point arrived{}; //!< No later than the arrival of its last byte.
    duration target{};    //!< Target time from arrival to the start of the answer.

    friend bool operator==(const pending_call&, const pending_call&) = default;
};

/**
 * @brief Queue of calls that were read and wait for the decision which of them this host begins.
 *
 * On a host that is behind, the oldest calls can no longer meet their targets. So the newest call of the team with the
 * least service goes first, and calls that cannot begin in time are refused.
 */
class admission_queue {
public:
    /*! @brief Returns the service of a team in the current window, in cost units. */
    using team_service_function = std::function<double(const team_id&)>;

    /*! @brief Returns whether a call of the given age can begin on this host within its target. */
    using start_check = std::function<bool(duration age, duration target)>;

    /*! @brief Adds a call that was read. */
    void add(const pending_call& it) { calls_.push_back(it); }

    /*! @brief Removes all calls that cannot begin in time any more. @return Their tickets. */
    [[nodiscard]] std::vector<ticket_id> take_expired(const start_check& in_time, time_point now);

    /*! @brief Removes the calls that cannot begin in time after the calls ahead of them in the last order. @param
     *  calls_per_s Rate at which calls begin. @return Their tickets. */
    [[nodiscard]] std::vector<ticket_id> take_excess(double calls_per_s, const start_check& in_time, time_point now);

    /*! @brief Sorts the calls by the service of their team, including the cost of the team's newer calls; among equals,
     *  newer calls go first. */
    void order(const team_service_function& service_of);

    /*! @brief Takes the next call in the last order. The queue must not be empty. */
    [[nodiscard]] pending_call take_next();

    [[nodiscard]] bool empty() const noexcept { return calls_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

private:
    std::vector<pending_call> calls_{}; //!< In reverse: the next call is the last element.
};

} // namespace dandelionbay
