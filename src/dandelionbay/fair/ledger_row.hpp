#pragma once

#include <cstdint>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"

namespace dandelionbay {

/*! @brief Service that one incarnation of one router gave to a team; only that router changes the row. */
struct ledger_row {
    pool_id pool{};
    team_id team{};
    host_id router{};
    incarnation_type incarnation{};
    std::uint64_t
        version{};     //!< Starts at 1, increases with each change; of two copies of a row the higher version wins.
    double charged{};  //!< Cost units per weight of work done; never decreases.
    double reserved{}; //!< Estimated cost units per weight of running work that are not charged yet.
    std::uint32_t queued{}; //!< Number of waiting requests.

    friend bool operator==(const ledger_row&, const ledger_row&) = default;
};

/*! @brief Amount by which a team's counter was lifted when the team became backlogged; merged by maximum. */
struct lift_row {
    pool_id pool{};
    team_id team{};
    double lift{}; //!< Cost units per weight.

    friend bool operator==(const lift_row&, const lift_row&) = default;
};

} // namespace dandelionbay
