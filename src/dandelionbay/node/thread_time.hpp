#pragma once

#include <pthread.h>

#include <atomic>
#include <ctime>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/*! @brief Processor time of a thread, readable by other threads; source: the thread's CPU clock. */
class thread_time {
    static constexpr clockid_t unknown = CLOCK_REALTIME;

public:
    /*! @brief Takes the calling thread as the one to measure. */
    void note_current_thread() noexcept { note(::pthread_self()); }

    /*! @brief Takes a thread that runs as the one to measure. */
    void note(pthread_t thread) noexcept {
        clockid_t id = unknown;
        if (::pthread_getcpuclockid(thread, &id) == 0) {
            id_ = id;
        }
    }

    /*! @brief Reads the clock. @return Processor time in us; zero if the thread is not known or has ended. */
    [[nodiscard]] duration used() const noexcept {
        const clockid_t id = id_;
        timespec it{};
        if (id == unknown || ::clock_gettime(id, &it) != 0) {
            return duration{0};
        }
        return std::chrono::duration_cast<duration>(std::chrono::seconds{it.tv_sec} +
                                                    std::chrono::nanoseconds{it.tv_nsec});
    }

private:
    std::atomic<clockid_t> id_{unknown};
};

} // namespace dandelionbay
