#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

[[nodiscard]] std::string events(int from, int last) {
    std::string out;
    for (int n = from; n <= last; ++n) {
        out += chunk(event(n));
    }
    return out;
}

/*! Streams two events and then only bytes of a third one, until the router leaves. */
void trickle(const http_request& request, raw_server::connection& to) {
    scripted_endpoint::stream(request, to, 1, 2, false);
    while (to.open()) {
        to.write(chunk(":"));
        std::this_thread::sleep_for(milliseconds{100});
    }
}

// Guards against streams that are cut because their endpoint is slow: with no other endpoint there is nothing to gain.
TEST_F(gateway_fleet, a_slow_stream_that_no_other_endpoint_can_go_on_with_is_waited_for) {
    engine_1.then([](const http_request& request, raw_server::connection& to) {
        scripted_endpoint::stream(request, to, 1, 2, false);
        std::this_thread::sleep_for(milliseconds{1'800});
        to.write(events(3, 6) + "0\r\n\r\n");
    });
    const auto answer = gateway->post("/chat/slow");
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + events(1, 6) + "0\r\n\r\n")) << answer;
    EXPECT_EQ(calls(engine_1, "/chat/slow").size(), 1);
}

// Guards against a running stream that is given up for the silence of its endpoint when it was this router that did not
// listen: its event loop was busy for longer than an endpoint may be silent.
TEST_F(gateway_fleet, a_router_that_did_not_listen_does_not_take_its_endpoints_for_silent) {
    add_second_endpoints();
    for (auto* const it : {&engine_1, &engine_2}) {
        it->then([&](const http_request& request, raw_server::connection& to) {
            scripted_endpoint::stream(request, to, 1, 2, false);
            std::this_thread::sleep_for(milliseconds{100});
            gateway->block_for(milliseconds{1'800});
            std::this_thread::sleep_for(milliseconds{100});
            to.write(events(3, 6) + "0\r\n\r\n");
        });
    }
    const auto answer = gateway->post("/chat/busy");
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + events(1, 6) + "0\r\n\r\n")) << answer;
    EXPECT_EQ(calls(engine_1, "/chat/busy").size() + calls(engine_2, "/chat/busy").size(), 1);
}

