#include <gtest/gtest.h>

#include "dandelionbay/gateway/retained_rows.hpp"

namespace dandelionbay {
namespace {

using std::chrono::seconds;

constexpr time_point start{seconds{100}};

class retained_rows_test : public testing::Test {
protected:
    void add(const std::string& key, const std::string& value) {
        rows.add(key, {[value] { return value; }, [this] { return is_needed; }});
    }

    /*! The registry accepts all pending writes. */
    void accept(time_point now = start) { rows.record_accepted(rows.take(100), now); }

    bool is_needed{true};
    retained_rows rows{};
};

// Guards against a row that is lost for good when the registry is restored from a backup, and against one that returns.
TEST_F(retained_rows_test, writes_that_the_registry_has_lost_are_pending_again) {
    add("kept", "1");
    add("lost", "2");
    rows.add("returned", {});
    accept();
    EXPECT_EQ(rows.add_lost({"kept", "returned"}), 2);
    const auto writes = rows.take(100);
    ASSERT_EQ(writes.size(), 2);
    EXPECT_EQ(writes.at("lost").make_value(), "2");
    EXPECT_EQ(writes.at("returned").make_value, nullptr);
}

// Guards against a call that is refused again because its losses are written after it was answered.
TEST_F(retained_rows_test, a_lost_row_that_is_no_longer_needed_stays_lost) {
    add("lost", "1");
    accept();
    is_needed = false;
    EXPECT_EQ(rows.add_lost({}), 0);
    EXPECT_TRUE(rows.empty());
}

// Guards against an older write of a row that replaces a newer one.
TEST_F(retained_rows_test, a_pending_write_is_newer_than_one_that_was_lost_or_failed) {
    add("row", "old");
    accept();
    add("row", "new");
    EXPECT_EQ(rows.add_lost({}), 0);
    auto failed = rows.take(100);
    EXPECT_EQ(failed.at("row").make_value(), "new");
    add("row", "newest");
    rows.put_back(std::move(failed));
    EXPECT_EQ(rows.take(100).at("row").make_value(), "newest");
}

// Guards against calls with more rows than the registry takes, and against writes that are kept without limit.
TEST_F(retained_rows_test, batches_and_memory_are_bounded) {
    for (const auto* const key : {"a", "b", "c"}) {
        add(key, key);
    }
    EXPECT_EQ(rows.take(2).size(), 2);
    EXPECT_EQ(rows.take(2).size(), 1);
    EXPECT_TRUE(rows.empty());
    add("old", "1");
    accept();
    add("young", "2");
    accept(start + retained_rows::retention_window);
    EXPECT_EQ(rows.add_lost({}), 1);
    EXPECT_TRUE(rows.take(1).contains("young"));
}

} // namespace
} // namespace dandelionbay
