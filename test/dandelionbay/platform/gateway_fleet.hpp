#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <poll.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/net/reserved_address.hpp"
#include "dandelionbay/node/gateway_node.hpp"
#include "platform/binding.hpp"
#include "processor_limit.hpp"
#include "raw_server.hpp"
#include "standin_store.hpp"

namespace dandelionbay::platform {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

/*! Waits for a condition of the world outside; a broken one shows as a failed check and not as a hung test. */
template<typename Check>
[[nodiscard]] bool eventually(const Check& check, milliseconds limit = seconds{10}) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!check()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return true;
}

[[nodiscard]] inline std::string event(int id) {
    return concat("id: ", id, "\ndata: token\n\n");
}

[[nodiscard]] inline std::string chunk(const std::string& bytes) {
    return concat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

/*! An endpoint that does what the test says with each request, in order, and serves well otherwise. */
class scripted_endpoint {
public:
    using action = std::function<void(const http_request&, raw_server::connection&)>;

    explicit scripted_endpoint(std::string id)
        : id_{std::move(id)}, server_{[this](const http_request& request, raw_server::connection& to) {
              action next;
              {
                  const std::scoped_lock lock{mutex_};
                  requests_.push_back(request);
                  if (!script_.empty()) {
                      next = script_.front();
                      script_.pop_front();
                  } else {
                      next = otherwise_;
                  }
              }
              next ? next(request, to) : serve(request, to);
          }} {}

    void then(action next) {
        const std::scoped_lock lock{mutex_};
        script_.push_back(std::move(next));
    }

    /*! Sets what it does with requests for which the script says nothing. */
    void otherwise(action next) {
        const std::scoped_lock lock{mutex_};
        otherwise_ = std::move(next);
    }

    [[nodiscard]] std::vector<http_request> requests() {
        const std::scoped_lock lock{mutex_};
        return requests_;
    }

    [[nodiscard]] static std::string head(const http_request& request, int status, bool sealed = true) {
        return concat("HTTP/1.1 ", status,
                      " X\r\nDandelionbay-Request-Id: ", find_field(request.fields, "Dandelionbay-Request-Id"), "\r\n",
                      sealed ? "Dandelionbay-Response-Seal: s\r\n" : "");
    }

    static void answer(const http_request& request, raw_server::connection& to, const std::string& body,
                       const std::string& more = {}) {
        to.write(concat(head(request, 200), more, "Content-Length: ", body.size(), "\r\n\r\n", body));
    }

    /*! Turns a request away, unrun, and asks for a pause. */
    static void ask_for_pause(const http_request& request, raw_server::connection& to, const std::string& length) {
        to.write(concat(head(request, 503, false), "Dandelionbay-Not-Executed: 1\r\nRetry-After: ", length,
                        "\r\nContent-Length: 0\r\n\r\n"));
    }

    /*! Streams events from one number to another; the chunk that ends the stream only if it is complete. */
    static void stream(const http_request& request, raw_server::connection& to, int from, int last, bool complete,
                       const std::string& more = {}) {
        to.write(
            concat(head(request, 200), more, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int n = from; n <= last; ++n) {
            to.write(chunk(event(n)));
        }
        if (complete) {
            to.write("0\r\n\r\n");
        }
    }

    void serve(const http_request& request, raw_server::connection& to, const std::string& more = {}) {
        if (request.path().starts_with("/chat/")) {
            const auto after = find_field(request.fields, "Last-Event-Id");
            stream(request, to, after.empty() ? 1 : std::stoi(std::string{after}) + 1, 6, true, more);
        } else {
            answer(request, to, id_, more);
        }
    }

    /*! Serves on, and says in all answers that it leaves. */
    void leave() {
        otherwise([this](const http_request& request, raw_server::connection& to) {
            serve(request, to, "Server-Leaving: 1\r\n");
        });
    }

    [[nodiscard]] std::string entry(const std::string& service, const std::string& state = "ready",
                                    const std::string& version = "v1") const {
        return nlohmann::json{{"service", service}, {"address", to_string(server_.address())},
                              {"version", version}, {"zone", "zone-1"},
                              {"slots", 8},         {"state", state},
                              {"seq", 1},           {"cold_remaining_ms", 0}}
            .dump();
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    void crash() { server_.crash(); }
    void go_dark() { server_.go_dark(); }
    void stop() { server_.stop(); }

private:
    std::string id_;
    std::mutex mutex_{};
    std::deque<action> script_{};
    action otherwise_{};
    std::vector<http_request> requests_{};
    raw_server server_;
};

/*! One gateway on a thread of its own. */
class running_gateway {
    /*! Several times the longest time limit of a call; a connection that is silent for longer is a fault. */
    static constexpr int longest_silence_ms = 30'000;

public:
    running_gateway(const std::string& name, const socket_address& store, const gateway_bounds& bounds,
                    const std::vector<socket_address>& peers, std::size_t max_connections = 1'000)
        : node_{options(name, store, bounds, peers, max_connections), make_binding(), nullptr}, thread_{[this] {
              result_ = node_.run([] {});
          }} {}
    running_gateway(const running_gateway&) = delete;
    running_gateway(running_gateway&&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;
    running_gateway& operator=(running_gateway&&) = delete;
    ~running_gateway() {
        limit_.reset();
        boost::asio::post(node_.loop(), [this] { node_.stop(); });
        thread_.join();
        EXPECT_TRUE(result_.ok()) << result_;
    }

    [[nodiscard]] socket_address peer_address() const { return peer_.get(); }

    /*! Sends bytes on a new connection and returns all that comes until the connection ends. */
    [[nodiscard]] static std::string exchange(const socket_address& to, const std::string& bytes) {
        boost::asio::io_context loop;
        tcp::socket socket{loop};
        boost::system::error_code ec;
        socket.connect(to_tcp_endpoint(to), ec);
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        std::string out;
        std::array<char, 4'096> buf{};
        while (true) {
            if (pollfd readable{socket.native_handle(), POLLIN, 0}; poll(&readable, 1, longest_silence_ms) == 0) {
                ADD_FAILURE() << "nothing came for " << longest_silence_ms << " ms after: " << out;
                return out;
            }
            const auto n = socket.read_some(boost::asio::buffer(buf), ec);
            if (ec) {
                return out;
            }
            out.append(buf.data(), n);
        }
    }

    /*! The same at this gateway. */
    [[nodiscard]] std::string exchange(const std::string& bytes) const { return exchange(caller_.get(), bytes); }

    /*! Tells whether it wants new callers. */
    [[nodiscard]] bool ready() const {
        return exchange(ready_.get(), "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").find(" 200 ") !=
               std::string::npos;
    }

    /*! The page of counters. */
    [[nodiscard]] std::string metrics() const {
        return exchange(metrics_.get(), "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }

    /*! Makes its loop miss all events for some time. */
    void block_for(milliseconds time) {
        boost::asio::post(node_.loop(), [time] { std::this_thread::sleep_for(time); });
    }

    /*! Makes its loop late for some time. */
    void hold_up_for(milliseconds time, milliseconds each = milliseconds{150}) {
        boost::asio::post(node_.loop(),
                          [this, each, end = std::chrono::steady_clock::now() + time] { hold_up(each, end); });
    }

    /*! Gives its loop a share of a core from now on. */
    void limit_processor(double share) { limit_ = std::make_unique<processor_limit>(thread_.native_handle(), share); }

    [[nodiscard]] std::string get(const std::string& path, const std::string& more = {}) const {
        return exchange(request("GET", path, more));
    }

    [[nodiscard]] std::string get_within(const std::string& path, milliseconds limit) const {
        return exchange(request("GET", path, {}, "close", limit));
    }

    /*! Asks for the connection to be kept; returns when the gateway ends it all the same. */
    [[nodiscard]] std::string get_kept(const std::string& path) const {
        return exchange(request("GET", path, {}, "keep-alive"));
    }

    [[nodiscard]] std::string post(const std::string& path, const std::string& more = {}) const {
        return exchange(request("POST", path, more + "Content-Length: 2\r\n") + "{}");
    }

    [[nodiscard]] static std::string request(const std::string& method, const std::string& path,
                                             const std::string& more, const std::string& connection = "close",
                                             milliseconds limit = seconds{5}) {
        static std::atomic<int> last{0};
        return concat(method, " ", path, " HTTP/1.1\r\nHost: a.example\r\nConnection: ", connection, "\r\n",
                      "Dandelionbay-Request-Id: r", ++last, "\r\nAuthorization: Token key-1\r\n",
                      "Dandelionbay-Deadline-Ms: ", limit.count(), "\r\n", more, "\r\n");
    }

    [[nodiscard]] const socket_address& caller() const { return caller_.get(); }

private:
    [[nodiscard]] gateway_options options(const std::string& name, const socket_address& store,
                                          const gateway_bounds& bounds, const std::vector<socket_address>& peers,
                                          std::size_t max_connections) const {
        gateway_options out;
        out.place = {host_id{name}, zone_id{"zone-1"}, region_id{"here"}, {{zone_id{"zone-1"}, region_id{"here"}}}};
        out.caller_listen = caller_.get();
        out.ready_listen = ready_.get();
        out.peer_listen = peer_.get();
        out.metrics_listen = metrics_.get();
        out.first_peers = peers;
        out.store = store;
        out.bounds = bounds;
        if (bounds.stop_grace == gateway_bounds{}.stop_grace) {
            out.bounds.stop_grace = seconds{1}; // Most tests need not wait for a stop.
        }
        out.max_connections = max_connections;
        return out;
    }

    void hold_up(milliseconds each, std::chrono::steady_clock::time_point end) {
        if (std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(each);
            boost::asio::post(node_.loop(), [this, each, end] { hold_up(each, end); });
        }
    }

    reserved_address caller_{};
    reserved_address peer_{};
    reserved_address ready_{};
    reserved_address metrics_{};
    gateway_node node_;
    absl::Status result_{};
    std::thread thread_;
    std::unique_ptr<processor_limit> limit_{};
};

/*! A store, two engines, two plain endpoints and a gateway. */
class gateway_fleet : public testing::Test {
protected:
    static std::string config(int version, const std::string& keys = R"(["key-1"])") {
        return concat(R"({"version": )", version, R"(, "routes": [
            {"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "service": "m",
             "timeout_ms": 4000, "target_latency_ms": 600, "max_attempts": 2, "resumable": true},
            {"name": "once", "host": "a.example", "prefix": "/chat/once/", "kind": "streaming", "service": "m",
             "timeout_ms": 4000, "target_latency_ms": 600},
            {"name": "book", "host": "a.example", "prefix": "/book/", "kind": "unsafe", "service": "desk",
             "timeout_ms": 3000, "max_attempts": 2},
            {"name": "look", "host": "a.example", "prefix": "/look/", "kind": "safe", "service": "desk",
             "timeout_ms": 3000, "max_attempts": 2}],
          "services": [{"name": "m", "engine": {"slots": 8, "kv_capacity": 100000, "stride": 4}}, {"name": "desk"}],
          "limits": {"idle_timeout_ms": 15000}, "tenants": [{"name": "team-1", "api_keys": )",
                      keys, "}]}");
    }

    void SetUp() override {
        store.put("op", "config", config(1));
        store.put("servers", engine_1.id(), engine_1.entry("m"));
        store.put("servers", desk_1.id(), desk_1.entry("desk"));
        start_gateway();
    }

    void start_gateway(const gateway_bounds& bounds = {}, std::size_t max_connections = 1'000) {
        gateway.reset();
        gateway = std::make_unique<running_gateway>("g1", store.address(), bounds, std::vector<socket_address>{},
                                                    max_connections);
        ASSERT_TRUE(eventually([&] { return gateway->get("/look/x").find("200 X") != std::string::npos; }));
    }

    void add_second_endpoints() {
        store.put("servers", engine_2.id(), engine_2.entry("m"));
        store.put("servers", desk_2.id(), desk_2.entry("desk"));
        std::this_thread::sleep_for(milliseconds{700}); // The list is read every 500 ms.
    }

    void TearDown() override {
        gateway.reset();
        store.stop();
        for (auto* const it : {&engine_1, &engine_2, &desk_1, &desk_2}) {
            it->stop();
        }
    }

    /*! Requests other than the ones that waited for the start. */
    static std::vector<http_request> calls(scripted_endpoint& at, const std::string& path) {
        auto out = at.requests();
        std::erase_if(out, [&](const auto& it) { return it.path() != path; });
        return out;
    }

    standin_store store{};
    scripted_endpoint engine_1{"engine-1"};
    scripted_endpoint engine_2{"engine-2"};
    scripted_endpoint desk_1{"desk-1"};
    scripted_endpoint desk_2{"desk-2"};
    std::unique_ptr<running_gateway> gateway{};
};

} // namespace dandelionbay::platform
