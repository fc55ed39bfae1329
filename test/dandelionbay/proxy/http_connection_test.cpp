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

/*! Counts what it hears of one request. */
class noted_answer : public response_handler {
public:
    [[nodiscard]] bool on_head(const response_head& head) override {
        status = head.status;
        return true;
    }
    void on_body(std::string bytes) override { body += bytes; }
    void on_complete() override { ++completed; }
    void on_failed(request_failure why) override {
        static_cast<void>(why);
        ++failed;
    }

    int status{};
    std::string body{};
    int completed{};
    int failed{};
};

/*! An endpoint that reads nothing until it is asked to, behind a narrow link. */
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

    /*! Reads until the connection ends. */
    [[nodiscard]] std::pair<std::size_t, error_code> read_all() {
        std::size_t n = 0;
        error_code ec;
        std::array<char, 4'096> buf{};
        while (!ec) {
            n += endpoint.read_some(boost::asio::buffer(buf), ec);
        }
        return {n, ec};
    }

    void answer(const std::string& bytes) {
        boost::asio::write(endpoint, boost::asio::buffer(bytes));
        run();
    }

    boost::asio::io_context loop{};
    tcp::acceptor acceptor{loop};
    tcp::socket endpoint{loop};
    std::shared_ptr<http_connection> client{};
    noted_answer noted{};
};

// Guards against a call that reaches an endpoint seconds after it was given up: a full link holds it, and the system
// goes on to send it when the connection is closed in order.
TEST_F(http_connection_test, what_a_full_link_holds_of_an_abandoned_call_is_dropped) {
    const auto request = write_request("POST", "/a", {}, std::string(60'000, 'x'));
    client->send(request, false, &noted);
    run();
    client->close();
    run();
    const auto [n, ec] = read_all();
    EXPECT_LT(n, request.size()) << "the endpoint could still run it";
    EXPECT_EQ(ec, boost::asio::error::connection_reset);
    EXPECT_EQ(noted.completed + noted.failed, 0) << "who gives up hears nothing any more";
}

// Guards against resets that an endpoint takes for a failure: a connection that is not needed any more ends in order.
TEST_F(http_connection_test, an_idle_connection_ends_in_order) {
    client->send(write_request("GET", "/a", {}, {}), false, &noted);
    run();
    answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    EXPECT_EQ(noted.completed, 1);
    EXPECT_EQ(noted.body, "ab");
    client->close();
    run();
    EXPECT_EQ(read_all().second, boost::asio::error::eof);
}

// Guards against an answer for the next call on a connection on which a second copy of the last answer came late.
TEST_F(http_connection_test, bytes_that_follow_an_answer_belong_to_no_call) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    client->send(write_request("GET", "/a", {}, {}), false, &noted);
    run();
    {
        SCOPED_TRACE("they come with the answer");
        answer(whole + whole);
        EXPECT_EQ(noted.completed, 1);
        EXPECT_EQ(noted.body, "ab");
        EXPECT_FALSE(client->is_reusable());
    }
}

TEST_F(http_connection_test, bytes_on_an_idle_connection_end_it) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    client->send(write_request("GET", "/a", {}, {}), false, &noted);
    run();
    answer(whole);
    EXPECT_TRUE(client->is_reusable());
    boost::asio::write(endpoint, boost::asio::buffer(whole));
    {
        SCOPED_TRACE("they wait in the system while the loop is busy with something else");
        EXPECT_FALSE(client->is_reusable());
    }
    run();
    EXPECT_FALSE(client->is_reusable());
    EXPECT_EQ(noted.body, "ab");
}

// Guards against half an answer that passes for a whole one.
TEST_F(http_connection_test, an_answer_that_breaks_off_fails_the_call) {
    client->send(write_request("GET", "/a", {}, {}), false, &noted);
    run();
    {
        SCOPED_TRACE("shorter than its stated length");
        answer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nab");
        endpoint.close();
        run();
        EXPECT_EQ(noted.completed, 0);
        EXPECT_EQ(noted.failed, 1);
    }
}

TEST_F(http_connection_test, an_answer_without_a_length_is_whole_only_if_its_connection_ends_in_order) {
    client->send(write_request("GET", "/a", {}, {}), false, &noted);
    run();
    answer("HTTP/1.1 200 OK\r\n\r\nab");
    endpoint.set_option(boost::asio::socket_base::linger{true, 0});
    endpoint.close();
    run();
    EXPECT_EQ(noted.completed, 0);
    EXPECT_EQ(noted.failed, 1);
}

// Guards against calls that are sent on after their callers have left, while the connection to the endpoint was made
// (GONE), and against requests that say what was so when they were placed.
TEST_F(http_connection_test, a_request_is_made_when_its_connection_is) {
    const auto late = std::make_shared<http_connection>(
        loop, socket_address{"127.0.0.1", acceptor.local_endpoint().port()}, milliseconds{500});
    std::string newest = "GET /old HTTP/1.1\r\n\r\n";
    late->start();
    late->send([&] { return newest; }, false, &noted);
    EXPECT_EQ(noted.failed, 0);
    {
        SCOPED_TRACE("its bytes are those of that moment");
        newest = "GET /new HTTP/1.1\r\n\r\n";
        endpoint = acceptor.accept();
        run();
        std::array<char, 100> buf{};
        EXPECT_EQ((std::string{buf.data(), endpoint.read_some(boost::asio::buffer(buf))}), newest);
        late->close();
    }
    {
        SCOPED_TRACE("one that is not wanted any more is not sent");
        const auto unwanted = std::make_shared<http_connection>(
            loop, socket_address{"127.0.0.1", acceptor.local_endpoint().port()}, milliseconds{500});
        unwanted->start();
        unwanted->send([] { return std::string{}; }, false, &noted);
        endpoint = acceptor.accept();
        run();
        EXPECT_EQ(noted.failed, 1);
        EXPECT_EQ(read_all().first, 0);
    }
}

} // namespace
} // namespace dandelionbay
