#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "dandelionbay/base/fwd.hpp"

namespace dandelionbay {

/*! @brief Numbered results of requests and operations; docs/errors.md has the table. */
enum class result_code : unsigned short {
    ok = 1000,
    // The caller's request can't be accepted as it is.
    invalid_token = 1001,
    malformed_request = 1002,
    unknown_model = 1003,
    unknown_service = 1004,
    request_too_large = 1005,
    idempotency_key_missing = 1006,
    idempotency_key_reused = 1007,
    request_in_progress = 1008,
    caller_gone = 1009,
    not_permitted = 1010,
    sender_too_slow = 1011,
    // The fleet can't take the request now.
    team_queue_full = 2001,
    router_queue_full = 2002,
    queue_timeout = 2003,
    retry_budget_exhausted = 2004,
    no_endpoint_in_service = 2005,
    router_overloaded = 2006,
    share_exceeded = 2007,
    // A part of the fleet admits no work in its present state.
    stopping = 3001,
    zone_out_of_service = 3002,
    endpoint_leaving = 3003,
    configuration_stale = 3004,
    store_unavailable = 3005,
    endpoint_cold = 3006,
    grant_unknown = 3007,
    endpoint_unavailable = 3008,
    stream_version_unknown = 3009,
    stream_version_gone = 3010,
    // The request reached an endpoint, or may have.
    endpoint_failed = 4001,
    answer_incomplete = 4002,
    crashes_endpoints = 4003,
    outcome_unknown = 4004,
    deadline_exceeded = 4005,
    duplicate_request = 4006,
    resume_failed = 4007,
    answer_not_kept = 4008,
    // Administration.
    revision_mismatch = 5001,
    invalid_configuration = 5002,
    no_majority = 5003,
    object_not_found = 5004,
    fencing_token_old = 5005,
    precondition_missing = 5006,
    not_confirmed = 5007,
    // Faults of the system itself.
    internal_error = 9001,
    protocol_error = 9002,
};

/*! @brief Whether a request ran at an endpoint. */
enum class executed : unsigned char { no = 0, yes = 1, unknown = 2 };

/*! @brief Row of the table of result codes. */
struct result_info {
    result_code code;
    std::string_view name;
    int http_status;
    std::string_view text;
};

/*! @brief All result codes. @return Rows in ascending order of code. */
[[nodiscard]] std::span<const result_info> result_table() noexcept;

/**
 * @brief Looks a code up.
 * @param code The code.
 * @return Its row; the row of internal_error for a number that is not in the table.
 */
[[nodiscard]] const result_info& describe(result_code code) noexcept;

/*! @brief Name of an execution state. @param state The state. @return "no", "yes" or "unknown". */
[[nodiscard]] std::string_view to_string(executed state) noexcept;

} // namespace dandelionbay
