#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Turns of the copies of a call under which an endpoint may have ended, by fingerprint.
 *
 * Copies that run at the same time end as many endpoints before any of these losses is known. One after the other, each
 * copy runs with what the one before it showed.
 */
class suspect_call_locks {
    struct turn {
        std::uint64_t ticket{};
        std::optional<time_point> running_since{};
    };

public:
    /*! @brief Running time after which the next copy need not wait any more. */
    static constexpr duration lock_timeout = std::chrono::seconds{1};

    /**
     * @brief A copy wants to run.
     * @param call Fingerprint.
     * @param ticket Name of the copy.
     * @param now Time.
     * @return True if it has the turn now, until it ends or has run for the longest time.
     */
    [[nodiscard]] bool try_acquire(std::uint64_t call, std::uint64_t ticket, time_point now);

    /*! @brief A copy was sent to an endpoint. Does nothing if it has no turn. */
    void mark_sent(std::uint64_t call, std::uint64_t ticket, time_point now);

    /*! @brief A copy ended. Does nothing if it has no turn. */
    void release(std::uint64_t call, std::uint64_t ticket);

    /*! @brief Tells whether no copy has a turn. */
    [[nodiscard]] bool empty() const noexcept { return turns_.empty(); }

private:
    std::map<std::uint64_t, turn> turns_{};
};

} // namespace dandelionbay