// Guards against calls that are held past their route's time limit on a host whose event loop is always late since it
// took them in. Later ones it turns away.
TEST_F(gateway_fleet, time_limits_hold_on_a_host_that_is_always_late) {
    constexpr milliseconds turn{400};
    constexpr milliseconds limit{3'000};
    constexpr int turns = 6; // To accept, to read, to connect, to send, to look at the limit, and to answer.
    desk_1.then([&](const http_request&, raw_server::connection& to) {
        gateway->hold_up_for(milliseconds{8'000}, turn);
        static_cast<void>(eventually([&] { return !to.open(); }, seconds{9}));
    });
    const auto began = std::chrono::steady_clock::now();
    EXPECT_NE(gateway->post("/book/late").find(" 504 "), std::string::npos);
    EXPECT_LT(std::chrono::steady_clock::now() - began, limit + turns * turn);
}

// Guards against calls that are taken in by a host which can't decide about them in time: they are served late or given
// up by their callers, while the hosts beside it have time (FAIR, and calls held past their route's limit: CONFIG).
TEST_F(gateway_fleet, a_host_that_is_late_by_more_than_a_call_can_afford_turns_it_away_at_once) {
    constexpr milliseconds turn{400};
    gateway->hold_up_for(seconds{8}, turn);
    std::this_thread::sleep_for(3 * turn);
    const auto answer = gateway->post("/chat/late");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_EQ(calls(engine_1, "/chat/late").size(), 0);
    {
        SCOPED_TRACE("once it is on time it serves");
        ASSERT_TRUE(eventually([&] { return gateway->get("/look/late").starts_with("HTTP/1.1 200 "); }));
        EXPECT_TRUE(gateway->post("/chat/on-time").ends_with(events(1, 6) + "0\r\n\r\n"));
    }
}

// Guards against the text of an error, or of any other answer, in the middle of a caller's stream, and against a stream
// that ends with it as if it were complete.
TEST_F(gateway_fleet, only_a_stream_goes_on_with_a_stream) {
    add_second_endpoints();
    const auto sealed = [](const http_request& request, int status, const std::string& rest) {
        return scripted_endpoint::head(request, status) + rest;
    };
    const std::string stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    using answer_text = std::function<std::string(const http_request&)>;
    const std::vector<std::pair<std::string, answer_text>> wrong{
        {"an error", [&](const auto& it) { return sealed(it, 500, "Content-Length: 5\r\n\r\nerror"); }},
        {"json",
         [&](const auto& it) {
             return sealed(it, 200, "Content-Type: application/json\r\nContent-Length: 9\r\n\r\n{\"a\": 1}\n");
         }},
        {"json in events' place",
         [&](const auto& it) { return sealed(it, 200, stream + chunk("{\"a\": 1}\n\n") + "0\r\n\r\n"); }},
        {"text without an event's end",
         [&](const auto& it) { return sealed(it, 200, stream + chunk("id: 4\ndata: x") + "0\r\n\r\n"); }},
        {"an event without id",
         [&](const auto& it) { return sealed(it, 200, stream + chunk("data: error\n\n") + "0\r\n\r\n"); }},
        {"nothing", [&](const auto& it) { return sealed(it, 204, "\r\n"); }}};
    int n = 0;
    for (const auto& [what, answer_of] : wrong) {
        SCOPED_TRACE(what);
        const auto path = concat("/chat/wrong-", ++n);
        for (auto* const it : {&engine_1, &engine_2}) {
            it->otherwise([&, it](const http_request& request, raw_server::connection& to) {
                if (request.path() != path) {
                    it->serve(request, to);
                } else if (find_field(request.fields, "Last-Event-Id").empty()) {
                    scripted_endpoint::stream(request, to, 1, 3, false);
                    std::this_thread::sleep_for(milliseconds{50}); // A reset drops what was not read yet.
                    to.reset();
                } else {
                    to.write(answer_of(request));
                }
            });
        }
        const auto answer = gateway->post(path);
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + events(1, 3))) << answer;
        EXPECT_EQ(calls(engine_1, path).size() + calls(engine_2, path).size(), 2);
    }
}

// Guards against streams without an end: bytes that make no event are no progress.
TEST_F(gateway_fleet, a_stream_that_sends_bytes_but_no_events_goes_on_elsewhere_or_ends) {
    {
        SCOPED_TRACE("nowhere else: it ends at the route's time limit and does not look complete");
        engine_1.then(trickle);
        const auto began = std::chrono::steady_clock::now();
        const auto answer = gateway->post("/chat/trickle-1");
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + events(1, 2))) << answer;
        EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds{4'500});
    }
    {
        SCOPED_TRACE("another endpoint goes on after the last whole event");
        add_second_endpoints();
        for (auto* const it : {&engine_1, &engine_2}) {
            it->otherwise([it](const http_request& request, raw_server::connection& to) {
                if (find_field(request.fields, "Last-Event-Id").empty()) {
                    trickle(request, to);
                } else {
                    it->serve(request, to);
                }
            });
        }
        const auto answer = gateway->post("/chat/trickle-2");
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + events(1, 6) + "0\r\n\r\n")) << answer;
    }
}

