#include "dandelionbay/base/name_hash.hpp"

#include <xxhash.h>

namespace dandelionbay {

std::uint64_t name_hash(std::string_view name, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace dandelionbay
