#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/functional/function_ref.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/work.hpp"
#include "dandelionbay/gateway/call_options.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/*! @brief What is logged about one call: the decisions, their inputs and the age of these inputs. */
struct call_record {
    std::string request{};            //!< The caller's id of this attempt.
    std::uint64_t call{};             //!< Fingerprint of the call; equal for all attempts of the call.
    std::vector<prompt_part> parts{}; //!< The prompt in order; the last part belongs to this call or its session.
    bool has_begun{};                 //!< The attempt's answer had begun.
    bool has_proven_parts{};          //!< It had proved the shared parts of the prompt sound.
    std::string route{};
    team_id team{};
    service_id service{};
    std::uint64_t config_version{};
    std::optional<duration> config_age{}; //!< Time since the last confirmation; empty if it was never confirmed.
    std::uint32_t sends{};                //!< Number of endpoints that the call was sent to.
    std::uint32_t runs{};                 //!< Number of endpoints that may have run the call.
    endpoint_choice choice{};             //!< The latest placement, or what a refused call waited for.
    duration waited{};                    //!< From arrival to the latest placement or the refusal.
    duration list_age{};                  //!< Age of the endpoint list at that placement.
    double cost{};                        //!< Cost units: prompt tokens count once, generated tokens twice.
    duration target{};                    //!< Latency target for the first event or the whole response.
    duration read_delay{};                //!< How late the event loop was when the request was read.
    std::optional<team_rank> rank{};      //!< The team's rank at the latest placement or the refusal.
    double ahead_ms{};                    //!< Expected wait behind other calls, if the call was refused.
    admission admitted{};                 //!< Admission of the team when the call was submitted last.
    std::optional<duration> first{};      //!< From arrival to the first event.
    duration total{};                     //!< From arrival until this record was made.
    std::size_t waiting_calls{};          //!< Calls waiting at this router when this record was made.
    std::string caller_end{};             //!< How the caller disconnected; empty if it did not.
};

/*! @brief Logs that an attempt failed. @param reason Why it failed. */
void log_attempt_failed(bounded_log& log, const call_record& it, std::string_view reason);

/*! @brief What is known about an endpoint that sends nothing for a call. */
struct silence_record {
    duration silence{};       //!< Since the call was sent or its latest event arrived.
    duration loop_lateness{}; //!< Average lateness of the event loop; a late loop may be why nothing was read.
    bool stalled{};           //!< The endpoint sends nothing for its other calls either.
    endpoint_id hedged_at{};  //!< The endpoint at which the call is hedged.

    friend bool operator==(const silence_record&, const silence_record&) = default;
};

/*! @brief Logs that a call's endpoint exceeded its silence timeout, and at which endpoint the call is hedged. */
void log_endpoint_silent(bounded_log& log, const call_record& it, const silence_record& silence);

/*! @brief Logs that a call made progress after a silence. @param it Record with the endpoint that made progress.
 *  @param taken_over Another endpoint than the silent one made progress. */
void log_silence_ended(bounded_log& log, const call_record& it, bool taken_over);

/*! @brief Makes the record of a call; not called if the line is not written. */
using record_maker = absl::FunctionRef<call_record()>;

/*! @brief Logs that a call ended. @param outcome Its outcome. @param status Status sent to the caller; 0 for none.
 *  @return False if the line was left out. */
bool log_call_ended(bounded_log& log, record_maker make, std::string_view outcome, int status);

/*! @brief Logs that a copy of a call waits until another copy ends. @param call Fingerprint. */
void log_copy_waits(bounded_log& log, std::string_view request, std::uint64_t call, const lost_run_registry& losses);

/*! @brief Logs that a call was lost at endpoints repeatedly. @param call Fingerprint. @param from Source of the news.
 */
void log_call_lost_again(bounded_log& log, std::uint64_t call, const lost_run_registry& losses, std::string_view from);

/*! @brief Logs that calls with a prompt part are refused from now on. @param from Source of the decision. */
void log_part_blocked(bounded_log& log, const service_part& part, const part_crash_registry& evidence,
                      std::string_view from);

/*! @brief Logs that calls with a prompt part are no longer refused. @param from Source of the news. */
void log_part_unblocked(bounded_log& log, const service_part& part, std::string_view from);

} // namespace dandelionbay
