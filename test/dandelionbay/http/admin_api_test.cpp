#include "dandelionbay/http/admin_api.hpp"

#include <thread>

#include <gtest/gtest.h>

#include "dandelionbay/http/admin_fixture.hpp"

namespace dandelionbay {
namespace {

using nlohmann::json;

// Guards against a change without a precondition, without a check or without an effect.
TEST(admin_api, edits_a_configuration_step_by_step) {
    admin_fixture it;
    {
        SCOPED_TRACE("an empty store has revision 0");
        EXPECT_EQ(it.call("GET", "config"), (admin_answer{200, "{}", "\"0\""}));
        EXPECT_EQ(it.call("GET", "zones").body, "[]");
        EXPECT_EQ(it.call("GET", "zones_out").body, "\"!*\"");
    }
    {
        SCOPED_TRACE("writes need the revision that was read");
        for (const auto* field : {"", "*", "0", "\"\"", "\"x\"", "W/\"0\"", "\"0\", \"1\""}) {
            const auto answer = it.call("PUT", "config", field, it.first_document);
            EXPECT_EQ(answer.status, 428) << field;
            EXPECT_EQ(it.code_of(answer), 5006U) << field;
        }
        EXPECT_EQ(it.call("PUT", "config", "\"0\"", it.first_document),
                  (admin_answer{200, R"({"revision":1})", "\"1\""}));
        EXPECT_EQ(it.view.revision(), 1U);
        const auto old = it.call("PUT", "config", "\"0\"", it.first_document);
        EXPECT_EQ(old.status, 412);
        EXPECT_EQ(it.code_of(old), 5001U);
    }
    {
        SCOPED_TRACE("single objects, labels and selectors");
        EXPECT_EQ(it.call("PUT", "teams/t2", "\"1\"", R"({"token": "secret-2"})").status, 200);
        EXPECT_EQ(json::parse(it.call("GET", "teams/t2").body)["token"], "secret-2");
        EXPECT_EQ(it.call("PATCH", "zones/z1/labels", "\"2\"", R"({"service": "out"})").status, 200);
        EXPECT_EQ(it.call("GET", "zones/z1/labels").body, R"({"service":"out"})");
        EXPECT_EQ(it.call("PUT", "zones_out", "\"3\"", R"("service=out")").status, 200);
        EXPECT_EQ(it.call("DELETE", "teams/t1", "\"4\"").etag, "\"5\"");
        EXPECT_EQ(it.call("GET", "teams/t1").status, 404);
        EXPECT_EQ(it.call("DELETE", "teams/t1", "\"5\"").status, 404);
    }
    {
        SCOPED_TRACE("a faulty change names every fault and stores nothing");
        const auto faulty = it.call("PUT", "zones/z1", "\"5\"", R"({"region": 5, "colour": "red"})");
        EXPECT_EQ(faulty.status, 422);
        EXPECT_NE(faulty.body.find("$.zones[0].region"), std::string::npos) << faulty.body;
        EXPECT_NE(faulty.body.find("$.zones[0].colour"), std::string::npos) << faulty.body;
        EXPECT_EQ(it.call("PUT", "config", "\"5\"", "{").status, 422);
        EXPECT_EQ(it.call("PUT", "config", "\"5\"", "[]").status, 422);
        EXPECT_EQ(it.call("PUT", "config", "\"5\"", R"({"zones": [], "zones": []})").status, 422);
        EXPECT_EQ(it.call("GET", "config").etag, "\"5\"");
    }
    {
        SCOPED_TRACE("unknown paths and methods");
        EXPECT_EQ(it.call("GET", "colours").status, 404);
        EXPECT_EQ(it.call("GET", "").status, 404);
        EXPECT_EQ(it.call("GET", "zones/z1/labels/x").status, 404);
        EXPECT_EQ(it.call("DELETE", "config", "\"5\"").status, 400);
        EXPECT_EQ(it.call("PUT", "status", "\"5\"", "{}").status, 400);
        EXPECT_EQ(it.call("PUT", "zones", "\"5\"", "[]").status, 400);
        EXPECT_EQ(json::parse(it.call("GET", "status").body)["nodes"][0]["config_revision"], 5);
    }
}

// Guards against a change in a minority partition, and against an answer about a write that is not true.
TEST(admin_api, tells_the_truth_about_failed_changes) {
    admin_fixture it;
    ASSERT_EQ(it.call("PUT", "config", "\"0\"", it.first_document).status, 200);
    const std::string label = R"({"a": "b"})";
    {
        SCOPED_TRACE("no majority");
        it.view.majority = false;
        const auto answer = it.call("PATCH", "zones/z1/labels", "\"1\"", label);
        EXPECT_EQ(it.code_of(answer), 5003U);
        EXPECT_EQ(it.executed_of(answer), "no");
        EXPECT_EQ(it.call("GET", "config").status, 200);
        it.view.majority = true;
    }
    {
        SCOPED_TRACE("a partition begins while the change is written: stored, and not called accepted");
        it.view.confirms = false;
        const auto answer = it.call("PATCH", "zones/z1/labels", "\"1\"", R"({"c": "d"})");
        EXPECT_EQ(answer.status, 504);
        EXPECT_EQ(it.code_of(answer), 5007U);
        EXPECT_EQ(it.executed_of(answer), "yes");
        EXPECT_EQ(it.metrics.get("admin_changes_total"), 1);
        it.view.confirms = true;
        ASSERT_EQ(it.call("PATCH", "zones/z1/labels", "\"2\"", R"({"c": null})").etag, "\"3\"");
    }
    {
        SCOPED_TRACE("the store is down");
        it.store.set_faults([](const store_call&) { return store_fault::before; });
        const auto answer = it.call("PATCH", "zones/z1/labels", "\"3\"", label);
        EXPECT_EQ(it.code_of(answer), 3005U);
        EXPECT_EQ(it.executed_of(answer), "no");
        EXPECT_EQ(it.call("GET", "config").status, 503);
    }
    {
        SCOPED_TRACE("the answer to the write is lost; reading back shows that it took effect");
        it.store.set_faults([](const store_call& call) {
            return call.operation == store_operation::put ? store_fault::after : store_fault::none;
        });
        EXPECT_EQ(it.call("PATCH", "zones/z1/labels", "\"3\"", label).etag, "\"4\"");
        EXPECT_EQ(it.view.revision(), 4U);
    }
    {
        SCOPED_TRACE("the answer is lost and reading back fails too");
        bool written = false;
        it.store.set_faults([&written](const store_call& call) {
            written = written || call.operation == store_operation::put;
            return written ? store_fault::after : store_fault::none;
        });
        const auto answer = it.call("PATCH", "zones/z2/labels", "\"4\"", label);
        EXPECT_EQ(it.code_of(answer), 4004U);
        EXPECT_EQ(it.executed_of(answer), "unknown");
        it.store.set_faults(nullptr);
        EXPECT_EQ(it.call("GET", "zones/z2/labels").body, R"({"a":"b"})");
    }
}

// Guards against an operator's change that overwrites another's: each of 4 adds 10 labels, all must be there.
TEST(admin_api, loses_no_change_of_racing_operators) {
    admin_fixture it;
    ASSERT_EQ(it.call("PUT", "config", "\"0\"", it.first_document).status, 200);
    std::atomic<int> conflicts{0};
    const auto operate = [&](int who) {
        // Each operator has a router of its own, so that only the conditional write keeps them apart.
        memory_table_store store{it.rows};
        config_editor editor{store, it.metrics, "router-" + std::to_string(who + 2)};
        admin_api api{editor, it.view, it.metrics};
        for (int i = 0; i < 10;) {
            const auto etag = api.handle(admin_request{"GET", "config"}).etag;
            std::this_thread::yield();
            const json patch{{"l" + std::to_string(who) + "-" + std::to_string(i), "x"}};
            const auto status = api.handle(admin_request{"PATCH", "zones/z1/labels", etag, patch.dump()}).status;
            ASSERT_TRUE(status == 200 || status == 412) << status;
            i += status == 200 ? 1 : 0;
            conflicts += status == 412 ? 1 : 0;
        }
    };
    std::vector<std::thread> operators;
    for (int who = 0; who < 4; ++who) {
        operators.emplace_back(operate, who);
    }
    for (auto& thread : operators) {
        thread.join();
    }
    EXPECT_EQ(json::parse(it.call("GET", "zones/z1/labels").body).size(), 40U);
    EXPECT_EQ(it.call("GET", "config").etag, "\"41\"");
    EXPECT_EQ(it.metrics.get("admin_refused_total", "revision_mismatch"), conflicts.load());
}

} // namespace
} // namespace dandelionbay
