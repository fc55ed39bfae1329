#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/proxy/attempt.hpp"
#include "dandelionbay/proxy/call_attempts.hpp"
#include "dandelionbay/proxy/call_protocol.hpp"
#include "dandelionbay/proxy/call_record.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_connection.hpp"

namespace dandelionbay {

/*! @brief When a request came, at the latest. */
struct request_times {
    time_point first{}; //!< Its first byte: its time counts from here.
    time_point last{};  //!< Its last byte: what it waited for until then was its caller.

    friend bool operator==(const request_times&, const request_times&) = default;
};

/**
 * @brief One call of a caller: from its request through one or more endpoints to the end of its answer.
 *
 * Whether an endpoint may have run the call is kept with it, so that a refusal that says "not run" is true and a call
 * that may not be repeated is sent again only while no endpoint can have run it. A call whose endpoint is silent is
 * sent to another one too, and keeps both until one of them goes on.
 */
class exchange final : public std::enable_shared_from_this<exchange> {
    enum class stage : std::uint8_t { waiting, running, done };
    struct kept_failure {
        response_head head{};
        std::string body{};
    };

    /*! Why a call is not sent to the endpoint that was chosen for it. */
    enum class send_bar : std::uint8_t { none, caller_left, too_late, access_changed, endpoint_unfit, stopping };

    [[nodiscard]] bool admit(time_point now);

    /*! Finds its route and team in the configuration in force; refuses it if they are not there. */
    [[nodiscard]] bool find_access(time_point now);

    /*! Tells whether the configuration in force serves it as the one did under which it was admitted. */
    [[nodiscard]] bool access_holds(time_point now);

    /*! Judges all that may have changed since it was admitted and placed. To be asked when its bytes can be written. */
    [[nodiscard]] send_bar bar_to(const endpoint_choice& choice, time_point now);

    /*! Ends it, or looks for another endpoint, because it is not sent to the one that was chosen. */
    void not_sent(send_bar why, time_point now);

    /*! The request as it is sent to an attempt's endpoint now; empty if it is not to be sent any more. */
    [[nodiscard]] std::string compose(const attempt& it);
    [[nodiscard]] work_item work() const;
    void submit(time_point now);

    /*! Tells whether it may run now: unless a run of the call was lost, or if this copy of it gets the turn. */
    [[nodiscard]] bool take_turn(time_point now);

    /*! Waits for the turn of this copy of the call. */
    void await_turn();

    /*! Goes on if this copy has the turn now, or shall not run any more. */
    void check_turn(time_point now);

    /*! Sends it to an endpoint: as its only attempt, or beside one that is silent. */
    void send_to(ticket_id ticket, const endpoint_choice& choice, time_point now);
    [[nodiscard]] std::string request_bytes(const endpoint_choice& choice, time_point now) const;
    [[nodiscard]] duration fresh_connection_limit() const noexcept;
    [[nodiscard]] silence_limits silence_limits_for(const endpoint_choice& choice) const;

    /*! Tells whether an attempt's endpoint sends nothing for longer than it should. */
    [[nodiscard]] bool silent(const attempt& it, time_point now) const;

    /*! Asks another endpoint beside the silent ones, if one takes the call at once. */
    void ask_another(time_point now);

    /*! An attempt brought an event or a whole answer: the others are not needed any more. */
    void went_on(attempt& it, time_point now);

    /*! An attempt that has ended brought nothing: another one has the call, or it is tried again. */
    void attempt_failed(const attempt& it, std::string_view reason, bool counted);
    void end_attempt(attempt& it, call_outcome end);
    void try_again(std::string_view reason, bool counted);

    /*! Waits for an endpoint, since there is none for a call that may have run or whose answer has begun. */
    void await_endpoint(time_point now);

    void note_wishes(const attempt& it);
    void note_lost_run(const attempt& it, time_point ended);

    /*! A run whose endpoint was not heard since it was sent can't have ended it: that may have fallen dark before. */
    void note_silent_run(const attempt& it);

    /*! Tells whether endpoints are known to end when they run the call. */
    [[nodiscard]] bool crashes_endpoints() const;
    void refuse_as_crashing();
    void send_events(attempt& it);
    void begin_stream(const attempt& it);
    void complete_stream(attempt& it);
    void complete_whole(attempt& it);
    void complete_failure(attempt& it);
    void answer_whole(attempt& it);
    void leave();
    void give_up(std::string_view reason);

    /*! Tells whether bytes of an answer have come that were not read yet. */
    [[nodiscard]] bool answer_waits();

    /*! Ends it at its time limit. */
    void time_out();

    /*! Ends a call that may have run: with what an endpoint said of its failure, if one did, or the status and code. */
    void fail(int status, result_code code);
    void refuse(int status, result_code code, duration retry_after);
    [[nodiscard]] call_record record() const;
    [[nodiscard]] call_record record(const attempt& it) const;
    void finish(std::string_view outcome, int status);
    [[nodiscard]] duration time_left(time_point now) const noexcept;

