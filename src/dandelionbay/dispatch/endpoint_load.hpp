#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/cold_rate_limiter.hpp"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/dispatch/prefix_cache.hpp"

namespace dandelionbay {

/*! @brief Identifies a call within a router. */
using ticket_id = std::uint64_t;

/*! @brief Work at one endpoint, as counted by one router and reported to its peers. */
struct endpoint_work {
    double unread_tokens{}; //!< Prompt tokens that the endpoint has yet to prefill.
    std::uint32_t calls{};  //!< Calls in flight.
    double memory_tokens{}; //!< Tokens of engine memory that the calls in flight may occupy.

    friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

/*! @brief Load of one call at its endpoint. */
struct call_load {
    double unread_tokens{};
    double memory_tokens{};

    friend bool operator==(const call_load&, const call_load&) = default;
};

/**
 * @brief Load and health of one endpoint as known to one router: from its own calls, the reports of its peers and the
 * time until answers start.
 */
class endpoint_load {
    struct running_call {
        call_load load{};
        time_point sent_at{};
        double ahead_ms{}; //!< Expected prefill time up to the first event when it was sent, without fixed overhead.
        bool is_started{};
    };
    struct peer_work {
        endpoint_work work{};
        time_point reported_at{};
    };

    [[nodiscard]] const endpoint_work& peers_work(time_point now) const;
    [[nodiscard]] double own_unread_tokens(time_point now) const;
    [[nodiscard]] double unread_tokens(time_point now) const;
    [[nodiscard]] static double time_before_first_event_ms(const running_call& call, time_point now) noexcept;
    void update_estimates(const running_call& call, time_point now);

public:
    /*! @brief Prefill rate, in prompt tokens per millisecond, that is assumed until answers show the actual one. */
    static constexpr double initial_prefill_tokens_per_ms = 42.0; // 51 less the decoding steps in between.
    /*! @brief Time to the first event beyond prefill, in ms: one decoding step, the network and the engine's start. */
    static constexpr double first_event_overhead_ms = 55.0;
    /*! @brief Time for which a peer's report is valid. */
    static constexpr duration peer_report_timeout = std::chrono::milliseconds{1500};
    /*! @brief Weight of the newest sample in moving averages. */
    static constexpr double sample_weight = 0.1;
    /*! @brief Time plus the expected prefill after which an endpoint with calls in flight that sends nothing is
     * stalled. */
    static constexpr duration silence_timeout = std::chrono::milliseconds{900};
    /*! @brief Upper bound of usual_answer_time(). */
    static constexpr duration max_usual_answer_time = std::chrono::seconds{4};
    /*! @brief Time for which an endpoint gets no calls after a failed connection; doubles with each further failure. */
    static constexpr duration initial_ejection = std::chrono::milliseconds{250};
    /*! @brief Upper bound of the ejection time. */
    static constexpr duration max_ejection = std::chrono::seconds{2};

    /*! @brief Reports that a call was sent. */
    void sent(ticket_id ticket, const call_load& load, time_point now);

    /*! @brief Reports that a call's answer started.
     *  @return Time that the call waited before its prompt was prefilled, in ms; empty if it had started before. */
    std::optional<double> started(ticket_id ticket, time_point now);

    /*! @brief Reports that a call ended. @param failed The endpoint failed. */
    void ended(ticket_id ticket, bool failed, time_point now);

    /*! @brief Reports that bytes were received from the endpoint. */
    void data_received(time_point now) noexcept;

    /*! @brief Restarts the silence timer, after this router did not read from its connections. */
    void reset_silence(time_point now) noexcept { silent_since_ = now; }

    /*! @brief Returns when bytes were last received from the endpoint. */
    [[nodiscard]] time_point last_data_at() const noexcept { return last_data_at_; }

    /*! @brief Ejects the endpoint after a failed connection. Failures during the ejection do not count again. */
    void unreachable(time_point now) noexcept;

    /*! @brief Stops sending calls to the endpoint until @p until, because it asked this router for a pause. */
    void pause(time_point until) noexcept;

