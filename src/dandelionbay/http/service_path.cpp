#include "dandelionbay/http/service_path.hpp"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

constexpr std::string_view root = "/services/";

// Fields of the connection, fields that the HTTP library computes or adds, and the caller's token.
constexpr std::array<std::string_view, 21> connection_fields{"accept-encoding",
                                                             "authorization",
                                                             "connection",
                                                             "content-length",
                                                             "expect",
                                                             "host",
                                                             "keep-alive",
                                                             "local_addr",
                                                             "local_port",
                                                             "proxy-authenticate",
                                                             "proxy-connection",
                                                             "range",
                                                             "remote_addr",
                                                             "remote_port",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade",
                                                             "http2-settings",
                                                             "proxy-authorization",
                                                             "if-range"};

} // namespace

std::optional<service_target> parse_service_target(std::string_view target, std::string_view decoded_path) {
    if (!target.starts_with(root)) {
        return std::nullopt;
    }
    auto rest = target.substr(root.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const auto name = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto prefix = std::string{root}.append(name);
    if (name.empty() || name.find('%') != std::string_view::npos || !decoded_path.starts_with(prefix)) {
        return std::nullopt;
    }
    service_target parsed{std::string{name}, {}, {}};
    parsed.path = rest.starts_with('/') ? std::string{rest} : "/" + std::string{rest};
    for (const char it : decoded_path.substr(prefix.size())) {
        if (static_cast<unsigned char>(it) < ' ') {
            return std::nullopt;
        }
        if (it != '/' || !parsed.decoded.ends_with('/')) {
            parsed.decoded += it;
        }
    }
    if (!parsed.decoded.starts_with('/')) {
        parsed.decoded.insert(0, 1, '/');
    }
    const auto padded = parsed.decoded + "/";
    if (padded.find("/./") != std::string::npos || padded.find("/../") != std::string::npos) {
        return std::nullopt;
    }
    return parsed;
}

bool not_repeatable(const service_config& service, std::string_view method, std::string_view decoded) {
    return std::ranges::any_of(service.not_repeatable, [&](const call_rule& it) {
        return (it.method == "*" || it.method == method) && decoded.starts_with(it.path_prefix);
    });
}

bool is_connection_field(std::string_view name) {
    return std::ranges::find(connection_fields, absl::AsciiStrToLower(to_absl(name))) != connection_fields.end();
}

} // namespace dandelionbay
