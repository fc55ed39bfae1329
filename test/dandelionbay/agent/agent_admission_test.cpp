#include <functional>

#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_admission : public agent_harness {
public:
    // An agent at its full limit with two runs, one unused grant and one submission in flight.
    void SetUp() override {
        start_agent();
        ramp_up_fully();
        link("r1");
        begin_runs();
    }

    void begin_runs() {
        send_demand("r1", "team", 4);
        running = {submit_one("r1"), submit_one("r1")};
        for (const auto& id : running) {
            perform(core->run_data(id, "first", 1, now));
        }
        in_flight = make_submission("r1", take_grant("r1"));
    }

    std::vector<request_id> running;
    submit in_flight;
};

// Guards against admitting requests after a zone, an endpoint, a configuration or a process went out of service, and
// against interrupting running requests (R4, R8, R9).
TEST_F(agent_admission, each_reason_to_refuse_recalls_grants_rejects_submissions_and_keeps_runs) {
    struct reason {
        const char* name;
        result_code code;
        std::function<void()> begin;
        std::function<void()> end;
        std::uint32_t limit_on_return;
    };
    const auto change = [&](selector zones, selector endpoints) {
        ++config.revision;
        config.zones_out = std::move(zones);
        config.endpoints_leaving = std::move(endpoints);
        apply();
    };
    const auto none = selector::none();
    const std::vector<reason> reasons{
        {"zone out", result_code::zone_out_of_service, [&] { change(parse_selector("name=z1"), none); },
         [&] { change(none, none); }, 2},
        {"endpoint leaving", result_code::endpoint_leaving, [&] { change(none, parse_selector("name=e")); },
         [&] { change(none, none); }, 2},
        {"host list", result_code::endpoint_leaving, [&] { perform(core->set_host_leaving(true, now)); },
         [&] { perform(core->set_host_leaving(false, now)); }, 2},
        {"stale", result_code::configuration_stale, [&] { perform(core->set_fresh(false, now)); },
         [&] { perform(core->set_fresh(true, now)); }, 8},
        {"stopping", result_code::stopping, [&] { perform(core->begin_stop(now)); }, [] {}, 8},
    };
    for (const auto& it : reasons) {
        SCOPED_TRACE(it.name);
        recalled_grants.clear();
        const auto starts = started_runs.size();
        const auto open = grant_count("r1");
        it.begin();
        EXPECT_EQ(recalled_grants[host_id{"r1"}].size(), open + 1)
            << "the unused grants and the grant of the submission in flight";
        receive("r1", in_flight);
        EXPECT_EQ(last_rejection("r1"), it.code);
        return_grants("r1");
        send_demand("r1", "team", 4);
        advance(seconds{4});
        EXPECT_EQ(grant_count("r1"), 0);
        EXPECT_EQ(started_runs.size(), starts);
        EXPECT_TRUE(cancelled_runs.empty());
        EXPECT_EQ(core->running(), 2);
        it.end();
        if (it.code != result_code::stopping) {
            EXPECT_EQ(core->limit(), it.limit_on_return);
            for (const auto& id : running) {
                complete(id);
            }
            ramp_up_fully();
            begin_runs();
        }
    }
    EXPECT_FALSE(core->idle());
    for (const auto& id : running) {
        complete(id);
    }
    EXPECT_TRUE(core->idle());
    EXPECT_EQ(messages<finish>("r1").back().code, result_code::ok);
}

// Guards against returning to an older configuration, which could put a zone back into service (R10).
TEST_F(agent_admission, an_older_configuration_is_ignored) {
    const auto old = std::make_shared<const fleet_config>(config);
    ++config.revision;
    config.zones_out = parse_selector("name=z1");
    apply();
    perform(core->apply(old, now));
    receive("r1", in_flight);
    EXPECT_EQ(last_rejection("r1"), result_code::zone_out_of_service);
}

// Guards against running a request twice, and against reporting a running request as not run (R5, R6, R7).
TEST_F(agent_admission, late_and_repeated_submissions_do_not_run) {
    const auto starts = started_runs.size();
    receive("r1", in_flight);
    ASSERT_EQ(started_runs.size(), starts + 1);
    {
        SCOPED_TRACE("a repeated message gets no answer while the request runs");
        receive("r1", in_flight);
        EXPECT_EQ(last_rejection("r1"), result_code::ok);
    }
    {
        SCOPED_TRACE("the same id under another grant");
        auto it = in_flight;
        it.grant = take_grant("r1");
        receive("r1", it);
        EXPECT_EQ(last_rejection("r1"), result_code::duplicate_request);
    }
    {
        SCOPED_TRACE("after the run and the grant's lifetime");
        complete(in_flight.id);
        advance(seconds{4});
        const auto before = messages<rejected>("r1").size();
        receive("r1", in_flight);
        EXPECT_EQ(messages<rejected>("r1").size(), before);
    }
    const auto expect_rejection = [&](submit it, result_code code) {
        const auto before = messages<rejected>("r1").size();
        receive("r1", it);
        ASSERT_EQ(messages<rejected>("r1").size(), before + 1);
        EXPECT_EQ(messages<rejected>("r1").back(), (rejected{it.id, it.grant, code}));
    };
    send_demand("r1", "team", 20);
    {
        SCOPED_TRACE("an expired grant, a returned grant and a grant of another router");
        const auto late = make_submission("r1", take_grant("r1"));
        advance(seconds{3});
        expect_rejection(late, result_code::grant_unknown);
        send_demand("r1", "team", 20);
        const auto back = make_submission("r1", take_grant("r1"));
        receive("r1", returned{{back.grant}});
        expect_rejection(back, result_code::grant_unknown);
        link("r2");
        auto foreign = make_submission("r1", take_grant("r1"));
        foreign.id.router = host_id{"r2"};
        receive("r2", foreign);
        EXPECT_EQ(last_rejection("r2"), result_code::grant_unknown);
    }
    {
        SCOPED_TRACE("an id of an older incarnation of the router, no time left, unknown and excluded teams");
        auto it = make_submission("r1", take_grant("r1"));
        it.id.incarnation = 0;
        expect_rejection(it, result_code::protocol_error);
        it = make_submission("r1", take_grant("r1"));
        it.timeout_ms = 0;
        expect_rejection(it, result_code::deadline_exceeded);
        it = make_submission("r1", take_grant("r1"));
        it.team = team_id{"not yet known"};
        expect_rejection(it, result_code::configuration_stale);
        config.access = {{.teams = parse_selector("name=other")}};
        ++config.revision;
        apply();
        expect_rejection(make_submission("r1", take_grant("r1")), result_code::not_permitted);
    }
    EXPECT_EQ(started_runs.size(), starts + 1);
}

// Guards against a run that exceeds its time limit.
TEST_F(agent_admission, a_run_is_cancelled_at_its_deadline) {
    advance(milliseconds{20});
    in_flight.timeout_ms = 1'000;
    in_flight.model_call = false;
    receive("r1", in_flight);
    advance(milliseconds{980});
    EXPECT_TRUE(cancelled_runs.empty());
    advance(milliseconds{20});
    EXPECT_EQ(cancelled_runs, std::vector{in_flight.id});
    perform(core->run_ended(in_flight.id, run_end::cancelled, 0, now));
    EXPECT_EQ(messages<finish>("r1").back().code, result_code::deadline_exceeded);
    EXPECT_EQ(messages<finish>("r1").back().state, executed::unknown);
}

} // namespace
} // namespace dandelionbay
