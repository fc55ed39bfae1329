#include "dandelionbay/base/fingerprint.hpp"

#include <xxhash.h>

#include "absl/strings/numbers.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

std::uint64_t fingerprint_of(std::initializer_list<std::string_view> texts) noexcept {
    std::uint64_t out = 0;
    for (const auto text : texts) {
        out = XXH64(text.data(), text.size(), out);
    }
    return out;
}

std::string fingerprint_text(std::uint64_t it) {
    return concat(absl::Hex(it, absl::kZeroPad16));
}

std::optional<std::uint64_t> parse_fingerprint(std::string_view text) {
    constexpr std::size_t digits = 16;
    std::uint64_t out = 0;
    if (text.size() != digits || !absl::SimpleHexAtoi(to_absl(text), &out)) {
        return std::nullopt;
    }
    return out;
}

} // namespace dandelionbay
