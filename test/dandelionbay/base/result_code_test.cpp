#include "dandelionbay/base/result_code.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

// Guards against a code that is missing from the table, listed twice, or described by another code's row.
TEST(result_code, table_is_ordered_and_complete) {
    const auto table = result_table();
    EXPECT_TRUE(std::ranges::is_sorted(table, std::ranges::less_equal{}, &result_info::code));
    for (const auto& row : table) {
        EXPECT_EQ(describe(row.code).name, row.name);
    }
    EXPECT_EQ(describe(static_cast<result_code>(42)).code, result_code::internal_error);
}

} // namespace
} // namespace dandelionbay
