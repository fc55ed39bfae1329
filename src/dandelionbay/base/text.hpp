#pragma once

#include <string>
#include <string_view>
#include <type_traits>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace dandelionbay {

/*! @brief Converts to the library's view, which Debian builds as a type of its own. @return The same characters. */
[[nodiscard]] inline absl::string_view to_absl(std::string_view text) noexcept {
    return {text.data(), text.size()};
}

/*! @brief Converts from the library's view. @return The same characters. */
[[nodiscard]] inline std::string_view from_absl(absl::string_view text) noexcept {
    return {text.data(), text.size()};
}

/*! @brief absl::StrCat that also takes std::string_view. @param parts Texts and numbers. @return All in one text. */
template<typename... Parts>
[[nodiscard]] std::string concat(const Parts&... parts) {
    const auto convert = [](const auto& part) -> decltype(auto) {
        if constexpr (std::is_same_v<std::remove_cvref_t<decltype(part)>, std::string_view>) {
            return to_absl(part);
        } else {
            return (part);
        }
    };
    return absl::StrCat(convert(parts)...);
}

} // namespace dandelionbay
