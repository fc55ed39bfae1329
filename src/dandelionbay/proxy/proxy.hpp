#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/latency_histogram.hpp"
#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/dispatch/retry_window.hpp"
#include "dandelionbay/dispatch/round_pacer.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/gateway/stream_version_registry.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"
#include "dandelionbay/limit/part_crash_registry.hpp"
#include "dandelionbay/limit/suspect_call_locks.hpp"
#include "dandelionbay/proxy/accept_controller.hpp"
#include "dandelionbay/proxy/admission_queue.hpp"
#include "dandelionbay/proxy/admission_rate_limiter.hpp"
#include "dandelionbay/proxy/call_protocol.hpp"
#include "dandelionbay/proxy/event_loop_probe.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_connection.hpp"
#include "dandelionbay/proxy/listen_probe.hpp"
#include "dandelionbay/proxy/listener.hpp"
#include "dandelionbay/proxy/overload_detector.hpp"
#include "dandelionbay/proxy/read_delay_estimator.hpp"
#include "dandelionbay/proxy/refusal_time_meter.hpp"
#include "dandelionbay/proxy/team_activity.hpp"

namespace dandelionbay {

/*! @brief Settings of the data path. */
struct proxy_options {
    socket_address listen{};
    router_location place{};
    dispatch_limits dispatch{};
    retry_limits retry{};
    std::uint64_t max_buffered_bytes{std::uint64_t{24} << 20U}; //!< Limit for the bodies of all open requests together.
    std::uint64_t max_held_answer_bytes{std::uint64_t{24} << 20U}; //!< Limit for held and unsent answers together.
    std::size_t max_connections{}; //!< Above half of this limit, callers' connections close after their answer.
};

/*! @brief Objects that all parts of the data path share. */
struct proxy_environment {
    boost::asio::io_context* loop{};
    const clock* time{};
    bounded_log* log{};
    counters* metrics{};
    registry_view* view{};
    const call_protocol* protocol{};
};

/**
 * @brief Data path of a router: callers' connections, their calls, and connections to endpoints, on one event loop.
 */
class proxy final : public dispatch_listener {
    /*! An accepted connection that is not read yet. */
    struct accepted_connection {
        channel::tcp::socket socket;
        time_point arrived; //!< Earliest time at which its bytes can have arrived.
    };

    /*! A connection that ends once everything is sent; it keeps itself alive until then. */
    struct finishing_channel {
        std::weak_ptr<channel> connection{};
        time_point since{};
    };

    void accept(channel::tcp::socket socket);
    /*! Reads accepted connections for at most max_reading_time. */
    void read_accepted();

    /*! Updates the accept controller with the pending work and the time spent on refusals. */
    void update_accepting();
    /*! Closes or opens the port according to the accept controller. */
    void apply_accepting(time_point now);

    /*! Refuses the call of a new connection, which no route could begin in time, without parsing it as a request. */
    void refuse_unread(channel::tcp::socket socket);
    /*! Returns the maximum target latency of all routes; practically unlimited without a configuration. */
    [[nodiscard]] duration max_target_latency();
    void close_longest_idle(time_point now);
    void tick();
    void note_turn(duration late, duration refusal_lateness, time_point now);
    void check_exchanges(time_point now);
    /*! Begins or refuses the calls that were read, for at most max_decision_time each. */
    void start_pending_calls();
    void queue_refusals(const std::vector<ticket_id>& calls);
    void refuse_call(ticket_id ticket);
    void log_refusals(time_point now);

    /*! Returns the time after which a refused call may be repeated: callers return to the same host until the balancer
     *  sends them elsewhere. */
    [[nodiscard]] duration retry_delay(time_point now);
    void send_loop_probe();
    void note_probe_read();
    void check_broken_endpoints(time_point now);
    void endpoint_ended(const endpoint_process& it, std::string_view source);
    void note_loss(std::uint64_t call);
    /*! Blocks the prompt parts that the known losses prove to crash endpoints. */
    void review_parts();
    void note_own_part_changes(const part_changes& changes);
    /*! Ends the open calls with a blocked part whose answers have not begun. */
    void end_blocked_calls();

    /*! Closes the connection that has had the most time to deliver a large answer. @return False if there is none. */
    bool drop_oldest_unsent();

public:
    /*! @brief Timeout for connecting to an endpoint: several round trips between regions. */
    static constexpr std::chrono::milliseconds connect_timeout{400};

