#include "dandelionbay/app/command.hpp"

#include <array>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>
#include <unistd.h>

namespace dandelionbay::app {
namespace {

struct outcome {
    int status{};
    std::string out{};
    std::string err{};
};

outcome run(std::vector<std::string> args) {
    const std::array commands{check_command(), ctl_command(), load_command(), trace_command()};
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int status = run_command(commands, args);
    return {status, testing::internal::GetCapturedStdout(), testing::internal::GetCapturedStderr()};
}

/*! A file that is removed at the end of the test. */
class temporary_file {
public:
    explicit temporary_file(const std::string& content)
        : path_{std::filesystem::temp_directory_path() /
                ("dandelionbay_test." + std::to_string(::getpid()) + "." + std::to_string(++last_))} {
        std::ofstream{path_} << content;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;
    ~temporary_file() { std::filesystem::remove(path_); }

    [[nodiscard]] std::string path() const { return path_.string(); }

private:
    static inline int last_{};
    std::filesystem::path path_;
};

// Guards against exit statuses that scripts can't rely on, and against flags that leak between subcommands.
TEST(command, exit_status_tells_usage_errors_from_failures) {
    EXPECT_EQ(run({}).status, exit_usage);
    EXPECT_EQ(run({"--help"}).status, exit_ok);
    EXPECT_EQ(run({"bogus"}).status, exit_usage);
    EXPECT_EQ(run({"check", "--help"}).status, exit_ok);
    EXPECT_NE(run({"check", "--help"}).out.find("--settings"), std::string::npos);
    EXPECT_EQ(run({"check", "--help"}).out.find("--token"), std::string::npos);
    EXPECT_EQ(run({"check"}).status, exit_usage);
    EXPECT_EQ(run({"check", "--settings"}).status, exit_usage);
    EXPECT_EQ(run({"check", "--token=x"}).status, exit_usage);
    EXPECT_EQ(run({"check", "--settings=/nonexistent"}).status, exit_usage);
    EXPECT_EQ(run({"ctl", "--json=maybe", "status"}).status, exit_usage);
    EXPECT_EQ(run({"ctl", "--server=localhost:1", "status"}).status, exit_usage);
    EXPECT_EQ(run({"ctl", "--server=127.0.0.1:1", "fly"}).status, exit_usage);
    EXPECT_EQ(run({"ctl", "label", "planet", "x", "a=b"}).status, exit_usage);
    EXPECT_EQ(run({"ctl", "label", "zone", "x", "a"}).status, exit_usage);
    {
        SCOPED_TRACE("nobody listens on port 1");
        const auto refused = run({"ctl", "--server=127.0.0.1:1", "status"});
        EXPECT_EQ(refused.status, exit_failed);
        EXPECT_NE(refused.err.find("executed: no"), std::string::npos) << refused.err;
    }
}

// Guards against a check that stops at the first fault or passes over one.
TEST(command, check_prints_every_fault) {
    {
        const temporary_file bad{R"({"role": "engine", "listen": "here", "slots": 0, "colour": "red"})"};
        const auto result = run({"check", "--settings", bad.path()});
        EXPECT_EQ(result.status, exit_usage);
        for (const auto* fault : {"$.listen: ", "$.slots: ", "$.colour: "}) {
            EXPECT_NE(result.err.find(fault), std::string::npos) << result.err;
        }
    }
    const temporary_file good{R"({"role": "engine", "listen": "127.0.0.1:9000"})"};
    EXPECT_EQ(run({"check", "--settings=" + good.path()}).status, exit_ok);
}

// Guards against lines of a request that are lost, mixed with others, or out of order when its way is traced.
TEST(command, trace_gathers_the_lines_of_one_request_in_order) {
    const auto line = [](const std::string& time, const std::string& request, const std::string& message) {
        return R"({"timestamp": ")" + time + R"(", "message": ")" + message + R"(", "context_map": {"request": ")" +
               request + "\"}}\n";
    };
    const temporary_file first{"ready\n" + line("10:00:02", "a1", "late") + line("10:00:01", "b2", "other")};
    const temporary_file second{line("10:00:01", "a1", "early") + line("10:00:03", "a11", "longer id")};
    const auto result = run({"trace", "--request=a1", first.path(), second.path()});
    EXPECT_EQ(result.status, exit_ok);
    EXPECT_EQ(result.out, line("10:00:01", "a1", "early") + line("10:00:02", "a1", "late"));
    EXPECT_EQ(run({"trace", "--request=none", first.path()}).status, exit_failed);
    EXPECT_EQ(run({"trace", "--request=a1", "/nonexistent"}).status, exit_failed);
    EXPECT_EQ(run({"trace", "--request=", first.path()}).status, exit_usage);
}

// Guards against a load that starts with a faulty profile, and against one without any answer that looks successful.
TEST(command, load_tells_usage_errors_from_failures) {
    const std::string profile = "--profile=" DANDELIONBAY_SOURCE_DIR "/examples/load/dev.json";
    EXPECT_EQ(run({"load", "--help"}).status, exit_ok);
    EXPECT_EQ(run({"load"}).status, exit_usage);
    EXPECT_EQ(run({"load", "--target=http://127.0.0.1:1", "--profile=/nonexistent"}).status, exit_usage);
    EXPECT_EQ(run({"load", "--target=https://127.0.0.1:1", profile}).status, exit_usage);
    EXPECT_EQ(run({"load", "--target=http://127.0.0.1:1", profile, "--seconds=0"}).status, exit_usage);
    EXPECT_EQ(run({"load", "--target=http://127.0.0.1:1", profile, "--seconds=1", "--plot=/nonexistent/x"}).status,
              exit_usage);
    {
        const temporary_file bad{R"({"teams": [], "colour": "red"})"};
        const auto result = run({"load", "--target=http://127.0.0.1:1", "--profile", bad.path(), "--seconds=1"});
        EXPECT_EQ(result.status, exit_usage);
        EXPECT_NE(result.err.find("$.colour: "), std::string::npos) << result.err;
    }
    const temporary_file plot{""};
    const auto failed =
        run({"load", "--target=http://127.0.0.1:1", profile, "--seconds=1", "--json", "--plot", plot.path()});
    EXPECT_EQ(failed.status, exit_failed);
    EXPECT_NE(failed.out.find("\"complete\":0"), std::string::npos) << failed.out;
    EXPECT_GT(std::filesystem::file_size(plot.path()), 0U);
}

} // namespace
} // namespace dandelionbay::app
