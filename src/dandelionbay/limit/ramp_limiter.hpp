#pragma once

#include <cstdint>
#include <deque>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Concurrency limit of an endpoint in and after cold start.
 *
 * A cold endpoint gets its cold bound. Each answer that begins in time raises the limit by one, at most doubling it in
 * any 2 s. A reset brings it back to the cold bound.
 */
class ramp_limiter {
    void raise(time_point now);

public:
    /*! @brief Shortest time in which the limit may double. */
    static constexpr duration min_doubling_interval = std::chrono::seconds{2};

    /*! @brief First-token times over this multiple of the expected one mean that the endpoint is cold. */
    static constexpr int cold_latency_factor = 4;

    /**
     * @brief Sets the endpoint's properties; the ramp keeps its position.
     * @param slots Requests it runs at once when warm.
     * @param cold_slots Requests it bears in cold start; counts as 1 if zero.
     * @param expected_first_token Longest usual time to the first token when warm.
     */
    void configure(std::uint32_t slots, std::uint32_t cold_slots, duration expected_first_token) noexcept;

    /*! @brief The endpoint is cold: back to the cold bound. @param now Current time. */
    void reset(time_point now);

    /*! @brief The endpoint says whether it is cold; while it does, the limit stays at the cold bound. */
    void set_reported_cold(bool cold, time_point now);

    /*! @brief The endpoint takes work again after a pause: the ramp starts at a quarter of the slots at most. */
    void lower_to_quarter();

    /*! @brief The endpoint is known to be warm: the ramp starts at a quarter of the slots at least. Before the slots
     * are known it takes effect with them, unless a reset comes first. */
    void raise_to_quarter();

    /**
     * @brief A model's answer began.
     * @param started When the request was sent; requests sent before the last reset are ignored.
     * @param now When the first token came.
     */
    void record_first_token(time_point started, time_point now);

    /*! @brief An answer without a first-token time was complete. @param started As above. @param now Current time. */
    void record_completion(time_point started, time_point now);

    /*! @brief Tells whether a request without a first token is so late that the endpoint counts as cold. */
    [[nodiscard]] bool is_overdue(time_point started, time_point now) const noexcept;

    /*! @brief When is_overdue() becomes true for a request. @param started When it was sent. @return The time. */
    [[nodiscard]] time_point overdue_at(time_point started) const noexcept;

    /*! @brief Requests that may run at once. */
    [[nodiscard]] std::uint32_t limit() const noexcept;

private:
    std::uint32_t slots_{};
    std::uint32_t cold_slots_{1};
    duration expected_{std::chrono::milliseconds{500}};
    std::uint32_t position_{1};
    bool reported_cold_{};
    bool raise_when_configured_{};
    time_point reset_at_{time_point::min()};
    std::deque<time_point> raises_{}; //!< Raises within the last doubling_time.
};

} // namespace dandelionbay
