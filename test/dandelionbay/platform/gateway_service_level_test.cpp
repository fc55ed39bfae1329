#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

using clock_type = std::chrono::steady_clock;

/*! Callers that come at a steady rate, each on a connection of its own, whether those before them were answered or not.
 */
class caller_stream {
    struct caller {
        explicit caller(boost::asio::io_context& loop) : socket{loop} {}

        tcp::socket socket;
        std::string request{};
        std::array<char, 1'024> buf{};
        std::string answer{};
        clock_type::time_point sent{};
    };

public:
    struct tally {
        int sent{};
        int served{};
        int refused{};
        int not_connected{};
        int cut{}; //!< Connected, and ended without an answer.
        int unanswered{};
        milliseconds slowest{};
    };

    caller_stream(const socket_address& to, double per_s) : to_{to}, per_s_{per_s} {}

    /*! Sends for some time, and waits for the last answers. */
    [[nodiscard]] tally run(milliseconds length, milliseconds last_answers) {
        const auto began = clock_type::now();
        end_ = began + length;
        next_ = began;
        come();
        loop_.run_until(end_ + last_answers);
        out_.unanswered = out_.sent - out_.served - out_.refused - out_.not_connected - out_.cut;
        return out_;
    }

private:
    void come() {
        const auto now = clock_type::now();
        while (next_ <= now && next_ < end_) {
            next_ += std::chrono::nanoseconds{static_cast<std::int64_t>(1e9 / per_s_)};
            call();
        }
        if (next_ < end_) {
            timer_.expires_at(std::max(next_, now + milliseconds{1}));
            timer_.async_wait([this](boost::system::error_code /*ec*/) { come(); });
        }
    }

    void call() {
        ++out_.sent;
        auto it = std::make_shared<caller>(loop_);
        it->request = running_gateway::request("GET", "/look/level", {}, "close", seconds{6});
        it->sent = clock_type::now();
        it->socket.async_connect(to_tcp_endpoint(to_), [this, it](boost::system::error_code ec) {
            if (ec) {
                ++out_.not_connected;
                return;
            }
            boost::asio::write(it->socket, boost::asio::buffer(it->request), ec);
            read(it);
        });
    }

    void read(const std::shared_ptr<caller>& it) {
        it->socket.async_read_some(
            boost::asio::buffer(it->buf), [this, it](boost::system::error_code ec, std::size_t n) {
                it->answer.append(it->buf.data(), n);
                if (!ec && it->answer.find("\r\n\r\n") == std::string::npos) {
                    read(it);
                    return;
                }
                out_.slowest =
                    std::max(out_.slowest, std::chrono::duration_cast<milliseconds>(clock_type::now() - it->sent));
                if (it->answer.starts_with("HTTP/1.1 200")) {
                    ++out_.served;
                } else if (it->answer.starts_with("HTTP/1.1 503")) {
                    ++out_.refused;
                } else {
                    ++out_.cut;
                }
            });
    }

    boost::asio::io_context loop_{};
    boost::asio::steady_timer timer_{loop_};
    socket_address to_;
    double per_s_;
    clock_type::time_point next_{};
    clock_type::time_point end_{};
    tally out_{};
};

class gateway_service_level : public gateway_fleet, public testing::WithParamInterface<int> {
protected:
    /*! Of a core, for the gateway's event loop. */
    static constexpr double share = 0.03;
    /*! Of the callers; the balancer moves them after two seconds at the earliest. */
    static constexpr seconds length{3};

    void SetUp() override {
        gateway_fleet::SetUp();
        auto wide = nlohmann::json::parse(desk_1.entry("desk"));
        wide["slots"] = 1'000;
        wide["seq"] = 2;
        store.put("servers", desk_1.id(), wide.dump());
        start();
    }

    /*! A new gateway for each load: none has a past. */
    void start() {
        constexpr std::size_t most_connections = 3'000;
        start_gateway({}, most_connections);
        std::this_thread::sleep_for(milliseconds{700}); // The list is read every 500 ms.
        gateway->limit_processor(share);
    }

    /*! Calls in a second that are served while so many come. */
    [[nodiscard]] double served_at(double per_s) {
        caller_stream callers{gateway->caller(), per_s};
        last = callers.run(length, milliseconds{3'500});
        return last.served / std::chrono::duration<double>{length}.count();
    }

    caller_stream::tally last{};
};

// Guards against the pattern "refusing takes the whole host": a host that gets several times the callers that it can
// carry spends its processor on refusing them, and serves a fiftieth of what it served before (FAIR).
TEST_P(gateway_service_level, stays_level_when_more_callers_come) {
    // Rates at which the host is just not overrun depend on the machine: the best of some is its capacity.
    double best = 0.0;
    double served = 0.0;
    double rate = 75.0;
    do {
        rate *= 2.0;
        served = served_at(rate);
        best = std::max(best, served);
        start();
    } while (served > 0.9 * rate);
    served = served_at(best * GetParam());
    const auto text = concat("sent ", last.sent, ", served ", last.served, ", refused ", last.refused,
                             ", not connected ", last.not_connected, ", cut ", last.cut, ", unanswered ",
                             last.unanswered, ", slowest ", last.slowest.count(), " ms");
    RecordProperty("best_per_s", static_cast<int>(best));
    RecordProperty("served_per_s", static_cast<int>(served));
    RecordProperty("seen", text);
    EXPECT_GE(served, 0.8 * best) << text;
    EXPECT_EQ(last.unanswered, 0) << text;
    EXPECT_LE(last.slowest, milliseconds{3'500}) << text;
}

INSTANTIATE_TEST_SUITE_P(loads, gateway_service_level, testing::Values(1, 2, 4, 8),
                         [](const auto& it) { return concat("load_", it.param); });

} // namespace
} // namespace dandelionbay::platform
