#include "dandelionbay/http/chat_request.hpp"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace dandelionbay {

namespace {

using nlohmann::json;

// The library writes documents by recursion; deeper nesting could exhaust the stack.
constexpr int max_depth = 64;

constexpr std::size_t bytes_per_token = 4;

std::uint32_t limit_of(const json& document, const char* name) {
    const auto it = document.find(name);
    if (it == document.end() || !it->is_number_unsigned()) {
        return 0;
    }
    const auto most = std::uint64_t{std::numeric_limits<std::uint32_t>::max()};
    return static_cast<std::uint32_t>(std::min(it->get<std::uint64_t>(), most));
}

} // namespace

absl::StatusOr<chat_request> parse_chat_request(std::string_view body) {
    bool too_deep = false;
    const auto keep = [&](int depth, json::parse_event_t /*event*/, json& /*value*/) {
        too_deep = too_deep || depth > max_depth;
        return depth <= max_depth;
    };
    auto document = json::parse(body, keep, false);
    if (too_deep) {
        return absl::InvalidArgumentError("the body is nested too deeply");
    }
    if (!document.is_object()) {
        return absl::InvalidArgumentError("the body is not a JSON object");
    }
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string()) {
        return absl::InvalidArgumentError("\"model\" must be a string");
    }
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty()) {
        return absl::InvalidArgumentError("\"messages\" must be an array with at least one message");
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean() && !stream->is_null()) {
        return absl::InvalidArgumentError("\"stream\" must be a boolean");
    }
    chat_request request;
    request.model = model->get<std::string>();
    request.stream = stream != document.end() && stream->is_boolean() && stream->get<bool>();
    request.input_tokens = static_cast<std::uint32_t>(std::max<std::size_t>(1, body.size() / bytes_per_token));
    request.max_output_tokens = std::max(limit_of(document, "max_tokens"), limit_of(document, "max_completion_tokens"));
    if (request.stream) {
        request.engine_body = body;
        return request;
    }
    document["stream"] = true;
    document["stream_options"] = {{"include_usage", true}};
    try {
        request.engine_body = document.dump();
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("the body is not valid UTF-8");
    }
    return request;
}

} // namespace dandelionbay
