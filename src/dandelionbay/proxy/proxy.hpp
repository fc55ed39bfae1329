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
#include "dandelionbay/limit/lost_run_registry.hpp"
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

namespace dandelionbay {

/*! @brief Settings of the data path. */
struct proxy_options {
    socket_address listen{};
    router_location place{};
    dispatch_limits dispatch{};
    retry_limits retry{};
    std::uint64_t max_buffered_bytes{std::uint64_t{24} << 20U};    //!< Bodies of all open requests together.
    std::uint64_t max_held_answer_bytes{std::uint64_t{24} << 20U}; //!< Parts of unfinished answers together, in bytes.
    std::size_t max_connections{}; //!< Connections of callers; above half of them none is kept after its answer.
};

/*! @brief What all parts of the data path share. */
struct proxy_environment {
    boost::asio::io_context* loop{};
    const clock* time{};
    bounded_log* log{};
    counters* metrics{};
    registry_view* view{};
    const call_protocol* protocol{};
};

/**
 * @brief The data path of a router: callers' connections, their calls, and connections to endpoints, on one event loop.
 */
class proxy final : public dispatch_listener {
    /*! A connection that was accepted and is not read yet. */
    struct accepted_connection {
        channel::tcp::socket socket;
        time_point came; //!< What it brings did not come before.
    };

    /*! A connection that ends when all is sent; it holds itself until then. */
    struct finishing_channel {
        std::weak_ptr<channel> connection{};
        time_point since{};
    };

    void accept(channel::tcp::socket socket);
    /*! Reads new connections, as far as a turn's time allows. */
    void read_accepted();

    /*! Decides whether connections are taken, by what there is to do and what refusing has taken. */
    void watch_gate();
    /*! Closes or opens the port as was decided. */
    void follow_gate(time_point now);

    /*! Refuses a new connection's call, which no route would begin in time, without reading it as a request. */
    void shed(channel::tcp::socket socket);
    [[nodiscard]] duration longest_target();
    void close_longest_idle(time_point now);
    void tick();
    void note_turn(duration late, duration pressure, time_point now);
    void check_all(time_point now);
    /*! Decides about the calls that were read, as far as a turn's time allows. */
    void decide_read_calls();
    void turn_away(const std::vector<ticket_id>& calls);
    void turn_away(ticket_id ticket);
    void tell_turned_away(time_point now);

    /*! When a call that is turned away may come again: callers come back to the same host until the balancer sends them
     * elsewhere. */
    [[nodiscard]] duration return_of_turned_away(time_point now);
    void send_loop_probe();
    void note_probe_read();
    void check_broken_endpoints(time_point now);
    void endpoint_ended(const endpoint_process& it, std::string_view from);
    void note_loss(std::uint64_t call);

    /*! Ends the connection that has had the most time to take a large answer. @return False if there is none. */
    bool drop_oldest_unsent();

public:
    /*! @brief Longest time to make a connection to an endpoint: several round trips between regions. */
    static constexpr std::chrono::milliseconds connect_timeout{400};

    /*! @brief Time for which a turn begins calls, and for which it refuses some: the next call to be read may be of a
     * team that goes first. */
    static constexpr duration max_decision_time = std::chrono::milliseconds{10};

    /*! @brief Time for which a turn reads new connections. */
    static constexpr duration max_reading_time = round_pacer::max_round_time / 2;

    /*! @brief Interval of the lines that tell how many calls were turned away. */
    static constexpr duration refusal_log_interval = std::chrono::seconds{1};

    /*! @brief Time between copies of a call at routers of neighbouring ranks: news of a loss takes one round of
     * messages and a trip between regions. */
    static constexpr duration copy_delay_per_rank = std::chrono::milliseconds{200};
    /*! @brief Longest such wait. */
    static constexpr duration max_copy_delay = std::chrono::seconds{2};

    /*! @brief Creates it. @param environment All members outlive it. @param options Settings. */
    proxy(proxy_environment environment, proxy_options options);

    /*! @brief Names who is told which call is refused, or not refused any more, after what happened to it here. */
    void on_refusal_changed(std::function<void(std::uint64_t call)> handler) { refusal_changed_ = std::move(handler); }

