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

/*! @brief Rank of a team by its recent usage. */
struct team_rank {
    bool contended{}; //!< Some team is often refused.
    double
        excess{}; //!< From 0, at or below the lowest usage of the refused teams, to 1, the highest usage of all teams.

    /*! @brief Tells whether other teams have to leave room for this one. */
    [[nodiscard]] bool has_priority() const noexcept { return contended && excess <= 0.0; }

    friend bool operator==(const team_rank&, const team_rank&) = default;
};

/*! @brief Returns the cost of a call that counts as usage of its team: prompt tokens plus twice the generated tokens.
 *  Calls of plain services have a fixed cost. */
[[nodiscard]] double cost_of(const std::vector<prompt_part>& parts, double prompt_tokens,
                             double output_tokens) noexcept;

/*! @brief Share of a team's calls that was admitted when a call was submitted, and why. */
struct admission {
    double share{1.0};          //!< From 0 to 1; 1 while the engines are not overloaded.
    double queueing_delay_ms{}; //!< Time for which calls wait at the service's engines.

    friend bool operator==(const admission&, const admission&) = default;
};

/*! @brief A call that needs an endpoint. */
struct work_item {
    ticket_id ticket{};
    team_id team{};
    service_id service{};
    std::vector<prompt_part> parts{}; //!< Empty for calls of plain services.
    double prompt_tokens{};
    double output_tokens{};
    duration target{}; //!< Target for the time from the call's arrival to the start of its answer.
    time_point arrived{};
    std::vector<region_id>
        route_regions{}; //!< Regions that may serve the call; empty for all. Both lists must allow it.
    std::vector<region_id> team_regions{};
    std::set<endpoint_id> excluded{};    //!< Endpoints that already failed the call.
    bool is_stream{};                    //!< A stream does not begin at a version that is held back.
    bool has_begun{};                    //!< Its stream began earlier, so it is not refused by share.
    std::optional<version_id> version{}; //!< Set if only endpoints of this version may run the call.
    admission admitted{};                //!< Admission of the team; set by the dispatcher.

    /*! @brief Returns the cost of the call, as cost_of(). */
    [[nodiscard]] double cost() const noexcept;
};

/*! @brief Endpoint selected for a call. */
struct endpoint_choice {
    endpoint_id endpoint{};
    std::uint64_t process_started{}; //!< Start of the endpoint's process, as in the endpoint's entry.
    socket_address address{};
    double unread_tokens{}; //!< Prompt tokens that the endpoint has to prefill for the call.
    double backlog_ms{};    //!< Expected wait at the endpoint before the call.
    bool cold{};
    team_rank team{};     //!< Rank of the call's team when the endpoint was selected.
    version_id version{}; //!< Of the endpoint's software.
    admission admitted{}; //!< Admission of the team when the call was submitted.
};

/*! @brief A shared prompt part that was sent to an endpoint, which caches it. */
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

/*! @brief Time for which calls waited at a service's engines, as one router observed it of late. */
struct service_delay {
    service_id service{};
    double delay_ms{}; //!< Weighted mean of the samples.
    double samples{};  //!< Number of samples, of which recent ones count more; as of the newest one.
    duration age{};    //!< Age of the newest sample.

    friend bool operator==(const service_delay&, const service_delay&) = default;
};

/*! @brief Why a call was refused, and when it may be retried. */
struct refusal {
    result_code code{result_code::no_endpoint_in_service};
    duration retry_after{};
    team_rank team{};                       //!< Rank of the call's team.
    endpoint_id best_endpoint{};            //!< Endpoint that the call waited for; empty for none.
    double backlog_ms{};                    //!< Expected wait at that endpoint.
    double ahead_ms{};                      //!< Expected wait behind the calls ahead.
    admission admitted{};                   //!< Admission of the call's team.
    std::optional<time_point> not_before{}; //!< Set if all eligible endpoints are paused: first end of a pause.
};

/*! @brief Limits of the dispatcher. */
struct dispatch_limits {
    double reading_ahead_ms{
        110.0};                   //!< Prefill backlog of an engine above which calls wait here, where they are ordered.
    double least_share{1.5};      //!< Factor of reading_ahead_ms for a team with priority.
    double yield_share{0.5};      //!< Factor of reading_ahead_ms for a team with an excess just above 0.
    double far_yield_share{0.05}; //!< Factor of reading_ahead_ms for an excess of 1; interpolated in between.
    double yield_margin{1.2};    //!< Ratio to the lowest refused usage above which teams yield, as reports are delayed.
    double behind_share{0.6};    //!< Share of the highest usage below which an often refused team has priority.
    double memory_share{0.85};   //!< Share of an engine's memory that calls in flight may occupy.
    double reading_weight{5.0};  //!< Weight of prefill time: it delays later calls and evicts shared prompt parts.
    double zone_cost_ms{12.0};   //!< Penalty for another zone of the region: its round trip and its traffic.
    double region_cost_ms{80.0}; //!< Penalty for another region: twice its round trip, because the link is narrow.
    double least_distance_share{0.4};    //!< Factor of these penalties for a team with priority.
    double queueing_delay_ms{100.0};     //!< Wait at the engines above which calls are admitted by share.
    double max_queueing_delay_ms{400.0}; //!< Wait at the engines at which least_admission applies.
    double most_admission{1.2};  //!< Work admitted just above queueing_delay_ms, as a ratio to that of the last window.
    double least_admission{0.6}; //!< The same at max_queueing_delay_ms; interpolated in between.
    duration min_wait{std::chrono::milliseconds{70}}; //!< Time that a call may wait in any case.
    double min_prefill_ms{5.0};                       //!< Lower bound of the prefill time counted for a waiting call.
    std::size_t max_waiting_calls{2'000};             //!< Bounds memory and the duration of a round of decisions.

    friend bool operator==(const dispatch_limits&, const dispatch_limits&) = default;
};

/*! @brief Location of a router. */
struct router_location {
    host_id host{};
    zone_id zone{};
    region_id region{};
    std::map<zone_id, region_id> zones{}; //!< Region of each known zone.

    friend bool operator==(const router_location&, const router_location&) = default;
};

} // namespace dandelionbay
