#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/dispatch/endpoint_selector.hpp"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/dispatch/overload_estimator.hpp"
#include "dandelionbay/dispatch/router_rank.hpp"
#include "dandelionbay/dispatch/team_usage.hpp"
#include "dandelionbay/dispatch/work.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/gateway/stream_version_registry.hpp"

namespace dandelionbay {

/*! @brief How a placed call ended. */
enum class call_outcome : std::uint8_t {
    answered,
    failed,    //!< The endpoint failed.
    not_needed //!< The same call runs elsewhere; its team is charged only if the answer had started.
};

/*! @brief Receives the decisions of a dispatcher. */
class dispatch_listener {
public:
    dispatch_listener() = default;
    dispatch_listener(const dispatch_listener&) = delete;
    dispatch_listener(dispatch_listener&&) = delete;
    dispatch_listener& operator=(const dispatch_listener&) = delete;
    dispatch_listener& operator=(dispatch_listener&&) = delete;
    virtual ~dispatch_listener() = default;

    /*! @brief A call is to be sent now. The dispatcher counts it as in flight until ended() is called. */
    virtual void placed(ticket_id ticket, const endpoint_choice& choice) = 0;

    /*! @brief A call can't be served in time and was not sent. */
    virtual void refused(ticket_id ticket, const refusal& why) = 0;
};

/**
 * @brief Decides for each call which endpoint runs it, whether it waits, or whether it is refused.
 *
 * Calls that share a prompt prefix are routed to the endpoint that has it cached, unless that endpoint is so far behind
 * that prefilling the prompt elsewhere is faster. Calls are queued here rather than in the endpoints, which serve in
 * order of arrival: here the team with the least recent usage is served first. A call that can't be served within its
 * target is refused immediately. While calls wait at the engines, a team that asks for more than its share is admitted
 * in part, at the same rate at all routers.
 */
class dispatcher {
    struct waiting_call {
        work_item item{};
        time_point submitted{};
        std::optional<time_point> deadline{}; //!< Set when endpoints are first selected for the call.
        double best_prefill_ms{};
    };
    struct placed_call {
        endpoint_id endpoint{};
        team_id team{};
        service_id service{};
        bool has_prompt{};
        double cost{};
        time_point placed_at{};
        time_point arrived{};
        duration target{};
        bool is_started{};
    };
    struct peer_queues {
        std::vector<service_queue> queues{};
        time_point reported_at{};
    };

    /*! State of a service's queue within one round. */
    struct queue_state {
        double endpoints{1.0}; //!< Number of endpoints that accept work.
        double own_share{1.0}; //!< Fraction of the fleet's waiting work that waits at this router, from 0 to 1.
        double ahead_ms{};     //!< Prefill time of the calls that remain waiting ahead of the current one.
    };
    using queue_states = std::map<service_id, queue_state>;

    [[nodiscard]] team_rank rank_of(const work_item& item, time_point now);
    [[nodiscard]] endpoint_choice place(const work_item& item, const endpoint_selector::candidate& to,
                                        const team_rank& team, time_point now);
    [[nodiscard]] admission admission_of(const work_item& item, time_point now);
    /*! Decides about a call that is beyond its team's share: places it at an idle endpoint or refuses it. Each router
     *  admits the same share of a team's calls, so that it does not matter how many routers they enter through.
     *  @return False if the call is admitted. */
    [[nodiscard]] bool place_or_refuse_by_share(const work_item& item, time_point now);
    void refuse(const work_item& item, refusal why, time_point now);
    void refuse_waiting(ticket_id ticket, const refusal& why, time_point now);

    /*! Refuses a waiting call of a team with much higher usage than this call's team.
     *  @return True if there is room for another waiting call. */
    bool make_room(const work_item& item, time_point now);
    [[nodiscard]] std::vector<ticket_id> ordered_tickets(time_point now);
    void decide_all(time_point now);
    void decide(ticket_id ticket, queue_states& queues, time_point now);
    [[nodiscard]] double queued_prefill_ms(const service_id& service) const;
    [[nodiscard]] double peers_queued_prefill_ms(const service_id& service, time_point now) const;
    [[nodiscard]] queue_state& queue_of(const service_id& service, queue_states& queues, time_point now) const;
    void set_deadline(waiting_call& call, const endpoint_selector::candidate& best) const;

public:
    /**
     * @brief Creates a dispatcher.
     * @param view View of the fleet; must outlive the dispatcher.
     * @param location Location of this router.
     * @param limits Limits.
     * @param listener Receives decisions, also within submit() and process_waiting(); must outlive the dispatcher.
     * @param seed Seed of the jitter of retry delays.
     */
    dispatcher(const registry_view& view, router_location location, const dispatch_limits& limits,
               dispatch_listener& listener, std::uint64_t seed);

    /*! @brief Submits a call. It is placed or refused at once, or waits for process_waiting(). */
    void submit(work_item item, time_point now);

    /*! @brief Places a call at once, ahead of all waiting calls. The listener is not notified.
     *  @return The endpoint to send the call to; empty if no endpoint accepts it. The call is not queued then. */
    [[nodiscard]] std::optional<endpoint_choice> try_place(const work_item& item, time_point now);

