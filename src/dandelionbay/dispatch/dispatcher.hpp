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
#include "dandelionbay/dispatch/router_rank.hpp"
#include "dandelionbay/dispatch/team_usage.hpp"
#include "dandelionbay/dispatch/work.hpp"
#include "dandelionbay/gateway/registry_view.hpp"

namespace dandelionbay {

/*! @brief How a placed call ended. */
enum class call_outcome : std::uint8_t {
    answered,
    failed,    //!< By its endpoint.
    not_needed //!< The same call runs elsewhere: its team is not charged for it unless its answer had begun.
};

/*! @brief Receives the decisions. */
class dispatch_listener {
public:
    dispatch_listener() = default;
    dispatch_listener(const dispatch_listener&) = delete;
    dispatch_listener(dispatch_listener&&) = delete;
    dispatch_listener& operator=(const dispatch_listener&) = delete;
    dispatch_listener& operator=(dispatch_listener&&) = delete;
    virtual ~dispatch_listener() = default;

    /*! @brief A call is to be sent now; the dispatcher counts it until ended(). */
    virtual void placed(ticket_id ticket, const endpoint_choice& choice) = 0;

    /*! @brief A call can't be served in time; it was not sent. */
    virtual void refused(ticket_id ticket, const refusal& why) = 0;
};

/**
 * @brief Decides for each call which endpoint runs it, whether it waits, or that it is refused.
 *
 * Calls that share the start of their prompt go where it is kept, unless that endpoint is so far behind that reading
 * it again elsewhere is quicker. Work waits here and not in the endpoints, which serve in order of arrival: here the
 * team with the least recent service goes first. A call that can't be served within its target is refused at once.
 */
class dispatcher {
    struct waiting_call {
        work_item item{};
        time_point submitted{};
        std::optional<time_point> give_up{}; //!< Set when its endpoints were first looked at.
        double best_prefill_ms{};
    };
    struct placed_call {
        endpoint_id endpoint{};
        team_id team{};
        double cost{};
        time_point at{};
        time_point arrived{};
        duration target{};
        bool begun{};
    };
    struct peer_queues {
        std::vector<service_queue> queues{};
        time_point at{};
    };

    /*! A service's calls within one round. */
    struct queue_state {
        double endpoints{1.0}; //!< Those that take work.
        double own_share{1.0}; //!< Part of the fleet's waiting work that waits here, from 0 to 1.
        double ahead_ms{};     //!< Reading of the calls that stay, in their order.
    };
    using queue_states = std::map<service_id, queue_state>;

    [[nodiscard]] team_rank rank_of(const work_item& item, time_point now);
    [[nodiscard]] endpoint_choice place(const work_item& item, const endpoint_selector::candidate& to,
                                        const team_rank& team, time_point now);
    void refuse(const work_item& item, refusal why, time_point now);
    void refuse_waiting(ticket_id ticket, const refusal& why, time_point now);

    /*! Refuses a waiting call of a team that got much more than this call's. @return False if none waits. */
    bool make_room(const work_item& item, time_point now);
    [[nodiscard]] std::vector<ticket_id> order(time_point now);
    void decide_all(time_point now);
    void decide(ticket_id ticket, queue_states& queues, time_point now);
    [[nodiscard]] double queued_prefill_ms(const service_id& service) const;
    [[nodiscard]] double peers_queued_prefill_ms(const service_id& service, time_point now) const;
    [[nodiscard]] queue_state& queue_of(const service_id& service, queue_states& queues, time_point now) const;
    void set_give_up(waiting_call& call, const endpoint_selector::candidate& best) const;

public:
    /**
     * @brief Creates a dispatcher.
     * @param view What is known of the fleet; must outlive it.
     * @param place Where the router stands.
     * @param limits Limits.
     * @param listener Receives decisions, also within submit() and process_waiting(); must outlive it.
     * @param seed Seed of the random spread of return times.
     */
    dispatcher(const registry_view& view, router_location place, const dispatch_limits& limits,
               dispatch_listener& listener, std::uint64_t seed);

    /*! @brief A call wants an endpoint; it is placed at once, or waits for process_waiting(). @param item The call. */
    void submit(work_item item, time_point now);

    /*! @brief Places a call at once, before all that wait; the listener is not told.
     *  @return Where it is to be sent now; nothing if no endpoint takes it, which is not kept then. */
    [[nodiscard]] std::optional<endpoint_choice> try_place(const work_item& item, time_point now);

