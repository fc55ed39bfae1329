#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/limit/part_crash_registry.hpp"
#include "dandelionbay/proxy/attempt.hpp"
#include "dandelionbay/proxy/call_attempts.hpp"
#include "dandelionbay/proxy/call_protocol.hpp"
#include "dandelionbay/proxy/call_record.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_connection.hpp"

namespace dandelionbay {

/*! @brief Earliest times at which a request can have arrived. */
struct request_times {
    time_point first_byte{}; //!< Arrival of the first byte; the call's time limit counts from here.
    time_point last_byte{};  //!< Arrival of the last byte; the delay until then is the caller's.

    friend bool operator==(const request_times&, const request_times&) = default;
};

/**
 * @brief One call of a caller, from its request through one or more endpoints to the end of its response.
 *
 * Tracks whether an endpoint may have run the call, so that a refusal that says "not run" is true and a call that may
 * not be repeated is sent again only while no endpoint can have run it. A call whose endpoint is silent is hedged: it
 * is sent to another endpoint too, and both attempts stay open until one of them makes progress.
 */
class exchange final : public std::enable_shared_from_this<exchange> {
    enum class stage : std::uint8_t { waiting, running, done };
    struct saved_failure {
        response_head head{};
        std::string body{};
    };

    /*! Why a call can't be sent to the endpoint that was chosen for it. */
    enum class send_obstacle : std::uint8_t {
        none,
        caller_disconnected,
        time_expired,
        access_changed,
        endpoint_unavailable,
        stopping
    };

    [[nodiscard]] bool admit(time_point now);

    /*! Looks up the route and team in the current configuration; refuses the call if one is missing. */
    [[nodiscard]] bool find_access(time_point now);

    /*! Picks one of the route's services; for a stream that the caller resumes the one at which it began. */
    [[nodiscard]] service_id pick_service(time_point now);

    /*! Tells whether the caller resumes a stream. */
    [[nodiscard]] bool is_resuming() const noexcept;

    /*! Tells whether the current configuration gives the call the same route and access as when it was admitted. */
    [[nodiscard]] bool is_access_valid(time_point now);

    /*! Checks what may have changed since the call was admitted and placed. Called when the request can be sent. */
    [[nodiscard]] send_obstacle find_obstacle(const endpoint_choice& choice, time_point now);

    /*! Ends the call, or looks for another endpoint, because the call can't be sent to the chosen one. */
    void handle_unsent(send_obstacle obstacle, time_point now);

    /*! The request as it would be sent to an attempt's endpoint now; empty if it must not be sent any more. */
    [[nodiscard]] std::string build_request(const attempt& it);
    [[nodiscard]] work_item make_work_item() const;

    /*! Finds the version that can continue the stream which the caller resumes, if it does; refuses the call if there
     * is none. */
    [[nodiscard]] bool find_stream_version(time_point now);

    /*! Records which version wrote the first event. */
    void note_stream_version(const attempt& it, time_point now);
    void submit(time_point now);

    /*! Tells whether the call may run now: neither it nor a part of its prompt is suspected of crashing endpoints, or
     *  it acquires their locks. */
    [[nodiscard]] bool acquire_turn(time_point now);
    [[nodiscard]] bool acquire_part_locks(time_point now);

    /*! Tells whether a part of the prompt is suspected. */
    [[nodiscard]] bool has_suspect_part() const;

    /*! Waits for the locks of the call and its suspect parts. */
    void wait_for_turn();

    /*! Continues if the call may run now, and ends it if it must not run any more. */
    void check_turn(time_point now);

    /*! Sends the call to an endpoint, as its only attempt or as a hedge of a silent one. */
    void send_to(ticket_id ticket, const endpoint_choice& choice, time_point now);
    [[nodiscard]] std::string serialize_request(const endpoint_choice& choice, time_point now) const;
    [[nodiscard]] duration max_reuse_idle_time() const noexcept;
    [[nodiscard]] silence_timeouts silence_timeouts_for(const endpoint_choice& choice) const;

    /*! Tells whether an attempt's endpoint has exceeded its silence timeout. */
    [[nodiscard]] bool is_silent(const attempt& it, time_point now) const;

    /*! Sends the call to another endpoint too if one can take it at once, since all open attempts are silent. */
    void hedge(time_point now);

    /*! Handles an event or a whole response of an attempt: the other attempts are no longer needed. */
    void on_progress(attempt& it, time_point now);

    /*! Handles an attempt that ended without a response: another open attempt takes over, or the call is retried. */
    void on_attempt_failed(const attempt& it, std::string_view reason, bool uses_retry_budget);
    void end_attempt(attempt& it, call_outcome outcome);
    void retry(std::string_view reason, bool uses_retry_budget);

    /*! Waits until an endpoint can take a call that may have run or whose response has started. */
    void wait_for_endpoint(time_point now);

