#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/latency_histogram.hpp"
#include "dandelionbay/bench/fairness_meter.hpp"
#include "dandelionbay/bench/fwd.hpp"

namespace dandelionbay::bench {

/*! @brief How a call ended for its caller. */
enum class ending {
    complete,
    cut,   //!< The answer broke off.
    lost,  //!< No answer.
    wrong, //!< A whole answer that belongs to another call.
    unsent //!< Its turn did not come before the end of the run.
};

/*! @brief Calls and tokens of one second. */
struct second_of_service {
    std::uint64_t complete{};
    std::uint64_t tokens{};
    std::uint64_t refused{};

    friend bool operator==(const second_of_service&, const second_of_service&) = default;
};

/**
 * @brief The second with the least service after an event.
 * @param seconds Service by the second.
 * @param event Index of the second of the event.
 * @return Object with second, complete, mean_before (calls per second before the event without the first second, in
 *         which no earlier calls complete; null if nothing remains) and ratio of the two; null if nothing follows.
 */
[[nodiscard]] nlohmann::json worst_second(const std::vector<second_of_service>& seconds, std::size_t event);

/*! @brief Collects what the callers see; safe for use by several threads. */
class recorder {
    struct team_state {
        std::int64_t tokens{};
        std::int64_t input{};
        std::multiset<time_point> waiting{}; //!< When the calls without a first token were sent.
    };

    struct router_state {
        std::vector<second_of_service> seconds{};
        std::array<team_state, team_count> teams{};
        std::map<std::string, std::uint64_t> refused{};
        latency_histogram ttft{};
    };

    [[nodiscard]] second_of_service* second_at(std::size_t router, time_point now);
    [[nodiscard]] std::vector<second_of_service> all_seconds() const;

public:
    /*! @brief Takes nothing yet. @param seconds Length of the load. */
    explicit recorder(std::size_t seconds);

    /*! @brief Seconds count from here. @param start Start of the load; nothing may be recorded before this call. */
    void begin(time_point start);

    /*! @brief A chat call was sent. @param router For which it was planned. @param team Of the caller. @param now When.
     */
    void sent(std::size_t router, std::size_t team, time_point now);

    /*! @brief A call no longer waits for its first token. @param sent When it was sent. */
    void answered(std::size_t router, std::size_t team, time_point sent);

    /*! @brief The first token came. @param router Of the call. @param planned When it was due. @param now Current time.
     */
    void first_token(std::size_t router, time_point planned, time_point now);

    /*! @brief A further token came. @param gap Time since the previous one. */
    void next_token(duration gap);

    /*! @brief The first token came. @param added Time to the first token beyond the engine's own. */
    void first_token_added(duration added);

    /*! @brief A further token came. @param added Time since the previous one beyond the engine's own. */
    void next_token_added(duration added);

    /*! @brief A call's first token came. @param input Tokens of the prompt. */
    void count_input(std::size_t router, std::size_t team, std::uint32_t input);

    /*! @brief Counts a token of a team. */
    void count_token(std::size_t router, std::size_t team, time_point now);

    /*! @brief A call ended without refusal. */
    void end(std::size_t router, ending how, time_point now);

    /**
     * @brief A call was refused.
     * @param router For which it was planned.
     * @param code Numeric result code, or the HTTP status if there is none.
     * @param not_run Whether the refusal says that the call did not run.
     * @param now Current time.
     */
    void refuse(std::size_t router, const std::string& code, bool not_run, time_point now);

    /*! @brief An order ended; beside end() or refuse(). @param outcome How, as it is named in the report. */
    void end_order(const std::string& outcome);

    /*! @brief What each team has got. */
    [[nodiscard]] fairness_meter::sample sample(time_point now) const;

    /*! @brief What each team has got of the calls for one router. */
    [[nodiscard]] fairness_meter::sample sample(std::size_t router, time_point now) const;

    /*! @brief Refusals so far of the calls for one router, by code. */
    [[nodiscard]] std::map<std::string, std::uint64_t> refused(std::size_t router) const;

    /*! @brief Service by the second. */
    [[nodiscard]] std::vector<second_of_service> seconds() const;

    /*! @brief Service by the second of the calls for one router. */
    [[nodiscard]] std::vector<second_of_service> seconds(std::size_t router) const;

    /*! @brief All figures of the callers. @return JSON object. */
    [[nodiscard]] nlohmann::json report() const;

private:
    time_point start_{};
    mutable std::mutex mutex_;
    std::array<router_state, router_count> routers_;
    std::map<ending, std::uint64_t> endings_;
    std::uint64_t refused_not_run_{0};
    std::map<std::string, std::uint64_t> orders_;
    latency_histogram ttft_;
    latency_histogram inter_token_;
    latency_histogram ttft_added_;
    latency_histogram inter_token_added_;
};

} // namespace dandelionbay::bench
