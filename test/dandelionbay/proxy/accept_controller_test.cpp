#include "dandelionbay/proxy/accept_controller.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/proxy/refusal_time_meter.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class accept_controller_test : public testing::Test {
protected:
    /*! Advances the clock and updates the controller. @param unread Connections to read and calls to refuse. @return
     *  True if this changed whether connections are accepted. */
    bool advance(duration time, duration refusal_time, std::size_t unread = 0, duration read_delay = {}) {
        now += time;
        const bool before = controller.is_accepting();
        controller.update(refusal_time, unread, waiting, read_delay, now);
        return controller.is_accepting() != before;
    }

    void exhaust_budget() {
        waiting = 1;
        advance(milliseconds{100}, milliseconds{100});
        ASSERT_FALSE(controller.is_accepting());
        waiting = 0;
    }

    std::size_t waiting{}; //!< Calls that were read and wait to begin.
    time_point now{seconds{100}};
    accept_controller controller{};
};

// Guards against a host that closes its port although it stays within its refusal budget.
TEST_F(accept_controller_test, stays_open_while_refusals_are_within_budget) {
    for (int n = 0; n < 100; ++n) {
        EXPECT_FALSE(advance(milliseconds{100}, milliseconds{16}, 1'000, milliseconds{500}));
    }
    EXPECT_TRUE(controller.is_accepting());
    EXPECT_FALSE(controller.is_under_pressure(now));
}

// Guards against unbounded time spent on refused calls, which leaves no time for serving (FAIR).
TEST_F(accept_controller_test, accepts_no_connection_while_the_refusal_budget_is_exhausted) {
    waiting = 1;
    EXPECT_TRUE(advance(milliseconds{100}, milliseconds{100}));
    EXPECT_FALSE(controller.is_accepting());
    EXPECT_TRUE(controller.is_refusal_budget_low());
    EXPECT_FALSE(advance(milliseconds{320}, {})) << "the debt is 50 ms, and reopening needs a budget of 5 ms";
    {
        SCOPED_TRACE("accepts again once the budget has recovered");
        EXPECT_TRUE(advance(milliseconds{20}, {}));
        EXPECT_TRUE(controller.is_accepting());
    }
}

// Guards against a host that is idle with its port closed because it refused many calls before.
TEST_F(accept_controller_test, an_idle_host_accepts_connections_despite_debt) {
    waiting = 1;
    advance(milliseconds{100}, milliseconds{100});
    EXPECT_FALSE(advance(milliseconds{10}, {}));
    waiting = 0;
    EXPECT_TRUE(advance(milliseconds{10}, {}));
    EXPECT_TRUE(controller.is_accepting());
}

// Guards against refusals that ignore the teams' service: a host that reads only as many calls as it can begin has no
// choice between teams (FAIR).
TEST_F(accept_controller_test, waiting_calls_do_not_close_the_port_under_pressure) {
    exhaust_budget();
    ASSERT_TRUE(advance(milliseconds{400}, {}));
    waiting = 100;
    EXPECT_FALSE(advance(milliseconds{10}, {}));
    EXPECT_TRUE(controller.is_accepting());
    EXPECT_TRUE(controller.is_under_pressure(now));
}

// Guards against a host under pressure that accepts more connections before it has read those that it holds.
TEST_F(accept_controller_test, under_pressure_accepts_only_when_nothing_is_unread) {
    exhaust_budget();
    EXPECT_FALSE(advance(milliseconds{200}, {}, 1)) << "a connection is unread";
    EXPECT_FALSE(advance(milliseconds{200}, {}, 0, milliseconds{60})) << "received bytes are unread";
    EXPECT_TRUE(advance(milliseconds{200}, {}));
    ASSERT_TRUE(controller.is_accepting());
    {
        SCOPED_TRACE("new connections are read before more are accepted");
        EXPECT_TRUE(advance(milliseconds{10}, {}, 1));
        EXPECT_FALSE(controller.is_accepting());
    }
}

// Guards against a host that keeps closing its port after an overload has ended.
TEST_F(accept_controller_test, pressure_ends_after_its_window) {
    exhaust_budget();
    advance(milliseconds{200}, {});
    advance(accept_controller::pressure_window, {});
    EXPECT_FALSE(controller.is_under_pressure(now));
    EXPECT_FALSE(advance(milliseconds{10}, {}, 50, milliseconds{200}));
    EXPECT_TRUE(controller.is_accepting());
}

// Guards against pressure that ends while the host is still behind, so that it is flooded every other second.
TEST_F(accept_controller_test, pressure_lasts_while_reading_is_behind) {
    exhaust_budget();
    for (int n = 0; n < 50; ++n) {
        advance(milliseconds{100}, {}, 0, milliseconds{80});
    }
    EXPECT_TRUE(controller.is_under_pressure(now));
    EXPECT_FALSE(controller.is_accepting());
}

// Guards against time for accepting and reading refused calls that is counted as service.
TEST(refusal_time_meter_test, admission_time_is_divided_between_begun_and_refused_calls) {
    refusal_time_meter meter;
    meter.admission_time() += milliseconds{40};
    EXPECT_EQ(meter.take_refusal_time(), duration{}) << "no call has been decided yet";
    meter.note_begun();
    meter.note_refused();
    meter.note_refused();
    meter.note_refused();
    meter.refusal_time() += milliseconds{5};
    EXPECT_EQ(meter.take_refusal_time(), milliseconds{35});
    EXPECT_EQ(meter.take_refusal_time(), duration{});
}

} // namespace
} // namespace dandelionbay
