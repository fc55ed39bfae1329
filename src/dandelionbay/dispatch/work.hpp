#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/base/socket_address.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/gateway/call_options.hpp"

namespace dandelionbay {

/*! @brief A team's recent service compared with that of the others. */
struct team_rank {
    bool contended{}; //!< Some team is refused work.
    double excess{};  //!< From 0, not above the least served refused team, to 1, the most served team.

    /*! @brief Tells whether the others have to leave room for it. */
    [[nodiscard]] bool has_priority() const noexcept { return contended && excess <= 0.0; }

    friend bool operator==(const team_rank&, const team_rank&) = default;
};

/*! @brief Cost of a call for the shares of teams: prompt tokens plus twice the generated ones. */
[[nodiscard]] double cost_of(const std::vector<prompt_part>& parts, double prompt_tokens,
                             double output_tokens) noexcept;

/*! @brief A call that wants an endpoint. */
struct work_item {
    ticket_id ticket{};
    team_id team{};
    service_id service{};
    std::vector<prompt_part> parts{}; //!< Empty for calls of plain services.
    double prompt_tokens{};
    double output_tokens{};
    duration target{}; //!< Time to the answer's start that serves the caller well.
    time_point arrived{};
    std::vector<region_id> route_regions{}; //!< Regions that may serve it; empty for all. Both lists bind.
    std::vector<region_id> team_regions{};
    std::set<endpoint_id> excluded{}; //!< Endpoints that failed it already.

    /*! @brief Cost for the shares of teams: prompt tokens plus twice the generated ones. */
    [[nodiscard]] double cost() const noexcept;
};

/*! @brief Where a call goes. */
struct endpoint_choice {
    endpoint_id endpoint{};
    std::uint64_t process_started{}; //!< Start of the endpoint's process, as in its entry.
    socket_address address{};
    double unread_tokens{};
    double backlog_ms{};
    bool cold{};
    team_rank team{}; //!< Rank of the call's team at that moment.
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
    double prefill_ms{};

    friend bool operator==(const service_queue&, const service_queue&) = default;
};

/*! @brief Why a call was not placed, and when it may be. */
struct refusal {
    result_code code{result_code::no_endpoint_in_service};
    duration retry_after{};
    team_rank team{};                       //!< Rank of its team.
    endpoint_id best_endpoint{};            //!< Endpoint that it waited for; empty for none.
    double backlog_ms{};                    //!< Reading queued there.
    double ahead_ms{};                      //!< Expected wait behind the calls before it.
    std::optional<time_point> not_before{}; //!< All its endpoints want no calls until then.
};

/*! @brief Limits of the dispatcher. */
struct dispatch_limits {
    double reading_ahead_ms{110.0}; //!< Reading queued at an engine beyond which work waits here, where it is ordered.
    double least_share{1.5};        //!< Multiple of that for the least served team that is refused work.
    double yield_share{0.5};        //!< Part of that for a team just above the least served refused one.
    double far_yield_share{0.05};   //!< Part of that for the most served team; the others lie between.
    double yield_margin{1.2};       //!< How much more it must have got: reports of peers are a little old.
    double behind_share{0.6};       //!< Part of the most served team's service below which a refused team goes first.
    double memory_share{0.85};      //!< Share of an engine's memory that calls in flight may come to occupy.
    double reading_weight{5.0};     //!< Reading costs the calls behind it too, and evicts what others share.
    double zone_cost_ms{12.0};      //!< Aversion to another zone of the region: its round trip and its traffic.
    double region_cost_ms{80.0};    //!< Aversion to another region: twice its round trip, because the link is narrow.
    double least_distance_share{0.4};                 //!< Part of these for the least served team that is refused work.
    duration min_wait{std::chrono::milliseconds{70}}; //!< A call may wait this long in any case.
    double min_prefill_ms{5.0};                       //!< A waiting call counts at least as this much reading.
    std::size_t max_waiting_calls{2'000}; //!< Bound of memory and of the time that one round of decisions takes.

    friend bool operator==(const dispatch_limits&, const dispatch_limits&) = default;
};

/*! @brief Where a router stands. */
struct router_location {
    host_id host{};
    zone_id zone{};
    region_id region{};
    std::map<zone_id, region_id> zones{};

    friend bool operator==(const router_location&, const router_location&) = default;
};

} // namespace dandelionbay
