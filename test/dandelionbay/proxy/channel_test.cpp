#include "dandelionbay/proxy/channel.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "dandelionbay/net/reserved_address.hpp"

namespace dandelionbay {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

class recording_handler final : public channel_handler {
public:
    void on_connected() override { connected = true; }
    void on_bytes(std::string_view /*bytes*/) override {}
    void on_end(channel_close_reason end) override { close_reason = end; }

    bool connected{};
    std::optional<channel_close_reason> close_reason{};
};

// Guards against a healthy endpoint that counts as unreachable because the event loop was busy, for example with a
// large configuration, for longer than the connection timeout.
TEST(channel, a_connection_established_while_the_loop_is_busy_succeeds) {
    constexpr milliseconds timeout{20};
    boost::asio::io_context loop;
    tcp::acceptor endpoint{loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    recording_handler owner;
    const auto it = std::make_shared<channel>(tcp::socket{loop}, owner);
    it->connect({"127.0.0.1", endpoint.local_endpoint().port()}, timeout);
    std::this_thread::sleep_for(3 * timeout);
    loop.run_for(timeout);
    EXPECT_TRUE(owner.connected);
    EXPECT_EQ(owner.close_reason, std::nullopt);
    it->close();
    {
        SCOPED_TRACE("a refused connection fails");
        const reserved_address unused_address;
        recording_handler other;
        const auto refused = std::make_shared<channel>(tcp::socket{loop}, other);
        refused->connect(unused_address.get(), timeout);
        std::this_thread::sleep_for(3 * timeout);
        loop.restart();
        loop.run_for(timeout);
        EXPECT_FALSE(other.connected);
        EXPECT_EQ(other.close_reason, channel_close_reason::refused);
    }
}

/*! Connections that all have unread bytes, more than the event loop handles in one turn, which is 128. */
class busy_connections {
public:
    static constexpr int count = 200;

    explicit busy_connections(boost::asio::io_context& loop) {
        tcp::acceptor from{senders_, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
        for (int n = 0; n < count; ++n) {
            sockets_.emplace_back(senders_).connect(from.local_endpoint());
            tcp::socket accepted{loop};
            from.accept(accepted);
            channels_.push_back(std::make_shared<channel>(std::move(accepted), owner_));
            channels_.back()->open();
        }
    }
    busy_connections(const busy_connections&) = delete;
    busy_connections(busy_connections&&) = delete;
    busy_connections& operator=(const busy_connections&) = delete;
    busy_connections& operator=(busy_connections&&) = delete;
    ~busy_connections() {
        for (const auto& it : channels_) {
            it->close();
        }
    }

    void send() {
        for (auto& it : sockets_) {
            boost::asio::write(it, boost::asio::buffer("a", 1));
        }
    }

private:
    boost::asio::io_context senders_{};
    recording_handler owner_{};
    std::vector<tcp::socket> sockets_{};
    std::vector<std::shared_ptr<channel>> channels_{};
};

// Guards against a healthy endpoint that counts as unreachable because the event of its connection, made at once, waits
// behind those of more sockets than the event loop handles in the turn in which the timeout expires.
TEST(channel, an_established_connection_succeeds_while_its_event_waits_behind_many_others) {
    constexpr milliseconds timeout{20};
    boost::asio::io_context loop;
    tcp::acceptor endpoint{loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    busy_connections others{loop};
    boost::asio::steady_timer round{loop, milliseconds{1}}; // A turn runs all timers that have expired by then.
    bool round_came = false;
    round.async_wait([&](boost::system::error_code ec) { round_came = !ec; });
    std::this_thread::sleep_for(timeout);
    others.send();
    recording_handler owner;
    const auto it = std::make_shared<channel>(tcp::socket{loop}, owner);
    it->connect({"127.0.0.1", endpoint.local_endpoint().port()}, timeout);
    std::this_thread::sleep_for(3 * timeout);
    loop.run_for(5 * timeout);
    EXPECT_TRUE(round_came);
    EXPECT_TRUE(owner.connected);
    EXPECT_EQ(owner.close_reason, std::nullopt);
    it->close();
    {
        SCOPED_TRACE("a connection not established before the timeout fails, also behind many others");
        tcp::acceptor full{loop, tcp::v4()};
        full.bind(tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
        full.listen(0);
        tcp::socket accepted{loop};
        accepted.connect(full.local_endpoint()); // Fills the accept queue of a listener that accepts nothing.
        others.send();
        recording_handler other;
        const auto waiting = std::make_shared<channel>(tcp::socket{loop}, other);
        waiting->connect({"127.0.0.1", full.local_endpoint().port()}, timeout);
        std::this_thread::sleep_for(3 * timeout);
        loop.restart();
        loop.run_for(5 * timeout);
        EXPECT_FALSE(other.connected);
        EXPECT_EQ(other.close_reason, channel_close_reason::unreachable);
    }
}

// Guards against refusals that are lost because the connection is closed with unread bytes, and against responses
// without a request.
TEST(respond_without_reading, the_response_arrives_and_the_request_is_discarded) {
    asio::io_context loop;
    tcp::acceptor acceptor{loop, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket caller{loop};
    caller.connect(acceptor.local_endpoint());
    constexpr std::size_t large = 100'000;
    asio::write(caller, asio::buffer(std::string(large, 'x')));
    EXPECT_TRUE(respond_without_reading(acceptor.accept(), "answer"));
    std::string got;
    boost::system::error_code ec;
    asio::read(caller, asio::dynamic_buffer(got), ec);
    EXPECT_EQ(got, "answer");
    EXPECT_EQ(ec, asio::error::eof) << "the connection was not closed in order";
    {
        SCOPED_TRACE("a connection without received bytes is closed");
        tcp::socket silent{loop};
        silent.connect(acceptor.local_endpoint());
        EXPECT_FALSE(respond_without_reading(acceptor.accept(), "answer"));
        got.clear();
        asio::read(silent, asio::dynamic_buffer(got), ec);
        EXPECT_EQ(got, "");
    }
}

} // namespace
} // namespace dandelionbay
