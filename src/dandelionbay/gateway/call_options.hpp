#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/*! @brief Part of a prompt that an engine may keep in its prefix cache for later prompts. */
struct prompt_part {
    std::uint64_t id{};     //!< Equal ids mean equal text.
    std::uint32_t tokens{}; //!< Length in tokens.

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/*! @brief Returns the parts of a prompt that other calls may share: all but the last. @param parts The prompt. */
[[nodiscard]] inline std::span<const prompt_part> shared_parts(const std::vector<prompt_part>& parts) noexcept {
    return std::span{parts}.first(parts.empty() ? 0 : parts.size() - 1);
}

/*! @brief Properties of a call that its caller sets besides method, path and body. */
struct call_options {
    std::string id{};                            //!< Identifier that the caller gave this attempt; empty if none.
    std::string key{};                           //!< API key; empty if none was sent.
    std::optional<duration> time_left{};         //!< Time that the caller waits, counted from sending the call.
    std::optional<std::uint64_t> resume_after{}; //!< Last event of a stream that the caller has received.
    std::string resumed_stream{}; //!< The caller's id of the attempt that brought the first event of that stream.
    std::uint32_t prompt_tokens{};
    std::uint32_t output_tokens{};    //!< Upper bound of the generated tokens.
    std::vector<prompt_part> parts{}; //!< The prompt in order; the last part belongs to this call or its session.

    friend bool operator==(const call_options&, const call_options&) = default;
};

} // namespace dandelionbay