    void apply_endpoint_hints(const attempt& it);
    void report_lost_run(const attempt& it, time_point ended);

    /*! Reports the run of a silent attempt as lost, unless its endpoint has sent nothing since the call was sent: the
     * endpoint may then have failed before, so this run can't be the cause. */
    void report_silent_run(const attempt& it);

    /*! Tells whether the call is known to crash the endpoints that run it. */
    [[nodiscard]] bool is_known_to_crash_endpoints() const;
    void refuse_as_crashing();
    void send_events(attempt& it);
    void begin_stream(const attempt& it);

    /*! Records that an answer proved the shared parts of the prompt sound. */
    void note_parts_proven(attempt& by);
    void complete_stream(attempt& it);
    void complete_buffered(attempt& it);
    void handle_endpoint_error(attempt& it);
    void forward_response(attempt& it);

    /*! Withdraws the call from the dispatcher's queue, or ends its open attempts. */
    void withdraw();
    void give_up(std::string_view reason);

    /*! Tells whether received bytes of a response are still unread. */
    [[nodiscard]] bool has_unread_response();

    /*! Ends the call at its deadline. */
    void time_out();

    /*! Ends a call that may have run, with an endpoint's saved error response or else the given status and code. */
    void fail(int status, result_code code);
    void refuse(int status, result_code code, duration retry_after);
    [[nodiscard]] call_record record() const;
    [[nodiscard]] call_record record(const attempt& it) const;
    void finish(std::string_view outcome, int status);

    /*! Adds to the sums of this call's team, if its arrival was counted. */
    void note_activity(const team_activity_entry& amount);
    void note_begun(time_point now);
    void note_end(bool is_served, bool is_logged);
    [[nodiscard]] duration time_left(time_point now) const noexcept;