    /*! Tells whether another endpoint may be asked: no endpoint can have run the call, or it may be repeated. */
    [[nodiscard]] bool may_run_again(time_point now) const noexcept;

public:
    /*! @brief Answers up to this size are held back until they are complete; a stream is not. */
    static constexpr std::size_t max_buffered_response_bytes = std::size_t{8} << 20U;
    /*! @brief The memory of all answers is looked at only when a call holds more than this. */
    static constexpr std::size_t large_response_bytes = std::size_t{256} << 10U;
    /*! @brief Endpoints that are asked before the call ends as not run. */
    static constexpr std::uint32_t max_sends = 4;
    /*! @brief Endpoints that are asked before a stream that has begun is cut. */
    static constexpr std::uint32_t max_sends_after_start = 8;
    /*! @brief Time for which a call that may have run, or whose answer has begun, waits for an endpoint: callers leave
     * a stream after 2 s without an event at the earliest. */
    static constexpr duration longest_endpoint_wait = std::chrono::milliseconds{1'500};
    /*! @brief When a call that this process can't finish may come again, or one that it can't begin in time while the
     * balancer sends new connections elsewhere. */
    static constexpr duration short_retry_after = std::chrono::milliseconds{50};
    /*! @brief How often a call looks for another endpoint. */
    static constexpr duration look_interval = std::chrono::milliseconds{100};
    /*! @brief Answers of endpoints that failed are kept up to this size, in bytes, while another endpoint is asked. */
    static constexpr std::size_t kept_failure_bytes = std::size_t{64} << 10U;
    /*! @brief A call with less time left is not sent again. */
    static constexpr duration least_time = std::chrono::milliseconds{60};
    /*! @brief Unsent bytes to the caller at which the endpoint's stream is not read on. */
    static constexpr std::size_t unsent_limit = std::size_t{128} << 10U;

    /*! @brief Creates it. @param owner Outlives it. @param caller Null once the caller is gone. */
    exchange(proxy& owner, caller_connection& caller, http_request request, ticket_id ticket,
             const request_times& came);

    /*! @brief Refuses the call, or hands it over to be decided about. */
    void start();

    /*! @brief This host begins the call; the answer may come at once. */
    void begin(time_point now);

    /*! @brief Refuses it because this host is too late for it, and ends the connection: other hosts may have time.
     *  @param retry_after When its caller may come again. */
    void reject_overloaded(duration retry_after, time_point now);

    /*! @brief An endpoint was chosen. */
    void placed(const endpoint_choice& choice);

    /*! @brief No endpoint can serve it in time. */
    void refused(const refusal& why);

    /*! @brief The caller's connection ended. @param end How. */
    void caller_gone(channel_close_reason end);

    /*! @brief Finds out whether the caller has left, although the event loop has not come to that yet. */
    void detect_caller_disconnect();

    /*! @brief The caller took what was written. */
    void caller_ready();

    /*! @brief Looks at time limits. @param now Time. */
    void check_timeouts(time_point now);

    /*! @brief Ends it because the process stops. */
    void abandon();

    // What comes back on an attempt.

    [[nodiscard]] bool on_head(attempt& it, const response_head& head);
    void on_body(attempt& it, std::string_view bytes);
    void on_complete(attempt& it);
    void on_failed(attempt& it, request_failure why);

    /*! @brief Gives up the part of an answer that is held. */
    void drop_buffered_response();

    /*! @brief Bytes of its answers that are held until they, or an event of them, are complete. */
    [[nodiscard]] std::size_t buffered_response_bytes() const noexcept;

    /*! @brief Names the call; the caller's further attempts of it have the same name. Depends on the team. */
    [[nodiscard]] std::uint64_t fingerprint() const;

    /*! @brief Tells whether the fingerprint was used. */
    [[nodiscard]] bool has_fingerprint() const noexcept { return fingerprint_.has_value(); }

    /*! @brief Bytes of the request's body. */
    [[nodiscard]] std::size_t body_bytes() const noexcept { return request_.body.size(); }

    /*! @brief Its team, once it was admitted. */
    [[nodiscard]] const team_id& team() const noexcept { return team_; }

    /*! @brief Its name within the router. */
    [[nodiscard]] ticket_id ticket() const noexcept { return ticket_; }

private:
    proxy* owner_;
    caller_connection* caller_;
    http_request request_;
    ticket_id ticket_;
    time_point arrived_;
    time_point whole_; //!< When its last byte came.
    call_options terms_{};
    std::shared_ptr<const route_config> config_{};
    const route* route_{};
    team_id team_{};
    service_id service_{};
    std::vector<region_id> team_regions_{};
    time_point limit_{};
    stage stage_{stage::waiting};
    bool awaits_turn_{};                 //!< It waits for another copy of the call.
    bool awaits_endpoint_{};             //!< It waits until an endpoint takes it.
    std::set<endpoint_id> excluded_{};   //!< Endpoints that failed it.
    std::set<endpoint_id> refused_by_{}; //!< Endpoints that did not run it; they may take it later.
    std::uint32_t sends_{};
    std::uint32_t runs_{};     //!< Endpoints that may have run it.
    endpoint_choice choice_{}; //!< The newest placement, or what a refused call waited for.
    call_attempts open_{};
    std::vector<std::shared_ptr<attempt>> attempts_{}; //!< The open ones.
    std::optional<kept_failure> failure_{};            //!< What an endpoint answered before another one was asked.
    bool begun_{};                                     //!< The caller has the head of the answer.
    std::optional<std::uint64_t> last_event_{};
    std::optional<time_point> first_event_at_{};
    time_point next_look_{};                       //!< When it may look for another endpoint again.
    std::optional<time_point> without_endpoint_{}; //!< Since when it has waited for one without going on.
    std::optional<team_rank> team_rank_{};         //!< At the newest placement or the refusal.
    double cost_{};                                //!< Cost units, once it was submitted.
    duration read_late_{};                         //!< Time for which its bytes may have waited to be read.
    double ahead_ms_{};                            //!< Expected wait behind other calls, if it was refused.
    duration waited_{};                            //!< From the arrival to the newest placement.
    duration list_age_{};                          //!< Age of the list of endpoints at that placement.
    std::string_view caller_end_{};                //!< How the caller left.
    mutable std::optional<std::uint64_t> fingerprint_{};
};

} // namespace dandelionbay
