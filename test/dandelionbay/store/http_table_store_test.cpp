#include "dandelionbay/store/http_table_store.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

#include "dandelionbay/net/cut_answers.hpp"
#include "dandelionbay/platform/answering_server.hpp"
#include "dandelionbay/standin/standin_platform.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class http_table_store_test : public testing::Test {
protected:
    http_table_store_test() { EXPECT_TRUE(platform.start().ok()); }

    [[nodiscard]] socket_address address() const { return {"127.0.0.1", platform.port()}; }

    standin_platform platform{{}};
};

// Guards against a client and a stand-in that disagree on versions, conditions or the encoding of keys.
TEST_F(http_table_store_test, writes_conditionally_and_keeps_all_bytes) {
    http_table_store store{address()};
    const std::string key{"team a/orders/50%?#\n\xC3\xA9+"};
    const std::string value{"\0\xFF{}\r\n", 6};
    EXPECT_TRUE(absl::IsNotFound(store.get("claims", key).status()));
    {
        SCOPED_TRACE("create");
        EXPECT_EQ(store.put("claims", key, value, 0).value(), 1);
        EXPECT_TRUE(absl::IsAborted(store.put("claims", key, "x", 0).status()));
        EXPECT_EQ(store.get("claims", key).value(), (table_row{value, 1}));
        EXPECT_EQ(platform.rows().get("claims", key).value(), (table_row{value, 1}));
    }
    {
        SCOPED_TRACE("replace");
        EXPECT_TRUE(absl::IsAborted(store.put("claims", key, "x", 2).status()));
        EXPECT_EQ(store.put("claims", key, "x", 1).value(), 2);
        EXPECT_TRUE(absl::IsAborted(store.put("claims", key, "y", 1).status()));
        EXPECT_EQ(store.put("claims", key, "", 2).value(), 3);
        EXPECT_EQ(store.get("claims", key).value(), (table_row{"", 3}));
    }
    EXPECT_EQ(store.put("claims", "a", "", 0).value(), 1);
    EXPECT_EQ(store.list("claims").value(), (std::vector<std::string>{"a", key}));
    EXPECT_TRUE(store.list("leases").value().empty());
}

// Guards against a stand-in that sends a row which the caller has.
TEST_F(http_table_store_test, the_platform_answers_304_for_a_known_version) {
    ASSERT_TRUE(platform.rows().put("t", "a", "1", 0).ok());
    httplib::Client client{"127.0.0.1", platform.port()};
    const auto known = client.Get("/tables/t/a", httplib::Headers{{"If-None-Match", "\"1\""}});
    ASSERT_TRUE(known);
    EXPECT_EQ(known->status, 304);
    EXPECT_EQ(known->get_header_value("ETag"), "\"1\"");
    EXPECT_EQ(known->body, "");
    const auto other = client.Get("/tables/t/a", httplib::Headers{{"If-None-Match", "\"2\""}});
    ASSERT_TRUE(other);
    EXPECT_EQ(other->status, 200);
    EXPECT_EQ(other->body, "1");
}

// Guards against an unanswered conditional read that counts as "unchanged", and against a missed change.
TEST_F(http_table_store_test, a_conditional_read_tells_unchanged_from_unanswered) {
    http_table_store store{address()};
    EXPECT_TRUE(absl::IsNotFound(store.get_unless("t", "a", 1).status()));
    ASSERT_TRUE(store.put("t", "a", "1", 0).ok());
    platform.set_faults({.down = true});
    EXPECT_TRUE(absl::IsUnavailable(store.get_unless("t", "a", 1).status()));
    platform.set_faults({});
    EXPECT_EQ(store.get_unless("t", "a", 0).value(), (table_row{"1", 1}));
    EXPECT_EQ(store.get_unless("t", "a", 1).value(), std::nullopt);
    ASSERT_TRUE(store.put("t", "a", "2", 1).ok());
    EXPECT_EQ(store.get_unless("t", "a", 1).value(), (table_row{"2", 2}));
    platform.set_faults({.reads_per_second = 0.0});
    EXPECT_TRUE(absl::IsUnavailable(store.get_unless("t", "a", 1).status()));
}

