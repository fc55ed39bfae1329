#include "dandelionbay/proxy/proxy.hpp"

#include <array>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "dandelionbay/net/reserved_address.hpp"
#include "platform/call_headers.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

/*! More sockets than the event loop handles in one turn, which is 128. */
constexpr int other_callers = 300;
/*! Longer than the interval between rounds of the data path. */
constexpr milliseconds longer_than_a_round{60};
constexpr duration header_timeout = milliseconds{150};

const std::string head = "HTTP/1.1 200 OK\r\nDandelionbay-Request-Id: r1\r\nDandelionbay-Response-Seal: s\r\n";
const std::string last_chunk = "0\r\n\r\n";

[[nodiscard]] std::string event(int id) {
    const auto text = "id: " + std::to_string(id) + "\ndata: token\n\n"; // 19 bytes, hexadecimal 13.
    return "13\r\n" + text + "\r\n";
}

void write(tcp::socket& to, const std::string& bytes) {
    boost::asio::write(to, boost::asio::buffer(bytes));
}

/*! Reads the bytes received so far. */
[[nodiscard]] std::string received(tcp::socket& from) {
    from.non_blocking(true);
    std::array<char, 4'096> buf{};
    boost::system::error_code ec;
    const auto n = from.read_some(boost::asio::buffer(buf), ec);
    return {buf.data(), n};
}

/*! The data path of a router with one listening endpoint and many callers, of which the router reads at most 128 in one
 * turn. A round is due whenever the loop continues, so timeouts are checked in its first turn. */
class unread_events : public testing::Test {
protected:
    void SetUp() override {
        adopt_config();
        proxy_options options;
        options.listen = listen.get();
        options.max_connections = 1'000;
        options.place = {host_id{"r1"}, zone_id{"zone-1"}, region_id{"here"}, {{zone_id{"zone-1"}, region_id{"here"}}}};
        router =
            std::make_unique<proxy>(proxy_environment{&loop, &time, &log, &metrics, &view, protocol.get()}, options);
        ASSERT_TRUE(router->start().ok());
        caller.connect(to_tcp_endpoint(listen.get()));
        run(milliseconds{50});
        for (int n = 0; n < other_callers; ++n) {
            others.emplace_back(peer_loop).connect(to_tcp_endpoint(listen.get()));
            run(milliseconds{1});
        }
        run(milliseconds{50});
        ASSERT_EQ(metrics.get("connections_accepted_total"), other_callers + 1);
    }

    void adopt_config() {
        route look;
        look.name = "look";
        look.host = "a";
        look.prefix = "/look/";
        look.max_attempts = 2;
        look.is_public = true;
        look.services = {service_share{service_id{"desk"}}};
        endpoint_service desk;
        desk.id = service_id{"desk"};
        route_config config;
        config.version = 1;
        route chat = look;
        chat.name = "chat";
        chat.prefix = "/chat/";
        chat.kind = call_kind::streaming;
        chat.resumable = true;
        chat.services = {service_share{service_id{"model"}}};
        endpoint_service model;
        model.id = service_id{"model"};
        model.engine = engine_profile{8, 100'000, 4};
        config.routes = {look, chat};
        config.services = {desk, model};
        config.limits.header_timeout = header_timeout;
        view.adopt(std::make_shared<const route_config>(make_route_config(std::move(config))));
        endpoint_entry entry;
        entry.id = endpoint_id{"desk-1"};
        entry.service = service_id{"desk"};
        entry.zone = zone_id{"zone-1"};
        entry.address = {"127.0.0.1", endpoint.local_endpoint().port()};
        entry.slots = 6;
        entry.row_version = 1;
        auto engine = entry;
        engine.id = endpoint_id{"engine-1"};
        engine.service = service_id{"model"};
        view.merge_endpoints(endpoint_list{1, {entry, engine}}, time.now(), time.now());
    }

    void run(milliseconds length) {
        loop.restart();
        loop.run_for(length);
    }

    /*! Runs one handler. */
    void step() {
        loop.restart();
        loop.poll_one();
    }

    /*! Makes the bytes of the other callers wait behind the timer of the next round. */
    void send_from_others() {
        for (auto& it : others) {
            write(it, "G");
        }
    }

    [[nodiscard]] static std::string request(const std::string& path) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\nDandelionbay-Request-Id: r1\r\n\r\n";
    }

    /*! Sends a call to the endpoint. */
    void begin(const std::string& path) {
        write(caller, request(path));
        run(milliseconds{50});
        endpoint.accept(accepted);
        ASSERT_NE(received(accepted).find(path), std::string::npos);
    }

