#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "dandelionbay/base/fingerprint.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/caller_front.hpp"
#include "dandelionbay/http/service_path.hpp"

namespace dandelionbay {

namespace {

constexpr std::size_t max_key_bytes = 255;

call endpoint_call(const httplib::Request& request, const service_target& target) {
    call it{request.method, target.path, {}, request.body};
    for (const auto& [name, value] : request.headers) {
        if (!is_connection_field(name)) {
            it.headers.push_back({name, value});
        }
    }
    const auto& hidden = bounded_server::hidden();
    if (!hidden.content_type.empty()) {
        it.headers.push_back({"Content-Type", hidden.content_type});
    }
    if (!hidden.content_encoding.empty()) {
        it.headers.push_back({"Content-Encoding", hidden.content_encoding});
    }
    return it;
}

bool has_body(std::int32_t status) noexcept {
    return status != 204 && status != 304;
}

// Sets status and header; returns the content type.
std::string set_head(std::int32_t status, const std::vector<header_field>& headers, httplib::Response& response) {
    std::string type = "application/octet-stream";
    response.status = status;
    for (const auto& it : headers) {
        if (absl::EqualsIgnoreCase(it.name, "Content-Type")) {
            type = it.value;
        } else if (!is_connection_field(it.name)) {
            response.headers.emplace(it.name, it.value);
        }
    }
    return type;
}

} // namespace

answer_end caller_front::collect(internal::caller_reply& answer, stored_answer& whole) const {
    for (;;) {
        auto event = answer.next();
        if (auto* start = std::get_if<answer_head>(&event)) {
            whole.status = start->status;
            whole.headers = std::move(start->headers);
        } else if (const auto* data = std::get_if<answer_data>(&event)) {
            whole.body += data->data;
            if (whole.body.size() > options_.max_collected_bytes) {
                answer.cancel();
                return {{}, result_code::answer_incomplete, executed::yes, {}};
            }
        } else if (auto* end = std::get_if<answer_end>(&event)) {
            if (end->code == result_code::ok && whole.status == 0) {
                return {{}, result_code::answer_incomplete, executed::yes, {}};
            }
            return *end;
        }
    }
}

void caller_front::send_whole(const stored_answer& answer, httplib::Response& response) {
    const auto type = set_head(answer.status, answer.headers, response);
    count(result_code::ok);
    if (has_body(answer.status)) {
        response.set_content(answer.body, type);
    }
}

void caller_front::pass_on(reply_pointer answer, const answer_head& start, httplib::Response& response) {
    const auto type = set_head(start.status, start.headers, response);
    if (!has_body(start.status)) {
        stored_answer rest;
        const auto end = collect(*answer, rest);
        if (end.code != result_code::ok && end.code != result_code::answer_incomplete) {
            refuse(response, end);
        } else {
            count(result_code::ok);
        }
        return;
    }
    response.set_chunked_content_provider(
        type, [this, answer = std::move(answer)](std::size_t /*offset*/, httplib::DataSink& sink) {
            auto event = answer->next();
            if (const auto* data = std::get_if<answer_data>(&event)) {
                if (!data->data.empty() && !sink.write(data->data.data(), data->data.size())) {
                    answer->cancel();
                    count(result_code::caller_gone);
                    return false;
                }
                return true;
            }
            const auto* end = std::get_if<answer_end>(&event);
            if (end == nullptr) {
                return true;
            }
            count(end->code);
            if (end->code != result_code::ok) {
                return false;
            }
            sink.done();
            return true;
        });
}

void caller_front::run_claimed(accepted_request work, const service_config& offer, const std::string& key,
                               httplib::Response& response) {
    if (key.empty()) {
        refuse(response, result_code::idempotency_key_missing);
        return;
    }
    if (key.size() > max_key_bytes) {
        refuse(response, result_code::malformed_request, "the Idempotency-Key is longer than 255 bytes");
        return;
    }
    // Before the claim: a cut-off router would wait for the store in vain, only to refuse the call afterwards.
    if (!gate_->config_fresh()) {
        counters_->add("refused_total", describe(result_code::configuration_stale).name);
        refuse(response, result_code::configuration_stale);
        return;
    }
    if (claims_ == nullptr) {
        refuse(response, result_code::store_unavailable);
        return;
    }
    auto decision = claims_->begin({work.team, work.service, key,
                                    fingerprint_of({work.request.method, work.request.path, work.request.body}),
                                    offer.queue_timeout_ms + offer.run_timeout_ms});
    if (decision.action == claim_decision::kind::replay) {
        counters_->add("claims_replayed_total");
        send_whole(decision.answer, response);
        return;
    }
    if (decision.action == claim_decision::kind::refuse) {
        refuse(response, {{}, decision.code, decision.state, decision.retry_after});
        return;
    }
    // Not cancelled when the caller leaves: the call may have begun, and its answer is kept for the resend.
    const auto answer = submit(std::move(work), offer, false);
    stored_answer whole;
    const auto end = collect(*answer, whole);
    if (end.code == result_code::ok) {
        decision.handle->finish(whole);
        send_whole(whole, response);
        return;
    }
    if (end.state == executed::no) {
        decision.handle->release();
    } else {
        decision.handle->abandon();
    }
    refuse(response, end);
}

void caller_front::call_service(const httplib::Request& request, httplib::Response& response) {
    const auto caller = authenticate(request, response);
    if (!caller) {
        return;
    }
    const auto target = parse_service_target(request.target, request.path);
    if (!target) {
        refuse(response, result_code::malformed_request, "the path is malformed");
        return;
    }
    const auto* offer = caller->config->find(service_id{target->name});
    if (!check_offer(offer, service_kind::plain, request.body.size(), response)) {
        return;
    }
    accepted_request work;
    work.team = caller->team->id;
    work.service = offer->id;
    work.idempotent = !not_repeatable(*offer, request.method, target->decoded);
    work.request = endpoint_call(request, *target);
    work.fingerprint = fingerprint_of({work.request.method, work.request.path, work.request.body, work.team.value});
    if (!work.idempotent) {
        run_claimed(std::move(work), *offer, request.get_header_value("Idempotency-Key"), response);
        return;
    }
    const auto answer = submit(std::move(work), *offer, true);
    const auto first = answer->next();
    if (const auto* start = std::get_if<answer_head>(&first)) {
        pass_on(answer, *start, response);
    } else if (const auto* end = std::get_if<answer_end>(&first); end != nullptr && end->code != result_code::ok) {
        refuse(response, *end);
    } else {
        refuse(response, {{}, result_code::answer_incomplete, executed::yes, {}});
    }
}

} // namespace dandelionbay
