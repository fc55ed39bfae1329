#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionbay {

/*! @brief Hash of texts in their order. @param texts What must be equal for two requests to count as the same. */
[[nodiscard]] std::uint64_t fingerprint_of(std::initializer_list<std::string_view> texts) noexcept;

/*! @brief A fingerprint as logs show it. @return 16 hexadecimal digits. */
[[nodiscard]] std::string fingerprint_text(std::uint64_t it);

/*! @brief Reads what fingerprint_text() wrote. @return Nothing for another text. */
[[nodiscard]] std::optional<std::uint64_t> parse_fingerprint(std::string_view text);

} // namespace dandelionbay
