#include <condition_variable>

#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

// Guards against callers whose connections a gateway takes that could not start, and that wait for it without end.
TEST(gateway_start, a_gateway_that_cannot_listen_keeps_no_callers) {
    const reserved_address callers;
    raw_server other{[](const http_request& /*request*/, raw_server::connection& /*to*/) {}};
    gateway_options options;
    options.caller_listen = callers.get();
    options.peer_listen = other.address();
    gateway_node node{options, make_binding(), nullptr};
    EXPECT_EQ(node.run([] {}).code(), absl::StatusCode::kUnavailable);
    boost::asio::io_context loop;
    tcp::socket caller{loop};
    boost::system::error_code ec;
    caller.connect(to_tcp_endpoint(callers.get()), ec);
    EXPECT_EQ(ec, boost::asio::error::connection_refused);
}

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

// Guards against calls that are refused although the store is sound: what a watch tells counted from its question, and
// the store answers it a second later if nothing changed.
TEST_F(gateway_fleet, keys_stay_in_force_while_nothing_changes) {
    gateway_bounds bounds;
    bounds.key_withdrawal = seconds{2}; // Trusted for nine tenths of it.
    start_gateway(bounds);
    const auto end = std::chrono::steady_clock::now() + seconds{4};
    while (std::chrono::steady_clock::now() < end) {
        ASSERT_NE(gateway->get("/look/x").find(" 200 "), std::string::npos);
        std::this_thread::sleep_for(milliseconds{20});
    }
}

// Guards against a process that ends, or stops to read, over one answer of the store that it can't read.
TEST_F(gateway_fleet, answers_of_the_store_that_make_no_sense_change_nothing) {
    for (const auto* const text :
         {"[]", "7", "{", R"({"ver": "x", "rows": []})", R"({"ver": 1})", R"({"ver": 1, "rows": 5})",
          R"({"ver": 1, "rows": "ab"})", R"({"ver": 1, "has_more": "yes", "rows": [3]})",
          R"({"ver": 1, "rows": [{"key": "a", "ver": "x"}]})", R"({"ver": 1, "rows": [{"key": 3, "ver": 1}]})",
          R"({"ver": 1, "has_more": true, "rows": [{"key": "a", "ver": 1, "value": "!"}]})"}) {
        SCOPED_TRACE(text);
        store.answer_with(text);
        std::this_thread::sleep_for(milliseconds{600}); // The list is read every 500 ms.
        EXPECT_TRUE(gateway->get("/look/x").starts_with("HTTP/1.1 ")) << "it answers";
    }
    store.answer_with({});
    add_second_endpoints();
    EXPECT_TRUE(eventually([&] { return gateway->get("/look/x").ends_with("desk-2"); })) << "it reads on";
}

// Guards against a gateway that the store turns away and that stops although its peers reach the store.
TEST_F(gateway_fleet, a_gateway_without_the_store_serves_through_its_peer) {
    const reserved_address no_store;
    const running_gateway second{"g2", no_store.get(), {}, {gateway->peer_address()}};
    EXPECT_TRUE(eventually([&] { return second.get("/look/x").find(" 200 ") != std::string::npos; }));
    store.put("op", "config", config(2, R"(["key-2"])"));
    EXPECT_TRUE(eventually([&] { return second.get("/look/x").find(" 401 ") != std::string::npos; }, seconds{3}));
}

