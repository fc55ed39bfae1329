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

/*! @brief What this host knows of a silence beside its length. */
struct silence_evidence {
    time_point listening_since{}; //!< Silence before this moment says nothing: the host did not listen.
    bool unread{};                //!< Bytes of the endpoint have come and wait to be read.
    bool stalled{};               //!< The endpoint sends nothing for its other calls either.

    friend bool operator==(const silence_evidence&, const silence_evidence&) = default;
};

/**
 * @brief The open attempts of one call, and which of them has the call.
 *
 * Silence is no proof of loss: a sound endpoint may be silent for a second and go on, and the next one may refuse. So
 * an attempt that is silent keeps the call while another endpoint is asked. Whichever goes on first has the call from
 * then on, and the other attempt ends.
 */
class call_attempts {
    struct open_attempt {
        ticket_id ticket{};
        silence_limits limits{};
        time_point heard_at{};
        bool begun{};
    };

    [[nodiscard]] std::vector<open_attempt>::const_iterator find(ticket_id it) const;

public:
    using size_type = std::size_t;

    /*! @brief Attempts that are open at a time: the one that has the call, and one beside it. */
    static constexpr size_type most_open = 2;

    /*! @brief What an attempt that went on changes. */
    struct change {
        std::optional<ticket_id> obsolete{}; //!< The attempt that is to be ended.
        bool taken_over{};                   //!< That one had the call.

        friend bool operator==(const change&, const change&) = default;
    };

    /*! @brief An attempt was sent. It has the call if none has. @param it Its name. @param now Time. */
    void sent(ticket_id it, const silence_limits& limits, time_point now);

    /*! @brief An event, or a whole answer, came from an attempt. @param it Its name. @param now Time. */
    [[nodiscard]] change went_on(ticket_id it, time_point now);

    /*! @brief An attempt ended. If it had the call, the one beside it has it. Unknown ones are left out. */
    void ended(ticket_id it);

    /*! @brief Time for which nothing came from an open attempt. @param since Earlier silence does not count. */
    [[nodiscard]] duration silence(ticket_id it, time_point since, time_point now) const;

    /*! @brief Tells whether another endpoint should be asked, as far as this attempt goes. */
    [[nodiscard]] bool silent(ticket_id it, const silence_evidence& evidence, time_point now) const;

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
