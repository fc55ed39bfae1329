#include "dandelionbay/net/link_server.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace dandelionbay {
namespace {

using namespace std::chrono_literals;

class recorder final : public link_events {
public:
    void link_up(const hello& peer) override { note("up " + peer.host.value); }
    void link_down(const host_id& peer) override { note("down " + peer.value); }
    void message_received(const host_id& from, message body, std::optional<time_point> /*sent*/) override {
        if (const auto* wish = std::get_if<demand>(&body)) {
            note(from.value + " demands " + wish->pool.value);
        }
        if (const auto* text = std::get_if<config_document>(&body)) {
            note(from.value + ": " + text->document.substr(0, 20));
        } else if (const auto* beat = std::get_if<heartbeat>(&body); beat != nullptr && beat->config_revision > 0) {
            note(from.value + " at " + std::to_string(beat->config_revision));
        }
    }

    bool wait_for(const std::string& event, int times = 1) {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, 5s, [&] { return std::ranges::count(log_, event) >= times; });
    }

    std::vector<std::string> log() {
        const std::lock_guard lock{mutex_};
        return log_;
    }

private:
    void note(std::string event) {
        const std::lock_guard lock{mutex_};
        log_.push_back(std::move(event));
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> log_;
};

struct host {
    host(const std::string& name, host_role role, incarnation_type incarnation = 1, std::size_t max_unsent = 16U << 20U,
         std::chrono::milliseconds silence = 3s)
        : server{link_options{.listen = {"127.0.0.1", 0},
                              .heartbeat = 100ms,
                              .redial = silence / 2,
                              .silence = silence,
                              .first_wait = 20ms,
                              .last_wait = 100ms,
                              .max_unsent = max_unsent},
                 hello{host_id{name}, role, {}, {}, incarnation, {}, 0}, time, metrics, events} {
        EXPECT_TRUE(server.start(none).ok());
    }

    host_entry entry(const std::string& name, host_role role) const {
        return {host_id{name}, role, {}, {}, {"127.0.0.1", server.port()}, false};
    }

    bool wait_count(const std::string& name, const std::string& reason, int times = 1) {
        for (int n = 0; n < 500 && metrics.get(name, reason) < times; ++n) {
            std::this_thread::sleep_for(10ms);
        }
        return metrics.get(name, reason) >= times;
    }