    /*! @brief Maximum time for which a turn begins calls, and for which it refuses calls; short because the next call
     * to be read may belong to a team with less service. */
    static constexpr duration max_decision_time = std::chrono::milliseconds{10};

    /*! @brief Maximum time for which a turn reads new connections. */
    static constexpr duration max_reading_time = round_pacer::max_round_time / 2;

    /*! @brief Minimum interval between log entries on refused calls. */
    static constexpr duration refusal_log_interval = std::chrono::seconds{1};

    /*! @brief Delay between copies of a call at routers of neighbouring ranks: the report of a loss takes one round of
     *  messages and a trip between regions. */
    static constexpr duration copy_delay_per_rank = std::chrono::milliseconds{200};
    /*! @brief Maximum delay of a copy. */
    static constexpr duration max_copy_delay = std::chrono::seconds{2};
    /*! @brief Maximum time after a loss for which calls with the same prompt parts wait. */
    static constexpr duration max_suspect_part_delay = std::chrono::milliseconds{300};

    /*! @brief Creates a data path. @param environment Its members must outlive the proxy. @param options Settings. */
    proxy(proxy_environment environment, proxy_options options);

    /*! @brief Sets the handler for calls that become refused, or no longer refused, because of their runs here. */
    void on_refusal_changed(std::function<void(std::uint64_t call)> handler) { refusal_changed_ = std::move(handler); }

    /*! @brief Sets the handler for prompt parts that become blocked by this router's decision, or unblocked. */
    void on_part_changed(std::function<void(const service_part& part)> handler) { part_changed_ = std::move(handler); }

    /*! @brief Starts to listen. @return Unavailable if the address cannot be bound or no sockets are available. */
    [[nodiscard]] absl::Status start();

    /*! @brief Begins to announce to callers that their connections end; calls that still arrive are served if they can
     *  finish in time. @param rotation_exit When the balancer should have noticed. @param end When the process ends. */
    void drain(time_point rotation_exit, time_point end) noexcept {
        draining_ = true;
        rotation_exit_at_ = rotation_exit;
        ends_at_ = end;
    }

    /**
     * @brief Returns whether a call that starts now can finish before the process ends: with certainty if it cannot
     * be repeated and is not a stream, and otherwise by its expected duration.
     * @param it Route of the call.
     * @param service Service that the call is sent to.
     * @param output_tokens Expected tokens of the answer.
     * @param limit Latest time at which the caller stops waiting.
     */
    [[nodiscard]] bool can_finish(const route& it, const service_id& service, std::uint32_t output_tokens,
                                  time_point limit) const;

    /*! @brief Records the time between two consecutive events of a stream. */
    void note_event_gap(duration gap) noexcept;

    /*! @brief Closes idle connections. @return Number of connections that are still busy. */
    std::size_t close_idle();

    /*! @brief Abandons all calls and closes all connections; written bytes are still sent while the event loop runs. */
    void stop();

    /*! @brief Closes a caller's connection once all written bytes are sent. */
    void finish(const std::shared_ptr<channel>& it);

    /*! @brief Returns the number of finished connections whose callers have not taken all bytes yet. */
    [[nodiscard]] std::size_t unsent_connections();

    /*! @brief Returns whether the process is about to end. */
    [[nodiscard]] bool draining() const noexcept { return draining_; }

    /*! @brief Returns whether callers should use other routers because this host cannot keep up. */
    [[nodiscard]] bool is_overloaded() const noexcept { return overload_detector_.is_overloaded(); }

    /*! @brief Returns the time since which endpoints are read in time; silence before it does not count against them.
     */
    [[nodiscard]] time_point reading_since() const noexcept { return reading_since_; }

    /*! @brief Returns the mean lateness of the event loop. */
    [[nodiscard]] duration mean_lateness() const noexcept { return overload_detector_.mean_lateness(); }

    /*! @brief Returns the maximum time for which bytes that are read now may have waited. */
    [[nodiscard]] duration read_delay() const noexcept {
        return std::max(overload_detector_.read_delay(now()), read_delay_estimator_.delay(now()));
    }

    /*! @brief Returns the maximum number of calls that this host begins in a second, or -1 while it is not limited. */
    [[nodiscard]] std::int64_t most_begun_per_s() const noexcept {
        return admission_rate_limiter_.is_limited() ? static_cast<std::int64_t>(admission_rate_limiter_.calls_per_s())
                                                    : -1;
    }

    /*! @brief Adds a call that this router may serve; it begins or is refused once everything that arrived before now
     * has been read. */
    void enqueue_call(const pending_call& it) { admission_queue_.add(it); }