    /*! @brief Sets when the endpoint's process started, in any unit. A new process has an empty prefix cache. */
    void set_process_start(std::uint64_t started);

    /*! @brief Replaces the work that a peer reported. @param work Work of the peer's own calls. */
    void update_peer(const host_id& peer, const endpoint_work& work, time_point now);

    /*! @brief Returns the work of this router's own calls. */
    [[nodiscard]] endpoint_work own(time_point now) const;

    /*! @brief Returns the expected time until the endpoint has prefilled all prompts sent to it, in ms. */
    [[nodiscard]] double backlog_ms(time_point now) const;

    /*! @brief Returns the expected prefill time of a prompt, in ms. @param tokens Tokens that are not cached. */
    [[nodiscard]] double prefill_ms(double tokens) const noexcept { return tokens / prefill_tokens_per_ms_; }

    /*! @brief Returns the number of calls in flight from all routers. */
    [[nodiscard]] std::uint32_t calls(time_point now) const;

    /*! @brief Returns the memory that the calls in flight from all routers may occupy, in tokens. */
    [[nodiscard]] double memory_tokens(time_point now) const;

    /*! @brief Returns the time within which a whole answer without tokens is expected: twice the recent mean. */
    [[nodiscard]] duration usual_answer_time() const noexcept;

    /*! @brief Returns the expected loss by slowness and failures, in ms per call. */
    [[nodiscard]] double penalty_ms() const noexcept { return excess_ms_ + failure_rate_ * failure_cost_ms; }

    /*! @brief Tells whether the endpoint gets no calls because connections failed. */
    [[nodiscard]] bool is_ejected(time_point now) const noexcept { return now < ejected_until_; }

    /*! @brief Tells whether the endpoint gets no calls because it asked for a pause. */
    [[nodiscard]] bool is_paused(time_point now) const noexcept { return now < paused_until_; }

    /*! @brief Returns the latest end of the pauses that the endpoint asked for. */
    [[nodiscard]] time_point paused_until() const noexcept { return paused_until_; }

    /*! @brief Tells whether the endpoint gets one call at a time, because a connection failed and no answer has started
     *  since. */
    [[nodiscard]] bool is_on_probation() const noexcept { return failures_ > 0; }

    /*! @brief Tells whether one of this router's running calls was sent after the last failed connection. */
    [[nodiscard]] bool has_sent_probe() const;

    /*! @brief Tells whether calls wait at the endpoint while it sends nothing. */
    [[nodiscard]] bool is_stalled(time_point now) const;

    /*! @brief Returns the estimate of the prompt parts that the endpoint has cached. */
    [[nodiscard]] prefix_cache& cache() noexcept { return cache_; }
    [[nodiscard]] const prefix_cache& cache() const noexcept { return cache_; }

    /*! @brief Returns the limiter of the calls sent while the endpoint is cold. */
    [[nodiscard]] cold_rate_limiter& cold_limiter() noexcept { return cold_limiter_; }

private:
    static constexpr double failure_cost_ms = 600.0; // A failed call is about as bad as one past its usual target.

    std::unordered_map<ticket_id, running_call> running_{};
    std::unordered_map<host_id, peer_work> peers_{};
    /*! Cached sum of the valid reports; it is read far more often than it changes. */
    mutable endpoint_work peers_sum_{};
    mutable time_point peers_sum_until_{time_point::min()}; //!< When the cached sum expires.
    prefix_cache cache_{};
    cold_rate_limiter cold_limiter_{};
    double prefill_tokens_per_ms_{initial_prefill_tokens_per_ms};
    double excess_ms_{}; //!< Moving average of the prefill time beyond 1.5 times the expected one.
    double failure_rate_{};
    double unread_tokens_{};
    double memory_tokens_{};
    time_point prefill_since_{};
    time_point paused_until_{};
    time_point last_data_at_{};
    time_point silent_since_{};    //!< When data was last received or the silence timer was reset.
    time_point last_failure_at_{}; //!< When a connection last failed.
    time_point ejected_until_{};
    std::uint32_t failures_{};
    std::uint64_t process_started_{};
};

} // namespace dandelionbay
