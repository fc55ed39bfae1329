#include "dandelionbay/dispatch/router_rank.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

// Guards against two routers that both rank themselves first, and against one router that is first for every key.
TEST(router_rank, routers_agree_on_an_order_that_differs_by_key) {
    const std::set<host_id> routers{host_id{"r1"}, host_id{"r2"}, host_id{"r3"}, host_id{"r4"}};
    std::set<std::size_t> ranks_of_first;
    for (std::uint64_t key = 0; key < 100; ++key) {
        std::set<std::size_t> ranks;
        for (const auto& it : routers) {
            ranks.insert(router_rank(routers, it, key));
        }
        EXPECT_EQ(ranks, (std::set<std::size_t>{0, 1, 2, 3})) << key;
        ranks_of_first.insert(router_rank(routers, host_id{"r1"}, key));
    }
    EXPECT_EQ(ranks_of_first.size(), routers.size());
}

} // namespace
} // namespace dandelionbay
