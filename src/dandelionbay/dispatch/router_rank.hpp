#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

/*! @brief Hashes a name. @param name It. @param seed Another name's hash, or 0. */
[[nodiscard]] std::uint64_t name_hash(std::string_view name, std::uint64_t seed) noexcept;

/**
 * @brief Rank of a router for something that routers share, by rendezvous hashing: all that know the same routers
 * agree.
 * @param routers All routers.
 * @param self One of them.
 * @param key Of what they share.
 * @return From 0.
 */
[[nodiscard]] std::size_t router_rank(const std::set<host_id>& routers, const host_id& self,
                                      std::uint64_t key) noexcept;

} // namespace dandelionbay
