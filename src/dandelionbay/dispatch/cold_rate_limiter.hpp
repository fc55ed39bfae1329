#pragma once

#include <deque>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Limits the rate of calls that one router sends to a cold endpoint to its share of the endpoint's total rate.
 *
 * Routers send without coordination, so the shares are fixed. If the total rate is lower than the number of routers,
 * only some of them send at all; they are selected by their rank for this endpoint.
 */
class cold_rate_limiter {
public:
    /*! @brief Length of the sliding window in which calls are counted. */
    static constexpr duration window = std::chrono::milliseconds{1100}; // One second plus network jitter.

    /**
     * @brief Returns the number of calls that a router may send per window.
     * @param calls_per_s Calls per second that the endpoint accepts from all routers while it is cold.
     * @param routers Number of routers.
     * @param rank Rank of this router for this endpoint, starting at 0.
     * @return Calls per window.
     */
    [[nodiscard]] static std::size_t share(double calls_per_s, std::size_t routers, std::size_t rank) noexcept;

    /*! @brief Tells whether a call may be sent now. @param share Calls allowed per window. */
    [[nodiscard]] bool allows(std::size_t share, time_point now);

    /*! @brief Records a sent call. Calls to a warm endpoint are recorded too, because it may just have turned cold. */
    void record_sent(time_point now);

private:
    std::deque<time_point> sent_{};
};

} // namespace dandelionbay
