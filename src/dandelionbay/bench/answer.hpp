#pragma once

#include <string>
#include <string_view>

namespace dandelionbay::bench {

/**
 * @brief Reads the code of a refusal.
 * @param body Body of an answer with an error status.
 * @param status HTTP status.
 * @return Numeric result code (docs/errors.md), or "http-STATUS" if the body has none.
 */
[[nodiscard]] std::string refusal_code(std::string_view body, int status);

/**
 * @brief Reads the text that an event of a completion stream adds.
 * @param data Data of the event.
 * @return Content of its first choice; empty if it has none or isn't well formed.
 */
[[nodiscard]] std::string delta_text(std::string_view data);

} // namespace dandelionbay::bench
