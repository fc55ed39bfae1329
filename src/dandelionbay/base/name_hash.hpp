#pragma once

#include <cstdint>
#include <string_view>

namespace dandelionbay {

/*! @brief Hashes a name, for orders that all hosts agree on. @param name It. @param seed Another hash, or 0. */
[[nodiscard]] std::uint64_t name_hash(std::string_view name, std::uint64_t seed = 0) noexcept;

} // namespace dandelionbay
