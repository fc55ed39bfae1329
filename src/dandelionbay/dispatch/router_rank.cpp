#include "dandelionbay/dispatch/router_rank.hpp"

#include <algorithm>

#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

std::size_t router_rank(const std::set<host_id>& routers, const host_id& self, std::uint64_t key) noexcept {
    const auto own = name_hash(self.value, key);
    return static_cast<std::size_t>(
        std::ranges::count_if(routers, [&](const host_id& it) { return name_hash(it.value, key) < own; }));
}

} // namespace dandelionbay
