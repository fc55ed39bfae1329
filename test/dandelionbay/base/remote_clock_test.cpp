#include <gtest/gtest.h>

#include "dandelionbay/base/remote_clock.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{500}};
constexpr duration ahead = seconds{77'000}; // Of the other clock.

/*! What the other clock shows, in whole milliseconds as it tells it. */
[[nodiscard]] duration remote_at(time_point it) {
    return std::chrono::duration_cast<milliseconds>(it.time_since_epoch() + ahead);
}

// Guards against facts that look older than they are, because an answer that was waited for counts from its question,
// and against facts that look younger, because the way of the answer is not counted.
TEST(remote_clock, a_moment_is_placed_by_the_quickest_answer) {
    remote_clock it;
    EXPECT_EQ(it.earliest(remote_at(start)), time_point::min()) << "nothing is known yet";
    it.observe(start, remote_at(start + milliseconds{900}));
    EXPECT_LE(it.earliest(remote_at(start + seconds{3})), start + milliseconds{2'100});
    it.observe(start + seconds{1}, remote_at(start + milliseconds{1'004}));
    {
        SCOPED_TRACE("an answer that was waited for two seconds is as young as it is");
        const auto made = start + seconds{3};
        it.observe(start + seconds{1}, remote_at(made));
        EXPECT_LE(it.earliest(remote_at(made)), made);
        EXPECT_GE(it.earliest(remote_at(made)), made - milliseconds{4} - remote_clock::allowance - milliseconds{1});
    }
    {
        SCOPED_TRACE("what is long past does not count: the clocks may drift");
        const auto later = start + remote_clock::kept + seconds{2};
        it.observe(later, remote_at(later + milliseconds{300}));
        EXPECT_LE(it.earliest(remote_at(later + seconds{1})), later + milliseconds{700});
    }
}

} // namespace
} // namespace dandelionbay
