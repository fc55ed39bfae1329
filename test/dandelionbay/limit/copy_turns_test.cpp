#include "dandelionbay/limit/copy_turns.hpp"

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t call = 42;
constexpr std::uint64_t first = 1;
constexpr std::uint64_t second = 2;
constexpr std::uint64_t third = 3;
const time_point start{seconds{1'000}};

// Guards against copies of a call that ends its endpoints and that end one each, all at the same time.
TEST(copy_turns, copies_run_one_after_the_other) {
    copy_turns it;
    EXPECT_TRUE(it.take(call, first, start));
    EXPECT_FALSE(it.take(call, second, start));
    EXPECT_TRUE(it.take(call + 1, second, start)) << "another call";
    it.sent(call, first, start);
    EXPECT_FALSE(it.take(call, second, start + milliseconds{500}));
    it.ended(call, second);
    EXPECT_FALSE(it.take(call, third, start + milliseconds{500})) << "one that waited ended";
    it.ended(call, first);
    EXPECT_TRUE(it.take(call, second, start + milliseconds{500}));
    EXPECT_FALSE(it.take(call, third, start + milliseconds{500}));
    it.ended(call, second);
    it.ended(call + 1, second);
    EXPECT_TRUE(it.empty());
}

// Guards against an innocent call whose copies wait for one that runs for long, and against a turn that runs out while
// its copy still waits for an endpoint.
TEST(copy_turns, a_turn_runs_out_once_its_copy_has_run_for_long) {
    copy_turns it;
    EXPECT_TRUE(it.take(call, first, start));
    EXPECT_FALSE(it.take(call, second, start + seconds{9}));
    it.sent(call, first, start + seconds{9});
    EXPECT_FALSE(it.take(call, second, start + seconds{9} + copy_turns::longest_turn - milliseconds{1}));
    EXPECT_TRUE(it.take(call, second, start + seconds{9} + copy_turns::longest_turn));
    it.ended(call, first);
    EXPECT_FALSE(it.take(call, third, start + seconds{11})) << "the end of the first one is not that of the second";
    {
        SCOPED_TRACE("a copy that goes to another endpoint waits for it with a new turn");
        it.sent(call, second, start + seconds{11});
        EXPECT_TRUE(it.take(call, second, start + seconds{11}));
        EXPECT_FALSE(it.take(call, third, start + seconds{20}));
    }
}

} // namespace
} // namespace dandelionbay
