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

// Guards against answers that are complete here and are cut by a planned stop, because their callers take them slowly:
// no call is open any more then.
TEST_F(gateway_stop, an_answer_that_its_caller_takes_slowly_arrives_whole) {
    // Its last part still waits in the gateway when no call has been open for the time that the balancer needs.
    const std::string body(std::size_t{7'900} << 10U, 'x');
    constexpr std::size_t bytes_at_a_time = 16U << 10U;
    constexpr std::size_t bytes_in_a_ms = 900;
    constexpr int receive_buffer = 64 << 10;
    start_with(milliseconds{7'500});
    desk_1.then(
        [&](const http_request& request, raw_server::connection& to) { scripted_endpoint::answer(request, to, body); });
    boost::asio::io_context loop;
    tcp::socket caller{loop};
    caller.open(tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size{receive_buffer});
    caller.connect(to_tcp_endpoint(gateway->caller()));
    boost::asio::write(caller, boost::asio::buffer(running_gateway::request("GET", "/look/slow", "", "keep-alive")));
    ASSERT_TRUE(eventually([&] { return !calls(desk_1, "/look/slow").empty(); }));
    std::this_thread::sleep_for(milliseconds{200});
    auto stopping = stop();
    std::string answer;
    boost::system::error_code ec;
    std::vector<char> buf(bytes_at_a_time);
    const auto began = test_clock::now();
    while (const auto n = caller.read_some(boost::asio::buffer(buf), ec)) {
        answer.append(buf.data(), n);
        std::this_thread::sleep_until(began + milliseconds{answer.size() / bytes_in_a_ms});
    }
    stopping.join();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + body)) << answer.size() << " bytes came";
}

} // namespace
} // namespace dandelionbay::platform
