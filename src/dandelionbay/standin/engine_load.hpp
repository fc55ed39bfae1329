#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/standin/fwd.hpp"
#include "dandelionbay/standin/standin_engine.hpp"

namespace dandelionbay::internal {

/*! @brief What the engine stand-in reports about itself. */
struct engine_report {
    std::string process{};
    bool cold{};
    std::uint32_t running{};

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/**
 * @brief Emulated batch of an engine: pace, cold state, crashes and the lagging report.
 *
 * Safe for use by several threads.
 */
class engine_load {
    struct snapshot {
        time_point at{};
        std::string process{};
        time_point cold_until{};
        std::uint32_t running{};
    };

    [[nodiscard]] bool cold_at(time_point now) const noexcept { return now < cold_until_; }
    void record(time_point now);
    void start_process(time_point now, std::chrono::milliseconds cold_time);
    [[nodiscard]] duration first_token_delay(time_point now) const noexcept;
    [[nodiscard]] duration token_interval(time_point now) const noexcept;

public:
    /*! @brief One request in the batch; leaves it when destroyed. */
    class run {
    public:
        run(engine_load& load, std::uint64_t epoch, time_point next) : load_{&load}, epoch_{epoch}, next_{next} {}
        run(const run&) = delete;
        run(run&&) = delete;
        run& operator=(const run&) = delete;
        run& operator=(run&&) = delete;
        ~run();

        /**
         * @brief Blocks until the next token is due; to be called by the thread of the connection.
         * @return False if the run ended by a crash, a stop, or because the caller closed its connection.
         */
        [[nodiscard]] bool next_token();

        /*! @brief The last token was made; the run leaves the batch. */
        void complete();

    private:
        engine_load* load_;
        std::uint64_t epoch_;
        time_point next_;
        bool ended_{false};
    };

    explicit engine_load(const standin_engine_options& options);

    /*! @brief Tells whether the process is still starting after a crash and takes no calls. */
    [[nodiscard]] bool starting() const;

    /*! @brief Adds a request to the batch. @return The run, or null if full load in the cold state failed it. */
    [[nodiscard]] std::shared_ptr<run> begin();

    /*! @brief Ends all runs; the process is new and cold. @param cold_time Length of the cold start. */
    void crash(std::chrono::milliseconds cold_time);

    /*! @brief Ends all runs for good. */
    void stop();

    /*! @brief Begins a cold state. @param length Its length. */
    void make_cold(duration length);

    /*! @brief Stops or continues the progress of all runs. @param hanging The state. */
    void set_hanging(bool hanging);

    /*! @brief State as it was one reporting lag ago. */
    [[nodiscard]] engine_report lagging_report();

    /*! @brief State now. */
    [[nodiscard]] engine_report report() const;

    /*! @brief Totals since creation. */
    [[nodiscard]] engine_stats stats() const;

private:
    const standin_engine_options options_;
    monotonic_clock clock_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t epoch_{0};
    bool stopped_{false};
    bool hanging_{false};
    std::string process_;
    time_point started_at_{};
    time_point cold_until_{};
    std::uint32_t running_{0};
    engine_stats stats_;
    std::deque<snapshot> history_;
};

} // namespace dandelionbay::internal
