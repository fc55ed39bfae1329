#include "dandelionbay/limit/suspect_call_locks.hpp"

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
TEST(suspect_call_locks, copies_run_one_after_the_other) {
    suspect_call_locks it;
    EXPECT_TRUE(it.try_acquire(call, first, start));
    EXPECT_FALSE(it.try_acquire(call, second, start));
    EXPECT_TRUE(it.try_acquire(call + 1, second, start)) << "another call";
    it.mark_sent(call, first, start);
    EXPECT_FALSE(it.try_acquire(call, second, start + milliseconds{500}));
    it.release(call, second);
    EXPECT_FALSE(it.try_acquire(call, third, start + milliseconds{500})) << "one that waited ended";
    it.release(call, first);
    EXPECT_TRUE(it.try_acquire(call, second, start + milliseconds{500}));
    EXPECT_FALSE(it.try_acquire(call, third, start + milliseconds{500}));
    it.release(call, second);
    it.release(call + 1, second);
    EXPECT_TRUE(it.empty());
}

// Guards against an innocent call whose copies wait for one that runs for long, and against a turn that runs out while
// its copy still waits for an endpoint.
TEST(suspect_call_locks, a_turn_runs_out_once_its_copy_has_run_for_long) {
    suspect_call_locks it;
    EXPECT_TRUE(it.try_acquire(call, first, start));
    EXPECT_FALSE(it.try_acquire(call, second, start + seconds{9}));
    it.mark_sent(call, first, start + seconds{9});
    EXPECT_FALSE(it.try_acquire(call, second, start + seconds{9} + suspect_call_locks::lock_timeout - milliseconds{1}));
    EXPECT_TRUE(it.try_acquire(call, second, start + seconds{9} + suspect_call_locks::lock_timeout));
    it.release(call, first);
    EXPECT_FALSE(it.try_acquire(call, third, start + seconds{11}))
        << "the end of the first one is not that of the second";
    {
        SCOPED_TRACE("a copy that goes to another endpoint waits for it with a new turn");
        it.mark_sent(call, second, start + seconds{11});
        EXPECT_TRUE(it.try_acquire(call, second, start + seconds{11}));
        EXPECT_FALSE(it.try_acquire(call, third, start + seconds{20}));
    }
}

} // namespace
} // namespace dandelionbay
