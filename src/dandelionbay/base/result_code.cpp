#include "dandelionbay/base/result_code.hpp"

#include <algorithm>
#include <array>

namespace dandelionbay {

namespace {

using enum result_code;

constexpr std::array table{
    result_info{ok, "ok", 200, "success"},
    result_info{invalid_token, "invalid_token", 401, "the bearer token is missing or unknown"},
    result_info{malformed_request, "malformed_request", 400, "the request can't be parsed"},
    result_info{unknown_model, "unknown_model", 404, "no service offers this model"},
    result_info{unknown_service, "unknown_service", 404, "no service has this name"},
    result_info{request_too_large, "request_too_large", 413, "the header or body exceeds the limit"},
    result_info{idempotency_key_missing, "idempotency_key_missing", 400, "this call needs an Idempotency-Key header"},
    result_info{idempotency_key_reused, "idempotency_key_reused", 422, "the key was used with another request body"},
    result_info{request_in_progress, "request_in_progress", 409, "a request with this key is still running"},
    result_info{caller_gone, "caller_gone", 499, "the caller closed the connection"},
    result_info{not_permitted, "not_permitted", 403, "the team may not use any endpoint of this service"},
    result_info{sender_too_slow, "sender_too_slow", 408, "the request did not arrive in time"},
    result_info{team_queue_full, "team_queue_full", 429, "the team has too many waiting requests"},
    result_info{router_queue_full, "router_queue_full", 503, "the router has too many waiting requests"},
    result_info{queue_timeout, "queue_timeout", 503, "no endpoint became free in time"},
    result_info{retry_budget_exhausted, "retry_budget_exhausted", 503, "the retry budget is used up"},
    result_info{no_endpoint_in_service, "no_endpoint_in_service", 503, "no permitted endpoint is in service"},
    result_info{router_overloaded, "router_overloaded", 503, "the router's host can't begin the request in time"},
    result_info{share_exceeded, "share_exceeded", 503,
                "the team asks for more than its share while endpoints are overloaded"},
    result_info{stopping, "stopping", 503, "the process is stopping"},
    result_info{zone_out_of_service, "zone_out_of_service", 503, "the availability zone is out of service"},
    result_info{endpoint_leaving, "endpoint_leaving", 503, "the endpoint is leaving"},
    result_info{configuration_stale, "configuration_stale", 503, "the configuration may be out of date"},
    result_info{store_unavailable, "store_unavailable", 503, "the store does not answer"},
    result_info{endpoint_cold, "endpoint_cold", 503, "the endpoint is in cold start"},
    result_info{grant_unknown, "grant_unknown", 503, "the grant has expired, was recalled or was used"},
    result_info{endpoint_unavailable, "endpoint_unavailable", 503, "the endpoint can't be reached"},
    result_info{stream_version_unknown, "stream_version_unknown", 503,
                "it is not known which version of the service wrote the stream so far"},
    result_info{stream_version_gone, "stream_version_gone", 503,
                "no endpoint has the version that wrote the stream so far"},
    result_info{endpoint_failed, "endpoint_failed", 502, "the endpoint failed while it ran the request"},
    result_info{answer_incomplete, "answer_incomplete", 502, "the answer broke off"},
    result_info{crashes_endpoints, "crashes_endpoints", 422, "the request crashed several endpoints"},
    result_info{outcome_unknown, "outcome_unknown", 502, "the request may have run"},
    result_info{deadline_exceeded, "deadline_exceeded", 504, "the deadline has passed"},
    result_info{duplicate_request, "duplicate_request", 409, "the agent has already admitted this request"},
    result_info{resume_failed, "resume_failed", 502, "the answer can't be resumed at the requested offset"},
    result_info{answer_not_kept, "answer_not_kept", 410, "the request ran; its answer was too large to be kept"},
    result_info{revision_mismatch, "revision_mismatch", 412, "the configuration has changed meanwhile"},
    result_info{invalid_configuration, "invalid_configuration", 422, "the configuration is not valid"},
    result_info{no_majority, "no_majority", 503, "this router reaches less than half of the known hosts"},
    result_info{object_not_found, "object_not_found", 404, "no such object"},
    result_info{fencing_token_old, "fencing_token_old", 409, "a newer holder of the lease exists"},
    result_info{precondition_missing, "precondition_missing", 428, "this change needs an If-Match header"},
    result_info{not_confirmed, "not_confirmed", 504, "the change is stored, but no majority of the hosts has it yet"},
    result_info{internal_error, "internal_error", 500, "internal error"},
    result_info{protocol_error, "protocol_error", 502, "a message violates the protocol"},
};

} // namespace

std::span<const result_info> result_table() noexcept {
    return table;
}

const result_info& describe(result_code code) noexcept {
    const auto* const it = std::ranges::find(table, code, &result_info::code);
    return it != table.end() ? *it : *std::ranges::find(table, internal_error, &result_info::code);
}

std::string_view to_string(executed state) noexcept {
    switch (state) {
    case executed::no:
        return "no";
    case executed::yes:
        return "yes";
    case executed::unknown:
        break;
    }
    return "unknown";
}

} // namespace dandelionbay
