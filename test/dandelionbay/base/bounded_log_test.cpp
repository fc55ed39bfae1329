#include "dandelionbay/base/bounded_log.hpp"

#include <cstdio>
#include <fstream>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

namespace dandelionbay {
namespace {

/*! Lines of a log file that name an event. */
[[nodiscard]] int lines_with(const std::string& path, const std::string& event) {
    std::ifstream in{path};
    int n = 0;
    for (std::string line; std::getline(in, line);) {
        n += line.find('"' + event + '"') != std::string::npos ? 1 : 0;
    }
    return n;
}

// Guards against logs that say nothing of a host's facts just when it has more calls than it can write lines for.
TEST(bounded_log, lines_on_calls_take_no_room_from_lines_on_facts) {
    const auto path = testing::TempDir() + "bounded_log_test." + std::to_string(getpid()) + ".json";
    manual_clock time;
    int made = 0;
    {
        bounded_log log{
            std::make_shared<event_log>(event_log_options{log_level::info, path, host_id{"h"}, zone_id{"z"}}), time};
        constexpr int calls = 5'000;
        for (int n = 0; n < calls; ++n) {
            log.write_call(log_level::info, "call", [&] {
                ++made;
                return event_log::fields{};
            });
        }
        for (int n = 0; n < 200; ++n) {
            log.write(log_level::info, "fact");
        }
        EXPECT_EQ(log.left_out(), calls - made) << "the fields of a line that is left out are not made";
        time.advance(std::chrono::seconds{2});
        log.write_call(log_level::info, "call", [] { return event_log::fields{}; });
    }
    EXPECT_LE(made, bounded_log::burst.back());
    EXPECT_EQ(lines_with(path, "call"), made + 1);
    EXPECT_EQ(lines_with(path, "fact"), 200);
    EXPECT_EQ(lines_with(path, "log_lines_left_out"), 1);
    std::remove(path.c_str());
}

} // namespace
} // namespace dandelionbay
