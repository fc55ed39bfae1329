#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief How long an endpoint may send nothing for a call before another one is asked. */
struct silence_timeouts {
    duration between_events{};  //!< Between two events, or until a whole answer.
    duration extra_for_first{}; //!< Added until the first event, for what the endpoint has to read before it.

    friend bool operator==(const silence_timeouts&, const silence_timeouts&) = default;
};

/**
 * @brief The open attempts of one call, and which of them has the call.
 *
 * Silence is no proof of loss: a sound endpoint may be silent for a second and go on, and the next one may refuse. So
 * an attempt that is silent keeps the call while another endpoint is asked. Whichever goes on first has the call from
 * then on, and the others end.
 */
class call_attempts {
    struct open_attempt {
        ticket_id ticket{};
        silence_timeouts limits{};
        time_point last_activity_at{};
        bool has_progress{};
    };

public:
    using size_type = std::size_t;

    /*! @brief Attempts that may be open at a time: the one that has the call, and others beside it. */
    static constexpr size_type max_open = 3;

    /*! @brief What an attempt that went on changes. */
    struct progress_result {
        std::vector<ticket_id> obsolete{}; //!< The attempts that are to be ended.
        bool taken_over{};                 //!< One of them had the call.

        friend bool operator==(const progress_result&, const progress_result&) = default;
    };

    /*! @brief An attempt was sent. It has the call if none has. @param it Its name. @param now Time. */
    void add(ticket_id it, const silence_timeouts& limits, time_point now);

    /*! @brief Bytes of an answer that is not whole came from an attempt. @param it Its name. @param now Time. */
    void record_activity(ticket_id it, time_point now);

    /*! @brief An event, or a whole answer, came from an attempt. @param it Its name. @param now Time. */
    [[nodiscard]] progress_result record_progress(ticket_id it, time_point now);

    /*! @brief An attempt ended. If it had the call, the oldest one beside it has it. Unknown ones are left out. */
    void remove(ticket_id it);

    /*! @brief When an attempt was sent, or it last showed a sign of life. @param it Its name; of an open one. */
    [[nodiscard]] time_point last_activity(ticket_id it) const;

    /*! @brief Tells whether another endpoint should be asked, as far as this attempt goes. @param it Its name.
     *  @param listening_since Silence before says nothing: the host did not listen. @param now Time. */
    [[nodiscard]] bool is_silent(ticket_id it, time_point listening_since, time_point now) const;

    /*! @brief The attempt that has the call. */
    [[nodiscard]] std::optional<ticket_id> primary() const;

    /*! @brief Number of open attempts. */
    [[nodiscard]] size_type size() const noexcept { return open_.size(); }

    /*! @brief Tells whether no attempt is open. */
    [[nodiscard]] bool empty() const noexcept { return open_.empty(); }

private:
    std::vector<open_attempt> open_{}; //!< The first one has the call.
};

} // namespace dandelionbay
