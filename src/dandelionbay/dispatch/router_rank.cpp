#include "dandelionbay/dispatch/router_rank.hpp"

#include <algorithm>

#include <xxhash.h>

namespace dandelionbay {

std::uint64_t name_hash(std::string_view name, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

std::size_t router_rank(const std::set<host_id>& routers, const host_id& self, std::uint64_t key) noexcept {
    const auto own = name_hash(self.value, key);
    return static_cast<std::size_t>(
        std::ranges::count_if(routers, [&](const host_id& it) { return name_hash(it.value, key) < own; }));
}

} // namespace dandelionbay