    /*! @brief Listens. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start();

    /*! @brief Announces the end of connections to callers; calls that come still are served if they can end before.
     *  @param late When the balancer should have noticed. @param until When the process ends. */
    void drain(time_point late, time_point until) noexcept {
        draining_ = true;
        late_at_ = late;
        ends_at_ = until;
    }

    /**
     * @brief Tells whether a call that starts now is over before the process ends: for sure, if it can't be repeated
     * and is not a stream, and else as far as can be expected.
     * @param limit When its caller stops to wait at the latest.
     */
    [[nodiscard]] bool can_finish(const route& it, const service_id& service, std::uint32_t output_tokens,
                                  time_point limit) const;

    /*! @brief Two events of a stream came one after the other. */
    void note_event_gap(duration gap) noexcept;

    /*! @brief Closes connections on which nothing happens. @return Connections that are still busy. */
    std::size_t close_idle();

    /*! @brief Ends everything; what was written is still sent while the event loop runs. */
    void stop();

    /*! @brief Ends a caller's connection once all that was written is sent. */
    void finish(const std::shared_ptr<channel>& it);

    /*! @brief Connections that have ended but for bytes that their callers have not taken yet. */
    [[nodiscard]] std::size_t unsent_connections();

    /*! @brief Tells whether it is about to end. */
    [[nodiscard]] bool draining() const noexcept { return draining_; }

    /*! @brief Tells whether callers should go to other routers because this host can't keep up. */
    [[nodiscard]] bool is_overloaded() const noexcept { return gauge_.is_overloaded(); }

    /*! @brief Silence of an endpoint before this moment says nothing: this router did not listen. */
    [[nodiscard]] time_point reading_since() const noexcept { return attentive_since_; }

    /*! @brief How late the event loop runs. */
    [[nodiscard]] duration mean_lateness() const noexcept { return gauge_.mean_lateness(); }

    /*! @brief Longest time for which bytes that are read now may have waited to be read. */
    [[nodiscard]] duration read_delay() const noexcept {
        return std::max(gauge_.read_delay(now()), horizon_.delay(now()));
    }

    /*! @brief Calls that this host begins in a second at most. @return -1 while that is not limited. */
    [[nodiscard]] std::int64_t most_begun_per_s() const noexcept {
        return intake_pacer_.is_limited() ? static_cast<std::int64_t>(intake_pacer_.calls_per_s()) : -1;
    }

    /*! @brief A call was read that this router may serve; decided about once all that came before now is read. */
    void enqueue_call(const pending_call& it) { intake_.add(it); }

    /*! @brief Bytes of a caller were read. */
    void note_reading();

    /*! @brief Tells whether callers may send further requests on their connections. */
    [[nodiscard]] bool should_keep_alive() const noexcept {
        return !draining_ && !is_overloaded() && connections() <= options_.max_connections / 2;
    }

    /*! @brief A caller's request is complete. @return The new exchange; started by the caller of this. */
    [[nodiscard]] std::shared_ptr<exchange> open_exchange(caller_connection& caller, http_request request,
                                                          const request_times& came);

    /*! @brief Names one more attempt of a call. */
    [[nodiscard]] ticket_id new_ticket() noexcept { return ++last_ticket_; }

    /*! @brief An exchange ended. */
    void close_exchange(ticket_id ticket);

    /*! @brief A caller's connection ended. */
    void close_caller(const std::shared_ptr<caller_connection>& it);

    /*! @brief Takes an idle connection to an endpoint or makes a new one. */
    [[nodiscard]] std::shared_ptr<http_connection> connect(const endpoint_choice& to, duration longest_idle);

    /*! @brief Counts bytes of calls sent to an endpoint, by whether it is in this region. */
    void count_sent_bytes(const endpoint_id& to, std::size_t bytes);

    /*! @brief A connection to an endpoint could not be made. */
    void note_unreachable(const endpoint_id& id);

    /**
     * @brief A run got no whole answer; finds out whether its endpoint's process has ended.
     * @param call Fingerprint.
     * @param run The run.
     * @param address Of its endpoint.
     */
    void note_run_lost(std::uint64_t call, const lost_run& run, const socket_address& address);

    /*! @brief An endpoint answered a call with success. @param call Fingerprint. */
    void note_run_answered(std::uint64_t call);

