#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief How long an endpoint may send nothing for a call before the call is hedged at another endpoint. */
struct silence_timeouts {
    duration between_events{};  //!< Between two events, or until a whole response.
    duration extra_for_first{}; //!< Added until the first event, for what the endpoint has to process first.

    friend bool operator==(const silence_timeouts&, const silence_timeouts&) = default;
};

/**
 * @brief The open attempts of one call, and which of them is the primary one.
 *
 * A silent endpoint need not be lost: a healthy one may pause for a second and continue, and the next one may refuse
 * the call. A silent attempt therefore stays the primary one while the call is hedged at another endpoint. The first
 * attempt that makes progress becomes the primary one, and the others are ended.
 */
class call_attempts {
    struct open_attempt {
        ticket_id ticket{};
        silence_timeouts timeouts{};
        time_point last_activity_at{};
        bool has_progress{};
    };

public:
    using size_type = std::size_t;

    /*! @brief Maximum number of attempts open at a time, the primary one included. */
    static constexpr size_type max_open = 3;

    /*! @brief Effect of progress on the open attempts. */
    struct progress_result {
        std::vector<ticket_id> obsolete{}; //!< Attempts that the caller must end.
        bool taken_over{};                 //!< One of the obsolete attempts was the primary one.

        friend bool operator==(const progress_result&, const progress_result&) = default;
    };

    /*! @brief Adds an attempt that was sent; it becomes the primary one if no other is open. @param ticket Its ticket.
     *  @param timeouts Its silence timeouts. @param now Current time. */
    void add(ticket_id ticket, const silence_timeouts& timeouts, time_point now);

    /*! @brief Records that an attempt received bytes of an incomplete response. @param ticket Its ticket.
     *  @param now Current time. */
    void record_activity(ticket_id ticket, time_point now);

    /*! @brief Records that an attempt received an event or a whole response, which makes it the only open attempt.
     *  @param ticket Ticket; unknown ones have no effect. @param now Current time. */
    [[nodiscard]] progress_result record_progress(ticket_id ticket, time_point now);

    /*! @brief Removes an attempt; unknown ones are ignored. The oldest of the others succeeds the primary one. */
    void remove(ticket_id ticket);

    /*! @brief When an attempt was sent or last received something. @param ticket Ticket of an open attempt. */
    [[nodiscard]] time_point last_activity(ticket_id ticket) const;

    /*! @brief Tells whether an attempt has exceeded its silence timeout. @param ticket Ticket.
     *  @param listening_since Start of the time in which this host was reading; earlier silence doesn't count.
     *  @param now Current time. */
    [[nodiscard]] bool is_silent(ticket_id ticket, time_point listening_since, time_point now) const;

    /*! @brief The primary attempt, or nothing if none is open. */
    [[nodiscard]] std::optional<ticket_id> primary() const;

    [[nodiscard]] size_type size() const noexcept { return open_.size(); }

    /*! @brief Tells whether no attempt is open. */
    [[nodiscard]] bool empty() const noexcept { return open_.empty(); }

private:
    std::vector<open_attempt> open_{}; //!< The first one is the primary one.
};

} // namespace dandelionbay
