#include "dandelionbay/claim/lease.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/store/memory_table_store.hpp"

namespace dandelionbay {
namespace {

using std::chrono::seconds;

class lease_test : public testing::Test {
protected:
    struct host {
        host(lease_test& owner, const std::string& name)
            : store{owner.rows}, lease{{"adapter-1", name}, store, owner.time, owner.metrics} {}

        memory_table_store store;
        lease_holder lease;
    };

    std::shared_ptr<table_map> rows{std::make_shared<table_map>()};
    manual_clock time;
    counters metrics;
    host a{*this, "a/1"};
    host b{*this, "b/1"};
    fencing_gate gate;
};

// Guards against a holder that acts after its pause, and against an engine that takes its late command.
TEST_F(lease_test, a_paused_holder_does_not_act_and_its_late_command_is_refused) {
    ASSERT_TRUE(a.lease.tick().ok());
    const auto old_token = a.lease.token().value();
    EXPECT_TRUE(gate.admit("adapter-1", old_token).ok());
    {
        SCOPED_TRACE("another waits while the holder renews");
        for (int n = 0; n < 20; ++n) {
            time.advance(seconds{3});
            ASSERT_TRUE(a.lease.tick().ok());
            EXPECT_TRUE(absl::IsFailedPrecondition(b.lease.tick()));
        }
        EXPECT_EQ(a.lease.token(), old_token);
    }
    {
        SCOPED_TRACE("the holder is paused");
        time.advance(seconds{10});
        EXPECT_TRUE(absl::IsFailedPrecondition(b.lease.tick())) << "the margin has not passed";
        time.advance(seconds{1});
        ASSERT_TRUE(b.lease.tick().ok());
        EXPECT_EQ(a.lease.token(), std::nullopt);
        EXPECT_EQ(metrics.get("lease_events_total", "lapsed"), 1);
        EXPECT_TRUE(absl::IsFailedPrecondition(a.lease.tick()));
    }
    {
        SCOPED_TRACE("its command was already on the way");
        EXPECT_GT(b.lease.token(), old_token);
        EXPECT_TRUE(gate.admit("adapter-1", *b.lease.token()).ok());
        EXPECT_TRUE(absl::IsFailedPrecondition(gate.admit("adapter-1", old_token)));
        EXPECT_TRUE(absl::IsInvalidArgument(gate.admit("adapter-1", 0)));
        EXPECT_TRUE(gate.admit("adapter-2", old_token).ok());
    }
    {
        SCOPED_TRACE("a restarted agent refuses it too");
        fencing_gate restarted;
        ASSERT_TRUE(restarted.learn("adapter-1", a.store).ok());
        EXPECT_TRUE(absl::IsFailedPrecondition(restarted.admit("adapter-1", old_token)));
        EXPECT_TRUE(restarted.admit("adapter-1", *b.lease.token()).ok());
    }
    {
        SCOPED_TRACE("a lease that is given up is free at once");
        ASSERT_TRUE(b.lease.release().ok());
        EXPECT_EQ(b.lease.token(), std::nullopt);
        ASSERT_TRUE(a.lease.tick().ok());
        EXPECT_EQ(a.lease.token(), old_token + 2);
    }
}

// Guards against two holders at one time, or one token held twice, after faults at any call of either host.
TEST_F(lease_test, there_is_one_holder_whatever_call_fails) {
    for (unsigned first = 0; first < 12; ++first) {
        for (const auto fault : {store_fault::before, store_fault::after}) {
            for (unsigned length = 1; length < 8; ++length) {
                SCOPED_TRACE(testing::Message()
                             << first << "+" << length << " after " << (fault == store_fault::after));
                auto table = std::make_shared<table_map>();
                memory_table_store store_a{table};
                memory_table_store store_b{table};
                lease_holder x{{"l", "x"}, store_a, time, metrics};
                lease_holder y{{"l", "y"}, store_b, time, metrics};
                const auto faults = [=](const store_call& call) {
                    return call.index >= first && call.index < first + length ? fault : store_fault::none;
                };
                store_a.set_faults(faults);
                store_b.set_faults(faults);
                std::uint64_t highest = 0;
                bool last_x = false;
                for (int n = 0; n < 60; ++n) {
                    time.advance(seconds{n % 10 == 9 ? 12 : 2}); // Every tenth step is a pause of both.
                    (void)(n % 10 < 8 ? x.tick() : absl::OkStatus());
                    (void)(n % 10 != 0 ? y.tick() : absl::OkStatus());
                    ASSERT_FALSE(x.token() && y.token());
                    const auto token = x.token() ? x.token() : y.token();
                    if (token) {
                        ASSERT_GE(*token, highest);
                        ASSERT_TRUE(*token > highest || last_x == x.token().has_value());
                        highest = *token;
                        last_x = x.token().has_value();
                    }
                }
                EXPECT_GT(highest, 0);
            }
        }
    }
}

} // namespace
} // namespace dandelionbay
