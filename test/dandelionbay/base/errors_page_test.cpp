#include <fstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {
namespace {

// Guards against a result code that the page for callers and operators lacks or describes differently.
TEST(errors_page, has_exactly_the_table_of_result_codes) {
    std::vector<std::string> expected;
    for (const auto& row : result_table()) {
        expected.push_back(concat("| ", static_cast<unsigned>(row.code), " | ", row.name, " | ", row.http_status, " | ",
                                  row.text, " |"));
    }
    std::vector<std::string> found;
    std::ifstream page{std::string{DANDELIONBAY_SOURCE_DIR} + "/docs/errors.md"};
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
            found.push_back(line);
        }
    }
    EXPECT_EQ(found, expected);
}

} // namespace
} // namespace dandelionbay
