#pragma once

#include <functional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"

namespace dandelionbay {

/*! @brief A call that was read and is not decided about yet. */
struct pending_call {
    ticket_id ticket{};
    team_id team{};
    double cost{};        //!< Cost units, as for the shares of teams.
    time_point arrived{}; //!< Not after its last byte came.
    duration target{};    //!< Time to the answer's start that serves its caller well.

    friend bool operator==(const pending_call&, const pending_call&) = default;
};

/**
 * @brief Calls that were read, until it is decided which of them this host begins.
 *
 * On a host that is behind, the oldest calls are those whose callers wait in vain already. So the newest call of the
 * team with the least service goes first, and what can't begin in time is turned away.
 */
class admission_queue {
public:
    /*! @brief Service of a team in the current window, in cost units. */
    using team_service_function = std::function<double(const team_id&)>;

    /*! @brief Tells whether a call of some age can begin within its target on this host. */
    using start_check = std::function<bool(duration age, duration target)>;

    /*! @brief A call was read. */
    void add(const pending_call& it) { calls_.push_back(it); }

    /*! @brief Forgets all calls that can't begin in time any more. @return They. */
    [[nodiscard]] std::vector<ticket_id> take_expired(const start_check& in_time, time_point now);

    /*! @brief Forgets the calls that can't begin in time behind those before them by the last order. @param rate Calls
     *  that begin in a second. @return They. */
    [[nodiscard]] std::vector<ticket_id> take_excess(double rate, const start_check& in_time, time_point now);

    /*! @brief Puts the calls in the order in which they are to be decided about. */
    void order(const team_service_function& used);

    /*! @brief Takes the next call by the last order. To be called if there is one. */
    [[nodiscard]] pending_call take_next();

    [[nodiscard]] bool empty() const noexcept { return calls_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

private:
    std::vector<pending_call> calls_{}; //!< The next one is the last.
};

} // namespace dandelionbay
