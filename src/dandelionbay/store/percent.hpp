#pragma once

#include <string>
#include <string_view>

namespace dandelionbay {

/**
 * @brief Percent-encodes every byte that is not unreserved in a URI.
 * @param text Any bytes.
 * @return Text that is safe as one path segment.
 */
[[nodiscard]] std::string percent_encode(std::string_view text);

} // namespace dandelionbay
