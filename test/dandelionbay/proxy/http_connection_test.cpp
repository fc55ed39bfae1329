#include "dandelionbay/proxy/http_connection.hpp"

#include <array>
#include <string>

#include <sys/socket.h>

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

#include "dandelionbay/proxy/http_message.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/*! Counts the events of one request. */
class counting_handler : public response_handler {
public:
    [[nodiscard]] bool on_head(const response_head& head) override {
        status = head.status;
        return true;
    }
    void on_body(std::string bytes) override { body += bytes; }
    void on_complete() override { ++completed; }
    void on_failed(request_failure reason) override {
        static_cast<void>(reason);
        ++failed;
    }

    int status{};
    std::string body{};
    int completed{};
    int failed{};
};

/*! An endpoint behind a narrow link that reads only when told to. */
class http_connection_test : public testing::Test {
protected:
    void SetUp() override {
        acceptor.open(tcp::v4());
        constexpr int narrow = 4'096;
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size{narrow});
        acceptor.bind(tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen();
        client = std::make_shared<http_connection>(loop, socket_address{"127.0.0.1", acceptor.local_endpoint().port()},
                                                   milliseconds{500});
        client->start();
        acceptor.accept(endpoint);
        run();
    }

    void run() {
        loop.restart();
        loop.run_for(milliseconds{50});
    }

    /*! Reads until the connection ends. @return Number of bytes, and the error at the end. */
    [[nodiscard]] std::pair<std::size_t, error_code> read_all() {
        std::size_t n = 0;
        error_code ec;
        std::array<char, 4'096> buf{};
        while (!ec) {
            n += endpoint.read_some(boost::asio::buffer(buf), ec);
        }
        return {n, ec};
    }

    void respond(const std::string& bytes) {
        boost::asio::write(endpoint, boost::asio::buffer(bytes));
        run();
    }

    boost::asio::io_context loop{};
    tcp::acceptor acceptor{loop};
    tcp::socket endpoint{loop};
    std::shared_ptr<http_connection> client{};
    counting_handler events{};
};

// Guards against a call that reaches an endpoint seconds after it was abandoned: a full link still holds the call, and
// the system keeps sending it if the connection is closed gracefully.
TEST_F(http_connection_test, an_abandoned_call_on_a_full_link_is_discarded) {
    const auto request = write_request("POST", "/a", {}, std::string(60'000, 'x'));
    client->send(request, false, &events);
    run();
    client->close();
    run();
    const auto [n, ec] = read_all();
    EXPECT_LT(n, request.size()) << "the endpoint could still run the call";
    EXPECT_EQ(ec, boost::asio::error::connection_reset);
    EXPECT_EQ(events.completed + events.failed, 0) << "the handler was called after close()";
}

// Guards against resets of idle connections, which an endpoint may take for a failure.
TEST_F(http_connection_test, an_idle_connection_is_closed_gracefully) {
    client->send(write_request("GET", "/a", {}, {}), false, &events);
    run();
    respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    EXPECT_EQ(events.completed, 1);
    EXPECT_EQ(events.body, "ab");
    client->close();
    run();
    EXPECT_EQ(read_all().second, boost::asio::error::eof);
}

// Guards against a late second copy of a response that is taken for the response to the connection's next call.
TEST_F(http_connection_test, bytes_after_a_response_belong_to_no_call) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    client->send(write_request("GET", "/a", {}, {}), false, &events);
    run();
    {
        SCOPED_TRACE("they arrive with the answer");
        respond(whole + whole);
        EXPECT_EQ(events.completed, 1);
        EXPECT_EQ(events.body, "ab");
        EXPECT_FALSE(client->is_reusable());
    }
}

TEST_F(http_connection_test, bytes_on_an_idle_connection_close_it) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    client->send(write_request("GET", "/a", {}, {}), false, &events);
    run();
    respond(whole);
    EXPECT_TRUE(client->is_reusable());
    boost::asio::write(endpoint, boost::asio::buffer(whole));
    {
        SCOPED_TRACE("they wait unread while the loop is busy");
        EXPECT_FALSE(client->is_reusable());
    }
    run();
    EXPECT_FALSE(client->is_reusable());
    EXPECT_EQ(events.body, "ab");
}

// Guards against a truncated response that is taken for a complete one.
TEST_F(http_connection_test, a_truncated_response_fails_the_call) {
    client->send(write_request("GET", "/a", {}, {}), false, &events);
    run();
    {
        SCOPED_TRACE("shorter than its stated length");
        respond("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nab");
        endpoint.close();
        run();
        EXPECT_EQ(events.completed, 0);
        EXPECT_EQ(events.failed, 1);
    }
}

TEST_F(http_connection_test, a_response_without_a_length_is_complete_only_if_its_connection_is_closed_gracefully) {
    client->send(write_request("GET", "/a", {}, {}), false, &events);
    run();
    respond("HTTP/1.1 200 OK\r\n\r\nab");
    endpoint.set_option(boost::asio::socket_base::linger{true, 0});
    endpoint.close();
    run();
    EXPECT_EQ(events.completed, 0);
    EXPECT_EQ(events.failed, 1);
}

// Guards against the pattern "an endpoint answers a long upload early and resets the connection": the reset ended the
// writing of the request, and the part of the answer that had arrived was taken for all of it (MIXED).
TEST_F(http_connection_test, a_response_that_is_reset_during_the_upload_fails_the_call) {
    constexpr std::size_t long_body = 4'000'000; // More than the socket's buffers hold.
    client->send(write_request("POST", "/a", {}, std::string(long_body, 'x')), false, &events);
    run();
    boost::asio::write(endpoint, boost::asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\nab"}));
    endpoint.set_option(boost::asio::socket_base::linger{true, 0});
    endpoint.close();
    run();
    EXPECT_EQ(events.completed, 0);
    EXPECT_EQ(events.failed, 1);
}

// Guards against calls that are forwarded after their callers have disconnected while the connection to the endpoint
// was established (GONE), and against requests whose contents are outdated since their placement.
TEST_F(http_connection_test, a_request_is_made_when_its_connection_is_established) {
    const auto late = std::make_shared<http_connection>(
        loop, socket_address{"127.0.0.1", acceptor.local_endpoint().port()}, milliseconds{500});
    std::string newest = "GET /old HTTP/1.1\r\n\r\n";
    late->start();
    late->send([&] { return newest; }, false, &events);
    EXPECT_EQ(events.failed, 0);
    {
        SCOPED_TRACE("the request is made when it is sent");
        newest = "GET /new HTTP/1.1\r\n\r\n";
        endpoint = acceptor.accept();
        run();
        std::array<char, 100> buf{};
        EXPECT_EQ((std::string{buf.data(), endpoint.read_some(boost::asio::buffer(buf))}), newest);
        late->close();
    }
    {
        SCOPED_TRACE("a request that is no longer wanted is not sent");
        const auto unwanted = std::make_shared<http_connection>(
            loop, socket_address{"127.0.0.1", acceptor.local_endpoint().port()}, milliseconds{500});
        unwanted->start();
        unwanted->send([] { return std::string{}; }, false, &events);
        endpoint = acceptor.accept();
        run();
        EXPECT_EQ(events.failed, 1);
        EXPECT_EQ(read_all().first, 0);
    }
}

} // namespace
} // namespace dandelionbay
