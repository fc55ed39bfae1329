#include <condition_variable>
#include <deque>

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include "dandelionbay/node/gateway_node.hpp"
#include "platform/binding.hpp"
#include "standin_store.hpp"

namespace dandelionbay::platform {
namespace {

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

[[nodiscard]] socket_address free_address() {
    boost::asio::io_context loop;
    const tcp::acceptor acceptor{loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

[[nodiscard]] std::string event(int id) {
    return concat("id: ", id, "\ndata: token\n\n");
}

[[nodiscard]] std::string chunk(const std::string& bytes) {
    return concat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

/*! An endpoint that does what the test says with each request, in order, and serves well without a word. */
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
                  }
              }
              next ? next(request, to) : serve(request, to);
          }} {}

    void then(action next) {
        const std::scoped_lock lock{mutex_};
        script_.push_back(std::move(next));
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

    static void answer(const http_request& request, raw_server::connection& to, const std::string& body) {
        to.write(concat(head(request, 200), "Content-Length: ", body.size(), "\r\n\r\n", body));
    }

    /*! Streams events from one number to another; the chunk that ends the stream only if it is complete. */
    static void stream(const http_request& request, raw_server::connection& to, int from, int last, bool complete) {
        to.write(concat(head(request, 200), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int n = from; n <= last; ++n) {
            to.write(chunk(event(n)));
        }
        if (complete) {
            to.write("0\r\n\r\n");
        }
    }

    void serve(const http_request& request, raw_server::connection& to) {
        if (request.path().starts_with("/chat/")) {
            const auto after = find_field(request.fields, "Last-Event-Id");
            stream(request, to, after.empty() ? 1 : std::stoi(std::string{after}) + 1, 6, true);
        } else {
            answer(request, to, id_);
        }
    }

    [[nodiscard]] std::string entry(const std::string& service, const std::string& state = "ready") const {
        return nlohmann::json{{"service", service},    {"address", to_string(server_.address())},
                              {"zone", "zone-1"},      {"slots", 8},
                              {"state", state},        {"seq", 1},
                              {"cold_remaining_ms", 0}}
            .dump();
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    void stop() { server_.stop(); }

private:
    std::string id_;
    std::mutex mutex_{};
    std::deque<action> script_{};
    std::vector<http_request> requests_{};
    raw_server server_;
};

/*! One gateway on a thread of its own. */
class running_gateway {
public:
    running_gateway(const std::string& name, const socket_address& store, const gateway_bounds& bounds,
                    const std::vector<socket_address>& peers)
        : caller_{free_address()}, peer_{free_address()}, node_{options(name, store, bounds, peers), make_binding(),
                                                                nullptr},
          thread_{[this] { result_ = node_.run([] {}); }} {}
    running_gateway(const running_gateway&) = delete;
    running_gateway(running_gateway&&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;
    running_gateway& operator=(running_gateway&&) = delete;
    ~running_gateway() {
        boost::asio::post(node_.loop(), [this] { node_.stop(); });
        thread_.join();
        EXPECT_TRUE(result_.ok()) << result_;
    }

    [[nodiscard]] socket_address peer_address() const { return peer_; }

    /*! Sends bytes on a new connection and returns all that comes until the connection ends. */
    [[nodiscard]] std::string exchange(const std::string& bytes) const {
        boost::asio::io_context loop;
        tcp::socket socket{loop};
        boost::system::error_code ec;
        socket.connect(to_endpoint(caller_), ec);
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        std::string out;
        std::array<char, 4'096> buf{};
        while (true) {
            const auto n = socket.read_some(boost::asio::buffer(buf), ec);
            if (ec) {
                return out;
            }
            out.append(buf.data(), n);
        }
    }

    [[nodiscard]] std::string get(const std::string& path, const std::string& more = {}) const {
        return exchange(request("GET", path, more));
    }

    [[nodiscard]] std::string post(const std::string& path, const std::string& more = {}) const {
        return exchange(request("POST", path, more + "Content-Length: 2\r\n") + "{}");
    }

    [[nodiscard]] static std::string request(const std::string& method, const std::string& path,
                                             const std::string& more) {
        static std::atomic<int> last{0};
        return concat(method, " ", path, " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n",
                      "Dandelionbay-Request-Id: r", ++last, "\r\nAuthorization: Token key-1\r\n",
                      "Dandelionbay-Deadline-Ms: 5000\r\n", more, "\r\n");
    }

    [[nodiscard]] const socket_address& caller() const { return caller_; }

private:
    [[nodiscard]] gateway_options options(const std::string& name, const socket_address& store,
                                          const gateway_bounds& bounds,
                                          const std::vector<socket_address>& peers) const {
        gateway_options out;
        out.place = {host_id{name}, zone_id{"zone-1"}, region_id{"here"}, {{zone_id{"zone-1"}, region_id{"here"}}}};
        out.caller_listen = caller_;
        out.ready_listen = free_address();
        out.peer_listen = peer_;
        out.metrics_listen = free_address();
        out.first_peers = peers;
        out.store = store;
        out.bounds = bounds;
        out.bounds.stop_grace = seconds{1};
        return out;
    }

    socket_address caller_;
    socket_address peer_;
    gateway_node node_;
    absl::Status result_{};
    std::thread thread_;
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

    void start_gateway(const gateway_bounds& bounds = {}) {
        gateway.reset();
        gateway = std::make_unique<running_gateway>("g1", store.address(), bounds, std::vector<socket_address>{});
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

// Guards against calls that reach an endpoint under a wrong team, with the caller's key or meant for another endpoint.
TEST_F(gateway_fleet, a_call_reaches_the_endpoint_with_the_routers_own_fields) {
    const auto answer = gateway->post("/book/a?x=1", "Dandelionbay-Tenant: forged\r\nX-Mine: 7\r\n");
    EXPECT_NE(answer.find("HTTP/1.1 200 X"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Dandelionbay-Response-Seal: s"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("desk-1"));
    const auto seen = calls(desk_1, "/book/a");
    ASSERT_EQ(seen.size(), 1);
    EXPECT_EQ(seen[0].target, "/book/a?x=1");
    EXPECT_EQ(seen[0].body, "{}");
    EXPECT_EQ(find_field(seen[0].fields, "Dandelionbay-Tenant"), "team-1");
    EXPECT_EQ(find_field(seen[0].fields, "Dandelionbay-Expect-Instance"), "desk-1");
    EXPECT_EQ(find_field(seen[0].fields, "X-Mine"), "7");
    EXPECT_FALSE(has_field(seen[0].fields, "Authorization"));
    EXPECT_NE(gateway->get("/none/x").find(" 404 "), std::string::npos);
    const auto keyless = gateway->exchange("GET /look/x HTTP/1.1\r\nHost: a.example\r\nDandelionbay-Request-Id: q\r\n"
                                           "Connection: close\r\nAuthorization: Token other\r\n\r\n");
    EXPECT_NE(keyless.find(" 401 "), std::string::npos) << keyless;
}

// Guards against streams with missing or repeated events after their endpoint failed, and against ones that look
// complete although they are not.
TEST_F(gateway_fleet, a_stream_goes_on_at_another_endpoint_after_its_last_event) {
    add_second_endpoints();
    std::string all;
    for (int n = 1; n <= 6; ++n) {
        all += chunk(event(n));
    }
    // The first endpoint that gets the call stops in the middle of an event; whichever that is.
    for (auto* const it : {&engine_1, &engine_2}) {
        it->then([](const http_request& request, raw_server::connection& to) {
            if (find_field(request.fields, "Last-Event-Id").empty()) {
                scripted_endpoint::stream(request, to, 1, 3, false);
                to.write("9\r\nid: 4\ndat");
                std::this_thread::sleep_for(milliseconds{50});
                to.reset();
            } else {
                scripted_endpoint::stream(request, to, 4, 6, true);
            }
        });
    }
    const auto answer = gateway->post("/chat/a");
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + all + "0\r\n\r\n")) << answer;
    {
        SCOPED_TRACE("a stream that may not be resumed ends without its last chunk");
        for (auto* const it : {&engine_1, &engine_2}) {
            it->then([](const http_request& request, raw_server::connection& to) {
                scripted_endpoint::stream(request, to, 1, 2, false);
                std::this_thread::sleep_for(milliseconds{50});
                to.reset();
            });
        }
        const auto cut = gateway->post("/chat/once/a");
        EXPECT_TRUE(cut.ends_with(chunk(event(1)) + chunk(event(2)))) << cut;
        EXPECT_EQ(calls(engine_1, "/chat/once/a").size() + calls(engine_2, "/chat/once/a").size(), 1);
    }
}

// Guards against a booking that runs twice, and against "not run" for one that may have run.
TEST_F(gateway_fleet, a_booking_is_sent_again_only_if_no_endpoint_can_have_run_it) {
    add_second_endpoints();
    const auto break_off = [](const http_request&, raw_server::connection& to) { to.reset(); };
    const auto reject = [](const http_request& request, raw_server::connection& to) {
        to.write(scripted_endpoint::head(request, 503) + "Dandelionbay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    {
        SCOPED_TRACE("broken off: it may have run");
        desk_1.then(break_off);
        desk_2.then(break_off);
        EXPECT_NE(gateway->post("/book/broken").find(" 502 "), std::string::npos);
        EXPECT_EQ(calls(desk_1, "/book/broken").size() + calls(desk_2, "/book/broken").size(), 1);
    }
    {
        SCOPED_TRACE("rejected by one endpoint: the other runs it");
        std::atomic<int> rejections{0};
        const auto first_rejects = [&](const http_request& request, raw_server::connection& to) {
            if (rejections++ == 0) {
                reject(request, to);
            } else {
                scripted_endpoint::answer(request, to, "ran");
            }
        };
        // One script entry may be left from above.
        for (auto* const it : {&desk_1, &desk_2}) {
            while (calls(*it, "/book/broken").empty() && calls(*it, "/look/flush").empty()) {
                static_cast<void>(gateway->get("/look/flush"));
            }
            it->then(first_rejects);
        }
        EXPECT_TRUE(gateway->post("/book/rejected").ends_with("ran"));
    }
    {
        SCOPED_TRACE("a refusal without the endpoint's word is not passed on as a promise");
        const auto unclear = [](const http_request& request, raw_server::connection& to) {
            to.write(scripted_endpoint::head(request, 503, false) + "Content-Length: 0\r\n\r\n");
        };
        desk_1.then(unclear);
        desk_2.then(unclear);
        EXPECT_NE(gateway->post("/book/unclear").find(" 502 "), std::string::npos);
    }
}

// Guards against answers that are cut, unsigned, or somebody else's.
TEST_F(gateway_fleet, only_whole_signed_answers_to_the_same_call_are_passed_on) {
    {
        SCOPED_TRACE("cut: a safe call is repeated elsewhere");
        add_second_endpoints();
        for (auto* const it : {&desk_1, &desk_2}) {
            it->then([](const http_request& request, raw_server::connection& to) {
                if (request.path() == "/look/cut") {
                    to.write(scripted_endpoint::head(request, 200) + "Content-Length: 10\r\n\r\nabc");
                    to.close();
                }
            });
        }
        store.remove("servers", "desk-2");
        std::this_thread::sleep_for(milliseconds{700});
        EXPECT_NE(gateway->get("/look/cut").find(" 502 "), std::string::npos) << "there is no other endpoint";
    }
    {
        SCOPED_TRACE("unsigned");
        desk_1.then([](const http_request& request, raw_server::connection& to) {
            to.write(scripted_endpoint::head(request, 200, false) + "Content-Length: 2\r\n\r\nab");
        });
        EXPECT_NE(gateway->post("/book/unsigned").find(" 502 "), std::string::npos);
    }
    {
        SCOPED_TRACE("the answer to an earlier call comes before the right one");
        desk_1.then([](const http_request& request, raw_server::connection& to) {
            to.write("HTTP/1.1 200 X\r\nDandelionbay-Request-Id: earlier\r\nDandelionbay-Response-Seal: s\r\n"
                     "Content-Length: 5\r\n\r\nwrong");
            scripted_endpoint::answer(request, to, "right");
        });
        EXPECT_TRUE(gateway->post("/book/late").ends_with("right"));
    }
}

// Guards against withdrawn keys that stay in force: through a change, and at a gateway that hears nobody.
TEST_F(gateway_fleet, a_withdrawn_key_and_a_silent_store_end_the_service_for_keys) {
    const auto served = [&] { return gateway->get("/look/x").find(" 200 ") != std::string::npos; };
    EXPECT_TRUE(served());
    store.put("op", "config", config(2, R"(["key-2"])"));
    EXPECT_TRUE(eventually([&] { return gateway->get("/look/x").find(" 401 ") != std::string::npos; }, seconds{2}));
    store.put("op", "config", config(3));
    EXPECT_TRUE(eventually(served, seconds{2}));
    {
        SCOPED_TRACE("a configuration that can't be read leaves the last one in force");
        store.put("op", "config", "{");
        std::this_thread::sleep_for(milliseconds{100});
        EXPECT_TRUE(served());
    }
    {
        SCOPED_TRACE("the store forgets its history while the key is withdrawn");
        store.put("op", "config", config(4, R"(["key-2"])"));
        store.compact();
        EXPECT_TRUE(eventually([&] { return !served(); }, seconds{3}));
        store.put("op", "config", config(5));
        EXPECT_TRUE(eventually(served, seconds{3}));
    }
    {
        SCOPED_TRACE("the store is away: calls go on for a while and are then refused as not run");
        gateway_bounds bounds;
        bounds.key_withdrawal = seconds{2};
        start_gateway(bounds);
        store.set_down(true);
        EXPECT_TRUE(served());
        EXPECT_TRUE(eventually([&] { return gateway->get("/look/x").find(" 503 ") != std::string::npos; }, seconds{4}));
        store.set_down(false);
        EXPECT_TRUE(eventually(served, seconds{3}));
    }
}

// Guards against a gateway that the store turns away and that stops although its peers reach the store.
TEST_F(gateway_fleet, a_gateway_without_the_store_serves_through_its_peer) {
    const running_gateway second{"g2", free_address(), {}, {gateway->peer_address()}};
    EXPECT_TRUE(eventually([&] { return second.get("/look/x").find(" 200 ") != std::string::npos; }));
    store.put("op", "config", config(2, R"(["key-2"])"));
    EXPECT_TRUE(eventually([&] { return second.get("/look/x").find(" 401 ") != std::string::npos; }, seconds{3}));
}

// Guards against endpoints that work on for callers that have left.
TEST_F(gateway_fleet, an_endpoint_is_left_when_the_caller_leaves) {
    std::atomic<bool> left{false};
    engine_1.then([&](const http_request& request, raw_server::connection& to) {
        scripted_endpoint::stream(request, to, 1, 1, false);
        left = eventually([&] { return !to.open(); }, seconds{3});
    });
    boost::asio::io_context loop;
    tcp::socket socket{loop};
    socket.connect(to_endpoint(gateway->caller()));
    const auto bytes = running_gateway::request("GET", "/chat/a", "");
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::array<char, 64> buf{};
    EXPECT_GT(socket.read_some(boost::asio::buffer(buf)), 0);
    socket.close();
    EXPECT_TRUE(eventually([&] { return left.load(); }, seconds{3}));
}

} // namespace
} // namespace dandelionbay::platform
