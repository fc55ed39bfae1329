#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Locks that serialize identical copies of a call suspected of crashing endpoints, by fingerprint, and calls
 * that share a suspect prompt part, by a key of the part.
 *
 * Copies that run concurrently can each crash an endpoint before any of these losses is known. Run one at a time, each
 * copy starts only when the outcome of the previous one is known.
 */
class suspect_call_locks {
    struct lock {
        std::uint64_t holder{};
        std::optional<time_point> running_since{};
    };

public:
    /*! @brief Running time of a copy after which another copy may take over its lock. */
    static constexpr duration lock_timeout = std::chrono::seconds{1};

    /**
     * @brief Acquires the lock of a call for one of its copies, or renews it before a copy is sent again.
     * @param call Fingerprint of the call.
     * @param holder Id of the copy.
     * @param now Current time.
     * @return True if the copy holds the lock now; it expires once the copy has run for lock_timeout.
     */
    [[nodiscard]] bool try_acquire(std::uint64_t call, std::uint64_t holder, time_point now);

    /*! @brief Starts the timeout when a copy is sent to an endpoint. Does nothing if the copy doesn't hold the lock. */
    void mark_sent(std::uint64_t call, std::uint64_t holder, time_point now);

    /*! @brief Releases the lock when a copy ends. Does nothing if the copy doesn't hold the lock. */
    void release(std::uint64_t call, std::uint64_t holder);

    /*! @brief Tells whether no lock is held. */
    [[nodiscard]] bool empty() const noexcept { return locks_.empty(); }

private:
    std::map<std::uint64_t, lock> locks_{};
};

} // namespace dandelionbay
