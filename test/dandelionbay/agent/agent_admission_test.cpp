#include <functional>

#include "dandelionbay/agent/agent_harness.hpp"

namespace dandelionbay {
namespace {

class agent_admission : public agent_harness {
public:
    // An agent at its full limit with two runs, one held grant and a submission under way.
    void SetUp() override {
        start_agent();
        warm_fully();
        link("r1");
        begin_runs();
    }

    void begin_runs() {
        ask("r1", "team", 4);
        running = {submit_one("r1"), submit_one("r1")};
        for (const auto& id : running) {
            take(core->run_data(id, "first", 1, now));
        }
        under_way = make("r1", pop("r1"));
    }

    std::vector<request_id> running;
    submit under_way;
};

// Guards against work that gets in after a zone, an endpoint, a configuration or a process went out of service (R4, R8,
// R9), and against running work that is interrupted by it.
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
        {"zone out", result_code::zone_out_of_service, [&] { change(select("name=z1"), none); },
         [&] { change(none, none); }, 2},
        {"endpoint leaving", result_code::endpoint_leaving, [&] { change(none, select("name=e")); },
         [&] { change(none, none); }, 2},
        {"host list", result_code::endpoint_leaving, [&] { take(core->set_host_leaving(true, now)); },
         [&] { take(core->set_host_leaving(false, now)); }, 2},
        {"stale", result_code::configuration_stale, [&] { take(core->set_fresh(false, now)); },
         [&] { take(core->set_fresh(true, now)); }, 8},
        {"stopping", result_code::stopping, [&] { take(core->begin_stop(now)); }, [] {}, 8},
    };
    for (const auto& it : reasons) {
        SCOPED_TRACE(it.name);
        recalled.clear();
        const auto starts = started.size();
        const auto open = grants("r1");
        it.begin();
        EXPECT_EQ(recalled[host_id{"r1"}].size(), open + 1) << "the unused grants and the one under way";
        receive("r1", under_way);
        EXPECT_EQ(last_rejection("r1"), it.code);
        give_back("r1");
        ask("r1", "team", 4);
        advance(seconds{4});
        EXPECT_EQ(grants("r1"), 0);
        EXPECT_EQ(started.size(), starts);
        EXPECT_TRUE(cancelled.empty());
        EXPECT_EQ(core->running(), 2);
        it.end();
        if (it.code != result_code::stopping) {
            EXPECT_EQ(core->limit(), it.limit_on_return);
            for (const auto& id : running) {
                complete(id);
            }
            warm_fully();
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

// Guards against a configuration that goes back to an older revision and reopens a zone (R10).
TEST_F(agent_admission, an_older_configuration_is_ignored) {
    const auto old = std::make_shared<const fleet_config>(config);
    ++config.revision;
    config.zones_out = select("name=z1");
    apply();
    take(core->apply(old, now));
    receive("r1", under_way);
    EXPECT_EQ(last_rejection("r1"), result_code::zone_out_of_service);
}

// Guards against running a request twice, or calling a request that runs "not run" (R5, R6, R7).
TEST_F(agent_admission, late_and_repeated_submissions_do_not_run) {
    const auto starts = started.size();
    receive("r1", under_way);
    ASSERT_EQ(started.size(), starts + 1);
    {
        SCOPED_TRACE("the same message again gets no answer, because the request runs");
        receive("r1", under_way);
        EXPECT_EQ(last_rejection("r1"), result_code::ok);
    }
    {
        SCOPED_TRACE("the same id under another grant");
        auto it = under_way;
        it.grant = pop("r1");
        receive("r1", it);
        EXPECT_EQ(last_rejection("r1"), result_code::duplicate_request);
    }
    {
        SCOPED_TRACE("after the run and the grant's lifetime");
        complete(under_way.id);
        advance(seconds{4});
        const auto before = messages<rejected>("r1").size();
        receive("r1", under_way);
        EXPECT_EQ(messages<rejected>("r1").size(), before);
    }
    const auto expect_rejection = [&](submit it, result_code code) {
        const auto before = messages<rejected>("r1").size();
        receive("r1", it);
        ASSERT_EQ(messages<rejected>("r1").size(), before + 1);
        EXPECT_EQ(messages<rejected>("r1").back(), (rejected{it.id, it.grant, code}));
    };
    ask("r1", "team", 20);
    {
        SCOPED_TRACE("a grant whose lifetime is over, a returned one and one of another router");
        const auto late = make("r1", pop("r1"));
        advance(seconds{3});
        expect_rejection(late, result_code::grant_unknown);
        ask("r1", "team", 20);
        const auto back = make("r1", pop("r1"));
        receive("r1", returned{{back.grant}});
        expect_rejection(back, result_code::grant_unknown);
        link("r2");
        auto foreign = make("r1", pop("r1"));
        foreign.id.router = host_id{"r2"};
        receive("r2", foreign);
        EXPECT_EQ(last_rejection("r2"), result_code::grant_unknown);
    }
    {
        SCOPED_TRACE("an id of an older life of the router, no time left, unknown and excluded teams");
        auto it = make("r1", pop("r1"));
        it.id.incarnation = 0;
        expect_rejection(it, result_code::protocol_error);
        it = make("r1", pop("r1"));
        it.timeout_ms = 0;
        expect_rejection(it, result_code::deadline_exceeded);
        it = make("r1", pop("r1"));
        it.team = team_id{"not yet known"};
        expect_rejection(it, result_code::configuration_stale);
        config.access = {{.teams = select("name=other")}};
        ++config.revision;
        apply();
        expect_rejection(make("r1", pop("r1")), result_code::not_permitted);
    }
    EXPECT_EQ(started.size(), starts + 1);
}

// Guards against a run that outlives its time limit.
TEST_F(agent_admission, a_run_is_cancelled_at_its_deadline) {
    advance(milliseconds{20});
    under_way.timeout_ms = 1'000;
    under_way.model_call = false;
    receive("r1", under_way);
    advance(milliseconds{980});
    EXPECT_TRUE(cancelled.empty());
    advance(milliseconds{20});
    EXPECT_EQ(cancelled, std::vector{under_way.id});
    take(core->run_ended(under_way.id, run_end::cancelled, 0, now));
    EXPECT_EQ(messages<finish>("r1").back().code, result_code::deadline_exceeded);
    EXPECT_EQ(messages<finish>("r1").back().state, executed::unknown);
}

} // namespace
} // namespace dandelionbay
