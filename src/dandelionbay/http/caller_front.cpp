#include "dandelionbay/http/caller_front.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "dandelionbay/base/fingerprint.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/chat_request.hpp"
#include "dandelionbay/http/error_body.hpp"
#include "dandelionbay/http/event_stream.hpp"

namespace dandelionbay {

namespace {

constexpr auto* json_type = "application/json";
constexpr auto* stream_type = "text/event-stream";
constexpr std::string_view bearer = "Bearer ";

bool is_event_stream(const answer_head& start) {
    return start.status == 200 && std::ranges::any_of(start.headers, [](const header_field& it) {
               return absl::EqualsIgnoreCase(it.name, "Content-Type") &&
                      absl::StartsWithIgnoreCase(it.value, stream_type);
           });
}

std::string error_event(const answer_end& why) {
    return absl::StrCat("event: error\ndata: ", error_body(why.code, why.state), "\n\n");
}

bool write(httplib::DataSink& sink, std::string_view text) {
    return text.empty() || sink.write(text.data(), text.size());
}

} // namespace

void caller_front::count(result_code code) {
    counters_->add("caller_answers_total", describe(code).name);
}

void caller_front::refuse(httplib::Response& response, const answer_end& why, std::string_view text) {
    const auto& info = describe(why.code);
    count(why.code);
    response.status = info.http_status;
    if (why.retry_after > duration::zero() || info.http_status == 429 || info.http_status == 503) {
        const auto seconds =
            std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(why.retry_after).count());
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(error_body(why.code, why.state, text), json_type);
}

void caller_front::refuse(httplib::Response& response, result_code code, std::string_view text) {
    refuse(response, answer_end{{}, code, executed::no, {}}, text);
}

std::optional<caller_front::identity> caller_front::authenticate(const httplib::Request& request,
                                                                 httplib::Response& response) {
    auto config = gate_->config();
    if (config == nullptr) {
        refuse(response, result_code::configuration_stale, "the router has no configuration yet");
        return std::nullopt;
    }
    const auto field = request.get_header_value("Authorization");
    const auto text = std::string_view{field};
    const auto* team = text.starts_with(bearer) ? config->team_by_token(text.substr(bearer.size())) : nullptr;
    if (team == nullptr) {
        refuse(response, result_code::invalid_token);
        return std::nullopt;
    }
    return identity{std::move(config), team};
}

bool caller_front::check_offer(const service_config* offer, service_kind kind, std::size_t body_bytes,
                               httplib::Response& response) {
    if (offer == nullptr || offer->kind != kind) {
        refuse(response, kind == service_kind::model ? result_code::unknown_model : result_code::unknown_service);
        return false;
    }
    if (body_bytes > offer->max_body_bytes) {
        refuse(response, result_code::request_too_large);
        return false;
    }
    return true;
}

void caller_front::get_models(const httplib::Request& request, httplib::Response& response) {
    const auto caller = authenticate(request, response);
    if (!caller) {
        return;
    }
    auto list = nlohmann::json::array();
    for (const auto& it : caller->config->services) {
        if (it.kind == service_kind::model) {
            list.push_back({{"id", it.model}, {"object", "model"}, {"created", 0}, {"owned_by", it.id.value}});
        }
    }
    response.set_content(nlohmann::json{{"object", "list"}, {"data", std::move(list)}}.dump(), json_type);
}

void caller_front::get_health(httplib::Response& response) const {
    response.status = gate_->stopping() ? 503 : 200;
    response.set_content(gate_->stopping() ? "stopping\n" : "ok\n", "text/plain");
}

caller_front::reply_pointer caller_front::submit(accepted_request work, const service_config& offer, bool cancellable) {
    // A request may wait and run a second time after a retry.
    const auto limit =
        2 * (std::chrono::milliseconds{offer.queue_timeout_ms} + std::chrono::milliseconds{offer.run_timeout_ms}) +
        options_.slack;
    counters_->add("caller_requests_total", offer.id.value);
    return std::make_shared<internal::caller_reply>(gate_->submit(std::move(work)), clock_->now() + limit, cancellable,
                                                    *clock_);
}

void caller_front::post_chat(const httplib::Request& request, httplib::Response& response) {
    const auto caller = authenticate(request, response);
    if (!caller) {
        return;
    }
    if (!bounded_server::hidden().content_encoding.empty()) {
        refuse(response, result_code::malformed_request, "a compressed body is not supported");
        return;
    }
    auto parsed = parse_chat_request(request.body);
    if (!parsed.ok()) {
        refuse(response, result_code::malformed_request, from_absl(parsed.status().message()));
        return;
    }
    const auto* offer = caller->config->service_by_model(parsed->model);
    if (!check_offer(offer, service_kind::model, request.body.size(), response)) {
        return;
    }
    accepted_request work;
    work.team = caller->team->id;
    work.service = offer->id;
    work.fingerprint = fingerprint_of({request.path, work.team.value, request.body});
    work.input_tokens = parsed->input_tokens;
    work.max_output_tokens = parsed->max_output_tokens;
    work.request = call{"POST",
                        "/v1/chat/completions",
                        {{"Content-Type", json_type}, {"Accept", stream_type}},
                        std::move(parsed->engine_body)};
    auto answer = submit(std::move(work), *offer, true);
    auto first = answer->next();
    if (const auto* end = std::get_if<answer_end>(&first)) {
        refuse(response,
               end->code == result_code::ok ? answer_end{{}, result_code::answer_incomplete, executed::yes, {}} : *end);
        return;
    }
    const auto* start = std::get_if<answer_head>(&first);
    if (start == nullptr) {
        refuse(response, {{}, result_code::internal_error, executed::unknown, {}});
    } else if (!is_event_stream(*start)) {
        pass_on(std::move(answer), *start, response);
    } else if (parsed->stream) {
        stream_chat(std::move(answer), response);
    } else {
        collect_chat(*answer, response);
    }
}

void caller_front::stream_chat(reply_pointer answer, httplib::Response& response) {
    struct progress {
        event_splitter splitter{};
        bool ended{};
    };
    auto state = std::make_shared<progress>();
    const auto provider = [this, answer = std::move(answer), state](std::size_t /*offset*/, httplib::DataSink& sink) {
        auto event = answer->next();
        if (const auto* data = std::get_if<answer_data>(&event)) {
            // The end mark is held back until the router has confirmed that the answer is complete.
            std::string whole;
            state->splitter.feed(data->data, [&](std::string_view it) {
                const bool is_end = event_data(it) == end_of_stream;
                state->ended = state->ended || is_end;
                whole.append(is_end ? std::string_view{} : it);
            });
            const bool fits = state->splitter.buffered() <= options_.max_collected_bytes;
            if (!fits || !write(sink, whole)) {
                answer->cancel();
                count(result_code::caller_gone);
                return false;
            }
            return true;
        }
        auto* end = std::get_if<answer_end>(&event);
        if (end == nullptr) {
            return true;
        }
        if (end->code == result_code::ok && (!state->ended || state->splitter.buffered() > 0)) {
            end->code = result_code::answer_incomplete;
        }
        count(end->code);
        if (end->code != result_code::ok) {
            write(sink, error_event(*end));
            return false;
        }
        if (!write(sink, absl::StrCat("data: ", to_absl(end_of_stream), "\n\n"))) {
            return false;
        }
        sink.done();
        return true;
    };
    response.status = 200;
    response.set_header("Cache-Control", "no-cache");
    response.set_chunked_content_provider(stream_type, provider);
}

void caller_front::collect_chat(internal::caller_reply& answer, httplib::Response& response) {
    event_splitter splitter;
    completion_builder builder;
    std::size_t bytes = 0;
    bool ended = false;
    bool valid = true;
    for (;;) {
        auto event = answer.next();
        if (const auto* data = std::get_if<answer_data>(&event)) {
            bytes += data->data.size();
            splitter.feed(data->data, [&](std::string_view it) {
                const auto text = event_data(it);
                ended = ended || text == end_of_stream;
                valid = builder.add(text) && valid;
            });
            if (bytes > options_.max_collected_bytes) {
                answer.cancel();
                refuse(response, {{}, result_code::answer_incomplete, executed::yes, {}}, "the answer is too long");
                return;
            }
            continue;
        }
        const auto* end = std::get_if<answer_end>(&event);
        if (end == nullptr) {
            continue;
        }
        if (end->code != result_code::ok) {
            refuse(response, *end);
        } else if (!ended || !valid || splitter.buffered() > 0) {
            refuse(response, {{}, result_code::answer_incomplete, executed::yes, {}});
        } else {
            count(result_code::ok);
            response.set_content(builder.text(), json_type);
        }
        return;
    }
}

caller_front::caller_front(caller_front_options options, caller_gate& gate, claim_guard* claims, const clock& time,
                           counters& metrics)
    : options_{std::move(options)}, gate_{&gate}, claims_{claims}, clock_{&time}, counters_{&metrics},
      server_{options_.threads, options_.limits, time, metrics} {
    using httplib::Request;
    using httplib::Response;
    server_.Post("/v1/chat/completions",
                 [this](const Request& request, Response& response) { post_chat(request, response); });
    server_.Get("/v1/models", [this](const Request& request, Response& response) { get_models(request, response); });
    server_.Get("/healthz", [this](const Request& /*request*/, Response& response) { get_health(response); });
    server_.Get("/metrics", [this](const Request& /*request*/, Response& response) {
        response.set_content(counters_->render(), "text/plain; version=0.0.4");
    });
    const auto service_call = [this](const Request& request, Response& response) { call_service(request, response); };
    const auto* const services = R"(/services/[\s\S]*)";
    server_.Get(services, service_call);
    server_.Post(services, service_call);
    server_.Put(services, service_call);
    server_.Patch(services, service_call);
    server_.Delete(services, service_call);
    server_.Options(services, service_call);
}

caller_front::~caller_front() {
    stop();
}

absl::Status caller_front::start(kernel& /*host*/) {
    return server_.start(options_.listen);
}

void caller_front::stop() noexcept {
    server_.finish();
}

} // namespace dandelionbay
