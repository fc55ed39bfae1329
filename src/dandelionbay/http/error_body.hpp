#pragma once

#include <string>
#include <string_view>

#include "dandelionbay/base/result_code.hpp"

namespace dandelionbay {

/**
 * @brief Body of an error answer.
 * @param code The result code; gives "type", "code" and, if message is empty, "message".
 * @param state Whether the request ran.
 * @param message Text for people.
 * @return JSON text {"error": {"message", "type", "code", "executed"}}.
 */
[[nodiscard]] std::string error_body(result_code code, executed state, std::string_view message = {});

} // namespace dandelionbay
