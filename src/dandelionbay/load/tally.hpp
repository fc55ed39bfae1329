#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/latency_histogram.hpp"
#include "dandelionbay/bench/recorder.hpp"
#include "dandelionbay/load/fwd.hpp"

namespace dandelionbay::load {

/*! @brief Collects what the callers see, in all and for each team; safe for use by several threads. */
class tally {
    struct figures {
        std::uint64_t offered{};
        std::uint64_t complete{};
        std::uint64_t complete_in_time{}; //!< Within the length of the load.
        std::uint64_t tokens_in_time{};
        std::uint64_t no_free_thread{};
        std::map<bench::ending, std::uint64_t> endings{};
        std::map<std::string, std::uint64_t> refused{};
        latency_histogram latency{};
        latency_histogram ttft{};
        latency_histogram inter_token{};
    };

    [[nodiscard]] bench::second_of_service* second_at(time_point now);
    [[nodiscard]] nlohmann::json report_of(const figures& from) const;

    /*! Applies a change to the figures of all and of one team. */
    template<typename Change>
    void change(std::size_t team, const Change& apply) {
        apply(all_);
        apply(teams_.at(team));
    }

public:
    /**
     * @brief Starts with nothing counted.
     * @param names Of the teams.
     * @param start Start of the load.
     * @param seconds Length of the load.
     */
    tally(std::vector<std::string> names, time_point start, std::size_t seconds);

    /*! @brief Counts planned calls. @param team Index. @param calls How many. */
    void offer(std::size_t team, std::uint64_t calls);

    /*! @brief Counts a call that found no free thread at its planned time. @param team Index. */
    void found_no_thread(std::size_t team);

    /*! @brief The first token came. @param team Index. @param latency Since the planned time. */
    void first_token(std::size_t team, duration latency);

    /*! @brief A further token came. @param team Index. @param gap Since the previous one. */
    void next_token(std::size_t team, duration gap);

    /*! @brief Counts output tokens. @param team Index. @param tokens How many. @param now Current time. */
    void count_tokens(std::size_t team, std::uint32_t tokens, time_point now);

    /*! @brief A call is complete. @param team Index. @param latency Since the planned time. @param now Current time. */
    void complete(std::size_t team, duration latency, time_point now);

    /*! @brief A call ended neither complete nor refused. @param team Index. @param how How. */
    void fail(std::size_t team, bench::ending how);

    /*! @brief A call was refused. @param team Index. @param code Numeric result code or "http-STATUS". */
    void refuse(std::size_t team, const std::string& code);

    /*! @brief Service in one second. @param n Number of the second from 0, below the length of the load. */
    [[nodiscard]] bench::second_of_service second(std::size_t n) const;

    /*! @brief All figures. @return JSON object. */
    [[nodiscard]] nlohmann::json report() const;

private:
    const std::vector<std::string> names_;
    const time_point start_;
    mutable std::mutex mutex_;
    std::vector<bench::second_of_service> seconds_;
    figures all_;
    std::vector<figures> teams_;
};

} // namespace dandelionbay::load