/*! Accepts one connection and answers its first request; keeps the connection open until it is destroyed. */
class one_answer_server {
public:
    explicit one_answer_server(const std::string& answer) : fd_{::socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(name);
        EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&name), size), 0);
        EXPECT_EQ(::listen(fd_, 4), 0);
        EXPECT_EQ(::getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &size), 0);
        port_ = ::ntohs(name.sin_port);
        thread_ = std::thread{[this, answer] {
            connection_ = ::accept(fd_, nullptr, nullptr);
            std::array<char, 4'096> buf{};
            EXPECT_GT(::recv(connection_, buf.data(), buf.size(), 0), 0);
            EXPECT_GT(::send(connection_, answer.data(), answer.size(), MSG_NOSIGNAL), 0);
        }};
    }
    one_answer_server(const one_answer_server&) = delete;
    one_answer_server(one_answer_server&&) = delete;
    one_answer_server& operator=(const one_answer_server&) = delete;
    one_answer_server& operator=(one_answer_server&&) = delete;
    ~one_answer_server() {
        thread_.join();
        ::close(connection_);
        ::close(fd_);
    }

    [[nodiscard]] socket_address address() const { return {"127.0.0.1", port_}; }

private:
    int fd_;
    int connection_{-1};
    std::uint16_t port_{};
    std::thread thread_;
};

// Guards against a wait for the body that a 304 never has, whatever length it tells.
TEST(http_table_store, unchanged_needs_no_body) {
    for (const std::string header : {"", "Content-Length: 131072\r\n", "Content-Length: 0\r\n"}) {
        SCOPED_TRACE(header);
        const one_answer_server server{"HTTP/1.1 304 Not Modified\r\nETag: \"7\"\r\n" + header + "\r\n"};
        http_table_store store{server.address(), milliseconds{2'000}};
        const auto began = steady_clock::now();
        const auto row = store.get_unless("t", "a", 7);
        ASSERT_TRUE(row.ok()) << row.status();
        EXPECT_EQ(*row, std::nullopt);
        EXPECT_LT(steady_clock::now() - began, milliseconds{500});
    }
}

// Guards against lost answers taken for refusals, and against a client that stays on broken connections.
TEST_F(http_table_store_test, a_write_without_answer_is_an_error_that_may_have_taken_effect) {
    http_table_store store{address()};
    ASSERT_TRUE(store.put("t", "a", "1", 0).ok());
    {
        SCOPED_TRACE("the answer is lost");
        platform.set_faults({.lose_answers = true});
        EXPECT_TRUE(absl::IsUnavailable(store.put("t", "a", "2", 1).status()));
        EXPECT_EQ(store.get("t", "a").value(), (table_row{"2", 2}));
    }
    {
        SCOPED_TRACE("the store is down");
        platform.set_faults({.down = true});
        EXPECT_TRUE(absl::IsUnavailable(store.put("t", "a", "3", 2).status()));
        EXPECT_TRUE(absl::IsUnavailable(store.get("t", "a").status()));
        EXPECT_TRUE(absl::IsUnavailable(store.list("t").status()));
        EXPECT_TRUE(absl::IsUnavailable(http_host_list{address()}.read().status()));
    }
    {
        SCOPED_TRACE("it comes back");
        platform.set_faults({});
        EXPECT_EQ(store.get("t", "a").value(), (table_row{"2", 2}));
    }
    platform.stop();
    EXPECT_TRUE(absl::IsUnavailable(store.get("t", "a").status()));
}

// Guards against rows that are read short, and writes that count as done, from answers that were cut.
TEST(http_table_store, a_cut_answer_is_none) {
    constexpr milliseconds limit{10'000}; // A cut is noticed long before, however busy the host is.
    const std::string fields = "ETag: \"7\"\r\n";
    platform::answering_server server;
    for (const auto& whole : whole_answers(fields, false)) {
        server.answer(whole);
        http_table_store store{server.address(), limit};
        EXPECT_EQ(store.get("t", "a").value().version, 7) << whole;
    }
    for (const auto& cut : cut_answers(fields)) {
        for (const bool with_reset : {false, true}) {
            server.answer(cut, with_reset);
            http_table_store store{server.address(), limit};
            EXPECT_EQ(store.get("t", "a").status().code(), absl::StatusCode::kUnavailable) << cut;
            EXPECT_EQ(store.put("t", "a", "b", 6).status().code(), absl::StatusCode::kUnavailable) << cut;
            EXPECT_FALSE(store.list("t").ok()) << cut;
        }
    }
}

// Guards against calls that wait for a slow or silent store for longer than the time limit.
TEST_F(http_table_store_test, a_silent_store_ends_the_call_within_the_time_limit) {
    http_table_store store{address(), milliseconds{200}};
    ASSERT_TRUE(store.put("t", "a", "1", 0).ok());
    platform.set_faults({.delay = milliseconds{600}});
    auto began = steady_clock::now();
    EXPECT_TRUE(absl::IsDeadlineExceeded(store.put("t", "a", "2", 1).status()));
    EXPECT_LT(steady_clock::now() - began, milliseconds{400});
    platform.set_faults({});
    EXPECT_TRUE(store.get("t", "a").ok());
    {
        SCOPED_TRACE("a server that accepts no connection");
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(name);
        ASSERT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&name), size), 0);
        ASSERT_EQ(::listen(fd, 4), 0);
        ASSERT_EQ(::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size), 0);
        http_table_store silent{{"127.0.0.1", ::ntohs(name.sin_port)}, milliseconds{200}};
        began = steady_clock::now();
        EXPECT_TRUE(absl::IsDeadlineExceeded(silent.get("t", "a").status()));
        EXPECT_LT(steady_clock::now() - began, milliseconds{400});
        ::close(fd);
    }
}

