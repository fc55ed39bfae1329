#pragma once

#include <cstdint>
#include <string_view>

namespace dandelionbay {

/*! @brief Hashes a name, for orders that all hosts agree on. @param name It. @param seed Another hash, or 0. */
[[nodiscard]] std::uint64_t name_hash(std::string_view name, std::uint64_t seed = 0) noexcept;

/*! @brief Hashes two numbers into one, of which each bit depends on all of theirs. */
[[nodiscard]] constexpr std::uint64_t mixed_hash(std::uint64_t first, std::uint64_t second) noexcept {
    // The finalizer of SplitMix64.
    std::uint64_t out = first ^ (second + 0x9E3779B97F4A7C15U + (first << 6U) + (first >> 2U));
    out = (out ^ (out >> 30U)) * 0xBF58476D1CE4E5B9U;
    out = (out ^ (out >> 27U)) * 0x94D049BB133111EBU;
    return out ^ (out >> 31U);
}

} // namespace dandelionbay
