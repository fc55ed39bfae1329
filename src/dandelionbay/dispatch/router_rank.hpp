#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

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
