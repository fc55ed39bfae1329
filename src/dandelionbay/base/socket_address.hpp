#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace dandelionbay {

/*! @brief IP address and TCP port. */
struct socket_address {
    std::string ip{};
    std::uint16_t port{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const socket_address&, const socket_address&) = default;
    friend bool operator==(const socket_address&, const socket_address&) = default;
};

/**
 * @brief Parses an address.
 * @param text IP address and port: "10.0.0.1:80" or "[::1]:80"; no host names.
 * @return The address, or InvalidArgument.
 */
[[nodiscard]] absl::StatusOr<socket_address> parse_address(std::string_view text);

/*! @brief Writes an address. @param address The address. @return Text that parse_address() takes. */
[[nodiscard]] std::string to_string(const socket_address& address);

} // namespace dandelionbay
