#include "dandelionbay/claim/claim_row.hpp"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "dandelionbay/store/percent.hpp"

namespace dandelionbay {

namespace {

using nlohmann::json;

json answer_to_json(const stored_answer& answer) {
    auto headers = json::array();
    for (const auto& it : answer.headers) {
        headers.push_back(json::array({it.name, it.value}));
    }
    return {{"status", answer.status}, {"headers", std::move(headers)}, {"body", answer.body}};
}

// Throws json::exception if a member is missing or has the wrong type.
stored_answer answer_from(const json& document) {
    stored_answer answer;
    answer.status = document.at("status").get<std::int32_t>();
    for (const auto& it : document.at("headers")) {
        answer.headers.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>()});
    }
    answer.body = document.at("body").get<std::string>();
    return answer;
}

} // namespace

std::string claim_key(const claim_request& request) {
    return absl::StrCat(percent_encode(request.team.value), "/", percent_encode(request.service.value), "/",
                        percent_encode(request.key));
}

std::string encode_claim(const claim_row& row) {
    // Unlike JSON text, msgpack keeps bodies and headers that are not UTF-8.
    const json document{{"state", static_cast<unsigned>(row.state)},
                        {"change_id", row.change_id},
                        {"host", row.owner.host.value},
                        {"incarnation", row.owner.incarnation},
                        {"fingerprint", row.fingerprint},
                        {"started", row.started_unix_ms},
                        {"limit", row.limit_ms},
                        {"answer_kept", row.answer_kept},
                        {"answer", answer_to_json(row.answer)}};
    std::string value;
    json::to_msgpack(document, value);
    return value;
}

std::optional<claim_row> decode_claim(std::string_view value) {
    try {
        const auto document = json::from_msgpack(value);
        const auto state = document.at("state").get<unsigned>();
        if (state > static_cast<unsigned>(claim_state::released)) {
            return std::nullopt;
        }
        claim_row row;
        row.state = static_cast<claim_state>(state);
        row.change_id = document.at("change_id").get<std::string>();
        row.owner = {host_id{document.at("host").get<std::string>()},
                     document.at("incarnation").get<incarnation_type>()};
        row.fingerprint = document.at("fingerprint").get<std::uint64_t>();
        row.started_unix_ms = document.at("started").get<std::int64_t>();
        row.limit_ms = document.at("limit").get<std::uint32_t>();
        row.answer_kept = document.at("answer_kept").get<bool>();
        row.answer = answer_from(document.at("answer"));
        return row;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace dandelionbay