    /*! @brief Records that bytes of a caller were read. */
    void note_reading();

    /*! @brief Returns whether callers may send further requests on their connections. */
    [[nodiscard]] bool should_keep_alive() const noexcept {
        return !draining_ && !is_overloaded() && connections() <= options_.max_connections / 2;
    }

    /*! @brief Creates the exchange for a complete request. @return The exchange, which is not started yet. */
    [[nodiscard]] std::shared_ptr<exchange> open_exchange(caller_connection& caller, http_request request,
                                                          const request_times& times);

    /*! @brief Returns a new ticket for an attempt of a call. */
    [[nodiscard]] ticket_id new_ticket() noexcept { return ++last_ticket_; }

    /*! @brief Removes an exchange that has ended. */
    void close_exchange(ticket_id ticket);

    /*! @brief Removes a caller's connection that has ended. */
    void close_caller(const std::shared_ptr<caller_connection>& it);

    /*! @brief Takes an idle connection to an endpoint or opens a new one. @param to The endpoint. @param max_idle
     * Maximum time for which a reused connection may have been idle. */
    [[nodiscard]] std::shared_ptr<http_connection> connect(const endpoint_choice& to, duration max_idle);

    /*! @brief Counts bytes of calls sent to an endpoint, by whether it is in this region. */
    void count_sent_bytes(const endpoint_id& to, std::size_t bytes);

    /*! @brief Records that a connection to an endpoint failed. */
    void note_unreachable(const endpoint_id& id);

    /**
     * @brief Records a run without a complete answer, and probes whether its endpoint's process has ended.
     * @param call Fingerprint of the call.
     * @param run The run.
     * @param address Address of the run's endpoint.
     * @param unproven_parts Shared parts of the prompt; empty if the answer had proved them.
     */
    void note_run_lost(std::uint64_t call, const lost_run& run, const socket_address& address,
                       const std::vector<service_part>& unproven_parts);

    /*! @brief Records that an answer proved the parts of its prompt sound. @param parts Shared parts of the prompt. */
    void note_parts_proven(const std::vector<service_part>& parts);

    /*! @brief Logs prompt parts that a message blocked or unblocked, and ends calls that are refused from now on.
     *  @param changes The parts. @param from Source of the message. */
    void note_part_changes(const part_changes& changes, std::string_view from);

    /*! @brief Sets the time within which all routers have reported their runs of a loss. */
    void set_report_delay(duration delay) noexcept { report_delay_ = delay; }

    /*! @brief Returns the time after a loss for which calls with the same prompt parts wait for reports of it. */
    [[nodiscard]] duration suspect_part_delay() const noexcept {
        return std::min(report_delay_, max_suspect_part_delay);
    }

    /*! @brief Records that an endpoint answered a call successfully. @param call Fingerprint of the call. */
    void note_run_answered(std::uint64_t call);

    /**
     * @brief Returns the time after its arrival for which a copy of a call waits for the outcome of copies at other
     * routers.
     * @param call Fingerprint of the call.
     * @return Zero unless so many endpoints ended while running the call that the call, or a common fault, may be the
     * cause.
     */
    [[nodiscard]] duration copy_delay(std::uint64_t call) const;

    /*! @brief Decides about waiting calls after a change of the network, the fleet or the clock. */
    void pump();

    /*! @brief Returns the retry window of a service. */
    [[nodiscard]] retry_window& retries(const service_id& service);

    /*! @brief Picks a service at random by the route's weights. */
    [[nodiscard]] service_id pick_service(const route& it);

    /*! @brief Returns the meter of the time spent on refused calls. */
    [[nodiscard]] refusal_time_meter& refusal_meter() noexcept { return refusal_meter_; }

    [[nodiscard]] const proxy_environment& environment() const noexcept { return environment_; }
    [[nodiscard]] const proxy_options& options() const noexcept { return options_; }
    [[nodiscard]] dispatcher& dispatch() noexcept { return dispatcher_; }
    [[nodiscard]] connection_pool& pool() noexcept { return pool_; }

    /*! @brief Returns the calls whose runs ended with their endpoints, here and at peers. */
    [[nodiscard]] lost_run_registry& losses() noexcept { return losses_; }
    [[nodiscard]] const lost_run_registry& losses() const noexcept { return losses_; }

    /*! @brief Returns the prompt parts that crash endpoints, and the evidence. */
    [[nodiscard]] part_crash_registry& part_crashes() noexcept { return part_crashes_; }
    [[nodiscard]] const part_crash_registry& part_crashes() const noexcept { return part_crashes_; }

