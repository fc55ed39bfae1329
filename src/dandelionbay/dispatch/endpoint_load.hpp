#pragma once

#include <cstdint>
#include <unordered_map>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/cold_rate_limiter.hpp"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/dispatch/prefix_cache.hpp"

namespace dandelionbay {

/*! @brief Names one call within a router. */
using ticket_id = std::uint64_t;

/*! @brief Work at one endpoint, as one router counts it and tells its peers. */
struct endpoint_work {
    double unread_tokens{}; //!< Prompt tokens that the endpoint has yet to read.
    std::uint32_t calls{};  //!< Calls in flight.
    double memory_tokens{}; //!< Tokens that the calls in flight may come to occupy.

    friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

/*! @brief One call to be counted at an endpoint. */
struct call_load {
    double unread_tokens{};
    double memory_tokens{};

    friend bool operator==(const call_load&, const call_load&) = default;
};

/**
 * @brief What a router knows of one endpoint's load and health: its own calls, its peers' reports, and how quickly
 * answers begin.
 */
class endpoint_load {
    struct running_call {
        call_load load{};
        time_point sent_at{};
        double ahead_ms{}; //!< Expected time to the first event when it was sent, without what every call takes.
        bool started{};
    };
    struct peer_work {
        endpoint_work work{};
        time_point at{};
    };

    [[nodiscard]] const endpoint_work& peers_work(time_point now) const;
    [[nodiscard]] double own_unread_tokens(time_point now) const;
    [[nodiscard]] double unread_tokens(time_point now) const;
    void learn(const running_call& call, time_point now);

public:
    /*! @brief Prompt tokens read in a millisecond, assumed until answers tell. */
    static constexpr double initial_prefill_tokens_per_ms = 42.0; // 51 less the steps that generate in between.
    /*! @brief Time that a first event takes beside reading: a step, the network and the engine's start, in ms. */
    static constexpr double first_event_overhead_ms = 55.0;
    /*! @brief Reports of a peer count for this time. */
    static constexpr duration peer_report_timeout = std::chrono::milliseconds{1500};
    /*! @brief Weight of the newest sample in moving averages. */
    static constexpr double sample_weight = 0.1;
    /*! @brief An endpoint with calls in flight that sends nothing for this time beyond its expected reading stalls. */
    static constexpr duration silence_timeout = std::chrono::milliseconds{900};
    /*! @brief Longest time for which an answer without tokens is waited for because such answers take long there. */
    static constexpr duration max_usual_answer_time = std::chrono::seconds{4};
    /*! @brief First time for which an endpoint gets no work after a failed connection; doubles with each further. */
    static constexpr duration initial_ejection = std::chrono::milliseconds{250};
    /*! @brief Longest such time. */
    static constexpr duration max_ejection = std::chrono::seconds{2};

    /*! @brief A call was sent. @param ticket Its name. @param load Its load. @param now Time. */
    void sent(ticket_id ticket, const call_load& load, time_point now);

    /*! @brief A call's answer began. @param ticket Its name. @param now Time. */
    void started(ticket_id ticket, time_point now);

    /*! @brief A call ended. @param ticket Its name. @param failed The endpoint failed it. @param now Time. */
    void ended(ticket_id ticket, bool failed, time_point now);

    /*! @brief Bytes came from the endpoint. @param now Time. */
    void data_received(time_point now) noexcept;

    /*! @brief Its silence so far says nothing, because this router did not listen. @param now Time. */
    void reset_silence(time_point now) noexcept { silent_since_ = now; }

    /*! @brief When bytes last came from the endpoint. */
    [[nodiscard]] time_point last_data_at() const noexcept { return heard_; }

    /*! @brief A connection could not be made; those that fail during the pause that follows count with it. @param now
     * Time. */
    void unreachable(time_point now) noexcept;

    /*! @brief The endpoint wants no calls from this router for some time. @param until End of that time. */
    void pause(time_point until) noexcept;

