#include "dandelionbay/store/percent.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace dandelionbay {

std::string percent_encode(std::string_view text) {
    std::string encoded;
    encoded.reserve(text.size());
    for (const auto it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (absl::ascii_isalnum(byte) || it == '-' || it == '.' || it == '_' || it == '~') {
            encoded += it;
        } else {
            absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
        }
    }
    return encoded;
}

} // namespace dandelionbay
