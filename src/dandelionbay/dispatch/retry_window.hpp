#pragma once

#include <deque>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/fwd.hpp"

namespace dandelionbay {

/*! @brief What repeats may cost a service, fleet-wide. */
struct retry_limits {
    double ratio{0.2};  //!< Repeats for each call.
    double slack{50.0}; //!< Repeats that are free in each window, for all routers together.
    duration window{std::chrono::seconds{10}};

    friend bool operator==(const retry_limits&, const retry_limits&) = default;
};

/**
 * @brief Limits one router's repeats at one service in a sliding window.
 *
 * Each router takes an even part of the free repeats, so that all together stay inside the limit without asking.
 */
class retry_window {
    void expire(time_point now);

public:
    /*! @brief Part of the limit that is used; the rest covers windows that other routers see differently. */
    static constexpr double usable_share = 0.8;

    /*! @brief Creates an empty window. @param limits Fleet-wide limits. */
    explicit retry_window(retry_limits limits) : limits_{limits} {}

    /*! @brief Counts a new call. @param now Time. */
    void record_call(time_point now);

    /*! @brief Takes a repeat. @param routers Number of routers. @param now Time. @return False if none is left. */
    [[nodiscard]] bool try_acquire(std::size_t routers, time_point now);

private:
    retry_limits limits_;
    std::deque<time_point> calls_{};
    std::deque<time_point> repeats_{};
};

} // namespace dandelionbay
