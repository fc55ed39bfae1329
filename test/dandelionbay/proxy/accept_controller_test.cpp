#include "dandelionbay/proxy/accept_controller.hpp"

#include <gtest/gtest.h>

#include "dandelionbay/proxy/refusal_time_meter.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class accept_controller_test : public testing::Test {
protected:
    /*! Time passes, of which a part goes into refusing; some connections and calls are yet to be read or refused.
     * @return True if this changed whether connections are taken. */
    bool pass(duration time, duration refusing, std::size_t pending = 0, duration delay = {}) {
        now += time;
        const bool before = gate.is_accepting();
        gate.update(refusing, pending, waiting, delay, now);
        return gate.is_accepting() != before;
    }

    void press() {
        waiting = 1;
        pass(milliseconds{100}, milliseconds{100});
        ASSERT_FALSE(gate.is_accepting());
        waiting = 0;
    }

    std::size_t waiting{}; //!< Calls that were read and wait to begin.
    time_point now{seconds{100}};
    accept_controller gate{};
};

// Guards against a host that turns callers away at its port though refusing takes no more than its share.
TEST_F(accept_controller_test, refusing_within_its_share_changes_nothing) {
    for (int n = 0; n < 100; ++n) {
        EXPECT_FALSE(pass(milliseconds{100}, milliseconds{16}, 1'000, milliseconds{500}));
    }
    EXPECT_TRUE(gate.is_accepting());
    EXPECT_FALSE(gate.is_under_pressure(now));
}

// Guards against the pattern "refusing takes the whole host": no bound on the time for refused calls (FAIR).
TEST_F(accept_controller_test, no_connection_is_taken_while_refusing_has_used_up_its_share) {
    waiting = 1;
    EXPECT_TRUE(pass(milliseconds{100}, milliseconds{100}));
    EXPECT_FALSE(gate.is_accepting());
    EXPECT_TRUE(gate.is_refusal_budget_low());
    EXPECT_FALSE(pass(milliseconds{320}, {})) << "50 ms are owed, and 5 have to be there";
    {
        SCOPED_TRACE("it takes them again");
        EXPECT_TRUE(pass(milliseconds{20}, {}));
        EXPECT_TRUE(gate.is_accepting());
    }
}

// Guards against a host that stands idle with its port closed, because it refused much before.
TEST_F(accept_controller_test, a_host_without_calls_takes_connections_whatever_it_owes) {
    waiting = 1;
    pass(milliseconds{100}, milliseconds{100});
    EXPECT_FALSE(pass(milliseconds{10}, {}));
    waiting = 0;
    EXPECT_TRUE(pass(milliseconds{10}, {}));
    EXPECT_TRUE(gate.is_accepting());
}

// Guards against "refused without a choice": a host that reads only as many calls as it can begin can't choose (FAIR).
TEST_F(accept_controller_test, calls_that_wait_to_begin_do_not_close_the_port_of_a_pressed_host) {
    press();
    ASSERT_TRUE(pass(milliseconds{400}, {}));
    waiting = 100;
    EXPECT_FALSE(pass(milliseconds{10}, {}));
    EXPECT_TRUE(gate.is_accepting());
    EXPECT_TRUE(gate.is_under_pressure(now));
}

// Guards against a pressed host that takes more connections before it has read those that it has.
TEST_F(accept_controller_test, a_pressed_host_takes_connections_when_it_has_read_and_refused) {
    press();
    EXPECT_FALSE(pass(milliseconds{200}, {}, 1)) << "a connection waits to be read";
    EXPECT_FALSE(pass(milliseconds{200}, {}, 0, milliseconds{60})) << "bytes wait";
    EXPECT_TRUE(pass(milliseconds{200}, {}));
    ASSERT_TRUE(gate.is_accepting());
    {
        SCOPED_TRACE("what has come is read first");
        EXPECT_TRUE(pass(milliseconds{10}, {}, 1));
        EXPECT_FALSE(gate.is_accepting());
    }
}

// Guards against a host that goes on closing its port after the rush.
TEST_F(accept_controller_test, a_host_with_time_is_pressed_no_more) {
    press();
    pass(milliseconds{200}, {});
    pass(accept_controller::pressure_window, {});
    EXPECT_FALSE(gate.is_under_pressure(now));
    EXPECT_FALSE(pass(milliseconds{10}, {}, 50, milliseconds{200}));
    EXPECT_TRUE(gate.is_accepting());
}

// Guards against a host that opens its port for good while it is behind, and is flooded every other second.
TEST_F(accept_controller_test, a_host_that_stays_behind_stays_pressed) {
    press();
    for (int n = 0; n < 50; ++n) {
        pass(milliseconds{100}, {}, 0, milliseconds{80});
    }
    EXPECT_TRUE(gate.is_under_pressure(now));
    EXPECT_FALSE(gate.is_accepting());
}

// Guards against refused calls whose accepting and reading count as service.
TEST(refusal_time_meter_test, time_of_taking_in_is_divided_between_begun_and_refused_calls) {
    refusal_time_meter meter;
    meter.admission_time() += milliseconds{40};
    EXPECT_EQ(meter.take_refusal_time(), duration{}) << "nothing was decided yet";
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
