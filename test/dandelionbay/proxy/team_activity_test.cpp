#include "dandelionbay/proxy/team_activity.hpp"

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

#include "dandelionbay/base/bounded_log.hpp"

namespace dandelionbay {
namespace {

const team_activity::key chat{team_id{"t1"}, service_id{"chat"}};

/*! Sums of teams before a log whose lines can be read. */
class team_activity_log : public testing::Test {
protected:
    [[nodiscard]] std::string logged() {
        log.reset();
        std::ifstream in{path};
        return {std::istreambuf_iterator<char>{in}, {}};
    }

    void TearDown() override { std::remove(path.c_str()); }

    std::string path{testing::TempDir() + "team_activity_test." + std::to_string(getpid()) + ".json"};
    manual_clock time;
    std::unique_ptr<bounded_log> log{std::make_unique<bounded_log>(
        std::make_shared<event_log>(event_log_options{log_level::info, path, host_id{"h"}, zone_id{"z"}}), time)};
    team_activity activity{};
};

// Guards against records of shares that miss the calls of just the team that lacks service: lines on calls are left
// out under load.
TEST_F(team_activity_log, sums_are_complete_when_lines_on_calls_are_left_out) {
    constexpr int calls = 5'000;
    activity.log_if_due(*log, time.now());
    for (int n = 0; n < calls; ++n) {
        const bool is_logged = log->write_call(log_level::info, "call", [] { return event_log::fields{}; });
        activity.add(chat, {.arrived = 1,
                            .arrived_cost = 10.0,
                            .largest_cost = 10.0,
                            .unserved = 1,
                            .unlogged = is_logged ? 0U : 1U,
                            .unlogged_arrived_cost = is_logged ? 0.0 : 10.0});
    }
    const auto sums = activity.entries().at(chat);
    EXPECT_EQ(sums.arrived, calls);
    EXPECT_EQ(sums.unlogged, log->left_out());
    EXPECT_GT(sums.unlogged, 0);
    time.advance(std::chrono::milliseconds{1'200});
    activity.log_if_due(*log, time.now());
    EXPECT_TRUE(activity.entries().empty());
    const auto text = logged();
    EXPECT_NE(text.find("team_second"), std::string::npos);
    EXPECT_NE(text.find("\"1200\""), std::string::npos) << "the time that the sums cover";
    EXPECT_NE(text.find("t1/chat:5000,50000,10,0,0,0,5000," + std::to_string(sums.unlogged)), std::string::npos)
        << text;
}

TEST_F(team_activity_log, sums_stay_until_the_log_has_room) {
    activity.log_if_due(*log, time.now());
    activity.add(chat, {.arrived = 1});
    time.advance(team_activity::log_interval);
    while (log->write(log_level::info, "fact")) {
    }
    activity.log_if_due(*log, time.now());
    EXPECT_EQ(activity.entries().at(chat).arrived, 1);
    time.advance(std::chrono::seconds{5});
    activity.log_if_due(*log, time.now());
    EXPECT_TRUE(activity.entries().empty());
    EXPECT_NE(logged().find("\"6000\""), std::string::npos);
}

TEST_F(team_activity_log, holds_a_bounded_number_of_teams) {
    constexpr std::size_t teams = 1'000;
    for (std::size_t n = 0; n < teams; ++n) {
        activity.add({team_id{"t" + std::to_string(n)}, service_id{"chat"}}, {.arrived = 1});
    }
    EXPECT_EQ(activity.entries().size(), team_activity::max_entries + 1);
    EXPECT_EQ(activity.entries().at({}).arrived, teams - team_activity::max_entries);
}

} // namespace
} // namespace dandelionbay
