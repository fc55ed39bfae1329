#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief How long an endpoint may send nothing for a call before another one is asked. */
struct silence_limits {
    duration usual{};        //!< Between two events, or until a whole answer.
    duration before_first{}; //!< Added until the first event, for what the endpoint has to read before it.

    friend bool operator==(const silence_limits&, const silence_limits&) = default;
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
        silence_limits limits{};
        time_point heard_at{};
        bool begun{};
    };

public:
    using size_type = std::size_t;

    /*! @brief Attempts that may be open at a time: the one that has the call, and others beside it. */
    static constexpr size_type most_open = 3;

    /*! @brief What an attempt that went on changes. */
    struct change {
        std::vector<ticket_id> obsolete{}; //!< The attempts that are to be ended.
        bool taken_over{};                 //!< One of them had the call.

        friend bool operator==(const change&, const change&) = default;
    };

    /*! @brief An attempt was sent. It has the call if none has. @param it Its name. @param now Time. */
    void sent(ticket_id it, const silence_limits& limits, time_point now);

    /*! @brief Bytes of an answer that is not whole came from an attempt. @param it Its name. @param now Time. */
    void heard(ticket_id it, time_point now);

    /*! @brief An event, or a whole answer, came from an attempt. @param it Its name. @param now Time. */
    [[nodiscard]] change went_on(ticket_id it, time_point now);

    /*! @brief An attempt ended. If it had the call, the oldest one beside it has it. Unknown ones are left out. */
    void ended(ticket_id it);

    /*! @brief When an attempt was sent, or it last showed a sign of life. @param it Its name; of an open one. */
    [[nodiscard]] time_point heard_at(ticket_id it) const;

    /*! @brief Tells whether another endpoint should be asked, as far as this attempt goes. @param it Its name.
     *  @param listening_since Silence before says nothing: the host did not listen. @param now Time. */
    [[nodiscard]] bool silent(ticket_id it, time_point listening_since, time_point now) const;

    /*! @brief The attempt that has the call. */
    [[nodiscard]] std::optional<ticket_id> holder() const;

    /*! @brief Number of open attempts. */
    [[nodiscard]] size_type size() const noexcept { return open_.size(); }

    /*! @brief Tells whether no attempt is open. */
    [[nodiscard]] bool empty() const noexcept { return open_.empty(); }

private:
    std::vector<open_attempt> open_{}; //!< The first one has the call.
};

} // namespace dandelionbay