// Guards against a stream that breaks off in the middle of an event and looks complete, because its answer states no
// length and its connection ended in order.
TEST_F(gateway_fleet, a_stream_that_ends_inside_an_event_is_not_complete) {
    const auto open_ended = [](const http_request& request, raw_server::connection& to, const std::string& body) {
        to.write(concat(scripted_endpoint::head(request, 200), "Content-Type: text/event-stream\r\n\r\n", body));
        std::this_thread::sleep_for(milliseconds{50});
        to.close();
    };
    engine_1.then([&](const http_request& request, raw_server::connection& to) {
        open_ended(request, to, event(1) + event(2) + "id: 3\ndat");
    });
    const auto cut = gateway->post("/chat/once/cut");
    EXPECT_TRUE(cut.ends_with("\r\n\r\n" + events(1, 2))) << cut;
    {
        SCOPED_TRACE("one that ends after an event is");
        engine_1.then([&](const http_request& request, raw_server::connection& to) {
            open_ended(request, to, event(1) + event(2));
        });
        const auto whole = gateway->post("/chat/once/whole");
        EXPECT_TRUE(whole.ends_with("\r\n\r\n" + events(1, 2) + "0\r\n\r\n")) << whole;
    }
}

// Guards against answers without a length that are not resumed or are taken for whole when they break off, and against
// whole ones that are not forwarded because they come in pieces.
TEST_F(gateway_fleet, answers_that_end_with_their_connection_are_whole_or_broken_off) {
    const auto begin = [](const http_request& request, raw_server::connection& to, const std::string& type) {
        to.write(concat(scripted_endpoint::head(request, 200), "Content-Type: ", type, "\r\n\r\n"));
    };
    {
        SCOPED_TRACE("a stream goes on after its last whole event");
        engine_1.then([&](const http_request& request, raw_server::connection& to) {
            begin(request, to, "text/event-stream");
            to.write(event(1) + event(2) + "id: 3\ndat");
            std::this_thread::sleep_for(milliseconds{50});
            to.close();
        });
        const auto resumed = gateway->post("/chat/resumed");
        EXPECT_TRUE(resumed.ends_with("\r\n\r\n" + events(1, 6) + "0\r\n\r\n")) << resumed;
    }
    {
        SCOPED_TRACE("a plain answer that is reset is not whole");
        desk_1.then([&](const http_request& request, raw_server::connection& to) {
            begin(request, to, "text/plain");
            to.write("half");
            std::this_thread::sleep_for(milliseconds{50});
            to.reset();
        });
        const auto cut = gateway->get("/look/cut");
        EXPECT_NE(cut.find(" 502 "), std::string::npos) << cut;
        EXPECT_EQ(cut.find("half"), std::string::npos) << cut;
    }
    {
        SCOPED_TRACE("a plain answer in pieces is whole at the end of its connection");
        desk_1.then([&](const http_request& request, raw_server::connection& to) {
            begin(request, to, "text/plain");
            for (const auto* const piece : {"first ", "second ", "third"}) {
                to.write(piece);
                std::this_thread::sleep_for(milliseconds{50});
            }
            to.close();
        });
        const auto whole = gateway->get("/look/pieces");
        EXPECT_NE(whole.find(" 200 "), std::string::npos) << whole;
        EXPECT_TRUE(whole.ends_with("first second third")) << whole;
    }
}

// Guards against a stream with a missing event that looks whole, and against the use of a call that ended meanwhile.
TEST_F(gateway_fleet, a_stream_that_skips_an_event_is_cut_before_the_gap) {
    engine_1.then([](const http_request& request, raw_server::connection& to) {
        scripted_endpoint::stream(request, to, 1, 2, false);
        to.write(events(4, 6) + "0\r\n\r\n");
    });
    const auto cut = gateway->post("/chat/once/gap");
    EXPECT_TRUE(cut.ends_with("\r\n\r\n" + events(1, 2))) << cut;
    EXPECT_EQ(calls(engine_1, "/chat/once/gap").size(), 1);
}

// Guards against a success for the wrong caller: a copy of an earlier answer that does not say whose it is.
TEST_F(gateway_fleet, a_success_that_names_no_call_is_nobodys) {
    desk_1.then([](const http_request& request, raw_server::connection& to) {
        to.write("HTTP/1.1 200 X\r\nDandelionbay-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong");
        scripted_endpoint::answer(request, to, "right");
    });
    EXPECT_TRUE(gateway->post("/book/copy").ends_with("right"));
}

} // namespace
} // namespace dandelionbay::platform
