#pragma once

#include <cstdint>
#include <map>
#include <random>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Limits retries to a share of the requests, for each team and for all teams of this router together.
 *
 * Every request earns a tenth of a retry. Unused retries are kept up to a bound, so a burst of failures after a quiet
 * time can't become a storm.
 */
class retry_budget {
public:
    /*! @brief Retries earned by a request. */
    static constexpr double retries_per_request = 0.1;
    /*! @brief Retries a team has at the start; a team with few requests can use one at all. */
    static constexpr double initial_team_retries = 1.0;
    /*! @brief Most retries a team can keep. */
    static constexpr double max_team_retries = 10.0;
    /*! @brief Retries the router has at the start. */
    static constexpr double initial_router_retries = 10.0;
    /*! @brief Most retries the router can keep. */
    static constexpr double max_router_retries = 100.0;
    /*! @brief Upper end of the first backoff; it doubles with each attempt. */
    static constexpr duration initial_backoff = std::chrono::milliseconds{50};
    /*! @brief Upper end of every backoff. */
    static constexpr duration max_backoff = std::chrono::seconds{2};

    /*! @brief Counts a new request. @param team Its team. */
    void record_request(const team_id& team);

    /*! @brief Takes a retry if both budgets allow it. @param team Its team. @return False if one is used up. */
    [[nodiscard]] bool try_take(const team_id& team);

    /**
     * @brief Chooses a backoff.
     * @param attempt Number of the retry, from 1.
     * @param random Generator of the caller.
     * @return Evenly distributed between half of the upper end and the upper end.
     */
    [[nodiscard]] static duration backoff(std::uint32_t attempt, std::mt19937_64& random);

private:
    std::map<team_id, double> teams_;
    double fleet_{initial_router_retries};
};

} // namespace dandelionbay
