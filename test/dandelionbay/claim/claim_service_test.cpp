#include "dandelionbay/claim/claim_service.hpp"

#include <gtest/gtest.h>

#include <set>
#include <thread>

#include "dandelionbay/store/memory_table_store.hpp"

namespace dandelionbay {
namespace {

using kind = claim_decision::kind;

const claim_request order{team_id{"t"}, service_id{"orders"}, "key-1", 17, 60'000};
const stored_answer receipt{201, {{"Content-Type", "text/plain"}}, "done"};

// Points at which a router can die while it serves a call.
enum class step : unsigned {
    before_create,
    after_create_lost_answer,
    after_create,
    after_submit,
    after_run,
    before_finish,
    after_finish_lost_answer,
    after_release,
    none
};

// A fleet with one table service and a fake endpoint that counts its runs.
class fleet {
public:
    class router {
    public:
        router(fleet& owner, const std::string& name)
            : fleet_{&owner}, self{host_id{name}, 1}, store{owner.rows}, service{settings(),
                                                                                 store,
                                                                                 owner.time,
                                                                                 owner.metrics,
                                                                                 [&owner](const claim_owner& other) {
                                                                                     return !owner.gone.contains(other);
                                                                                 },
                                                                                 [&owner] { return owner.wall_ms; }} {}

        // Serves a call as an entry router does; dies at the given point. A dead router makes no further calls.
        claim_decision serve(step death = step::none, bool run = true) {
            auto decision = service.begin(order);
            if (decision.action != kind::proceed || dead(death, step::after_create)) {
                return decision;
            }
            if (!run) {
                decision.handle->release();
                (void)dead(death, step::after_release);
                return decision;
            }
            if (dead(death, step::after_submit)) {
                ++fleet_->runs; // The endpoint runs what was submitted.
                return decision;
            }
            ++fleet_->runs;
            if (dead(death, step::after_run) || dead(death, step::before_finish)) {
                return decision;
            }
            decision.handle->finish(receipt);
            return decision;
        }

        void die() {
            store.set_faults([](const store_call&) { return store_fault::before; });
            fleet_->gone.insert(self);
        }

    private:
        bool dead(step death, step here) {
            if (death == here) {
                die();
            }
            return death == here;
        }

        [[nodiscard]] claim_settings settings() const {
            claim_settings limits;
            limits.self = self;
            return limits;
        }

        fleet* fleet_;

    public:
        claim_owner self;
        memory_table_store store;
        claim_service service;
    };

    std::shared_ptr<table_map> rows{std::make_shared<table_map>()};
    manual_clock time;
    counters metrics;
    std::int64_t wall_ms{1'000'000};
    std::set<claim_owner> gone;
    int runs{0};
    router a{*this, "a"};
    router b{*this, "b"};

    // Lets background settlements happen.
    void settle() {
        for (int n = 0; n < 50; ++n) {
            time.advance(std::chrono::seconds{20});
            a.service.settle_due();
            b.service.settle_due();
        }
    }
};

// Kills the router at its put number n, before or after the effect.
void die_at_put(fleet::router& it, int n, store_fault fault) {
    it.store.set_faults([&it, n, fault, seen = 0](const store_call& call) mutable {
        if (call.operation != store_operation::put || seen++ != n) {
            return store_fault::none;
        }
        it.die();
        return fault;
    });
}

// Guards against a second run, or a false "not run", after a router died anywhere in a call.
TEST(claim_service, a_router_that_dies_at_any_step_causes_no_second_run) {
    for (auto n = 0U; n < static_cast<unsigned>(step::none); ++n) {
        const auto death = static_cast<step>(n);
        for (const bool known_gone : {true, false}) {
            SCOPED_TRACE(testing::Message() << "step " << n << ", death noticed " << known_gone);
            fleet now;
            if (death == step::before_create || death == step::after_create_lost_answer) {
                die_at_put(now.a, 0, death == step::before_create ? store_fault::before : store_fault::after);
            }
            if (death == step::after_finish_lost_answer) {
                die_at_put(now.a, 1, store_fault::after);
            }
            (void)now.a.serve(death, death != step::after_release);
            EXPECT_TRUE(now.gone.contains(now.a.self));
            const auto runs = now.runs;
            if (!known_gone) {
                now.gone.clear();
            }
            const auto resend = now.b.serve();
            EXPECT_LE(now.runs, 1);
            if (death == step::before_create || death == step::after_release) {
                EXPECT_EQ(resend.action, kind::proceed);
            } else if (death == step::after_finish_lost_answer) {
                EXPECT_EQ(resend.action, kind::replay);
                EXPECT_EQ(resend.answer, receipt);
            } else {
                ASSERT_EQ(resend.action, kind::refuse);
                EXPECT_EQ(resend.code, known_gone ? result_code::outcome_unknown : result_code::request_in_progress);
                EXPECT_EQ(resend.state, executed::unknown);
                EXPECT_EQ(resend.retry_after > duration::zero(), !known_gone);
                EXPECT_EQ(now.runs, runs);
            }
        }
    }
}

// Guards against a second run, a blocked key or a lost answer after faults at every single call and pair of calls.
TEST(claim_service, store_faults_at_any_calls_cause_no_second_run) {
    for (unsigned first = 0; first < 10; ++first) {
        for (unsigned second = first; second < 10; ++second) {
            for (const auto fault : {store_fault::before, store_fault::after}) {
                for (const bool run : {true, false}) {
                    SCOPED_TRACE(testing::Message() << first << " " << second << " after "
                                                    << (fault == store_fault::after) << " run " << run);
                    fleet now;
                    now.a.store.set_faults([=](const store_call& call) {
                        return call.index == first || call.index == second ? fault : store_fault::none;
                    });
                    const auto decision = now.a.serve(step::none, run);
                    ASSERT_NE(decision.action, kind::replay);
                    EXPECT_TRUE(first != second || decision.action == kind::proceed) << "one fault is no outage";
                    if (decision.action == kind::refuse) {
                        EXPECT_EQ(decision.code, result_code::store_unavailable);
                        EXPECT_EQ(decision.state, executed::no);
                        EXPECT_EQ(now.runs, 0);
                    }
                    (void)now.b.serve();
                    EXPECT_LE(now.runs, 1);
                    now.settle();
                    EXPECT_EQ(now.a.service.unsettled(), 0);
                    const auto resend = now.b.serve();
                    EXPECT_EQ(now.runs, 1);
                    EXPECT_NE(resend.action, kind::refuse);
                }
            }
        }
    }
}

// Guards against two routers that claim one key between any two store calls of each other.
TEST(claim_service, two_routers_with_one_key_run_it_once) {
    for (unsigned index = 0; index < 4; ++index) {
        for (const auto fault : {store_fault::none, store_fault::before, store_fault::after}) {
            for (const bool released : {false, true}) {
                SCOPED_TRACE(testing::Message() << index << " " << static_cast<int>(fault) << " " << released);
                fleet now;
                if (released) {
                    (void)now.b.serve(step::none, false);
                }
                now.a.store.set_faults([&](const store_call& call) {
                    if (call.index != index) {
                        return store_fault::none;
                    }
                    (void)now.b.serve();
                    return fault;
                });
                (void)now.a.serve();
                EXPECT_EQ(now.runs, 1);
                now.a.store.set_faults({});
                now.settle();
                EXPECT_EQ(now.a.serve().action, kind::replay);
                EXPECT_EQ(now.runs, 1);
            }
        }
    }
}

// Guards against the same with real threads.
TEST(claim_service, many_threads_with_one_key_run_it_once) {
    fleet now;
    std::atomic<int> claimed{0};
    std::vector<std::jthread> callers;
    for (int n = 0; n < 8; ++n) {
        callers.emplace_back(
            [&, n] { claimed += (n % 2 == 0 ? now.a : now.b).service.begin(order).action == kind::proceed ? 1 : 0; });
    }
    callers.clear();
    EXPECT_EQ(claimed, 1);
}

// Guards against a store outage that runs calls without a claim, or that fills the memory with releases.
TEST(claim_service, refuses_while_the_store_is_down_and_settles_afterwards) {
    fleet now;
    const auto down = [](const store_call&) { return store_fault::before; };
    auto running = now.a.service.begin(order);
    ASSERT_EQ(running.action, kind::proceed);
    now.a.store.set_faults(down);
    now.a.service.settle_due();
    for (int n = 0; n < 500; ++n) {
        auto other = order;
        other.key = std::to_string(n);
        const auto decision = now.a.service.begin(other);
        ASSERT_EQ(decision.code, result_code::store_unavailable);
        ASSERT_EQ(decision.state, executed::no);
        EXPECT_GT(decision.retry_after, duration::zero());
    }
    EXPECT_EQ(now.a.service.unsettled(), 128);
    {
        SCOPED_TRACE("the end of a run is kept although releases wait");
        running.handle->finish(receipt);
        EXPECT_EQ(now.a.service.unsettled(), 129);
        const auto calls = now.a.store.calls();
        now.a.service.settle_due();
        EXPECT_LE(now.a.store.calls() - calls, 2) << "one try shows that the store is down";
    }
    {
        SCOPED_TRACE("the store comes back");
        now.a.store.set_faults({});
        now.settle();
        EXPECT_EQ(now.a.service.unsettled(), 0);
        EXPECT_EQ(now.b.serve().answer, receipt);
    }
    {
        SCOPED_TRACE("tries are bounded");
        (void)now.a.service.begin({team_id{"t"}, service_id{"s"}, "x", 1, 1});
        now.a.store.set_faults(down);
        EXPECT_EQ(now.a.service.begin({team_id{"t"}, service_id{"s"}, "y", 1, 1}).action, kind::refuse);
        now.settle();
        EXPECT_EQ(now.a.service.unsettled(), 0);
        EXPECT_EQ(now.metrics.get("claim_settlements_total", "given_up"), 500 - 128 + 1);
    }
}

// Guards against wrong answers to resends, one after the other.
TEST(claim_service, answers_resends_by_the_state_of_the_claim) {
    fleet now;
    auto first = now.a.service.begin(order);
    ASSERT_EQ(first.action, kind::proceed);
    {
        SCOPED_TRACE("started by a live router");
        EXPECT_EQ(now.a.service.begin(order).code, result_code::request_in_progress);
        EXPECT_EQ(now.b.service.begin(order).code, result_code::request_in_progress);
    }
    {
        SCOPED_TRACE("another body");
        auto other = order;
        other.fingerprint = 18;
        const auto decision = now.b.service.begin(other);
        EXPECT_EQ(decision.code, result_code::idempotency_key_reused);
        EXPECT_EQ(decision.state, executed::no);
    }
    {
        SCOPED_TRACE("older than the longest run");
        now.wall_ms += order.timeout_ms + 5'001;
        const auto decision = now.b.service.begin(order);
        EXPECT_EQ(decision.code, result_code::outcome_unknown);
        EXPECT_EQ(decision.state, executed::unknown);
        EXPECT_EQ(decision.retry_after, duration::zero());
    }
    {
        SCOPED_TRACE("an end that is reported late still counts");
        first.handle->finish(receipt);
        EXPECT_EQ(now.b.service.begin(order).answer, receipt);
    }
    {
        SCOPED_TRACE("abandoned");
        auto other = order;
        other.key = "key-2";
        now.a.service.begin(other).handle->abandon();
        EXPECT_EQ(now.b.service.begin(other).code, result_code::outcome_unknown);
    }
    {
        SCOPED_TRACE("keys of different teams do not meet");
        EXPECT_NE(claim_key({team_id{"a/b"}, service_id{"c"}, "d", 0, 0}),
                  claim_key({team_id{"a"}, service_id{"b/c"}, "d", 0, 0}));
    }
    {
        SCOPED_TRACE("bounds of the key");
        auto other = order;
        other.key = "";
        EXPECT_EQ(now.a.service.begin(other).code, result_code::idempotency_key_missing);
        other.key.assign(longest_key + 1, 'k');
        EXPECT_EQ(now.a.service.begin(other).code, result_code::malformed_request);
        other.key.pop_back();
        EXPECT_EQ(now.a.service.begin(other).action, kind::proceed);
    }
}

// Guards against a large answer that is cut off or that makes the call run again.
TEST(claim_service, keeps_answers_up_to_64_kib) {
    for (const std::size_t size : {largest_kept_body, largest_kept_body + 1}) {
        fleet now;
        auto answer = receipt;
        answer.body.assign(size, '\xFF');
        now.a.service.begin(order).handle->finish(answer);
        const auto resend = now.b.service.begin(order);
        if (size == largest_kept_body) {
            EXPECT_EQ(resend.answer, answer);
        } else {
            EXPECT_EQ(resend.action, kind::refuse);
            EXPECT_EQ(resend.code, result_code::answer_not_kept);
            EXPECT_EQ(resend.state, executed::yes);
        }
    }
}

// Guards against a background thread that does not settle or does not end.
TEST(claim_service, the_background_thread_settles) {
    fleet now;
    auto running = now.a.service.begin(order);
    now.a.store.set_faults([](const store_call&) { return store_fault::before; });
    running.handle->release();
    now.a.store.set_faults({});
    EXPECT_EQ(now.a.service.unsettled(), 1);
    now.a.service.start();
    now.a.service.stop();
    EXPECT_EQ(now.a.service.unsettled(), 0);
    EXPECT_EQ(now.b.service.begin(order).action, kind::proceed);
}

} // namespace
} // namespace dandelionbay
