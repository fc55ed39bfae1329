#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

using clock_type = std::chrono::steady_clock;

/*! Calls that are sent at once, each on its own connection, and when each was answered. */
class crowd {
public:
    struct caller {
        explicit caller(boost::asio::io_context& loop) : socket{loop} {}

        tcp::socket socket;
        std::string id{};
        std::string request{};
        std::array<char, 4'096> buf{};
        std::string answer{};
        clock_type::time_point sent{};
        clock_type::time_point answered{};
    };

    crowd(const socket_address& to, int n, const std::string& path) : to_{to} {
        for (int it = 0; it < n; ++it) {
            auto& next = callers_.emplace_back(std::make_unique<caller>(loop_));
            next->request = running_gateway::request("GET", path, {}, "keep-alive", seconds{6});
            const auto at = next->request.find("Request-Id: ") + 12;
            next->id = next->request.substr(at, next->request.find('\r', at) - at);
        }
    }

    void connect() {
        for (auto& it : callers_) {
            it->socket.connect(to_tcp_endpoint(to_));
        }
    }

    /*! Sends all and waits until all are answered or ended. */
    void call(milliseconds longest) {
        for (auto& it : callers_) {
            it->sent = clock_type::now();
            it->answer.clear();
            it->answered = {};
            boost::system::error_code ec;
            boost::asio::write(it->socket, boost::asio::buffer(it->request), ec);
            read(*it);
        }
        loop_.restart();
        loop_.run_for(longest);
    }

    [[nodiscard]] const std::vector<std::unique_ptr<caller>>& callers() const { return callers_; }

    /*! Calls that were answered with a status. */
    [[nodiscard]] std::ptrdiff_t answered(const std::string& status) const {
        return std::ranges::count_if(
            callers_, [&](const auto& it) { return it->answer.starts_with(concat("HTTP/1.1 ", status)); });
    }

    /*! Longest time from a call to its answer. */
    [[nodiscard]] milliseconds slowest() const {
        milliseconds out{};
        for (const auto& it : callers_) {
            const auto end = it->answered == clock_type::time_point{} ? clock_type::now() : it->answered;
            out = std::max(out, std::chrono::duration_cast<milliseconds>(end - it->sent));
        }
        return out;
    }

private:
    void read(caller& it) {
        it.socket.async_read_some(boost::asio::buffer(it.buf),
                                  [this, &it](boost::system::error_code ec, std::size_t n) {
                                      it.answer.append(it.buf.data(), n);
                                      if (it.answered == clock_type::time_point{}) {
                                          it.answered = clock_type::now();
                                      }
                                      if (!ec && it.answer.find("\r\n\r\n") == std::string::npos) {
                                          read(it);
                                      }
                                  });
    }

    boost::asio::io_context loop_{};
    socket_address to_;
    std::vector<std::unique_ptr<caller>> callers_{};
};

/*! How many callers, for how long each turn of the loop is busy with other work, and whether connections are kept. */
struct overload {
    int callers{};
    milliseconds turn{};
    bool kept{};
};

void PrintTo(const overload& it, std::ostream* out) {
    *out << it.callers << (it.kept ? " kept" : " new") << ", " << it.turn.count() << " ms";
}

class gateway_overload : public gateway_fleet, public testing::WithParamInterface<overload> {
protected:
    void SetUp() override {
        gateway_fleet::SetUp();
        constexpr std::size_t most_connections = 6'000;
        start_gateway({}, most_connections);
        desk_1.otherwise([this](const http_request& request, raw_server::connection& to) {
            {
                const std::scoped_lock lock{mutex};
                reached[std::string{find_field(request.fields, "Dandelionbay-Request-Id")}] = clock_type::now();
            }
            scripted_endpoint::answer(request, to, "whole");
        });
    }

    std::mutex mutex{};
    std::map<std::string, clock_type::time_point> reached{}; //!< Endpoint, by request.
};

// Guards against calls that wait for many turns of a busy loop and are taken for new when they are read: they reach
// endpoints after their route's limit, and callers are held past it (CONFIG).
TEST_P(gateway_overload, no_call_is_held_or_sent_on_past_its_limit) {
    constexpr milliseconds limit{3'000};  // Of the route.
    constexpr milliseconds held_for{500}; // Longest time after it in which its caller has to hear.
    const auto it = GetParam();
    crowd callers{gateway->caller(), it.callers, "/look/crowd"};
    if (it.kept) {
        callers.connect();
        std::this_thread::sleep_for(milliseconds{500}); // All are accepted.
    }
    gateway->hold_up_for(seconds{8}, it.turn);
    if (!it.kept) {
        callers.connect();
    }
    callers.call(seconds{9});
    std::map<std::string, clock_type::time_point> arrivals;
    {
        const std::scoped_lock lock{mutex};
        arrivals = reached;
    }
    milliseconds oldest{};
    int late = 0;
    for (const auto& caller : callers.callers()) {
        if (const auto at = arrivals.find(caller->id); at != arrivals.end()) {
            const auto age = std::chrono::duration_cast<milliseconds>(at->second - caller->sent);
            oldest = std::max(oldest, age);
            late += age > limit ? 1 : 0;
        }
    }
    const auto held = std::ranges::count_if(callers.callers(), [&](const auto& caller) {
        return caller->answered == clock_type::time_point{} || caller->answered - caller->sent > limit + held_for;
    });
    RecordProperty("served", static_cast<int>(callers.answered("200")));
    RecordProperty("refused", static_cast<int>(callers.answered("503")));
    RecordProperty("slowest_ms", static_cast<int>(callers.slowest().count()));
    RecordProperty("reached", static_cast<int>(arrivals.size()));
    RecordProperty("oldest_at_endpoint_ms", static_cast<int>(oldest.count()));
    EXPECT_EQ(late, 0) << "of " << arrivals.size() << " at the endpoint; the oldest was sent " << oldest.count()
                       << " ms before";
    EXPECT_EQ(held, 0) << "the slowest answer took " << callers.slowest().count() << " ms; served "
                       << callers.answered("200") << ", refused " << callers.answered("503");
}

INSTANTIATE_TEST_SUITE_P(
    crowds, gateway_overload,
    testing::Values(overload{600, milliseconds{100}, false}, overload{2'000, milliseconds{100}, false},
                    overload{2'000, milliseconds{200}, false}, overload{2'000, milliseconds{100}, true},
                    overload{600, milliseconds{50}, true}),
    [](const auto& it) { return concat(it.param.callers, it.param.kept ? "_kept_" : "_new_", it.param.turn.count()); });

} // namespace
} // namespace dandelionbay::platform