    /*! @brief Tells whether an endpoint would accept a call at once. */
    [[nodiscard]] bool can_place(const work_item& item, time_point now);

    /*! @brief Tells whether an endpoint may serve a call, now or later. */
    [[nodiscard]] bool has_endpoint(const work_item& item, time_point now);

    /*! @brief Removes a waiting call. @return False if the call was not waiting. */
    bool withdraw(ticket_id ticket);

    /*! @brief Reports that a placed call's answer started. */
    void started(ticket_id ticket, time_point now);

    /*! @brief Reports that a placed call ended. @param end How the call ended. */
    void ended(ticket_id ticket, call_outcome end, time_point now);

    /*! @brief Reports that bytes were received from an endpoint. */
    void data_received(const endpoint_id& id, time_point now);

    /*! @brief Restarts the silence timer of all endpoints, after this router did not read from its connections. */
    void reset_silence(time_point now);

    /*! @brief Stops sending calls to an endpoint that asked this router for a pause. @param until End of the pause. */
    void pause(const endpoint_id& id, time_point until);

    /*! @brief Reports that a connection to an endpoint failed. */
    void unreachable(const endpoint_id& id, time_point now);

    /*! @brief Runs one round: places, refuses or keeps each waiting call. */
    void process_waiting(time_point now);

    /*! @brief Synchronizes with the view: removes endpoints that are gone and updates prefix cache capacities. */
    void refresh(time_point now);

    /**
     * @brief Sets the routers that may send, including this one. The shares of cold endpoints depend on them.
     * @param routers Ids of the routers.
     * @param complete False if there may be others: this router sends nothing to cold endpoints until the list is
     * complete.
     */
    void set_routers(std::set<host_id> routers, bool complete = true) {
        selector_.set_routers(std::move(routers), complete);
    }

    /*! @brief Sets the versions at which no stream may begin before a time. @param holds That time for each. */
    void set_version_holds(std::map<service_version, time_point> holds) {
        selector_.set_version_holds(std::move(holds));
    }

    /*! @brief Adds a router that may send. */
    void add_router(const host_id& router) { selector_.add_router(router); }

    /*! @brief Returns the rank of this router for a shared resource, starting at 0. @param key Key of the resource. */
    [[nodiscard]] std::size_t rank_for(std::uint64_t key) const noexcept {
        return router_rank(selector_.routers(), location_.host, key);
    }

    /*! @brief Returns the number of routers that may send. */
    [[nodiscard]] std::size_t router_count() const noexcept { return selector_.routers().size(); }

    /*! @brief Returns the load of an endpoint; creates an empty one if the endpoint is unknown. */
    [[nodiscard]] endpoint_load& load(const endpoint_id& id) { return loads_[id]; }

    /*! @brief Returns all loads by endpoint. */
    [[nodiscard]] std::map<endpoint_id, endpoint_load>& loads() noexcept { return loads_; }

    /*! @brief Returns the usage of the teams. */
    [[nodiscard]] team_usage& usage() noexcept { return usage_; }

    /*! @brief Returns and clears the uses of shared prompt parts since the last call, to be sent to the peers. */
    [[nodiscard]] std::vector<part_use> take_part_uses() { return std::exchange(part_uses_, {}); }

    /*! @brief Returns the prefill time of the waiting calls of each service, to be sent to the peers. */
    [[nodiscard]] std::vector<service_queue> queues() const;

    /*! @brief Replaces the queues that a peer reported. */
    void update_peer_queues(const host_id& peer, std::vector<service_queue> queues, time_point now);

    /*! @brief Returns how long calls of this router waited at the engines of each service, to be sent to the peers. */
    [[nodiscard]] std::vector<service_delay> observed_delays(time_point now) const;

    /*! @brief Replaces how long a peer's calls waited at the engines. */
    void update_peer_delays(const host_id& peer, const std::vector<service_delay>& delays, time_point now);

    /*! @brief Sets how many calls may wait, up to dispatch_limits::max_waiting_calls; further ones are refused. */
    void set_max_waiting(std::size_t max) noexcept { max_waiting_ = std::min(max, limits_.max_waiting_calls); }

    /*! @brief Returns the number of waiting calls. */
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    const registry_view* view_;
    router_location location_;
    dispatch_limits limits_;
    dispatch_listener* listener_;
    std::mt19937_64 random_;
    std::map<endpoint_id, endpoint_load> loads_{};
    endpoint_selector selector_;
    std::map<ticket_id, waiting_call> waiting_{}; // In order of submission: tickets increase.
    std::unordered_map<ticket_id, placed_call> placed_{};
    team_usage usage_{};
    std::map<service_id, overload_estimator> overloads_{}; //!< Of the services with engines.
    std::vector<part_use> part_uses_{};
    std::map<host_id, peer_queues> peer_queues_{};
    std::size_t max_waiting_{limits_.max_waiting_calls};
    bool is_deciding_{};
};

} // namespace dandelionbay
