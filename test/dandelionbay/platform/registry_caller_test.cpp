#include "platform/registry_caller.hpp"

#include <optional>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "raw_server.hpp"

namespace dandelionbay::platform {
namespace {

using std::chrono::milliseconds;

/*! A caller of a registry that sends its answers in two pieces. */
class registry_caller_test : public testing::Test {
protected:
    struct outcome {
        int status{};
        std::string body{};
    };

    /*! Calls once. @param pause Between the pieces; no second one comes if it is not set. */
    [[nodiscard]] outcome call(std::optional<milliseconds> pause) {
        raw_server server{[&](const http_request& /*request*/, raw_server::connection& to) {
            to.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
            if (pause) {
                std::this_thread::sleep_for(*pause);
                to.write("half");
            }
        }};
        registry_environment environment;
        environment.loop = &loop;
        environment.time = &time;
        environment.log = &log;
        environment.metrics = &metrics;
        registry_caller caller{environment, server.address()};
        outcome out;
        caller.call("GET", "/rows", {}, limit, [&](int status, const std::string& body) {
            out = {status, body};
            reason = caller.describe_failure();
        });
        loop.restart();
        loop.run_for(limit * 5);
        caller.drop();
        server.stop();
        return out;
    }

    static constexpr milliseconds limit{200};

    boost::asio::io_context loop{};
    monotonic_clock time{};
    bounded_log log{nullptr, time};
    counters metrics{};
    std::string reason{};
};

// Guards against a registry that passes for lost because its answer was not read in time: a host that is late takes it
// slowly, and then takes entries that were removed meanwhile for lapsed ones (DRAIN).
TEST_F(registry_caller_test, an_answer_of_which_more_comes_is_waited_for) {
    const auto whole = call(limit + limit / 5);
    EXPECT_EQ(whole.status, 200);
    EXPECT_EQ(whole.body, "halfhalf");
    {
        SCOPED_TRACE("one that stops to come is late, and no answer");
        const auto broken = call(std::nullopt);
        EXPECT_EQ(broken.status, 0);
        EXPECT_TRUE(reason.starts_with("late")) << reason;
    }
}

} // namespace
} // namespace dandelionbay::platform