// Guards against a store that bears more than the platform's limits.
TEST_F(http_table_store_test, the_rate_limits_refuse_what_exceeds_them) {
    http_table_store store{address()};
    platform.set_faults({.writes_per_second = 3.0, .reads_per_second = 5.0});
    int written = 0;
    int read = 0;
    const auto began = steady_clock::now();
    for (int n = 0; n < 20; ++n) {
        written += store.put("t", std::to_string(n), "", 0).ok() ? 1 : 0;
        const auto row = store.get("t", "0");
        read += row.ok() ? 1 : 0;
        EXPECT_TRUE(row.ok() || absl::IsUnavailable(row.status()));
    }
    const std::chrono::duration<double> took = steady_clock::now() - began;
    EXPECT_GE(written, 3);
    EXPECT_LE(written, 4 + static_cast<int>(3.0 * took.count()));
    EXPECT_GE(read, 5);
    EXPECT_LE(read, 6 + static_cast<int>(5.0 * took.count()));
}

// Guards against a host list without the lag that the platform's list has.
TEST(http_host_list, shows_changes_after_the_lag) {
    const host_entry router{host_id{"r1"}, host_role::router, region_id{"r"}, zone_id{"z"}, {"127.0.0.1", 70}, false};
    auto leaving = router;
    leaving.leaving = true;
    leaving.role = host_role::agent;
    standin_platform platform{{.host_list_lag = milliseconds{200}, .hosts = {router}}};
    ASSERT_TRUE(platform.start().ok());
    http_host_list list{{"127.0.0.1", platform.port()}};
    EXPECT_EQ(list.read().value(), std::vector{router});
    platform.set_hosts({leaving});
    EXPECT_EQ(list.read().value(), std::vector{router});
    std::this_thread::sleep_for(milliseconds{250});
    EXPECT_EQ(list.read().value(), std::vector{leaving});
}

// Guards against faults that only code in the same process can switch.
TEST_F(http_table_store_test, faults_and_hosts_are_set_over_http) {
    httplib::Client client{"127.0.0.1", platform.port()};
    const auto post = [&](const char* body) { return client.Post("/faults", body, "application/json")->status; };
    EXPECT_EQ(post(R"({"lose_answers":true,"delay_ms":7,"down":true,"reads_per_second":9})"), 200);
    EXPECT_EQ(platform.faults(), (platform_faults{true, milliseconds{7}, true, 300.0, 9.0}));
    EXPECT_EQ(post(R"({"down":"yes"})"), 400);
    EXPECT_EQ(post(R"({"down":false})"), 200);
    EXPECT_EQ(client.Put("/hosts", "[]", "application/json")->status, 204);
    EXPECT_EQ(client.Put("/hosts", R"([{"host":"a","role":"king"}])", "application/json")->status, 400);
    EXPECT_EQ(client.Put("/tables/t/a", "x", "text/plain")->status, 428);
}

} // namespace
} // namespace dandelionbay
