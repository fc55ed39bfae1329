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

// Guards against concurrent copies of a call that crashes endpoints, each of which crashes one.
TEST(suspect_call_locks, copies_run_one_after_the_other) {
    suspect_call_locks locks;
    EXPECT_TRUE(locks.try_acquire(call, first, start));
    EXPECT_FALSE(locks.try_acquire(call, second, start));
    EXPECT_TRUE(locks.try_acquire(call + 1, second, start)) << "another call";
    locks.mark_sent(call, first, start);
    EXPECT_FALSE(locks.try_acquire(call, second, start + milliseconds{500}));
    locks.release(call, second);
    EXPECT_FALSE(locks.try_acquire(call, third, start + milliseconds{500})) << "a waiting copy ended, not the holder";
    locks.release(call, first);
    EXPECT_TRUE(locks.try_acquire(call, second, start + milliseconds{500}));
    EXPECT_FALSE(locks.try_acquire(call, third, start + milliseconds{500}));
    locks.release(call, second);
    locks.release(call + 1, second);
    EXPECT_TRUE(locks.empty());
}

// Guards against copies of a harmless call that wait too long for a slow copy, and against a lock that expires while
// its copy still waits for an endpoint.
TEST(suspect_call_locks, a_lock_expires_once_its_copy_has_run_for_the_timeout) {
    suspect_call_locks locks;
    EXPECT_TRUE(locks.try_acquire(call, first, start));
    EXPECT_FALSE(locks.try_acquire(call, second, start + seconds{9}));
    locks.mark_sent(call, first, start + seconds{9});
    EXPECT_FALSE(
        locks.try_acquire(call, second, start + seconds{9} + suspect_call_locks::lock_timeout - milliseconds{1}));
    EXPECT_TRUE(locks.try_acquire(call, second, start + seconds{9} + suspect_call_locks::lock_timeout));
    locks.release(call, first);
    EXPECT_FALSE(locks.try_acquire(call, third, start + seconds{11}))
        << "the first one does not release the lock of the second";
    {
        SCOPED_TRACE("a copy that is sent to another endpoint renews its lock");
        locks.mark_sent(call, second, start + seconds{11});
        EXPECT_TRUE(locks.try_acquire(call, second, start + seconds{11}));
        EXPECT_FALSE(locks.try_acquire(call, third, start + seconds{20}));
    }
}

} // namespace
} // namespace dandelionbay
