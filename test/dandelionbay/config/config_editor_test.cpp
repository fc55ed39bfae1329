#include "dandelionbay/config/config_editor.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "dandelionbay/store/memory_table_store.hpp"

namespace dandelionbay {
namespace {

std::string document(int n) {
    return nlohmann::json{{"n", n}}.dump();
}

class config_editor_test : public testing::Test {
protected:
    struct operator_host {
        operator_host(std::shared_ptr<table_map> rows, counters& metrics, const std::string& name)
            : store{std::move(rows)}, editor{store, metrics, name} {}

        memory_table_store store;
        config_editor editor;
    };

    std::shared_ptr<table_map> rows{std::make_shared<table_map>()};
    counters metrics;
    operator_host a{rows, metrics, "a/1"};
    operator_host b{rows, metrics, "b/1"};
};

// Guards against two operators who both believe that their change is in force.
TEST_F(config_editor_test, one_of_two_racing_operators_is_refused) {
    EXPECT_TRUE(absl::IsNotFound(a.editor.read().status()));
    EXPECT_EQ(a.editor.replace(document(1), 0).value(), 1);
    EXPECT_TRUE(absl::IsAborted(b.editor.replace(document(2), 0).status()));
    EXPECT_EQ(b.editor.read().value(), (stored_config{1, document(1)}));
    {
        SCOPED_TRACE("the other comes between any two calls");
        for (unsigned index = 0; index < 2; ++index) {
            const auto before = a.editor.read().value();
            const auto start = a.store.calls();
            a.store.set_faults([&](const store_call& call) {
                if (call.index == start + index) {
                    EXPECT_TRUE(b.editor.replace(document(3), before.revision).ok());
                }
                return store_fault::none;
            });
            EXPECT_TRUE(absl::IsAborted(a.editor.replace(document(4), before.revision).status()));
            a.store.set_faults({});
            EXPECT_EQ(a.editor.read().value(), (stored_config{before.revision + 1, document(3)}));
        }
    }
    EXPECT_EQ(metrics.get("config_changes_total", "conflict"), 3);
    EXPECT_TRUE(absl::IsInvalidArgument(a.editor.replace("[]", 3).status()));
    EXPECT_TRUE(rows->put(config_table, config_key, "{}", 3).ok());
    EXPECT_TRUE(absl::IsDataLoss(a.editor.read().status()));
}

// Guards against a wrong answer about a change after faults at any pair of calls, also below later changes.
TEST_F(config_editor_test, a_lost_answer_is_resolved_by_the_change_id) {
    for (unsigned first = 0; first < 6; ++first) {
        for (unsigned second = first; second < 6; ++second) {
            for (const auto fault : {store_fault::before, store_fault::after}) {
                for (const int on_top : {0, 1, 15, 16}) {
                    SCOPED_TRACE(testing::Message()
                                 << first << " " << second << " " << (fault == store_fault::after) << " " << on_top);
                    auto table = std::make_shared<table_map>();
                    operator_host x{table, metrics, "x"};
                    operator_host y{table, metrics, "y"};
                    const auto base = y.editor.replace(document(0), 0).value();
                    const auto add_on_top = [&] {
                        for (int n = 0; n < on_top && table->get(config_table, config_key)->version > base; ++n) {
                            ASSERT_TRUE(y.editor.replace(document(n), y.editor.read()->revision).ok());
                        }
                    };
                    x.store.set_faults([&](const store_call& call) {
                        if (call.operation == store_operation::get && call.index > 0) {
                            add_on_top();
                        }
                        return call.index == first || call.index == second ? fault : store_fault::none;
                    });
                    const auto result = x.editor.replace(document(77), base);
                    const bool written = table->get(config_table, config_key)->version > base;
                    EXPECT_TRUE(!result.ok() || (written && *result == base + 1));
                    EXPECT_FALSE(written && absl::IsAborted(result.status())) << "the change is in force";
                    EXPECT_TRUE(result.ok() || first != second || first == 0 || on_top == 16)
                        << "one fault can be resolved";
                }
            }
        }
    }
}

} // namespace
} // namespace dandelionbay
