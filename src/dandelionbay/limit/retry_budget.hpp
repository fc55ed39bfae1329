#pragma once

#include <cstdint>
#include <map>
#include <random>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Limits retries to a fraction of the requests, for each team and for all teams of this router together.
 *
 * Every request earns a tenth of a retry. Unused retries accumulate up to a limit, so that a burst of failures after an
 * idle period can't cause a retry storm.
 */
class retry_budget {
public:
    /*! @brief Retries that each request earns. */
    static constexpr double retries_per_request = 0.1;
    /*! @brief Initial retries of a team; allows a retry to a team with few requests. */
    static constexpr double initial_team_retries = 1.0;
    /*! @brief Largest number of retries that a team can accumulate. */
    static constexpr double max_team_retries = 10.0;
    /*! @brief Initial retries of the router. */
    static constexpr double initial_router_retries = 10.0;
    /*! @brief Largest number of retries that the router can accumulate. */
    static constexpr double max_router_retries = 100.0;
    /*! @brief Upper bound of the first backoff; doubles with each attempt. */
    static constexpr duration initial_backoff = std::chrono::milliseconds{50};
    /*! @brief Upper bound of every backoff. */
    static constexpr duration max_backoff = std::chrono::seconds{2};

    /*! @brief Adds what a new request earns. @param team Team of the request. */
    void record_request(const team_id& team);

    /**
     * @brief Takes a retry from both budgets.
     * @param team Team of the request.
     * @return False if either is exhausted.
     */
    [[nodiscard]] bool try_take(const team_id& team);

    /**
     * @brief Draws a random backoff.
     * @param attempt Number of the retry, from 1.
     * @param random Random number generator.
     * @return Backoff, uniformly distributed between half of the upper bound and the upper bound.
     */
    [[nodiscard]] static duration backoff(std::uint32_t attempt, std::mt19937_64& random);

private:
    std::map<team_id, double> team_retries_;
    double router_retries_{initial_router_retries};
};

} // namespace dandelionbay