    /*! @brief Tells whether an endpoint would take a call at once. @param item The call. @param now Time. */
    [[nodiscard]] bool can_place(const work_item& item, time_point now);

    /*! @brief Tells whether there is an endpoint for a call, now or later. @param item The call. @param now Time. */
    [[nodiscard]] bool has_endpoint(const work_item& item, time_point now);

    /*! @brief A waiting call is not wanted any more. @param ticket Its name. @return False if it was not waiting. */
    bool withdraw(ticket_id ticket);

    /*! @brief A placed call's answer began. @param ticket Its name. @param now Time. */
    void started(ticket_id ticket, time_point now);

    /*! @brief A placed call ended. @param ticket Its name. @param end How. @param now Time. */
    void ended(ticket_id ticket, call_outcome end, time_point now);

    /*! @brief Bytes came from an endpoint. */
    void data_received(const endpoint_id& id, time_point now);

    /*! @brief This router did not listen until now: the silence of endpoints before says nothing. @param now Time. */
    void reset_silence(time_point now);

    /*! @brief An endpoint wants no calls from this router for some time. @param until End of that time. */
    void pause(const endpoint_id& id, time_point until);

    /*! @brief A connection to an endpoint could not be made. */
    void unreachable(const endpoint_id& id, time_point now);

    /*! @brief Decides about the waiting calls. @param now Time. */
    void process_waiting(time_point now);

    /*! @brief Follows the view: forgets endpoints that are gone. @param now Time. */
    void refresh(time_point now);

    /**
     * @brief Names all routers that may send, this one included; shares of cold endpoints follow.
     * @param routers Their names.
     * @param complete False if there may be others: cold endpoints get nothing from here until that is known.
     */
    void set_routers(std::set<host_id> routers, bool complete = true) {
        selector_.set_routers(std::move(routers), complete);
    }

    /*! @brief One more router may send. */
    void add_router(const host_id& router) { selector_.add_router(router); }

    /*! @brief Rank of this router for something that all of them share. @param key Of it. @return From 0. */
    [[nodiscard]] std::size_t rank_for(std::uint64_t key) const noexcept {
        return router_rank(selector_.routers(), place_.host, key);
    }

    /*! @brief Number of routers that may send. */
    [[nodiscard]] std::size_t router_count() const noexcept { return selector_.routers().size(); }

    /*! @brief Load of an endpoint; created empty if unknown. */
    [[nodiscard]] endpoint_load& load(const endpoint_id& id) { return loads_[id]; }

    /*! @brief All loads by endpoint. */
    [[nodiscard]] std::map<endpoint_id, endpoint_load>& loads() noexcept { return loads_; }

    /*! @brief Service of the teams. */
    [[nodiscard]] team_usage& usage() noexcept { return usage_; }

    /*! @brief Takes the uses of shared parts since the last call of this, for the peers. */
    [[nodiscard]] std::vector<part_use> take_part_uses() { return std::exchange(part_uses_, {}); }

    /*! @brief Reading of the waiting calls of each service, for the peers. */
    [[nodiscard]] std::vector<service_queue> queues() const;

    /*! @brief Replaces what a peer reported of its waiting calls. @param peer Its name. @param now Time. */
    void update_peer_queues(const host_id& peer, std::vector<service_queue> queues, time_point now);

    /*! @brief Sets how many calls may wait; further ones are refused at once. */
    void set_max_waiting(std::size_t most) noexcept { max_waiting_ = std::min(most, limits_.max_waiting_calls); }

    /*! @brief Number of waiting calls. */
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    const registry_view* view_;
    router_location place_;
    dispatch_limits limits_;
    dispatch_listener* listener_;
    std::mt19937_64 random_;
    std::map<endpoint_id, endpoint_load> loads_{};
    endpoint_selector selector_;
    std::map<ticket_id, waiting_call> waiting_{}; // tickets grow with time
    std::unordered_map<ticket_id, placed_call> placed_{};
    team_usage usage_{};
    std::vector<part_use> part_uses_{};
    std::map<host_id, peer_queues> peer_queues_{};
    std::size_t max_waiting_{limits_.max_waiting_calls};
    bool deciding_{};
};

} // namespace dandelionbay
