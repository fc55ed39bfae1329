#pragma once

#include <cstdint>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"

namespace dandelionbay {

/*! @brief Service given to a team by one incarnation of one router; only that router writes it. */
struct ledger_row {
    pool_id pool{};
    team_id team{};
    host_id router{};
    incarnation_type incarnation{};
    std::uint64_t version{}; //!< From 1, grows with each change; the higher version of a row wins.
    double charged{};        //!< Cost units per weight of work done; never falls.
    double reserved{};       //!< Cost units per weight estimated for running work and not yet charged.
    std::uint32_t queued{};  //!< Waiting requests.

    friend bool operator==(const ledger_row&, const ledger_row&) = default;
};

/*! @brief Amount by which a team's counter was raised when it became backlogged; merged by maximum. */
struct lift_row {
    pool_id pool{};
    team_id team{};
    double lift{}; //!< Cost units per weight.

    friend bool operator==(const lift_row&, const lift_row&) = default;
};

} // namespace dandelionbay
