#pragma once

#include <deque>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/fwd.hpp"

namespace dandelionbay {

/*! @brief Fleet-wide limits of the retries at one service. */
struct retry_limits {
    double ratio{0.2};  //!< Retries per call.
    double slack{50.0}; //!< Additional retries per window, for all routers together.
    duration window{std::chrono::seconds{10}};

    friend bool operator==(const retry_limits&, const retry_limits&) = default;
};

/**
 * @brief Limits the retries of one router at one service in a sliding window.
 *
 * Each router uses an equal part of the additional retries, so that all routers together stay within the limit without
 * coordination.
 */
class retry_window {
    void expire(time_point now);

public:
    /*! @brief Fraction of the limit that is used, as the windows of the routers differ. */
    static constexpr double usable_share = 0.8;

    /*! @brief Creates an empty window. */
    explicit retry_window(retry_limits limits) : limits_{limits} {}

    /*! @brief Counts a new call. */
    void record_call(time_point now);

    /*! @brief Counts a retry if the limit allows it. @param routers Number of routers. @return False if it does not. */
    [[nodiscard]] bool try_acquire(std::size_t routers, time_point now);

private:
    retry_limits limits_;
    std::deque<time_point> calls_{};
    std::deque<time_point> retries_{};
};

} // namespace dandelionbay