    /**
     * @brief Time after its arrival for which a copy of a call waits for what copies at other routers show.
     * @param call Fingerprint.
     * @return Zero unless so many endpoints ended at once under the call that one fault may be the reason, or the call.
     */
    [[nodiscard]] duration copy_delay(std::uint64_t call) const;

    /*! @brief The network, the fleet or the clock moved on: decides about waiting calls. */
    void pump();

    /*! @brief Repeats of calls at a service. */
    [[nodiscard]] retry_window& retries(const service_id& service);

    /*! @brief Picks a service by the route's weights. */
    [[nodiscard]] service_id pick_service(const route& it);

    /*! @brief What goes into calls that are refused. */
    [[nodiscard]] refusal_time_meter& refusal_meter() noexcept { return work_; }

    [[nodiscard]] const proxy_environment& environment() const noexcept { return environment_; }
    [[nodiscard]] const proxy_options& options() const noexcept { return options_; }
    [[nodiscard]] dispatcher& dispatch() noexcept { return dispatcher_; }
    [[nodiscard]] connection_pool& pool() noexcept { return pool_; }

    /*! @brief Calls whose runs ended with their endpoints, here and at peers. */
    [[nodiscard]] lost_run_registry& losses() noexcept { return losses_; }
    [[nodiscard]] suspect_call_locks& turns() noexcept { return turns_; }
    [[nodiscard]] time_point now() const noexcept { return environment_.time->now(); }
    [[nodiscard]] std::size_t connections() const noexcept { return callers_.size() + accepted_.size(); }
    [[nodiscard]] std::size_t open_calls() const noexcept { return exchanges_.size(); }

    /*! @brief Bytes of bodies that open requests hold. */
    [[nodiscard]] std::uint64_t buffered_bytes() const noexcept { return buffered_; }

    /*! @brief Bytes of answers that are held until they are complete. */
    [[nodiscard]] std::uint64_t held_answer_bytes() const;

    /*! @brief Bytes of answers that callers have not taken yet. */
    [[nodiscard]] std::uint64_t unsent_bytes() const;

    /*! @brief Gives up answers while all that are held or not taken yet need too much memory: first large ones that
     * their callers have not taken for the longest time, then the largest that is not complete. */
    void limit_held_answers();

    /*! @brief Time to the first event or to the whole answer, and time to the end, of answered calls. */
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
    suspect_call_locks turns_{};
    std::map<endpoint_process, std::unique_ptr<listen_probe>> probes_{};
    std::function<void(std::uint64_t call)> refusal_changed_{};
    std::mt19937_64 random_;
    listener listener_;
    boost::asio::steady_timer timer_;
    std::set<std::shared_ptr<caller_connection>> callers_{};
    std::deque<accepted_connection> accepted_{};
    std::shared_ptr<const route_config> targets_of_{}; //!< Configuration whose longest target is known.
    duration longest_target_{};
    std::vector<finishing_channel> finishing_{};
    std::unordered_map<ticket_id, std::shared_ptr<exchange>> exchanges_{};
    std::map<service_id, retry_window> repeats_{};
    latency_histogram first_answer_{};
    latency_histogram whole_answer_{};
    ticket_id last_ticket_{};
    std::uint64_t buffered_{};
    time_point expired_{};
    time_point attentive_since_{};
    bool inattentive_{}; //!< The last turn came so late that endpoints' answers were not read in time.
    time_point next_closing_{};
    round_pacer pacer_{};
    overload_detector gauge_{};
    read_delay_estimator horizon_;
    event_loop_probe mark_;
    admission_queue intake_{};
    admission_rate_limiter intake_pacer_{};
    accept_controller gate_{};
    refusal_time_meter work_{};
    time_point closed_at_{}; //!< When it took no connections any more.
    bool listens_{};
    bool pressed_{};                                 //!< Was told by the log.
    std::deque<ticket_id> late_{};                   //!< Calls that are turned away as soon as there is time.
    std::map<team_id, std::uint64_t> turned_away_{}; //!< Calls since the last line on them.
    std::uint64_t turned_away_in_turn_{};
    std::uint64_t begun_in_turn_{};
    time_point turned_away_told_{};
    double event_gap_ms_{50.0}; //!< Moving average; an engine's step takes 5 ms and more, and an event some steps.
    time_point late_at_{};
    time_point ends_at_{};
    bool draining_{};
    bool stopped_{};
};

} // namespace dandelionbay
