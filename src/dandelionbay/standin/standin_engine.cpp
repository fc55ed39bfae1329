#include "dandelionbay/standin/standin_engine.hpp"

#include <httplib.h>
#include <xxhash.h>

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "dandelionbay/standin/engine_load.hpp"
#include "dandelionbay/standin/http_host.hpp"

namespace dandelionbay {

namespace {

using nlohmann::json;

constexpr auto* json_type = "application/json";
constexpr std::uint32_t most_tokens = 100'000;

struct completion_call {
    std::string prompt{};
    std::string model{};
    std::uint32_t tokens{};
    bool stream{};
    bool usage_in_stream{true};
};

// Throws json::exception if a member is missing or has the wrong type.
completion_call parse_call(const std::string& body, std::uint32_t default_tokens) {
    const auto document = json::parse(body);
    completion_call call;
    for (const auto& message : document.at("messages")) {
        const auto& content = message.at("content");
        if (content.is_array()) {
            for (const auto& part : content) {
                call.prompt += part.value("text", "");
            }
        } else {
            call.prompt += content.get<std::string>();
        }
        call.prompt += '\n';
    }
    call.model = document.value("model", "");
    call.tokens = std::clamp(document.value("max_tokens", default_tokens), 1U, most_tokens);
    call.stream = document.value("stream", false);
    if (const auto options = document.find("stream_options"); options != document.end() && options->is_object()) {
        call.usage_in_stream = options->value("include_usage", true);
    }
    return call;
}

std::string token_text(std::uint64_t prompt_hash, std::uint32_t index) {
    constexpr std::uint64_t mask = 0xFFFFF;
    const auto word = XXH64(&index, sizeof(index), prompt_hash) & mask;
    return absl::StrCat(index == 0 ? "" : " ", absl::Hex(word, absl::kZeroPad5));
}

std::uint64_t hash_of(std::string_view prompt) {
    return XXH64(prompt.data(), prompt.size(), 0);
}

json usage_of(const completion_call& call) {
    const std::vector<std::string> words = absl::StrSplit(call.prompt, absl::ByAnyChar(" \n\t"), absl::SkipEmpty());
    const auto prompt_tokens = std::max<std::size_t>(words.size(), 1);
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", call.tokens},
            {"total_tokens", prompt_tokens + call.tokens}};
}

std::string stream_event(const completion_call& call, json choices, json usage = nullptr) {
    json event{{"id", absl::StrCat("chatcmpl-", absl::Hex(hash_of(call.prompt)))},
               {"object", "chat.completion.chunk"},
               {"created", 0},
               {"model", call.model},
               {"choices", std::move(choices)}};
    if (!usage.is_null()) {
        event["usage"] = std::move(usage);
    }
    return absl::StrCat("data: ", event.dump(), "\n\n");
}

json stream_choice(json delta, const json& finish_reason) {
    return json::array({{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", finish_reason}}});
}

void answer_error(httplib::Response& response, int status, const std::string& text) {
    response.status = status;
    response.set_content(json{{"error", {{"message", text}}}}.dump(), json_type);
}

} // namespace

class standin_engine::state {
    [[nodiscard]] token_observer current_observer() {
        const std::lock_guard lock{observer_mutex};
        return observer;
    }

    void stream(const completion_call& call, std::shared_ptr<internal::engine_load::run> run,
                httplib::Response& response) {
        const auto provider = [call, run = std::move(run), made = std::uint32_t{0}, seen = current_observer(),
                               begin = std::chrono::steady_clock::now()](std::size_t /*offset*/,
                                                                         httplib::DataSink& sink) mutable {
            if (!run->next_token()) {
                return false;
            }
            if (seen) {
                const auto at = std::chrono::steady_clock::now() - begin;
                seen({call.prompt, std::chrono::duration_cast<std::chrono::microseconds>(at)});
            }
            auto text =
                stream_event(call, stream_choice({{"content", token_text(hash_of(call.prompt), made)}}, nullptr));
            ++made;
            if (made < call.tokens) {
                return sink.write(text.data(), text.size());
            }
            text += stream_event(call, stream_choice(json::object(), "stop"));
            if (call.usage_in_stream) {
                text += stream_event(call, json::array(), usage_of(call));
            }
            text += "data: [DONE]\n\n";
            run->complete();
            if (!sink.write(text.data(), text.size())) {
                return false;
            }
            sink.done();
            return true;
        };
        response.set_chunked_content_provider("text/event-stream", provider);
    }

    void complete(const httplib::Request& request, httplib::Response& response) {
        completion_call call;
        try {
            call = parse_call(request.body, options.default_tokens);
        } catch (const json::exception& ec) {
            answer_error(response, 400, ec.what());
            return;
        }
        if (load.starting()) {
            answer_error(response, 503, "the engine is starting");
            return;
        }
        auto run = load.begin();
        if (run == nullptr) {
            answer_error(response, 500, "the engine failed under full load in cold start");
            return;
        }
        if (!options.crash_marker.empty() && call.prompt.find(options.crash_marker) != std::string::npos) {
            // The crash follows the first token's delay, so that other requests are running by then.
            if (run->next_token()) {
                crash();
            }
            http_host::drop_current();
            return;
        }
        if (call.stream) {
            stream(call, std::move(run), response);
            return;
        }
        for (std::uint32_t made = 0; made < call.tokens; ++made) {
            if (!run->next_token()) {
                http_host::drop_current();
                return;
            }
        }
        run->complete();
        const json reply{{"role", "assistant"}, {"content", expected_answer(call.prompt, call.tokens)}};
        const json answer{{"id", absl::StrCat("chatcmpl-", absl::Hex(hash_of(call.prompt)))},
                          {"object", "chat.completion"},
                          {"created", 0},
                          {"model", call.model},
                          {"choices", json::array({{{"index", 0}, {"message", reply}, {"finish_reason", "stop"}}})},
                          {"usage", usage_of(call)}};
        response.set_content(answer.dump(), json_type);
    }

    void post_faults(const httplib::Request& request, httplib::Response& response) {
        try {
            const auto change = json::parse(request.body);
            if (change.contains("cold_ms")) {
                load.make_cold(std::chrono::milliseconds{change.at("cold_ms").get<std::int64_t>()});
            }
            if (change.contains("hang")) {
                load.set_hanging(change.at("hang").get<bool>());
            }
            if (change.value("crash", false)) {
                crash();
            }
            response.status = 204;
        } catch (const json::exception& ec) {
            answer_error(response, 400, ec.what());
        }
    }

    void get_stats(httplib::Response& response) {
        const auto now = load.stats();
        const json answer{{"started", now.started},
                          {"completed", now.completed},
                          {"cancelled", now.cancelled},
                          {"failed", now.failed},
                          {"crashes", now.crashes},
                          {"cold_violations", now.cold_violations},
                          {"output_tokens", now.output_tokens},
                          {"max_running", now.max_running}};
        response.set_content(answer.dump(), json_type);
    }

public:
    explicit state(standin_engine_options settings) : options{std::move(settings)}, load{options} {
        auto& routes = host.routes();
        routes.Post("/v1/chat/completions",
                    [this](const httplib::Request& request, auto& response) { complete(request, response); });
        routes.Get("/v1/models", [](const auto& /*request*/, auto& response) {
            response.set_content(R"({"object":"list","data":[]})", json_type);
        });
        routes.Get("/state", [this](const auto& /*request*/, auto& response) {
            const auto now = load.lagging_report();
            const json answer{{"process", now.process}, {"cold", now.cold}, {"running", now.running}};
            response.set_content(answer.dump(), json_type);
        });
        routes.Get("/stats", [this](const auto& /*request*/, auto& response) { get_stats(response); });
        routes.Post("/faults",
                    [this](const httplib::Request& request, auto& response) { post_faults(request, response); });
    }

    void crash() { crash(options.cold_time); }

    void crash(std::chrono::milliseconds cold_time) {
        load.crash(cold_time);
        host.drop_connections();
    }

    const standin_engine_options options;
    internal::engine_load load;
    std::mutex observer_mutex;
    token_observer observer;
    http_host host; // Last, so that its threads end before what they use.
};

standin_engine::standin_engine(standin_engine_options options) : state_{std::make_unique<state>(std::move(options))} {}

standin_engine::~standin_engine() {
    stop();
}

absl::Status standin_engine::start() {
    return state_->host.start(state_->options.listen);
}

void standin_engine::stop() noexcept {
    state_->load.stop();
    state_->host.stop();
}

std::uint16_t standin_engine::port() const noexcept {
    return state_->host.port();
}

void standin_engine::crash() {
    state_->crash();
}

void standin_engine::crash(std::chrono::milliseconds cold_time) {
    state_->crash(cold_time);
}

void standin_engine::make_cold(std::chrono::milliseconds length) {
    state_->load.make_cold(length);
}

void standin_engine::set_hanging(bool hanging) {
    state_->load.set_hanging(hanging);
}

void standin_engine::observe(token_observer it) {
    const std::lock_guard lock{state_->observer_mutex};
    state_->observer = std::move(it);
}

bool standin_engine::cold() const {
    return state_->load.report().cold;
}

std::uint32_t standin_engine::running() const {
    return state_->load.report().running;
}

engine_stats standin_engine::stats() const {
    return state_->load.stats();
}

std::string standin_engine::expected_answer(std::string_view prompt, std::uint32_t tokens) {
    const auto hash = hash_of(prompt);
    std::string text;
    for (std::uint32_t made = 0; made < tokens; ++made) {
        text += token_text(hash, made);
    }
    return text;
}

} // namespace dandelionbay
