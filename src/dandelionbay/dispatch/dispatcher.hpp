#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/dispatch/team_usage.hpp"
#include "dandelionbay/gateway/registry_view.hpp"

namespace dandelionbay {

/*! @brief A call that wants an endpoint. */
struct work_item {
    ticket_id ticket{};
    team_id team{};
    service_id service{};
    std::vector<prompt_part> parts{}; //!< Empty for calls of plain services.
    double prompt_tokens{};
    double output_tokens{};
    duration target{};               //!< Time to the answer's start that serves the caller well.
    time_point arrived{};
    bool repeatable{};
    std::vector<region_id> route_regions{}; //!< Regions that may serve it; empty for all. Both lists bind.
    std::vector<region_id> team_regions{};
    std::set<endpoint_id> excluded{}; //!< Endpoints that failed it already.
};

/*! @brief Where a call goes. */
struct endpoint_choice {
    endpoint_id endpoint{};
    socket_address address{};
    double unread_tokens{};
    double backlog_ms{};
    bool cold{};
};

/*! @brief A shared part of a prompt was sent to an endpoint, which keeps it now. */
struct part_use {
    endpoint_id endpoint{};
    prompt_part part{};

    friend bool operator==(const part_use&, const part_use&) = default;
};

/*! @brief Work that waits for a service at one router. */
struct service_queue {
    service_id service{};
    double reading_ms{};

    friend bool operator==(const service_queue&, const service_queue&) = default;
};

/*! @brief Why a call was not placed, and when it may be. */
struct refusal {
    result_code code{result_code::no_endpoint_in_service};
    duration retry_after{};
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

/*! @brief Limits of the dispatcher. */
struct dispatch_limits {
    double reading_ahead_ms{140.0}; //!< Reading queued at an engine beyond which work waits here, where it is ordered.
    double least_share{1.5};        //!< Multiple of that for the least served team that is refused work.
    double yield_share{0.2};        //!< Part of that for a team which got more than one that is refused work.
    double yield_margin{1.2};       //!< How much more it must have got: reports of peers are a little old.
    double memory_share{0.85};      //!< Share of an engine's memory that calls in flight may come to occupy.
    double reading_weight{5.0};     //!< Reading costs the calls behind it too, and evicts what others share.
    double least_reading_weight{5.0}; //!< The same for the least served team, which need not wait for kept parts.
    double zone_cost_ms{12.0};      //!< Aversion to another zone of the region: its round trip and its traffic.
    double region_cost_ms{160.0};   //!< Aversion to another region: its round trip and the narrow, dear link.
    duration least_hold{std::chrono::milliseconds{70}}; //!< A call may wait this long in any case.
    double least_wait_ms{5.0};      //!< A waiting call counts at least as this much reading.
    std::size_t most_queued{2'000}; //!< Bound of memory and of the time that one round of decisions takes.

    friend bool operator==(const dispatch_limits&, const dispatch_limits&) = default;
};

/*! @brief Where a router stands. */
struct router_place {
    host_id host{};
    zone_id zone{};
    region_id region{};
    std::map<zone_id, region_id> zones{};

    friend bool operator==(const router_place&, const router_place&) = default;
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
        time_point give_up{};
        double best_reading_ms{};
    };
    struct candidate {
        const registry_view::known_endpoint* known{};
        endpoint_load* load{};
        double unread_tokens{};
        double wait_ms{};
        double score{};
        bool ready{};
        bool cold{};
    };
    /*! A team's service among those of the teams that are refused work. */
    enum class standing : std::uint8_t { usual, above, least };
    struct choices {
        candidate best{};       //!< The one to wait for, if it is not ready.
        candidate best_ready{}; //!< The best of those that can take the call now.
        standing team{};
    };

    struct peer_queues {
        std::vector<service_queue> queues{};
        time_point at{};
    };

    [[nodiscard]] bool in_regions(const work_item& item, const zone_id& zone) const;
    [[nodiscard]] double distance_ms(const zone_id& zone) const;
    [[nodiscard]] bool pace_allows(const registry_view::known_endpoint& it, endpoint_load& load, time_point now) const;
    [[nodiscard]] standing standing_of(const work_item& item, time_point now);
    [[nodiscard]] double reading_ahead_ms(standing team) const noexcept;
    [[nodiscard]] candidate weigh(const work_item& item, const registry_view::known_endpoint& it, standing team,
                                  time_point now);
    [[nodiscard]] choices consider(const work_item& item, time_point now);
    void place(const work_item& item, const candidate& to, time_point now);
    void refuse(const waiting_call& call, result_code code, time_point now);
    [[nodiscard]] std::vector<ticket_id> order(time_point now);
    void decide_all(time_point now);
    void shed_overload(time_point now);
    [[nodiscard]] std::size_t endpoints_of(const service_id& service) const;
    [[nodiscard]] double queued_ms(const service_id& service) const;
    [[nodiscard]] double peers_queued_ms(const service_id& service, time_point now) const;
    [[nodiscard]] double endpoint_share(const service_id& service, standing team, time_point now) const;

public:
    /**
     * @brief Creates a dispatcher.
     * @param view What is known of the fleet; must outlive it.
     * @param place Where the router stands.
     * @param limits Limits.
     * @param listener Receives decisions, also within submit() and pump(); must outlive it.
     * @param seed Seed of the random spread of return times.
     */
    dispatcher(const registry_view& view, router_place place, const dispatch_limits& limits, dispatch_listener& listener,
               std::uint64_t seed);

    /*! @brief A call wants an endpoint. @param item The call. @param now Time. */
    void submit(work_item item, time_point now);

    /*! @brief A waiting call is not wanted any more. @param ticket Its name. @return False if it was not waiting. */
    bool withdraw(ticket_id ticket);

    /*! @brief A placed call's answer began. @param ticket Its name. @param now Time. */
    void started(ticket_id ticket, time_point now);

    /*! @brief A placed call ended. @param ticket Its name. @param failed The endpoint failed it. @param now Time. */
    void ended(ticket_id ticket, bool failed, time_point now);

    /*! @brief Bytes came from an endpoint. */
    void heard(const endpoint_id& id, time_point now);

    /*! @brief A connection to an endpoint could not be made. */
    void unreachable(const endpoint_id& id, time_point now);

    /*! @brief Decides about the waiting calls; a call from within a decision takes effect after it. */
    void pump(time_point now);

    /*! @brief Follows the view: forgets endpoints that are gone. @param now Time. */
    void refresh(time_point now);

    /*! @brief Names all routers that may send, this one included; shares of cold endpoints follow. */
    void set_routers(std::set<host_id> routers) { routers_ = std::move(routers); }

    /*! @brief Number of routers that may send. */
    [[nodiscard]] std::size_t routers() const noexcept { return routers_.size(); }

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
    void report_queues(const host_id& peer, std::vector<service_queue> queues, time_point now);

    /*! @brief Number of waiting calls. */
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    const registry_view* view_;
    router_place place_;
    dispatch_limits limits_;
    dispatch_listener* listener_;
    std::mt19937_64 random_;
    std::set<host_id> routers_{};
    std::map<endpoint_id, endpoint_load> loads_{};
    std::map<ticket_id, waiting_call> waiting_{}; // tickets grow with time
    std::unordered_map<ticket_id, endpoint_id> placed_{};
    team_usage usage_{};
    std::vector<part_use> part_uses_{};
    std::map<host_id, peer_queues> peer_queues_{};
    bool deciding_{};
    bool decide_again_{};
};

} // namespace dandelionbay
