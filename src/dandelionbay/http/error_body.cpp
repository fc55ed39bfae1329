#include "dandelionbay/http/error_body.hpp"

#include <nlohmann/json.hpp>

namespace dandelionbay {

std::string error_body(result_code code, executed state, std::string_view message) {
    using nlohmann::json;
    const auto& row = describe(code);
    const json error{{"message", message.empty() ? row.text : message},
                     {"type", row.name},
                     {"code", static_cast<unsigned>(row.code)},
                     {"executed", to_string(state)}};
    // Bytes of the request may be part of the message; the replacement keeps the answer valid UTF-8.
    return json{{"error", error}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace dandelionbay