// Guards against calls to an endpoint that was removed while one answer of the store was lost: the store took
// transactions all the while, so nothing lapsed that could come back.
TEST_F(gateway_fleet, an_endpoint_removed_beside_one_lost_answer_of_the_store_is_left_with_the_next_list) {
    add_second_endpoints();
    ASSERT_TRUE(eventually([&] {
        static_cast<void>(gateway->get("/look/early"));
        return !calls(desk_2, "/look/early").empty();
    }));
    store.cut_answers(standin_store::cutting::close);
    ASSERT_TRUE(eventually([&] { return store.cut() > 0; }));
    store.remove("servers", desk_2.id());
    for (int n = 0; n < 40; ++n) { // Others go on to register.
        store.put("servers", desk_1.id(), desk_1.entry("desk"));
    }
    store.cut_answers(standin_store::cutting::none);
    std::this_thread::sleep_for(milliseconds{1'000}); // Two intervals of the list.
    for (int n = 0; n < 8; ++n) {
        EXPECT_NE(gateway->get("/look/late").find("200 X"), std::string::npos);
    }
    EXPECT_TRUE(calls(desk_2, "/look/late").empty());
}

// Guards against calls to an endpoint that says in its answers that it leaves, from the router that heard it and from
// its peers, while the store's entry still says that it is ready.
TEST_F(gateway_fleet, an_endpoint_that_says_that_it_leaves_is_left_at_once) {
    add_second_endpoints();
    const running_gateway second{"g2", store.address(), {}, {gateway->peer_address()}};
    const auto answered_by = [](const running_gateway& by, const std::string& path) {
        const auto text = by.get(path);
        return text.substr(text.size() - std::min<std::size_t>(text.size(), 6));
    };
    ASSERT_TRUE(eventually([&] { return answered_by(second, "/look/x") == "desk-1"; }));
    ASSERT_TRUE(eventually([&] { return answered_by(*gateway, "/look/x") == "desk-2"; }));
    desk_1.leave();
    ASSERT_TRUE(eventually([&] { return answered_by(*gateway, "/look/told") == "desk-1"; }));
    const auto told = calls(desk_1, "/look/told").size();
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(answered_by(*gateway, "/look/told"), "desk-2");
    }
    EXPECT_EQ(calls(desk_1, "/look/told").size(), told);
    {
        SCOPED_TRACE("a peer hears it within its message interval");
        std::this_thread::sleep_for(milliseconds{300});
        for (int n = 0; n < 20; ++n) {
            EXPECT_EQ(answered_by(second, "/look/peer"), "desk-2");
        }
    }
}

// Guards against calls to an endpoint that asked for a pause, and against a refusal that names too early a time.
TEST_F(gateway_fleet, an_endpoint_that_asks_for_a_pause_gets_one) {
    desk_1.then([](const http_request& request, raw_server::connection& to) {
        scripted_endpoint::ask_for_pause(request, to, "1.5");
    });
    const auto refused_after = [&](const std::string& path) {
        const auto text = gateway->post(path);
        const auto at = text.find("Retry-After: ");
        return text.find(" 503 ") == std::string::npos || at == std::string::npos ? 0.0
                                                                                  : std::stod(text.substr(at + 13));
    };
    const auto began = std::chrono::steady_clock::now();
    EXPECT_GE(refused_after("/book/a"), 1.0) << "it is the only endpoint, and the call did not run";
    EXPECT_GE(refused_after("/book/a"), 0.5);
    EXPECT_EQ(calls(desk_1, "/book/a").size(), 1);
    EXPECT_TRUE(eventually([&] { return gateway->post("/book/b").ends_with("desk-1"); }, seconds{4}));
    EXPECT_GE(std::chrono::steady_clock::now() - began, milliseconds{1'500});
}

// Guards against an earlier refusal that a faulty endpoint writes once more on a kept connection: the caller is told
// that its call was not run while the endpoint runs it, or it runs at a second endpoint; and against pauses and other
// wishes in it.
TEST_F(gateway_fleet, a_refusal_that_names_no_call_or_another_one_says_nothing) {
    add_second_endpoints();
    const std::string refusal = "Dandelionbay-Not-Executed: 1\r\nRetry-After: 3\r\nServer-Leaving: 1\r\n"
                                "Dandelionbay-Cold-Ms: 9000\r\nContent-Length: 0\r\n\r\n";
    for (const std::string name : {"", "Dandelionbay-Request-Id: another\r\n"}) {
        SCOPED_TRACE(name.empty() ? "no id" : "another call's id");
        const auto path = concat("/book/stale-", name.size());
        for (auto* const it : {&desk_1, &desk_2}) {
            it->otherwise([&, it](const http_request& request, raw_server::connection& to) {
                if (request.path() == path) {
                    to.write(concat("HTTP/1.1 503 X\r\n", name, refusal));
                }
                it->serve(request, to);
            });
        }
        const auto answer = gateway->post(path);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
        EXPECT_EQ(calls(desk_1, path).size() + calls(desk_2, path).size(), 1);
        EXPECT_EQ(gateway->metrics().find("endpoint_pauses_total"), std::string::npos);
        EXPECT_EQ(gateway->metrics().find("endpoints_leaving_total"), std::string::npos);
    }
}

// Guards against a gateway that ends, or stops following what the registry holds, over one odd row of another writer.
TEST_F(gateway_fleet, odd_rows_of_other_writers_change_nothing) {
    const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
    const std::string entry = engine_1.entry("m");
    const auto with = [&](const std::string& what, const std::string& by) {
        auto out = entry;
        return out.replace(out.find(what), what.size(), by);
    };
    const auto port =
        entry.substr(entry.find("127.0.0.1:"), entry.find('"', entry.find("127.0.0.1:")) - entry.find("127.0.0.1:"));
    const std::vector<std::string> odd{deep,
                                       std::string(60'000, '{'),
                                       with("\"seq\":1", "\"seq\":" + deep),
                                       with("\"slots\":8", "\"slots\":1e400"),
                                       with("\"slots\":8", "\"slots\":99999999999999999999999"),
                                       with(port, "127.0.0.1:65536"),
                                       with(port, "127.0.0.1:+80"),
                                       with(port, "127.0.0.1: 80"),
                                       with(port, "127.0.0.1:0"),
                                       with(port, "127.0.0.1:-1")};
    for (std::size_t n = 0; n < odd.size(); ++n) {
        for (const auto* const table : {"servers", "routers", "lost-calls"}) {
            store.put(table, concat("odd-", n), odd[n]);
        }
        store.put("op", concat("evacuate/odd-", n), odd[n]);
    }
    store.put("servers", "odd\r\nX-Other: 1", entry);
    store.put("servers", std::string(200, 'k'), entry);
    store.put("op", "config", deep);
    std::this_thread::sleep_for(milliseconds{1'500});
    {
        SCOPED_TRACE("what is registered afterwards is followed");
        store.put("servers", desk_2.id(), desk_2.entry("desk"));
        store.put("servers", desk_1.id(), desk_1.entry("desk", "draining"));
        ASSERT_TRUE(eventually([&] {
            return gateway->get("/look/odd").find("200 X") != std::string::npos && !calls(desk_2, "/look/odd").empty();
        }));
    }
    const auto metrics = gateway->metrics();
    EXPECT_EQ(metrics.find("event_errors_total"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("endpoints_known 4"), std::string::npos) << "three, and one with a long key\n" << metrics;
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
    socket.connect(to_tcp_endpoint(gateway->caller()));
    const auto bytes = running_gateway::request("GET", "/chat/a", "");
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::array<char, 64> buf{};
    EXPECT_GT(socket.read_some(boost::asio::buffer(buf)), 0);
    socket.close();
    EXPECT_TRUE(eventually([&] { return left.load(); }, seconds{3}));
}

// Guards against callers that stay with a router whose processor is too slow for them: one that does not tell the
// balancer, or that keeps the connections which the balancer does not move.
TEST_F(gateway_fleet, a_router_that_cannot_keep_up_sends_its_callers_away) {
    ASSERT_TRUE(gateway->ready());
    gateway->hold_up_for(seconds{3}, milliseconds{70}); // A call's few turns end within its target.
    EXPECT_TRUE(eventually([&] { return !gateway->ready(); }));
    // This returns only when the connection ends, long before it would as an idle one.
    const auto start = std::chrono::steady_clock::now();
    const auto answer = gateway->get_kept("/look/x");
    EXPECT_NE(answer.find(" 200 "), std::string::npos) << "what comes is served still: " << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_LT(std::chrono::steady_clock::now() - start, seconds{5});
}

// Guards against the pattern "one caller opens connection after connection": calls whose connections are cut without an
// answer while others are open on which nothing happens.
TEST_F(gateway_fleet, the_longest_idle_connection_yields_to_a_new_one) {
    start_gateway({}, 4);
    boost::asio::io_context loop;
    std::deque<tcp::socket> idle;
    const auto open = [&] {
        boost::system::error_code ec;
        idle.emplace_back(loop).connect(to_tcp_endpoint(gateway->caller()), ec);
        idle.back().non_blocking(true);
        std::this_thread::sleep_for(milliseconds{50}); // Longer than the interval at which connections are closed.
    };
    const auto ended = [](tcp::socket& it) {
        boost::system::error_code ec;
        std::array<char, 1> buf{};
        return it.read_some(boost::asio::buffer(buf), ec) == 0 && ec != boost::asio::error::would_block;
    };
    for (int n = 0; n < 4; ++n) {
        open();
    }
    EXPECT_NE(gateway->get("/look/x").find(" 200 "), std::string::npos);
    EXPECT_TRUE(eventually([&] { return ended(idle[0]); }));
    for (std::size_t n = 1; n < idle.size(); ++n) {
        EXPECT_FALSE(ended(idle[n])) << "connection " << n;
    }
    {
        SCOPED_TRACE("well before the limit connections end with their answers");
        const auto answer = gateway->get_kept("/look/x");
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    }
}

} // namespace
} // namespace dandelionbay::platform
