#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <ctime>
#include <thread>

#include <pthread.h>

#include "dandelionbay/node/thread_time.hpp"

namespace dandelionbay::platform {

/**
 * @brief Gives a thread a share of a core, as a host's scheduler does: having used more, it stands still wherever it
 * is.
 *
 * A signal's handler sleeps on that thread. One thread at a time.
 */
class processor_limit {
    using clock_type = std::chrono::steady_clock;

    /*! Time whose share may be used later. */
    static constexpr std::chrono::milliseconds unused_kept{100};
    static constexpr std::chrono::microseconds look_interval{500};
    static constexpr int signal = SIGUSR2;

public:
    processor_limit(pthread_t thread, double share) : thread_{thread}, share_{share} {
        time_.note(thread);
        struct sigaction action {};
        action.sa_handler = [](int) { stand_still(); };
        action.sa_flags = SA_RESTART;
        sigaction(signal, &action, nullptr);
        watcher_ = std::thread{[this] { watch(); }};
    }
    processor_limit(const processor_limit&) = delete;
    processor_limit(processor_limit&&) = delete;
    processor_limit& operator=(const processor_limit&) = delete;
    processor_limit& operator=(processor_limit&&) = delete;
    ~processor_limit() {
        ended_ = true;
        watcher_.join();
    }

private:
    static void stand_still() {
        const auto ns = still_until_ns_.load();
        timespec until{};
        until.tv_sec = ns / 1'000'000'000;
        until.tv_nsec = ns % 1'000'000'000;
        clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, nullptr);
    }

    void watch() {
        auto since = clock_type::now();
        const auto before = time_.used();
        while (!ended_) {
            const auto now = clock_type::now();
            const auto due = std::chrono::duration_cast<clock_type::duration>((time_.used() - before) / share_);
            const auto earliest = std::max(since + due, now - unused_kept);
            since = earliest - due;
            if (earliest > now + look_interval) {
                still_until_ns_ =
                    std::chrono::duration_cast<std::chrono::nanoseconds>(earliest.time_since_epoch()).count();
                pthread_kill(thread_, signal);
                std::this_thread::sleep_until(earliest);
            } else {
                std::this_thread::sleep_for(look_interval);
            }
        }
    }

    static inline std::atomic<std::int64_t> still_until_ns_{};

    pthread_t thread_;
    thread_time time_{};
    double share_;
    std::atomic<bool> ended_{};
    std::thread watcher_{};
};

} // namespace dandelionbay::platform
