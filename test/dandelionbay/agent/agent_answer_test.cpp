#include "dandelionbay/agent/admission_history.hpp"
#include "dandelionbay/agent/agent_harness.hpp"
#include "dandelionbay/limit/crash_registry.hpp"

namespace dandelionbay {
namespace {

class agent_answers : public agent_harness {
public:
    void SetUp() override {
        start_agent();
        warm_fully();
        link("r1");
        link("r2");
        ask("r1", "team", 4);
        sent_to.clear();
    }

    static crash_id crash(std::uint16_t sequence) { return make_crash_id(host_id{"a"}, 1, sequence); }

    request_id run(bool idempotent, std::uint64_t fingerprint, std::uint32_t suspicion = 0) {
        auto it = make("r1", pop("r1"));
        it.idempotent = idempotent;
        it.fingerprint = fingerprint;
        it.suspicion = suspicion;
        receive("r1", it);
        return it.id;
    }
};

// Guards against answers with missing, repeated or misplaced bytes after a broken link (R5).
TEST_F(agent_answers, an_answer_resumes_at_the_exact_offset) {
    const auto id = run(true, 1);
    take(core->run_head(id, 200, {}, now));
    take(core->run_data(id, "abc", 3, now));
    unlink("r1");
    sent_to.clear();
    take(core->run_data(id, "def", 3, now));
    take(core->run_ended(id, run_end::complete, 9, now));
    EXPECT_TRUE(sent_to.empty()) << "without a link nothing is sent";
    EXPECT_FALSE(core->idle()) << "the answer is unread";
    link("r1");
    EXPECT_TRUE(messages<chunk>("r1").empty()) << "the router says where to go on";
    const finish end{.id = id, .total_bytes = 6, .input_tokens = 9, .output_tokens = 6};
    struct row {
        std::uint64_t offset;
        std::vector<chunk> expected;
    };
    const std::vector<row> rows{{0, {{id, 0, "abcdef", 6}}},
                                {2, {{id, 2, "cdef", 6}}},
                                {3, {{id, 3, "def", 3}}},
                                {5, {{id, 5, "f", 3}}},
                                {6, {}}};
    for (const auto& it : rows) {
        SCOPED_TRACE(it.offset);
        sent_to.clear();
        receive("r1", resume{.id = id, .offset = it.offset, .need_head = it.offset == 0});
        EXPECT_EQ(messages<head>("r1").size(), it.offset == 0 ? 1 : 0);
        EXPECT_EQ(messages<chunk>("r1"), it.expected);
        EXPECT_EQ(messages<finish>("r1"), std::vector{end});
    }
    EXPECT_TRUE(core->idle());
    {
        SCOPED_TRACE("behind the end, and another router's answer");
        receive("r2", resume{.id = id});
        EXPECT_EQ(messages<finish>("r2").back().code, result_code::resume_failed);
        receive("r1", resume{.id = id, .offset = 7});
        EXPECT_EQ(messages<finish>("r1").back().code, result_code::resume_failed);
        EXPECT_EQ(messages<finish>("r1").back().state, executed::yes);
    }
}

// Guards against an order with an unknown outcome because its submission was lost with the link, and against a run that
// is called "not run" because its admission is no longer remembered.
TEST_F(agent_answers, a_submission_lost_with_its_link_did_not_run) {
    const auto ran = run(false, 1);
    const auto lost = make("r1", pop("r1"));
    unlink("r1");
    link("r1");
    sent_to.clear();
    receive("r1", resume{.id = lost.id, .need_head = true});
    EXPECT_EQ(messages<finish>("r1"),
              (std::vector{finish{.id = lost.id, .code = result_code::grant_unknown, .state = executed::no}}));
    {
        SCOPED_TRACE("a copy that arrives later has no grant and does not run");
        receive("r1", lost);
        EXPECT_EQ(messages<rejected>("r1").back().code, result_code::grant_unknown);
    }
    {
        SCOPED_TRACE("a run that is over, and whose answer was dropped, is not called not run");
        take(core->run_head(ran, 200, {}, now));
        take(core->run_ended(ran, run_end::complete, 1, now));
        receive("r1", cancel{ran});
        receive("r1", resume{.id = ran});
        EXPECT_EQ(messages<finish>("r1").back().state, executed::unknown);
        internal::admission_history memory;
        memory.insert(ran, grant_id{1, 1}, now);
        memory.insert(lost.id, grant_id{1, 2}, now + internal::admission_history::retention);
        EXPECT_FALSE(memory.find(ran).has_value()) << "forgotten";
        EXPECT_FALSE(memory.never_admitted(ran));
        EXPECT_TRUE(memory.never_admitted(make("r1", grant_id{1, 3}).id));
    }
}

// Guards against an answer that is resumed from bytes that are no longer there, and against unbounded memory.
TEST_F(agent_answers, a_resume_below_the_buffer_fails_and_ends_an_idempotent_run) {
    constexpr std::uint64_t total = 300U << 10U;
    constexpr std::uint64_t first = total - (256U << 10U);
    std::string body;
    const auto id = run(true, 1);
    const auto other = run(false, 2);
    while (body.size() < total) {
        const std::string piece(1'024, static_cast<char>('a' + body.size() / 1'024 % 26));
        body += piece;
        take(core->run_data(id, piece, 1, now));
        take(core->run_data(other, piece, 1, now));
    }
    unlink("r1");
    link("r1");
    sent_to.clear();
    receive("r1", resume{.id = id, .offset = first});
    std::string read;
    for (const auto& it : messages<chunk>("r1")) {
        EXPECT_EQ(it.offset, first + read.size());
        read += it.data;
    }
    EXPECT_EQ(read, body.substr(first));
    EXPECT_TRUE(cancelled.empty());
    receive("r1", resume{.id = id, .offset = first - 1});
    EXPECT_EQ(messages<finish>("r1").back(),
              (finish{.id = id, .code = result_code::resume_failed, .state = executed::unknown, .total_bytes = total}));
    receive("r1", resume{.id = other, .offset = 0});
    EXPECT_EQ(cancelled, std::vector{id}) << "a run that may not be repeated goes on";
}

// Guards against slots held by runs nobody waits for, and against an order that is broken off (R7).
TEST_F(agent_answers, runs_of_an_absent_router_end_unless_they_may_not_be_repeated) {
    const auto first = run(true, 1);
    take(core->run_data(first, "first", 1, now));
    take(core->run_data(run(false, 2), "first", 1, now));
    {
        SCOPED_TRACE("it returns in time");
        unlink("r1");
        advance(milliseconds{1'900});
        link("r1");
        receive("r1", resume{.id = first});
        EXPECT_TRUE(cancelled.empty());
    }
    {
        SCOPED_TRACE("it stays away");
        unlink("r1");
        advance(milliseconds{4'980});
        EXPECT_TRUE(cancelled.empty());
        advance(milliseconds{20});
        EXPECT_EQ(cancelled, std::vector{first});
        take(core->run_ended(first, run_end::cancelled, 0, now));
        take(core->run_ended(started.back().id, run_end::complete, 0, now));
        EXPECT_FALSE(core->idle()) << "the router may still come for the second answer";
        advance(seconds{10});
        EXPECT_TRUE(core->idle());
    }
    cancelled.clear();
    link("r1");
    warm_fully();
    ask("r1", "team", 4);
    const auto second = run(true, 3);
    run(false, 4);
    {
        SCOPED_TRACE("it returns with a new incarnation");
        link("r1", 2);
        EXPECT_EQ(cancelled, std::vector{second});
        take(core->run_ended(second, run_end::cancelled, 0, now));
        EXPECT_EQ(core->running(), 1);
        take(core->run_ended(started.back().id, run_end::complete, 0, now));
        EXPECT_TRUE(core->idle()) << "nobody wants the answers any more";
        receive("r1", resume{.id = second});
        EXPECT_EQ(messages<finish>("r1").back().code, result_code::resume_failed);
    }
    {
        SCOPED_TRACE("a hello of the older incarnation changes nothing");
        ask("r1", "team", 4);
        const auto held_before = grants("r1");
        take(core->link_up(hello{.host = host_id{"r1"}, .region = region_id{"west"}, .incarnation = 1}, now));
        EXPECT_EQ(grants("r1"), held_before);
        auto it = make("r1", pop("r1"));
        it.id.incarnation = 2;
        const auto starts = started.size();
        receive("r1", it);
        EXPECT_EQ(started.size(), starts + 1);
    }
    {
        SCOPED_TRACE("a caller that is gone frees the slot");
        receive("r1", cancel{started.back().id});
        EXPECT_EQ(cancelled.back(), started.back().id);
        take(core->run_ended(started.back().id, run_end::cancelled, 0, now));
        EXPECT_EQ(messages<finish>("r1").back().code, result_code::caller_gone);
    }
}

// Guards against one request that crashes endpoint after endpoint, and against innocent ones that are refused with it.
TEST_F(agent_answers, a_crash_makes_all_runs_suspects_and_they_run_one_at_a_time) {
    const auto guilty = run(true, 100);
    const auto innocent = run(true, 200);
    const auto booking = run(false, 300);
    take(core->run_ended(guilty, run_end::crashed, 0, now));
    {
        SCOPED_TRACE("all are reported at once, with an unknown outcome");
        EXPECT_EQ(core->running(), 0);
        EXPECT_EQ(messages<finish>("r1").size(), 3);
        for (const auto& it : messages<finish>("r1")) {
            EXPECT_EQ(it.code, result_code::endpoint_failed);
            EXPECT_EQ(it.state, executed::unknown);
        }
        const std::vector<suspicion> expected{{100, {crash(1)}, {}}, {200, {crash(1)}, {}}, {300, {crash(1)}, {}}};
        EXPECT_EQ(messages<suspicion>("r1"), expected);
        EXPECT_EQ(messages<suspicion>("r2"), expected);
        link("r3");
        EXPECT_EQ(messages<suspicion>("r3"), expected) << "also a router that comes later";
    }
    take(core->run_ended(innocent, run_end::crashed, 0, now));
    take(core->run_ended(booking, run_end::connection_lost, 0, now));
    EXPECT_EQ(messages<finish>("r1").size(), 3) << "the other reports of the same crash";
    {
        SCOPED_TRACE("a late report of the process that crashed does not bring the endpoint back");
        calm();
        ask("r1", "team", 4);
        warm("p1");
        EXPECT_EQ(grants("r1"), 0);
        warm("p2");
        EXPECT_EQ(grants("r1"), 1);
    }
    warm_fully("p2");
    EXPECT_EQ(core->limit(), 8);

    sent_to.clear();
    ask("r1", "team", 4);
    {
        SCOPED_TRACE("one suspect at a time, also if the router forgot the suspicion");
        const auto again = run(true, 200, 0);
        run(true, 100, 1);
        EXPECT_EQ(last_rejection("r1"), result_code::endpoint_unavailable);
        ask("r1", {team_demand{.team = team_id{"team"}, .queued = 4, .suspects_only = true}});
        give_back("r1");
        ask("r1", {team_demand{.team = team_id{"team"}, .queued = 4, .suspects_only = true}});
        EXPECT_EQ(metrics.get("idle_while_waiting_total"), 0);
        complete(again);
        EXPECT_EQ(messages<suspicion>("r2"), (std::vector<suspicion>{{200, {}, {crash(1)}}}));
    }
    {
        SCOPED_TRACE("the guilty one crashes a second endpoint and is refused from then on");
        const auto again = run(true, 100, 1);
        take(core->run_ended(again, run_end::crashed, 0, now));
        EXPECT_EQ(messages<suspicion>("r2").back(), (suspicion{100, {crash(1), crash(2)}, {}}));
        warm_fully("p3");
        ask("r1", "team", 4);
        const auto starts = started.size();
        run(true, 100, 0);
        EXPECT_EQ(last_rejection("r1"), result_code::crashes_endpoints);
        EXPECT_EQ(started.size(), starts);
        complete(run(true, 200));
    }
}

// Guards against a suspect that escapes because its connection broke before the crash was noticed.
TEST_F(agent_answers, a_run_that_broke_off_just_before_a_crash_is_a_suspect) {
    const auto first = run(true, 100);
    const auto second = run(true, 200);
    take(core->run_ended(first, run_end::connection_lost, 0, now));
    EXPECT_TRUE(messages<suspicion>("r1").empty());
    advance(milliseconds{500});
    take(core->run_ended(second, run_end::crashed, 0, now));
    EXPECT_EQ(messages<suspicion>("r1"), (std::vector<suspicion>{{100, {crash(1)}, {}}, {200, {crash(1)}, {}}}));
}

// Guards against a crash after a clearance that is not counted, because it has the number of the cleared one.
TEST_F(agent_answers, a_crash_after_a_clearance_counts) {
    const crash_id elsewhere = 77;
    auto suspected = make("r1", pop("r1"));
    suspected.fingerprint = 100;
    suspected.suspicion = 1;
    suspected.crashes = {elsewhere};
    receive("r1", suspected);
    complete(suspected.id);
    EXPECT_EQ(messages<suspicion>("r1"), (std::vector<suspicion>{{100, {}, {elsewhere}}}));
    const auto again = run(true, 100);
    take(core->run_ended(again, run_end::crashed, 0, now));
    EXPECT_EQ(messages<suspicion>("r1").back(), (suspicion{100, {crash(1)}, {elsewhere}}));
    crash_registry router;
    for (const auto& it : messages<suspicion>("r1")) {
        router.merge(it, now);
    }
    EXPECT_EQ(router.crash_count(100), 1U);
}

// Guards against a router that was paused while others refused a request, and submits it to a third endpoint.
TEST_F(agent_answers, a_request_that_is_refused_elsewhere_is_rejected) {
    receive("r2", suspicion{100, {1, 2}, {}});
    const auto starts = started.size();
    run(true, 100);
    EXPECT_EQ(last_rejection("r1"), result_code::crashes_endpoints);
    EXPECT_EQ(started.size(), starts);
    {
        SCOPED_TRACE("until it is cleared");
        receive("r2", suspicion{100, {}, {1, 2}});
        complete(run(true, 100));
        EXPECT_EQ(started.size(), starts + 1);
    }
}

} // namespace
} // namespace dandelionbay
