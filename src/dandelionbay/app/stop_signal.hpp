#pragma once

#include <chrono>

namespace dandelionbay::app {

/**
 * @brief Receives SIGTERM and SIGINT by waiting instead of by a handler.
 *
 * Must be created before any other thread, so that all threads inherit the blocked signals; the thread that calls
 * wait() is then the only one that sees them. SIGPIPE is ignored: a closed connection is an error of its call.
 */
class stop_signal {
public:
    stop_signal();

    /*! @brief Blocks until SIGTERM or SIGINT arrives; returns at once if one arrived since the creation. */
    void wait() const;

    /*! @brief Blocks until SIGTERM or SIGINT arrives. @param limit Longest time, below 1 s. @return True if one did. */
    [[nodiscard]] bool wait_for(std::chrono::nanoseconds limit) const;
};

} // namespace dandelionbay::app
