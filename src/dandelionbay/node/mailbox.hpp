#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "dandelionbay/node/thread_time.hpp"

namespace dandelionbay {

/*! @brief Runs tasks one after the other, and a tick between them, on one thread. */
class mailbox {
public:
    using task = std::function<void()>;

    /*! @brief Creates a mailbox without a thread. @param interval Between two ticks. @param tick Called by the thread.
     */
    mailbox(std::chrono::milliseconds interval, task tick);
    mailbox(const mailbox&) = delete;
    mailbox(mailbox&&) = delete;
    mailbox& operator=(const mailbox&) = delete;
    mailbox& operator=(mailbox&&) = delete;
    ~mailbox();

    /*! @brief Starts the thread. */
    void start();

    /*! @brief Runs the tasks that are already in the mailbox, then ends the thread. */
    void stop() noexcept;

    /*! @brief Adds a task; dropped after stop(). @param it The task. */
    void post(task it);

    /*! @brief Adds a task and waits until it has run. @param it The task. @return False if it did not run in 2 s. */
    bool call(task it);

    /*! @brief Processor time of the thread. @return Microseconds; zero unless it runs. */
    [[nodiscard]] duration cpu_time() const noexcept { return cpu_.used(); }

private:
    void run();

    std::chrono::milliseconds interval_;
    task tick_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<task> tasks_;
    bool ended_{false};
    thread_time cpu_;
    std::thread thread_;
};

/*! @brief Calls a function again and again on its own thread. */
class repeater {
public:
    /*! @brief Creates it without a thread. @param interval Between two calls. @param jitter Share of the interval by
     *  which it varies, so that hosts do not act at the same time. @param work Called by the thread. */
    repeater(std::chrono::milliseconds interval, double jitter, std::function<void()> work);
    repeater(const repeater&) = delete;
    repeater(repeater&&) = delete;
    repeater& operator=(const repeater&) = delete;
    repeater& operator=(repeater&&) = delete;
    ~repeater();

    /*! @brief Starts the thread, which calls the function at once. @param seed Of the jitter. */
    void start(std::uint64_t seed);

    /*! @brief Calls the function now, or once more when the call in progress has returned. */
    void wake();

    /*! @brief Processor time of the thread. @return Microseconds; zero unless it runs. */
    [[nodiscard]] duration cpu_time() const noexcept { return cpu_.used(); }

    /*! @brief Waits for the call in progress and ends the thread. */
    void stop() noexcept;

private:
    void run(std::uint64_t seed);

    std::chrono::milliseconds interval_;
    double jitter_;
    std::function<void()> work_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool woken_{false};
    bool ended_{false};
    thread_time cpu_;
    std::thread thread_;
};

} // namespace dandelionbay
