#include <gtest/gtest.h>

#include "dandelionbay/dispatch/model_service.hpp"
#include "simulated_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::hours{1}};
const team_id narrow{"narrow"};
const team_id wide{"wide"};

/*! Two routers before overloaded engines: one of them begins calls of a team all the time, the other one has none. */
class shared_overload : public testing::Test {
protected:
    void SetUp() override {
        const auto shared = model_config();
        const auto list = model_endpoints(engines);
        for (auto* const it : {&busy, &quiet}) {
            it->view.adopt(shared);
            it->view.merge_endpoints(list, now, now);
            it->dispatch.refresh(now);
        }
    }

    void submit(simulated_router& to, const team_id& team, ticket_id ticket) {
        work_item it;
        it.ticket = ticket;
        it.team = team;
        it.service = service_id{"model"};
        it.parts = {{ticket, 3'000}};
        it.prompt_tokens = 3'000;
        it.output_tokens = 50;
        it.target = milliseconds{600};
        it.arrived = now;
        to.dispatch.submit(std::move(it), now);
    }

    /*! Calls of one team begin late at the busy router, and both routers tell each other what they know. */
    void run_for(duration time) {
        for (const auto end = now + time; now < end; now += call_interval) {
            submit(busy, narrow, ++last_ticket);
            busy.dispatch.process_waiting(now);
            quiet.dispatch.process_waiting(now);
            if (last_ticket > late_calls) {
                busy.dispatch.started(last_ticket - late_calls, now);
                busy.dispatch.ended(last_ticket - late_calls, call_outcome::answered, now);
            }
            if (last_ticket % calls_per_message == 0) {
                quiet.synchronizer.receive(busy.synchronizer.make_message(address_of(2), now), now);
                busy.synchronizer.receive(quiet.synchronizer.make_message(address_of(1), now), now);
            }
        }
    }

    [[nodiscard]] static socket_address address_of(std::uint16_t port) { return {"127.0.0.1", port}; }

    /*! A burst of the team that got most comes to the quiet router. @return Number of its calls that are refused. */
    [[nodiscard]] std::uint32_t refused_of_burst() {
        const auto refused = [&] {
            const auto own = quiet.dispatch.usage().own(now);
            const auto it = std::ranges::find(own, wide, &team_usage_entry::team);
            return it == own.end() ? 0U : it->refused_calls;
        };
        const auto before = refused();
        for (int n = 0; n < burst; ++n) {
            submit(quiet, wide, ++burst_ticket);
        }
        return refused() - before;
    }

    static constexpr int engines = 4;
    static constexpr int burst = 200;
    static constexpr double wide_usage = 2e6; //!< Far above that of the narrow team.
    static constexpr duration call_interval = milliseconds{20};
    static constexpr ticket_id late_calls = 40; // 800 ms.
    static constexpr ticket_id calls_per_message = 4;
    time_point now{start};
    ticket_id last_ticket{};
    ticket_id burst_ticket{1'000'000};
    simulated_router busy{"r1", 1};
    simulated_router quiet{"r2", 2};
};

// Guards against the pattern "a burst comes to another router each time": a router that began no calls of late sees no
// overload and takes the whole burst in, while the routers of another team refuse by share (FAIR).
TEST_F(shared_overload, a_router_without_calls_admits_no_more_than_its_peers) {
    run_for(std::chrono::seconds{3});
    busy.dispatch.usage().add(wide, wide_usage, now);
    run_for(milliseconds{200});
    EXPECT_GT(refused_of_burst(), burst / 3) << "at the first burst";
    run_for(std::chrono::seconds{2});
    busy.dispatch.usage().add(wide, wide_usage, now);
    run_for(milliseconds{200});
    EXPECT_GT(refused_of_burst(), burst / 3) << "after a lull at this router";
}

// Guards against the pattern "a team that has to leave room waits for idle engines": at a router that has nothing but
// its calls, these observe no overload, so that the router takes them all in while the routers of other teams refuse
// (FAIR).
TEST_F(shared_overload, a_router_whose_calls_wait_for_idle_engines_admits_no_more_than_its_peers) {
    constexpr int calls_at_idle_engines = 10;
    run_for(std::chrono::seconds{3});
    busy.dispatch.usage().add(wide, wide_usage, now);
    run_for(milliseconds{200});
    for (int n = 0; n < calls_at_idle_engines; ++n) {
        submit(quiet, team_id{"new"}, ++burst_ticket);
        quiet.dispatch.started(burst_ticket, now);
        quiet.dispatch.ended(burst_ticket, call_outcome::answered, now);
    }
    const auto observed = quiet.dispatch.observed_delays(now);
    ASSERT_EQ(observed.size(), 1);
    ASSERT_LT(observed.front().delay_ms, dispatch_limits{}.queueing_delay_ms);
    EXPECT_GT(refused_of_burst(), burst / 3);
}

// Guards against refusals that go on after the engines have room again.
TEST_F(shared_overload, is_forgotten_once_the_peer_begins_no_late_calls) {
    run_for(std::chrono::seconds{3});
    busy.dispatch.usage().add(wide, wide_usage, now);
    run_for(milliseconds{200});
    now += std::chrono::seconds{2};
    EXPECT_EQ(refused_of_burst(), 0);
}

} // namespace
} // namespace dandelionbay
