#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace dandelionbay {

/*! @brief What the router needs to know of a chat completion request. */
struct chat_request {
    std::string model{};
    bool stream{};
    std::uint32_t input_tokens{};      //!< Estimate: a quarter of the bytes of the body.
    std::uint32_t max_output_tokens{}; //!< Zero if the caller set no limit.
    std::string engine_body{};         //!< Body for the engine, which always streams.

    friend bool operator==(const chat_request&, const chat_request&) = default;
};

/**
 * @brief Parses the body of a chat completion request.
 * @param body JSON text.
 * @return The request, or InvalidArgument with the fault.
 */
[[nodiscard]] absl::StatusOr<chat_request> parse_chat_request(std::string_view body);

} // namespace dandelionbay
