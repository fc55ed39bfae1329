#include "dandelionbay/base/socket_address.hpp"

#include <array>

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

[[nodiscard]] bool is_ip(const std::string& text, int family) noexcept {
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, text.c_str(), address.data()) == 1;
}

} // namespace

absl::StatusOr<socket_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos || text.find_first_not_of("0123456789", colon + 1) != std::string_view::npos ||
        !absl::SimpleAtoi(to_absl(text.substr(colon + 1)), &port) || port == 0 || port > 65'535) {
        return absl::InvalidArgumentError("expected IP address, colon and a port from 1 to 65535");
    }
    const bool bracketed = text.starts_with('[') && colon > 0 && text[colon - 1] == ']';
    const std::string ip{bracketed ? text.substr(1, colon - 2) : text.substr(0, colon)};
    if (!is_ip(ip, bracketed ? AF_INET6 : AF_INET)) {
        return absl::InvalidArgumentError(R"(expected an IP address such as "10.0.0.1:80" or "[::1]:80")");
    }
    return socket_address{ip, static_cast<std::uint16_t>(port)};
}

std::string to_string(const socket_address& address) {
    const bool v6 = address.ip.find(':') != std::string::npos;
    return concat(v6 ? "[" : "", address.ip, v6 ? "]:" : ":", address.port);
}

} // namespace dandelionbay
