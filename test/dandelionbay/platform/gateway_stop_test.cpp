#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

using test_clock = std::chrono::steady_clock;

/*! A gateway that a planned stop ends within a time that the test sets. */
class gateway_stop : public gateway_fleet {
protected:
    void start_with(milliseconds grace) {
        gateway_bounds bounds;
        bounds.stop_grace = grace;
        start_gateway(bounds);
    }

    /*! Returns when the gateway has ended. */
    [[nodiscard]] std::thread stop() {
        return std::thread{[it = std::move(gateway)] {}};
    }
};

// Guards against orders that a planned stop passes on so late that it ends before their endpoint answers: they can't be
// repeated, and their callers don't learn whether they ran.
TEST_F(gateway_stop, an_order_is_passed_on_only_if_it_can_run_to_its_own_limit) {
    constexpr milliseconds grace{4'000};
    constexpr milliseconds limit{1'800};
    constexpr milliseconds work{1'200}; // Longer than the target of the route.
    constexpr milliseconds interval{150};
    start_with(grace);
    desk_1.otherwise([&](const http_request& request, raw_server::connection& to) {
        std::this_thread::sleep_for(request.path().starts_with("/book/") ? work : milliseconds{});
        scripted_endpoint::answer(request, to, "ran");
    });
    const auto address = gateway->caller();
    const auto began = test_clock::now();
    std::vector<std::thread> threads;
    threads.push_back(stop());
    std::mutex mutex;
    std::map<std::string, std::string> answers;
    for (int n = 0; test_clock::now() - began < grace; ++n) {
        threads.emplace_back([&, path = concat("/book/", n)] {
            auto bytes = running_gateway::request("POST", path, "Content-Length: 2\r\n", "close", limit) + "{}";
            auto answer = running_gateway::exchange(address, bytes);
            const std::scoped_lock lock{mutex};
            answers[path] = std::move(answer);
        });
        std::this_thread::sleep_for(interval);
    }
    for (auto& it : threads) {
        it.join();
    }
    int served = 0;
    int refused = 0;
    for (const auto& [path, answer] : answers) {
        SCOPED_TRACE(concat(path, ": ", answer));
        if (answer.starts_with("HTTP/1.1 200 ")) {
            EXPECT_TRUE(answer.ends_with("ran"));
            ++served;
            continue;
        }
        EXPECT_TRUE(calls(desk_1, path).empty()) << "it was passed on";
        if (!answer.empty()) { // Afterwards nobody listens any more.
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 "));
            EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
            ++refused;
        }
    }
    EXPECT_GT(served, 0);
    EXPECT_GT(refused, 0);
}

} // namespace
} // namespace dandelionbay::platform
