#include "dandelionbay/base/event_log.hpp"

#include <cstdio>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace dandelionbay {
namespace {

// Guards against lines that are no JSON, that mix the fields of several threads, and against a level that is ignored.
TEST(event_log, each_line_is_a_json_object_of_one_event) {
    const auto path = ::testing::TempDir() + "event_log_test.json";
    std::remove(path.c_str());
    {
        event_log log{{log_level::info, path, host_id{"r1"}, zone_id{"z"}}};
        log.write(log_level::debug, "not_logged");
        std::vector<std::thread> threads;
        for (int n = 0; n < 4; ++n) {
            threads.emplace_back([&log, n] {
                const request_id id{host_id{"r1"}, 7, static_cast<std::uint64_t>(n)};
                for (int line = 0; line < 100; ++line) {
                    log.write(log_level::warn, "event \"quoted\"\n", {{"thread", std::to_string(n)}}, &id);
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
    }
    std::ifstream file{path};
    int lines = 0;
    for (std::string text; std::getline(file, text); ++lines) {
        const auto line = nlohmann::json::parse(text);
        EXPECT_TRUE(line.contains("timestamp"));
        EXPECT_EQ(line["level"], "WARN");
        EXPECT_EQ(line["message"], "event \"quoted\"\n");
        EXPECT_EQ(line["context_map"]["host"], "r1");
        EXPECT_EQ(line["context_map"]["request"], "r1-7-" + line["context_map"]["thread"].get<std::string>());
    }
    EXPECT_EQ(lines, 400);
    std::remove(path.c_str());
}

} // namespace
} // namespace dandelionbay
