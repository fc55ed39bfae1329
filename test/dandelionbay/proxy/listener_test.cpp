#include "dandelionbay/proxy/listener.hpp"

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "dandelionbay/net/reserved_address.hpp"
#include "dandelionbay/proxy/http_message.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

/*! Holds all descriptors that the process may open. */
class no_descriptors {
public:
    no_descriptors() {
        constexpr rlim_t enough_for_a_test = 256;
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit low{std::min(enough_for_a_test, before_.rlim_max), before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &low);
        for (int it = dup(STDERR_FILENO); it >= 0; it = dup(STDERR_FILENO)) {
            held_.push_back(it);
        }
    }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors(no_descriptors&&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;
    no_descriptors& operator=(no_descriptors&&) = delete;
    ~no_descriptors() {
        for (const int it : held_) {
            close(it);
        }
        setrlimit(RLIMIT_NOFILE, &before_);
    }

private:
    rlimit before_{};
    std::vector<int> held_{};
};

class listener_test : public testing::Test {
protected:
    [[nodiscard]] absl::Status start(listener& it) {
        return it.start(at, [this](channel::tcp::socket socket) { accepted.push_back(std::move(socket)); });
    }

    void run_for(milliseconds length) {
        loop.restart();
        loop.run_for(length);
    }

    [[nodiscard]] int failures() const {
        std::ifstream in{path};
        int n = 0;
        for (std::string line; std::getline(in, line);) {
            n += line.find("accept_failed") != std::string::npos ? 1 : 0;
        }
        return n;
    }

    std::string path{testing::TempDir() + "listener_test." + std::to_string(getpid()) + ".json"};
    monotonic_clock time{};
    bounded_log log{std::make_shared<event_log>(event_log_options{log_level::info, path, host_id{"h"}, zone_id{"z"}}),
                    time};
    boost::asio::io_context loop{};
    const reserved_address place{};
    const socket_address at{place.get()};
    std::vector<channel::tcp::socket> accepted{};
};

// Guards against a listener that spins, or ends for good, when the process has no descriptor left.
TEST_F(listener_test, accepts_again_after_descriptors_ran_out) {
    listener it{loop, log};
    ASSERT_TRUE(start(it).ok());
    tcp::socket caller{loop, tcp::v4()};
    constexpr milliseconds spell{200};
    {
        const no_descriptors none;
        caller.connect(to_tcp_endpoint(at));
        run_for(spell);
        EXPECT_TRUE(accepted.empty());
    }
    run_for(spell);
    EXPECT_EQ(accepted.size(), 1) << "the call that waited";
    EXPECT_GE(failures(), 1);
    EXPECT_LE(failures(), spell / listener::accept_retry_interval + 1);
    {
        SCOPED_TRACE("after its stop nobody gets in");
        it.stop();
        run_for(milliseconds{1});
        tcp::socket late{loop, tcp::v4()};
        boost::system::error_code ec;
        late.connect(to_tcp_endpoint(at), ec);
        EXPECT_TRUE(ec);
    }
}

// Guards against callers that give up in the system's queue, because a loop that is behind takes one of them at a turn.
TEST_F(listener_test, all_that_wait_are_taken_in_one_turn) {
    listener it{loop, log};
    ASSERT_TRUE(start(it).ok());
    constexpr std::size_t callers = 20;
    std::vector<tcp::socket> waiting;
    for (std::size_t n = 0; n < callers; ++n) {
        waiting.emplace_back(loop, tcp::v4()).connect(to_tcp_endpoint(at));
    }
    loop.restart();
    loop.run_one();
    EXPECT_EQ(accepted.size(), callers);
}

// Guards against callers whose request is cut unread, or waits unread, because a host takes no connections for a while.
TEST_F(listener_test, a_pause_takes_what_waits_and_has_the_system_refuse_what_comes) {
    listener it{loop, log};
    ASSERT_TRUE(start(it).ok());
    const auto before = failures(); // Other tests write to the same file.
    std::vector<tcp::socket> callers;
    const auto connect = [&] {
        boost::system::error_code ec;
        callers.emplace_back(loop, tcp::v4()).connect(to_tcp_endpoint(at), ec);
        return ec;
    };
    EXPECT_FALSE(connect());
    EXPECT_FALSE(connect());
    it.pause();
    EXPECT_EQ(accepted.size(), 2);
    EXPECT_EQ(connect(), boost::asio::error::connection_refused);
    {
        SCOPED_TRACE("it listens again");
        ASSERT_TRUE(it.resume().ok());
        EXPECT_FALSE(connect());
        run_for(milliseconds{100});
        EXPECT_EQ(accepted.size(), 3);
        EXPECT_EQ(failures(), before);
    }
}

// Guards against a process that goes on without its port.
TEST_F(listener_test, an_address_in_use_is_an_error) {
    listener first{loop, log};
    listener second{loop, log};
    ASSERT_TRUE(start(first).ok());
    EXPECT_EQ(start(second).code(), absl::StatusCode::kUnavailable);
}

// Guards against requests whose end the other side can't tell.
TEST(write_request, a_body_has_its_length_and_so_has_an_empty_post) {
    EXPECT_EQ(write_request("GET", "/a?b=1", {{"Host", "h"}}, ""), "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(write_request("POST", "/", {}, ""), "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(write_request("PUT", "/", {}, "ab"), "PUT / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
}

} // namespace
} // namespace dandelionbay
