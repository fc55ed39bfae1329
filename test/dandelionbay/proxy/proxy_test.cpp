#include "dandelionbay/proxy/proxy.hpp"

#include <array>
#include <string>

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

#include "dandelionbay/net/reserved_address.hpp"
#include "platform/call_headers.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

/*! A data path without a configuration, and a caller with a persistent connection. */
class proxy_test : public testing::Test {
protected:
    void SetUp() override {
        proxy_options options;
        options.listen = listen.get();
        options.max_connections = 100;
        router =
            std::make_unique<proxy>(proxy_environment{&loop, &time, &log, &metrics, &view, protocol.get()}, options);
        ASSERT_TRUE(router->start().ok());
        caller.connect(to_tcp_endpoint(listen.get()));
        run();
    }

    void run() {
        loop.restart();
        loop.run_for(milliseconds{50});
    }

    void send_request() {
        boost::asio::write(caller, boost::asio::buffer(std::string{
                                       "GET /a HTTP/1.1\r\nHost: a\r\nDandelionbay-Request-Id: 1\r\n\r\n"}));
    }

    /*! Returns the bytes received so far. */
    [[nodiscard]] std::string received() {
        caller.non_blocking(true);
        std::array<char, 4'096> buf{};
        boost::system::error_code ec;
        const auto n = caller.read_some(boost::asio::buffer(buf), ec);
        return {buf.data(), n};
    }

    const reserved_address listen{};
    boost::asio::io_context loop{};
    monotonic_clock time{};
    bounded_log log{nullptr, time};
    counters metrics{};
    registry_view view{{}};
    std::unique_ptr<call_protocol> protocol{platform::make_call_protocol()};
    std::unique_ptr<proxy> router{};
    tcp::socket caller{loop};
};

// Guards against a planned stop that cuts off requests which arrived just before it and are still unread.
TEST_F(proxy_test, a_stop_answers_unread_requests) {
    send_request();
    EXPECT_EQ(router->close_idle(), 1) << "the connection is not idle";
    router->drain(time.now(), time.now() + milliseconds{500});
    EXPECT_EQ(router->close_idle(), 1);
    run();
    const auto answer = received();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_EQ(router->close_idle(), 0);
}

TEST_F(proxy_test, a_stop_closes_idle_connections) {
    EXPECT_EQ(router->close_idle(), 0);
}

} // namespace
} // namespace dandelionbay
