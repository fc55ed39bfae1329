#pragma once

#include <deque>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Limits the calls that one router sends to a cold endpoint in any second to its share of what that bears.
 *
 * All routers send without asking each other, so the shares are fixed: with fewer calls a second than routers, only
 * some routers, picked by their rank for this endpoint, send at all.
 */
class cold_rate_limiter {
public:
    /*! @brief Length of the window in which calls are counted. */
    static constexpr duration window = std::chrono::milliseconds{1100}; // A second and the jitter of the network.

    /**
     * @brief Tells how many calls a router may send in a second.
     * @param calls_per_s What the endpoint bears from all routers.
     * @param routers Number of routers.
     * @param rank Rank of this router for this endpoint, from 0.
     * @return Calls in a window.
     */
    [[nodiscard]] static std::size_t share(double calls_per_s, std::size_t routers, std::size_t rank) noexcept;

    /*! @brief Tells whether a call may be sent now. @param share Calls in a window. */
    [[nodiscard]] bool allows(std::size_t share, time_point now);

    /*! @brief A call was sent; also counted while the endpoint is warm, because it may just have turned cold. */
    void sent(time_point now);

private:
    std::deque<time_point> sent_{};
};

} // namespace dandelionbay