    /*! Tells whether the call may be sent again: no endpoint can have run it, or it may be repeated. */
    [[nodiscard]] bool can_run_again(time_point now) const noexcept;

public:
    /*! @brief Maximum size of a response, or of an incomplete event of a stream, that is buffered until complete. */
    static constexpr std::size_t max_buffered_response_bytes = std::size_t{8} << 20U;
    /*! @brief The memory of all responses is checked only when a call buffers more than this. */
    static constexpr std::size_t large_response_bytes = std::size_t{256} << 10U;
    /*! @brief Maximum number of endpoints tried before the call is given up. */
    static constexpr std::uint32_t max_sends = 4;
    /*! @brief Maximum number of endpoints tried before a stream that has started is cut. */
    static constexpr std::uint32_t max_sends_after_start = 8;
    /*! @brief How long a call that may have run, or whose response has started, waits for an endpoint. Callers abandon
     * a stream after 2 s without an event at the earliest. */
    static constexpr duration endpoint_wait_timeout = std::chrono::milliseconds{1'500};
    /*! @brief Retry-After of calls that this process can't finish before it stops, and the least one of calls refused
     * for overload, whose callers the balancer soon sends to other hosts. */
    static constexpr duration short_retry_after = std::chrono::milliseconds{50};
    /*! @brief Retry-After of other calls that no endpoint has run. */
    static constexpr duration default_retry_after = std::chrono::milliseconds{500};
    /*! @brief How often a call looks for another endpoint. */
    static constexpr duration endpoint_poll_interval = std::chrono::milliseconds{100};
    /*! @brief Maximum size of an endpoint's error response that is saved while another endpoint is tried. */
    static constexpr std::size_t max_saved_failure_bytes = std::size_t{64} << 10U;
    /*! @brief A call with less time left than this is not sent again. */
    static constexpr duration min_time_left = std::chrono::milliseconds{60};
    /*! @brief Reading the endpoint's stream pauses above this number of bytes waiting to be sent to the caller. */
    static constexpr std::size_t max_unsent_bytes = std::size_t{128} << 10U;

    /*! @brief Creates an exchange. @param owner Must outlive the exchange. @param caller Connection of the request.
     *  @param request The request. @param ticket Identifies the call. @param times Arrival of the request. */
    exchange(proxy& owner, caller_connection& caller, http_request request, ticket_id ticket,
             const request_times& times);

    /*! @brief Refuses the call, or passes it to the admission queue. */
    void start();

    /*! @brief Starts to process the call; the response may be sent within this function. */
    void begin(time_point now);

    /*! @brief Refuses the call because this host is overloaded, and closes the connection, since other hosts may have
     *  capacity. @param retry_after When the caller may retry. @param now Current time. */
    void reject_overloaded(duration retry_after, time_point now);

    /*! @brief An endpoint was chosen. */
    void placed(const endpoint_choice& choice);

    /*! @brief No endpoint can serve the call in time. */
    void refused(const refusal& why);

    /*! @brief The caller's connection ended. @param reason Why. */
    void on_caller_disconnected(channel_close_reason reason);

    /*! @brief Detects that the caller has disconnected before the event loop processes that event. */
    void detect_caller_disconnect();

    /*! @brief All bytes waiting for the caller were handed to the socket. */
    void on_caller_writable();

    /*! @brief Applies the timeouts. @param now Current time. */
    void check_timeouts(time_point now);

    /*! @brief Ends the call if a part of its prompt is blocked and its answer has not begun. */
    void on_part_blocked();

    /*! @brief Releases the locks of suspect prompt parts. */
    void release_part_locks();

    /*! @brief Ends the call because the process stops. */
    void abandon();

    // Events of an attempt.

    [[nodiscard]] bool on_head(attempt& it, const response_head& head);
    void on_body(attempt& it, std::string_view bytes);
    void on_complete(attempt& it);
    void on_failed(attempt& it, request_failure reason);

    /*! @brief Fails the attempt that buffers the most, to free its memory. */
    void drop_buffered_response();

    /*! @brief Bytes of responses that are buffered until they, or their current event, are complete. */
    [[nodiscard]] std::size_t buffered_response_bytes() const noexcept;

    /*! @brief Identifies the call across the caller's repeated attempts of it. Depends on the team. */
    [[nodiscard]] std::uint64_t fingerprint() const;

    /*! @brief Tells whether the fingerprint was computed. */
    [[nodiscard]] bool has_fingerprint() const noexcept { return fingerprint_.has_value(); }

    /*! @brief Size of the request's body. */
    [[nodiscard]] std::size_t body_bytes() const noexcept { return request_.body.size(); }

    /*! @brief The caller's team; empty before the call is admitted. */
    [[nodiscard]] const team_id& team() const noexcept { return team_; }

    /*! @brief Identifies the call within the router. */
    [[nodiscard]] ticket_id ticket() const noexcept { return ticket_; }

private:
    proxy* owner_;
    caller_connection* caller_;
    http_request request_;
    ticket_id ticket_;
    time_point arrived_at_;
    time_point received_at_; //!< Arrival of the last byte.
    call_options terms_{};
    std::shared_ptr<const route_config> config_{};
    const route* route_{};
    team_id team_{};
    service_id service_{};
    std::vector<service_part> shared_parts_{}; //!< Parts of the prompt that other calls may share.
    std::vector<std::uint64_t> part_locks_{};  //!< Keys of the locks held for suspect parts.
    std::vector<region_id> team_regions_{};
    time_point deadline_{};
    stage stage_{stage::waiting};
    bool is_waiting_for_turn_{};               //!< Waits for another copy of the call, or call with a suspect part.
    bool is_waiting_for_endpoint_{};           //!< Waits until an endpoint can take the call.
    std::set<endpoint_id> failed_endpoints_{}; //!< Endpoints that failed the call.
    std::set<endpoint_id> refused_by_{};       //!< Endpoints that did not run the call; they may take it later.
    std::uint32_t sends_{};
    std::uint32_t runs_{};     //!< Endpoints that may have run the call.
    endpoint_choice choice_{}; //!< The latest placement, or what a refused call waited for.
    call_attempts open_attempts_{};
    std::vector<std::shared_ptr<attempt>> attempts_{}; //!< Open attempts.
    std::optional<saved_failure> failure_{}; //!< An endpoint's error response, saved while another one is tried.
    bool has_proven_parts_{};                //!< An attempt proved the shared parts sound.
    bool response_started_{};                //!< The caller was sent the head of the response.
    std::optional<std::uint64_t> last_event_id_{};
    bool has_begun_before_{};                    //!< An earlier attempt of the caller is known to have brought events.
    std::optional<version_id> stream_version_{}; //!< The version that wrote the caller's events; only it may go on.
    std::optional<time_point> first_event_at_{};
    time_point next_poll_{};                             //!< When to look for another endpoint next.
    std::optional<time_point> without_endpoint_since_{}; //!< Start of the wait for an endpoint without progress.
    std::optional<team_rank> team_rank_{};               //!< At the latest placement or the refusal.
    double cost_{};                                      //!< Cost units, once the call was admitted.
    bool is_counted_{};                                  //!< Counted among the arrivals of its team.
    duration read_delay_{};                              //!< How long the request may have waited to be read.
    admission admitted_{};                               //!< Admission of the team when the call was submitted last.
    double ahead_ms_{};                                  //!< Expected wait behind other calls, if the call was refused.
    duration waited_{};                                  //!< From arrival to the latest placement.
    duration list_age_{};                                //!< Age of the endpoint list at that placement.
    std::string_view caller_end_{};                      //!< How the caller disconnected.
    mutable std::optional<std::uint64_t> fingerprint_{};
};

} // namespace dandelionbay
