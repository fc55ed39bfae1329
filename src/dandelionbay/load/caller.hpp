#pragma once

#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/load/plan.hpp"
#include "dandelionbay/load/run.hpp"

namespace dandelionbay::load {

/*! @brief Sends single calls of one team and records how they end; safe for use by several threads. */
class caller {
    void record(int status, bool whole, const std::string& body, time_point planned) const;
    void send_chat(const planned_call& it, const std::string& id, time_point planned) const;
    void send_order(const std::string& id, time_point planned) const;

public:
    /**
     * @brief Creates a caller.
     * @param team Its profile. @param index Of the team.
     * @param target Where the calls go. @param results Both must outlive the object, as the profile.
     */
    caller(const team_profile& team, std::size_t index, const load_target& target, tally& results) noexcept
        : team_{&team}, index_{index}, target_{&target}, results_{&results} {}

    /*! @brief Sends a call and waits for its end. @param it The call. @param id Its id. @param planned When it was due.
     */
    void send(const planned_call& it, const std::string& id, time_point planned) const;

private:
    const team_profile* team_;
    std::size_t index_;
    const load_target* target_;
    tally* results_;
};

} // namespace dandelionbay::load
