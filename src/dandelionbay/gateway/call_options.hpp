#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/*! @brief Part of a prompt that an engine may keep for later prompts. */
struct prompt_part {
    std::uint64_t id{};     //!< Equal ids are equal text.
    std::uint32_t tokens{}; //!< Length.

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/*! @brief What a caller asks for besides method, path and body. */
struct call_options {
    std::string id{};                            //!< The caller's name for this attempt; empty if it sent none.
    std::string key{};                           //!< API key; empty if it sent none.
    std::optional<duration> time_left{};         //!< How long the caller waits, from the sending of the call.
    std::optional<std::uint64_t> resume_after{}; //!< Last event that the caller has of a stream.
    std::uint32_t prompt_tokens{};
    std::uint32_t output_tokens{};    //!< Upper bound of the generated tokens.
    std::vector<prompt_part> parts{}; //!< The prompt in order; the last part belongs to this call or its session.

    friend bool operator==(const call_options&, const call_options&) = default;
};

} // namespace dandelionbay
