#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

// Guards against requests that get nothing because they cross the end of their kept connection: the idle time shrank,
// and a caller could not know when its last answer came.
TEST_F(gateway_fleet, a_kept_connection_stays_open_for_the_idle_time_of_its_last_answer) {
    const auto text = config(2);
    const std::string before = R"("idle_timeout_ms": 15000)";
    const auto at = text.find(before);
    ASSERT_NE(at, std::string::npos);
    boost::asio::io_context loop;
    tcp::socket caller{loop};
    caller.connect(to_tcp_endpoint(gateway->caller()));
    const auto status_of = [&] {
        boost::system::error_code ec;
        boost::asio::write(caller, boost::asio::buffer(running_gateway::request("GET", "/look/kept", "", "keep-alive")),
                           ec);
        std::array<char, 4'096> buf{};
        const auto n = caller.read_some(boost::asio::buffer(buf), ec);
        return std::string{buf.data(), std::min<std::size_t>(n, 12)};
    };
    ASSERT_EQ(status_of(), "HTTP/1.1 200");
    store.put("op", "config", std::string{text}.replace(at, before.size(), R"("idle_timeout_ms": 300)"));
    std::this_thread::sleep_for(milliseconds{1'000});
    EXPECT_EQ(status_of(), "HTTP/1.1 200");
    {
        SCOPED_TRACE("after that answer the new idle time holds");
        std::this_thread::sleep_for(milliseconds{1'000});
        EXPECT_EQ(status_of(), "");
    }
}

// Guards against uploads that are refused or cut because the time for them shrank while they were sent.
TEST_F(gateway_fleet, an_upload_keeps_the_time_that_was_in_force_when_it_began) {
    auto text = config(2);
    const std::string_view before = R"("idle_timeout_ms": 15000)";
    text.replace(text.find(before), before.size(), R"("idle_timeout_ms": 300)");
    const auto upload = [&](const std::string& path) {
        boost::asio::io_context loop;
        tcp::socket caller{loop};
        caller.connect(to_tcp_endpoint(gateway->caller()));
        boost::system::error_code ec;
        boost::asio::write(
            caller, boost::asio::buffer(running_gateway::request("POST", path, "Content-Length: 2\r\n") + "{"), ec);
        std::this_thread::sleep_for(milliseconds{200});
        store.put("op", "config", text);
        std::this_thread::sleep_for(milliseconds{1'000});
        boost::asio::write(caller, boost::asio::buffer(std::string{"}"}), ec);
        std::array<char, 4'096> buf{};
        const auto n = caller.read_some(boost::asio::buffer(buf), ec);
        return std::string{buf.data(), std::min<std::size_t>(n, 12)};
    };
    EXPECT_EQ(upload("/book/before"), "HTTP/1.1 200");
    EXPECT_EQ(upload("/book/after"), "HTTP/1.1 408");
}

// Guards against requests that are refused for their size although the configuration in force allows it: a connection
// that was opened before it kept the limits of its beginning.
TEST_F(gateway_fleet, limits_of_requests_follow_the_configuration_on_kept_connections) {
    const auto limited = [](int version, int bytes) {
        auto out = config(version);
        const std::string_view limits = R"("limits": {)";
        return out.replace(out.find(limits), limits.size(), concat(limits, R"("max_body_bytes": )", bytes, ", "));
    };
    boost::asio::io_context loop;
    tcp::socket caller{loop};
    const auto status_of = [&](const std::string& body) {
        boost::system::error_code ec;
        boost::asio::write(caller,
                           boost::asio::buffer(running_gateway::request("POST", "/book/kept",
                                                                        concat("Content-Length: ", body.size(), "\r\n"),
                                                                        "keep-alive") +
                                               body),
                           ec);
        std::array<char, 4'096> buf{};
        const auto n = caller.read_some(boost::asio::buffer(buf), ec);
        return std::string{buf.data(), std::min<std::size_t>(n, 12)};
    };
    store.put("op", "config", limited(2, 4));
    std::this_thread::sleep_for(milliseconds{300});
    caller.connect(to_tcp_endpoint(gateway->caller()));
    ASSERT_EQ(status_of("{}"), "HTTP/1.1 200");
    store.put("op", "config", limited(3, 40));
    std::this_thread::sleep_for(milliseconds{300});
    EXPECT_EQ(status_of(std::string(20, 'x')), "HTTP/1.1 200");
    store.put("op", "config", limited(4, 4));
    std::this_thread::sleep_for(milliseconds{300});
    EXPECT_EQ(status_of(std::string(20, 'x')), "HTTP/1.1 413");
}

} // namespace
} // namespace dandelionbay::platform