    kernel none;
    monotonic_clock time;
    counters metrics;
    recorder events;
    link_server server;
};

// Guards against both or neither of two hosts dialling, lost messages and stale heartbeats.
TEST(link_server, hosts_connect_talk_and_share_their_state) {
    host agent{"a1", host_role::agent};
    host first{"r1", host_role::router};
    host second{"r2", host_role::router};
    const std::vector all{agent.entry("a1", host_role::agent), first.entry("r1", host_role::router),
                          second.entry("r2", host_role::router)};
    for (auto* it : {&agent, &first, &second}) {
        it->server.set_peers(all);
    }
    EXPECT_TRUE(agent.events.wait_for("up r1") && agent.events.wait_for("up r2"));
    EXPECT_TRUE(first.events.wait_for("up r2") && second.events.wait_for("up r1"));
    // A side is ready when it has the other's first message, so the agent may be ready before its router.
    ASSERT_TRUE(first.events.wait_for("up a1") && second.events.wait_for("up a1"));
    {
        SCOPED_TRACE("messages arrive in order");
        for (int n = 0; n < 100; ++n) {
            first.server.send(host_id{"a1"}, config_document{1, "m" + std::to_string(n)});
        }
        ASSERT_TRUE(agent.events.wait_for("r1: m99"));
        auto log = agent.events.log();
        std::erase_if(log, [](const auto& it) { return !it.starts_with("r1: "); });
        ASSERT_EQ(log.size(), 100U);
        EXPECT_EQ(log[42], "r1: m42");
    }
    {
        SCOPED_TRACE("a new revision is announced");
        agent.server.announce({.incarnation = 1, .config_revision = 7}, agent.time.now());
        EXPECT_TRUE(first.events.wait_for("a1 at 7") && second.events.wait_for("a1 at 7"));
    }
    {
        SCOPED_TRACE("control traffic is counted without payload");
        first.server.send(host_id{"a1"}, chunk{{}, 0, std::string(100'000, 'x'), 0});
        EXPECT_TRUE(agent.wait_count("control_bytes_received_total", "", 200));
        EXPECT_LT(agent.metrics.get("control_bytes_received_total"), 20'000);
        EXPECT_TRUE(first.wait_count("control_bytes_sent_total", "", 200));
    }
}

// Guards against links that do not come back after a restart, against an older life that takes a link over, and against
// numbers of names that outlive their connection.
TEST(link_server, a_restarted_host_is_dialled_again) {
    host router{"r1", host_role::router};
    auto agent = std::make_unique<host>("a1", host_role::agent, 1);
    const auto port = agent->server.port();
    router.server.set_peers({agent->entry("a1", host_role::agent)});
    ASSERT_TRUE(router.events.wait_for("up a1"));
    for (int n = 0; n < 2; ++n) {
        router.server.send(host_id{"a1"}, demand{pool_id{"p"}});
    }
    EXPECT_TRUE(agent->events.wait_for("r1 demands p", 2));
    agent.reset();
    ASSERT_TRUE(router.events.wait_for("down a1"));
    host again{"a1", host_role::agent, 2};
    EXPECT_NE(again.server.port(), port);
    router.server.set_peers({again.entry("a1", host_role::agent)});
    EXPECT_TRUE(router.events.wait_for("up a1", 2));
    router.server.send(host_id{"a1"}, demand{pool_id{"p"}});
    EXPECT_TRUE(again.events.wait_for("r1 demands p"));
}

/*! @brief Plain socket in the place of a host. */
class raw_peer {
public:
    raw_peer() : acceptor_{loop_, {boost::asio::ip::make_address("127.0.0.1"), 0}} {}

    host_entry entry(const std::string& name) const {
        return {host_id{name}, host_role::agent, {}, {}, {"127.0.0.1", acceptor_.local_endpoint().port()}, false};
    }

    boost::asio::ip::tcp::socket take() { return acceptor_.accept(); }

    boost::asio::ip::tcp::socket dial(std::uint16_t port) {
        boost::asio::ip::tcp::socket socket{loop_};
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        return socket;
    }

private:
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

void say(boost::asio::ip::tcp::socket& socket, const message& body) {
    boost::asio::write(socket, boost::asio::buffer(encode_frame(body).value()));
}

// Guards against waiting for ever on a connection that is open and silent: accepted and never answered, or silent
// after the hello while a new connection works.
TEST(link_server, a_silent_connection_is_replaced) {
    host router{"r1", host_role::router, 1, 16U << 20U, 400ms};
    raw_peer peer;
    router.server.set_peers({peer.entry("a1")});
    auto mute = peer.take();
    ASSERT_TRUE(router.wait_count("link_closed_total", "silent"));
    auto hung = peer.take();
    say(hung, hello{host_id{"a1"}, host_role::agent, {}, {}, 1, {}, 0});
    ASSERT_TRUE(router.events.wait_for("up a1"));
    auto fresh = peer.take();
    say(fresh, hello{host_id{"a1"}, host_role::agent, {}, {}, 1, {}, 0});
    EXPECT_TRUE(router.events.wait_for("up a1", 2));
    EXPECT_EQ(router.events.log(), (std::vector<std::string>{"up a1", "down a1", "up a1"}));
    EXPECT_EQ(router.metrics.get("link_closed_total", "replaced"), 1);
    say(fresh, config_document{1, "alive"});
    EXPECT_TRUE(router.events.wait_for("a1: alive"));
}

// Guards against a bad sender that harms more than its own connection, and against a missing count.
TEST(link_server, a_bad_connection_is_closed_and_counted) {
    host agent{"a1", host_role::agent};
    raw_peer peer;
    const auto closed = [](boost::asio::ip::tcp::socket& socket) {
        boost::system::error_code ec;
        std::array<char, 4'096> buf{};
        while (!ec) {
            socket.read_some(boost::asio::buffer(buf), ec);
        }
        return ec == boost::asio::error::eof || ec == boost::asio::error::connection_reset;
    };
    auto good = peer.dial(agent.server.port());
    say(good, hello{host_id{"r1"}, host_role::router, {}, {}, 5, {}, 0});
    ASSERT_TRUE(agent.events.wait_for("up r1"));
    const auto check = [&](const std::string& bytes, const std::string& reason) {
        SCOPED_TRACE(reason);
        auto bad = peer.dial(agent.server.port());
        boost::asio::write(bad, boost::asio::buffer(bytes));
        EXPECT_TRUE(closed(bad));
        EXPECT_TRUE(agent.wait_count("link_closed_total", reason));
    };
    const auto frame = [](const message& body) { return encode_frame(body).value(); };
    const auto first = frame(hello{host_id{"r2"}, host_role::router, {}, {}, 1, {}, 0});
    auto foreign = first;
    foreign[3] = 99;
    check("GET / HTTP/1.1\r\n\r\n", "malformed_frame");
    check(foreign, "protocol_version");
    check(frame(cancel{}), "hello_missing");
    check(first + first, "second_hello");
    check(frame(hello{host_id{"a1"}, host_role::router, {}, {}, 1, {}, 0}), "wrong_host");
    check(frame(hello{host_id{"r1"}, host_role::router, {}, {}, 4, {}, 0}), "old_incarnation");
    say(good, config_document{1, "still here"});
    EXPECT_TRUE(agent.events.wait_for("r1: still here"));
}

// Guards against a receiver that does not read and so fills the sender's memory.
TEST(link_server, a_full_send_buffer_closes_the_link) {
    host agent{"a1", host_role::agent, 1, std::size_t{1} << 20U};
    raw_peer peer;
    auto slow = peer.dial(agent.server.port());
    say(slow, hello{host_id{"r1"}, host_role::router, {}, {}, 1, {}, 0});
    ASSERT_TRUE(agent.events.wait_for("up r1"));
    for (int n = 0; n < 200; ++n) {
        agent.server.send(host_id{"r1"}, chunk{{}, 0, std::string(100'000, 'x'), 0});
    }
    EXPECT_TRUE(agent.events.wait_for("down r1"));
    EXPECT_EQ(agent.metrics.get("link_closed_total", "send_buffer_full"), 1);
}

} // namespace
} // namespace dandelionbay
