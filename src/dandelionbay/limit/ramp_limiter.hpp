#pragma once

#include <cstdint>
#include <deque>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Concurrency limit of an endpoint during and after a cold start.
 *
 * The limit of a cold endpoint is its cold limit. Each answer that begins within the expected time raises the limit by
 * one, so that it at most doubles within any 2 s. A reset sets it back to the cold limit.
 */
class ramp_limiter {
    void raise(time_point now);

public:
    /*! @brief Shortest time within which the limit may double. */
    static constexpr duration min_doubling_interval = std::chrono::seconds{2};

    /*! @brief An endpoint whose time to first token exceeds the expected one by this factor counts as cold. */
    static constexpr int cold_latency_factor = 4;

    /**
     * @brief Sets the endpoint's properties; keeps the current limit as far as the new properties allow.
     * @param slots Number of concurrent requests when warm.
     * @param cold_slots Number of concurrent requests during a cold start; zero counts as 1.
     * @param expected_first_token Longest usual time to first token when warm.
     */
    void configure(std::uint32_t slots, std::uint32_t cold_slots, duration expected_first_token) noexcept;

    /*! @brief Sets the limit back to the cold limit because the endpoint is cold. @param now Current time. */
    void reset(time_point now);

    /*! @brief Sets whether the endpoint reports that it is cold; while it does, the limit stays at the cold limit. */
    void set_reported_cold(bool cold, time_point now);

    /*! @brief Lowers the limit to at most a quarter of the slots, but not below the cold limit, after a pause. */
    void lower_to_quarter();

    /*! @brief Raises the limit to at least a quarter of the slots because the endpoint is known to be warm. If the
     * slots are not configured yet, this takes effect when they are, unless a reset comes first. */
    void raise_to_quarter();

    /**
     * @brief Records the first token of a model's answer.
     * @param started Time at which the request was sent; requests sent before the last reset are ignored.
     * @param now Time at which the first token arrived.
     */
    void record_first_token(time_point started, time_point now);

    /**
     * @brief Records a complete answer that has no time to first token.
     * @param started As for record_first_token().
     * @param now Current time.
     */
    void record_completion(time_point started, time_point now);

    /*! @brief Tells whether the first token of a request is so late that the endpoint counts as cold. */
    [[nodiscard]] bool is_overdue(time_point started, time_point now) const noexcept;

    /**
     * @brief Returns the time after which is_overdue() is true for a request.
     * @param started Time at which it was sent.
     */
    [[nodiscard]] time_point overdue_at(time_point started) const noexcept;

    /*! @brief Returns the number of requests that may run concurrently. */
    [[nodiscard]] std::uint32_t limit() const noexcept;

private:
    std::uint32_t slots_{};
    std::uint32_t cold_slots_{1};
    duration expected_first_token_{std::chrono::milliseconds{500}};
    std::uint32_t current_limit_{1};
    bool is_reported_cold_{};
    bool should_raise_when_configured_{};
    time_point reset_at_{time_point::min()};
    std::deque<time_point> raised_at_{}; //!< Times of the raises within the last min_doubling_interval.
};

} // namespace dandelionbay
