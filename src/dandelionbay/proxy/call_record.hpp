#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/functional/function_ref.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/work.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/*! @brief What the log tells of one call: the decisions about it, their inputs and how old those were. */
struct call_record {
    std::string request{}; //!< The caller's id of this attempt.
    std::uint64_t call{};  //!< Fingerprint of the call; equal for all attempts of it.
    std::string route{};
    team_id team{};
    service_id service{};
    std::uint64_t config_version{};
    std::optional<duration> config_age{}; //!< Since its last confirmation; nothing without one.
    std::uint32_t sends{};                //!< Endpoints that it was sent to.
    std::uint32_t runs{};                 //!< Endpoints that may have run it.
    endpoint_choice choice{};             //!< The newest placement, or what a refused call waited for.
    duration waited{};                    //!< From the arrival to the newest placement or the refusal.
    duration list_age{};                  //!< Age of the list of endpoints at that placement.
    double cost{};                        //!< Cost units: tokens, generated ones twice.
    duration target{};               //!< Time to the first event, or the whole answer, that serves its caller well.
    duration read_delay{};           //!< How late the event loop ran when the call was read.
    std::optional<team_rank> rank{}; //!< Of its team at the newest placement or the refusal.
    double ahead_ms{};               //!< Expected wait behind other calls, if it was refused.
    std::optional<duration> first{}; //!< From the arrival to the first event.
    duration total{};                //!< From the arrival until this was recorded.
    std::size_t waiting_calls{};     //!< At this router, when this was recorded.
    std::string caller_end{};        //!< How the caller left; empty if it did not.
};

/*! @brief Writes that an attempt failed. @param reason Why. */
void log_attempt_failed(bounded_log& log, const call_record& it, std::string_view reason);

/*! @brief What is known of an endpoint that sends nothing for a call. */
struct silence_record {
    duration silence{};       //!< Since the call was sent or its newest event came.
    duration loop_lateness{}; //!< How late the event loop runs in the mean; it may not have listened.
    bool stalled{};           //!< The endpoint sends nothing for its other calls either.
    endpoint_id asked{};      //!< The other endpoint that gets the call too.

    friend bool operator==(const silence_record&, const silence_record&) = default;
};

/*! @brief Writes that the endpoint of a call is silent for too long, and which other one is asked. */
void log_endpoint_silent(bounded_log& log, const call_record& it, const silence_record& silence);

/*! @brief Writes that a call goes on after a silence. @param it With the endpoint that goes on.
 *  @param taken_over It is not the one that was silent. */
void log_silence_ended(bounded_log& log, const call_record& it, bool taken_over);

/*! @brief Makes the record of a call; a line that is left out needs none. */
using record_maker = absl::FunctionRef<call_record()>;

/*! @brief Writes that a call ended. @param outcome How. @param status Sent to the caller; 0 for none. */
void log_call_ended(bounded_log& log, record_maker make, std::string_view outcome, int status);

/*! @brief Writes that a copy of a call waits for another one to end. @param call Fingerprint. */
void log_copy_waits(bounded_log& log, std::string_view request, std::uint64_t call, const lost_runs& losses);

/*! @brief Writes that a call was lost with endpoints more than once. @param call Fingerprint. @param from Who says so.
 */
void log_call_lost_again(bounded_log& log, std::uint64_t call, const lost_runs& losses, std::string_view from);

} // namespace dandelionbay