    /*! @brief Returns the versions at which streams began. */
    [[nodiscard]] stream_version_registry& stream_versions() noexcept { return stream_versions_; }
    [[nodiscard]] suspect_call_locks& suspect_locks() noexcept { return suspect_locks_; }
    [[nodiscard]] time_point now() const noexcept { return environment_.time->now(); }
    [[nodiscard]] std::size_t connections() const noexcept { return callers_.size() + accepted_.size(); }
    [[nodiscard]] std::size_t open_calls() const noexcept { return exchanges_.size(); }

    /*! @brief Returns the bytes of bodies that open requests hold. */
    [[nodiscard]] std::uint64_t buffered_bytes() const noexcept { return buffered_bytes_; }

    /*! @brief Returns the bytes of answers that are held until they are complete. */
    [[nodiscard]] std::uint64_t held_answer_bytes() const;

    /*! @brief Returns the bytes of answers that callers have not taken yet. */
    [[nodiscard]] std::uint64_t unsent_bytes() const;

    /*! @brief Drops answers while held and unsent answers exceed their limit: first the large answers that their
     * callers have left untaken for the longest time, then the largest incomplete one. */
    void limit_held_answers();

    /*! @brief Returns the sums of what each team asked for and got since they were last logged. */
    [[nodiscard]] team_activity& activity() noexcept { return activity_; }

    /*! @brief Histograms of answered calls: time to the first event or the whole answer, and time to the end. */
    [[nodiscard]] latency_histogram& first_answer() noexcept { return first_answer_; }
    [[nodiscard]] latency_histogram& whole_answer() noexcept { return whole_answer_; }

    void placed(ticket_id ticket, const endpoint_choice& choice) override;
    void refused(ticket_id ticket, const refusal& why) override;

private:
    proxy_environment environment_;
    proxy_options options_;
    dispatcher dispatcher_;
    connection_pool pool_{};
    lost_run_registry losses_{};
    part_crash_registry part_crashes_{};
    stream_version_registry stream_versions_;
    duration report_delay_{std::chrono::milliseconds{100}};
    suspect_call_locks suspect_locks_{};
    std::map<endpoint_process, std::unique_ptr<listen_probe>> probes_{};
    std::function<void(std::uint64_t call)> refusal_changed_{};
    std::function<void(const service_part& part)> part_changed_{};
    std::mt19937_64 random_;
    listener listener_;
    boost::asio::steady_timer timer_;
    std::set<std::shared_ptr<caller_connection>> callers_{};
    std::deque<accepted_connection> accepted_{};
    std::shared_ptr<const route_config> max_target_config_{}; //!< Configuration that max_target_latency_ belongs to.
    duration max_target_latency_{};
    std::vector<finishing_channel> finishing_{};
    std::unordered_map<ticket_id, std::shared_ptr<exchange>> exchanges_{};
    std::map<service_id, retry_window> retries_{};
    team_activity activity_{};
    latency_histogram first_answer_{};
    latency_histogram whole_answer_{};
    ticket_id last_ticket_{};
    std::uint64_t buffered_bytes_{};
    time_point housekeeping_at_{};
    time_point reading_since_{};
    bool is_reading_late_{}; //!< Whether the last turn was too late to read endpoints' answers in time.
    time_point next_idle_close_{};
    round_pacer pacer_{};
    overload_detector overload_detector_{};
    read_delay_estimator read_delay_estimator_;
    event_loop_probe event_loop_probe_;
    admission_queue admission_queue_{};
    admission_rate_limiter admission_rate_limiter_{};
    accept_controller accept_controller_{};
    refusal_time_meter refusal_meter_{};
    time_point paused_at_{}; //!< When the port was closed.
    bool is_listening_{};
    bool was_under_pressure_{};                          //!< As last written to the log.
    std::deque<ticket_id> refusal_queue_{};              //!< Calls to refuse as soon as there is time.
    std::map<team_id, std::uint64_t> refused_by_team_{}; //!< Calls refused since the last log entry.
    std::uint64_t refused_in_turn_{};
    std::uint64_t begun_in_turn_{};
    time_point refusals_logged_at_{};
    double event_gap_ms_{50.0}; //!< Moving average; an engine step takes at least 5 ms, an event several steps.
    time_point rotation_exit_at_{};
    time_point ends_at_{};
    bool draining_{};
    bool stopped_{};
};

} // namespace dandelionbay