    /*! Makes bytes of the endpoint wait behind those of the other callers when a stop ends. */
    void end_stop_with_unread(const std::string& bytes) {
        boost::asio::steady_timer end{loop, longer_than_a_round};
        end.async_wait([&](boost::system::error_code ec) {
            if (!ec) {
                router->stop();
            }
        });
        std::this_thread::sleep_for(longer_than_a_round);
        send_from_others();
        write(accepted, bytes);
        std::this_thread::sleep_for(longer_than_a_round);
        run(milliseconds{100});
    }

    boost::asio::io_context peer_loop{};
    boost::asio::io_context loop{};
    const reserved_address listen{};
    tcp::acceptor endpoint{peer_loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    monotonic_clock time{};
    bounded_log log{nullptr, time};
    counters metrics{};
    registry_view view{{}};
    std::unique_ptr<call_protocol> protocol{platform::make_call_protocol()};
    std::unique_ptr<proxy> router{};
    tcp::socket caller{peer_loop};
    tcp::socket accepted{peer_loop};
    std::vector<tcp::socket> others{};
};

// Guards against a connection to a healthy endpoint that counts as failed because its event waits behind those of many
// callers: the call is refused with 503, and the endpoint gets no calls for a time.
TEST_F(unread_events, a_connection_established_in_time_carries_its_call) {
    const auto step_until = [this](const auto& done) {
        constexpr int max_steps = 50;
        for (int n = 0; n < max_steps && !done(); ++n) {
            step();
        }
        return done();
    };
    std::this_thread::sleep_for(longer_than_a_round);
    write(caller, request("/look/x"));
    ASSERT_TRUE(step_until([this] { return router->open_calls() == 1; })) << "the call was not read";
    send_from_others(); // Between the event that leads to the decision about the call and the connection.
    ASSERT_TRUE(step_until([this] { return metrics.get("endpoint_connections_total") == 1; }));
    endpoint.accept(accepted);
    std::this_thread::sleep_for(proxy::connect_timeout + longer_than_a_round);
    run(milliseconds{30});
    EXPECT_FALSE(router->dispatch().load(endpoint_id{"desk-1"}).is_ejected(time.now()));
    EXPECT_NE(received(accepted).find("/look/x"), std::string::npos) << "the call did not reach its endpoint";
    write(accepted, head + "Content-Length: 2\r\n\r\nok");
    run(milliseconds{200});
    const auto response = received(caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
}

// Guards against a 408 for a complete and timely request that waits unread behind those of many other callers.
TEST_F(unread_events, a_request_received_in_time_gets_no_408) {
    const auto bytes = request("/look/x");
    constexpr std::size_t part = 20;
    write(caller, bytes.substr(0, part));
    run(milliseconds{10});
    const auto sent = time.now();
    std::this_thread::sleep_for(longer_than_a_round);
    send_from_others();
    write(caller, bytes.substr(part));
    EXPECT_LT(time.now() - sent, header_timeout);
    std::this_thread::sleep_for(header_timeout);
    run(milliseconds{100});
    const auto response = received(caller);
    EXPECT_EQ(metrics.get("rejected_total", "408"), 0);
    EXPECT_FALSE(response.starts_with("HTTP/1.1 408")) << response;
    EXPECT_EQ(metrics.get("endpoint_connections_total"), 1) << "the call was not read";
}

// Guards against a 502 in place of a complete response that waits unread behind the requests of many callers when a
// planned stop ends the remaining calls.
TEST_F(unread_events, a_response_received_before_the_end_of_a_stop_is_forwarded) {
    begin("/look/x");
    end_stop_with_unread(head + "Content-Length: 2\r\n\r\nok");
    const auto response = received(caller);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 ")) << response;
}

// Guards against streams that are cut at the end of a planned stop although all their bytes were received.
TEST_F(unread_events, a_stream_completed_before_the_end_of_a_stop_is_not_cut) {
    begin("/chat/x");
    write(accepted, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + event(1));
    run(milliseconds{50});
    ASSERT_NE(received(caller).find("id: 1"), std::string::npos);
    end_stop_with_unread(event(2) + last_chunk);
    const auto rest = received(caller);
    EXPECT_NE(rest.find("id: 2"), std::string::npos) << rest;
    EXPECT_TRUE(rest.ends_with(last_chunk)) << rest;
}

} // namespace
} // namespace dandelionbay
