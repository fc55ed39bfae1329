#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

/**
 * @brief Returns the rank of a router for a shared resource, by rendezvous hashing. All routers that know the same set
 * of routers compute the same ranks.
 * @param routers All routers.
 * @param self The router to rank.
 * @param key Key of the resource.
 * @return Rank, starting at 0.
 */
[[nodiscard]] std::size_t router_rank(const std::set<host_id>& routers, const host_id& self,
                                      std::uint64_t key) noexcept;

} // namespace dandelionbay
