#include "dandelionbay/proxy/http_message.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/http/status.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

constexpr std::array<std::string_view, 10> hop_fields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

void append_fields(std::string& out, const field_list& fields) {
    for (const auto& [name, value] : fields) {
        absl::StrAppend(&out, name, ": ", value, "\r\n");
    }
}

} // namespace

bool equal_field_names(std::string_view a, std::string_view b) noexcept {
    return absl::EqualsIgnoreCase(to_absl(a), to_absl(b));
}

std::string_view find_field(const field_list& fields, std::string_view name) noexcept {
    const auto it =
        std::ranges::find_if(fields, [&](const auto& field) { return equal_field_names(field.first, name); });
    return it == fields.end() ? std::string_view{} : std::string_view{it->second};
}

bool has_field(const field_list& fields, std::string_view name) noexcept {
    return std::ranges::any_of(fields, [&](const auto& field) { return equal_field_names(field.first, name); });
}

void remove_hop_by_hop_fields(field_list& fields) {
    std::vector<std::string> named;
    for (const auto& [name, value] : fields) {
        if (equal_field_names(name, "Connection")) {
            for (const auto part : absl::StrSplit(to_absl(value), ',')) {
                named.emplace_back(from_absl(absl::StripAsciiWhitespace(part)));
            }
        }
    }
    std::erase_if(fields, [&](const auto& field) {
        const auto is = [&](std::string_view name) { return equal_field_names(field.first, name); };
        return std::ranges::any_of(hop_fields, is) || std::ranges::any_of(named, is);
    });
}

std::string_view reason_phrase(int status) noexcept {
    const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {text.data(), text.size()};
}

std::string write_head(const response_head& head) {
    std::string out =
        concat("HTTP/1.1 ", head.status, " ", head.reason.empty() ? reason_phrase(head.status) : head.reason, "\r\n");
    append_fields(out, head.fields);
    out += "\r\n";
    return out;
}

std::string write_request(std::string_view method, std::string_view target, const field_list& fields,
                          std::string_view body) {
    std::string out = concat(method, " ", target, " HTTP/1.1\r\n");
    append_fields(out, fields);
    if (!body.empty() || method == "POST" || method == "PUT") {
        absl::StrAppend(&out, "Content-Length: ", body.size(), "\r\n");
    }
    absl::StrAppend(&out, "\r\n", to_absl(body));
    return out;
}

std::string write_chunk(std::string_view bytes) {
    if (bytes.empty()) {
        return {};
    }
    return concat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

} // namespace dandelionbay