    /*! @brief The endpoint said when its process started; a new process keeps nothing. @param started Any unit. */
    void follow_process(std::uint64_t started);

    /*! @brief Takes a peer's report over. @param peer Its name. @param work Its own calls. @param now Time. */
    void update_peer(const host_id& peer, const endpoint_work& work, time_point now);

    /*! @brief This router's own calls. @param now Time. */
    [[nodiscard]] endpoint_work own(time_point now) const;

    /*! @brief Expected time until the endpoint has read all that was sent to it, in ms. @param now Time. */
    [[nodiscard]] double backlog_ms(time_point now) const;

    /*! @brief Expected time to read a prompt, in ms. @param tokens Tokens that the endpoint does not keep. */
    [[nodiscard]] double prefill_ms(double tokens) const noexcept { return tokens / rate_; }

    /*! @brief Calls in flight from all routers. @param now Time. */
    [[nodiscard]] std::uint32_t calls(time_point now) const;

    /*! @brief Memory of the calls in flight from all routers, in tokens. @param now Time. */
    [[nodiscard]] double memory_tokens(time_point now) const;

    /*! @brief Time in which a whole answer without tokens is expected, by those before: twice their mean. */
    [[nodiscard]] duration usual_answer_time() const noexcept;

    /*! @brief Expected loss by slowness and failures, in ms for each call. */
    [[nodiscard]] double penalty_ms() const noexcept { return excess_ms_ + failure_rate_ * failure_cost_ms; }

    /*! @brief Tells whether it gets no work because connections failed. @param now Time. */
    [[nodiscard]] bool ejected(time_point now) const noexcept { return now < ejected_until_; }

    /*! @brief Tells whether it gets no work because it asked for a pause. @param now Time. */
    [[nodiscard]] bool paused(time_point now) const noexcept { return now < paused_until_; }

    /*! @brief End of the longest pause that it asked for. */
    [[nodiscard]] time_point paused_until() const noexcept { return paused_until_; }

    /*! @brief Tells whether it gets one call at a time, because a connection failed and no answer has begun since. */
    [[nodiscard]] bool is_on_probation() const noexcept { return failures_ > 0; }

    /*! @brief Tells whether one of this router's calls was sent after the last failed connection. */
    [[nodiscard]] bool has_sent_probe() const;

    /*! @brief Tells whether calls wait at an endpoint that sends nothing. @param now Time. */
    [[nodiscard]] bool stalled(time_point now) const;

    /*! @brief Parts of prompts that it is believed to keep. */
    [[nodiscard]] prefix_cache& cache() noexcept { return cache_; }
    [[nodiscard]] const prefix_cache& cache() const noexcept { return cache_; }

    /*! @brief Limits what it gets while it is cold. */
    [[nodiscard]] cold_rate_limiter& cold_limiter() noexcept { return cold_limiter_; }

private:
    static constexpr double failure_cost_ms = 600.0; // A failed call is about as bad as one past its usual target.

    std::unordered_map<ticket_id, running_call> running_{};
    std::unordered_map<host_id, peer_work> peers_{};
    mutable endpoint_work peers_sum_{}; //!< Of the reports that count; asked for much more often than they change.
    mutable time_point peers_sum_until_{time_point::min()}; //!< When it has to be worked out again at the latest.
    prefix_cache cache_{};
    cold_rate_limiter cold_limiter_{};
    double rate_{initial_prefill_tokens_per_ms};
    double excess_ms_{};
    double failure_rate_{};
    double unread_{};
    double memory_{};
    time_point reading_since_{};
    time_point paused_until_{};
    time_point heard_{};
    time_point silent_since_{}; //!< When it was heard, or its silence was forgiven.
    time_point failed_at_{};    //!< When a connection last failed.
    time_point ejected_until_{};
    std::uint32_t failures_{};
    std::uint64_t process_started_{};
};

} // namespace dandelionbay
