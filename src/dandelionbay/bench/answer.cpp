#include "dandelionbay/bench/answer.hpp"

#include <nlohmann/json.hpp>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay::bench {

using nlohmann::json;

std::string refusal_code(std::string_view body, int status) {
    const auto document = json::parse(body, nullptr, false);
    const auto error = document.is_object() ? document.find("error") : document.end();
    if (error != document.end() && error->is_object() && error->contains("code")) {
        const auto& code = (*error)["code"];
        return code.is_string() ? code.get<std::string>() : code.dump();
    }
    return concat("http-", status);
}

std::string delta_text(std::string_view data) {
    const auto part = json::parse(data, nullptr, false);
    const auto path = json::json_pointer{"/choices/0/delta/content"};
    if (!part.is_object() || !part.contains(path) || !part[path].is_string()) {
        return {};
    }
    return part[path].get<std::string>();
}

} // namespace dandelionbay::bench
