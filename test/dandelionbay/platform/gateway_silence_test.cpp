#include <random>
#include <tuple>

#include "dandelionbay/proxy/exchange.hpp"
#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

using test_clock = std::chrono::steady_clock;

enum class call_shape : std::uint8_t { stream_that_has_begun, stream_before_its_first_event, safe_call };

/*! What an endpoint does with the call while another one is silent. */
enum class next_answer : std::uint8_t { refuses, fails, is_silent_too, serves };

[[nodiscard]] std::string events(int from, int last) {
    std::string out;
    for (int n = from; n <= last; ++n) {
        out += chunk(event(n));
    }
    return out;
}

const std::string whole_stream = events(1, 6) + "0\r\n\r\n";

void refuse(const http_request& request, raw_server::connection& to) {
    to.write(scripted_endpoint::head(request, 503, false) +
             "Dandelionbay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

void answer_error(const http_request& request, raw_server::connection& to) {
    to.write(scripted_endpoint::head(request, 500) + "Content-Length: 5\r\n\r\nerror");
}

/*! Waits until the router leaves. */
void stay_silent(raw_server::connection& to) {
    static_cast<void>(eventually([&] { return !to.open(); }, seconds{6}));
}

class gateway_two_endpoints : public gateway_fleet {
protected:
    using action = scripted_endpoint::action;

    void SetUp() override {
        gateway_fleet::SetUp();
        add_second_endpoints();
    }

    void TearDown() override {
        for (auto* const it : {&engine_1, &engine_2, &desk_1, &desk_2}) {
            it->otherwise({});
        }
        gateway_fleet::TearDown();
    }

    /*! The first endpoint that gets a call does one thing with it, and whichever gets it again the others in turn; the
     *  last one stays. */
    void script(const std::string& path, std::vector<action> actions) {
        const auto step = std::make_shared<std::atomic<std::size_t>>(0);
        for (auto* const it : {&engine_1, &engine_2, &desk_1, &desk_2}) {
            it->otherwise([=](const http_request& request, raw_server::connection& to) {
                if (request.path() != path) {
                    it->serve(request, to);
                    return;
                }
                const auto& next = actions[std::min(step->fetch_add(1), actions.size() - 1)];
                next ? next(request, to) : it->serve(request, to);
            });
        }
    }

    [[nodiscard]] std::size_t sends(const std::string& path) {
        std::size_t out = 0;
        for (auto* const it : {&engine_1, &engine_2, &desk_1, &desk_2}) {
            out += calls(*it, path).size();
        }
        return out;
    }
};

class gateway_silence : public gateway_two_endpoints,
                        public testing::WithParamInterface<std::tuple<call_shape, next_answer>> {
protected:
    [[nodiscard]] static call_shape shape() { return std::get<0>(GetParam()); }

    /*! Keeps silent for some time, and notes when the router left meanwhile. */
    void pause(raw_server::connection& to, milliseconds silence) {
        const auto end = test_clock::now() + silence;
        while (test_clock::now() < end) {
            if (!to.open() && left_at_.load() == test_clock::time_point{}) {
                left_at_ = test_clock::now();
            }
            std::this_thread::sleep_for(milliseconds{2});
        }
    }

    [[nodiscard]] action silent_for(milliseconds silence) {
        return [this, silence](const http_request& request, raw_server::connection& to) {
            if (shape() == call_shape::stream_that_has_begun) {
                scripted_endpoint::stream(request, to, 1, 3, false);
                pause(to, silence);
                to.write(events(4, 6) + "0\r\n\r\n");
            } else {
                pause(to, silence);
                if (shape() == call_shape::safe_call) {
                    scripted_endpoint::answer(request, to, "whole");
                } else {
                    scripted_endpoint::stream(request, to, 1, 6, true);
                }
            }
        };
    }

    [[nodiscard]] action next() {
        return [this](const http_request& request, raw_server::connection& to) {
            const auto after = find_field(request.fields, "Last-Event-Id");
            switch (std::get<1>(GetParam())) {
            case next_answer::refuses:
                refuse(request, to);
                break;
            case next_answer::fails:
                answer_error(request, to);
                break;
            case next_answer::is_silent_too:
                stay_silent(to);
                break;
            case next_answer::serves:
                began_at_ = test_clock::now();
                if (shape() == call_shape::safe_call) {
                    scripted_endpoint::answer(request, to, "whole");
                } else {
                    scripted_endpoint::stream(request, to, after.empty() ? 1 : std::stoi(std::string{after}) + 1, 6,
                                              true);
                }
            }
        };
    }

    void check_whole(const std::string& answer) const {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + (shape() == call_shape::safe_call ? "whole" : whole_stream)))
            << answer;
    }

    std::atomic<test_clock::time_point> began_at_{test_clock::time_point{}};
    std::atomic<test_clock::time_point> left_at_{test_clock::time_point{}};
};

// Guards against calls that get neither an answer nor a refusal, or a 502, because their sound endpoint is silent for a
// second and goes on, while the next endpoint does not take the call (LOST), and against a run that goes on beside the
// one that took the call over (TWICE).
TEST_P(gateway_silence, a_call_whose_endpoint_is_silent_and_goes_on_is_answered_whole) {
    constexpr milliseconds both_may_run{400};
    for (const auto silence : {800, 1'000, 1'250, 1'600, 2'100}) {
        SCOPED_TRACE(concat("silent for ", silence, " ms"));
        const auto path = concat(shape() == call_shape::safe_call ? "/look/" : "/chat/", silence);
        began_at_ = left_at_ = test_clock::time_point{};
        script(path, {silent_for(milliseconds{silence}), next()});
        check_whole(gateway->post(path));
        if (shape() != call_shape::safe_call && began_at_.load() != test_clock::time_point{}) {
            std::this_thread::sleep_for(both_may_run);
            ASSERT_NE(left_at_.load(), test_clock::time_point{}) << "the silent endpoint works on";
            EXPECT_LT(left_at_.load() - began_at_.load(), both_may_run);
        }
    }
}

[[nodiscard]] std::string name_of(const testing::TestParamInfo<std::tuple<call_shape, next_answer>>& info) {
    const std::vector<std::string> shapes{"begun_stream", "waiting_stream", "safe_call"};
    const std::vector<std::string> answers{"other_refuses", "other_fails", "other_is_silent", "other_serves"};
    return concat(shapes[static_cast<std::size_t>(std::get<0>(info.param))], "_",
                  answers[static_cast<std::size_t>(std::get<1>(info.param))]);
}

INSTANTIATE_TEST_SUITE_P(calls, gateway_silence,
                         testing::Combine(testing::Values(call_shape::stream_that_has_begun,
                                                          call_shape::stream_before_its_first_event,
                                                          call_shape::safe_call),
                                          testing::Values(next_answer::refuses, next_answer::fails,
                                                          next_answer::is_silent_too, next_answer::serves)),
                         name_of);

// Guards against streams that wait for an endpoint that is dark for good until their callers leave,
// also if the other endpoint is full for a moment.
TEST_F(gateway_two_endpoints, a_stream_leaves_a_dark_endpoint_while_its_caller_waits) {
    constexpr milliseconds patience{2'400}; // Four times the route's target.
    const auto begin = [](const http_request& request, raw_server::connection& to) {
        scripted_endpoint::stream(request, to, 1, 3, false);
        stay_silent(to);
    };
    for (const bool full : {false, true}) {
        SCOPED_TRACE(full ? "the other one refuses once" : "the other one takes it");
        const std::string path = full ? "/chat/full" : "/chat/dark";
        script(path, full ? std::vector<action>{begin, refuse, {}} : std::vector<action>{begin, {}});
        const auto began = test_clock::now();
        const auto answer = gateway->post(path);
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + whole_stream)) << answer;
        EXPECT_LT(test_clock::now() - began, patience);
    }
}

// Guards against endpoints that work on for a caller that has left while two of them had its call.
TEST_F(gateway_two_endpoints, both_endpoints_are_left_when_the_caller_leaves) {
    constexpr milliseconds work_stops_within{500};
    std::atomic<int> open{0};
    const auto silent = [&](const http_request& /*request*/, raw_server::connection& to) {
        ++open;
        stay_silent(to);
        --open;
    };
    script("/look/left", {silent, silent});
    boost::asio::io_context loop;
    tcp::socket caller{loop};
    caller.connect(to_tcp_endpoint(gateway->caller()));
    boost::asio::write(caller, boost::asio::buffer(running_gateway::request("GET", "/look/left", "")));
    ASSERT_TRUE(eventually([&] { return open == 2; }, seconds{2}));
    caller.close();
    EXPECT_TRUE(eventually([&] { return open == 0; }, work_stops_within));
}

// Guards against safe calls that run twice, and sound endpoints that count as failed, because a whole answer takes
// longer to arrive than an endpoint may be silent.
TEST_F(gateway_two_endpoints, a_safe_call_whose_answer_arrives_slowly_is_sent_once) {
    static constexpr int pieces = 8;
    script("/look/slow", {[](const http_request& request, raw_server::connection& to) {
               to.write(concat(scripted_endpoint::head(request, 200), "Content-Length: ", pieces, "\r\n\r\n"));
               for (int n = 0; n < pieces; ++n) {
                   std::this_thread::sleep_for(milliseconds{200});
                   to.write("x");
               }
           }});
    const auto answer = gateway->get("/look/slow");
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + std::string(pieces, 'x'))) << answer;
    EXPECT_EQ(sends("/look/slow"), 1);
}

// Guards against calls that end at the first refusal after their endpoint broke off, with time left and an endpoint
// that has room a moment later.
TEST_F(gateway_two_endpoints, a_call_that_broke_off_waits_for_an_endpoint_that_refuses_for_a_moment) {
    {
        SCOPED_TRACE("a stream that has begun");
        script("/chat/room", {[](const http_request& request, raw_server::connection& to) {
                                  scripted_endpoint::stream(request, to, 1, 3, false);
                                  std::this_thread::sleep_for(milliseconds{50});
                                  to.reset();
                              },
                              refuse,
                              refuse,
                              {}});
        const auto answer = gateway->post("/chat/room");
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + whole_stream)) << answer;
    }
    {
        SCOPED_TRACE("a safe call whose next endpoint asks for a short pause");
        script("/look/pause", {[](const http_request&, raw_server::connection& to) { to.reset(); },
                               [](const http_request& request, raw_server::connection& to) {
                                   scripted_endpoint::ask_for_pause(request, to, "0.2");
                               },
                               {}});
        const auto answer = gateway->get("/look/pause");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    }
    {
        SCOPED_TRACE("a safe call");
        script("/look/room", {[](const http_request&, raw_server::connection& to) { to.reset(); }, refuse, {}});
        const auto answer = gateway->get("/look/room");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    }
    {
        SCOPED_TRACE("with no room in sight it ends, long before its time limit");
        script("/look/none", {[](const http_request&, raw_server::connection& to) { to.reset(); }, refuse});
        const auto began = test_clock::now();
        EXPECT_TRUE(gateway->get("/look/none").starts_with("HTTP/1.1 502 "));
        EXPECT_LT(test_clock::now() - began, seconds{2});
        EXPECT_LE(sends("/look/none"), exchange::max_sends);
    }
}

// Guards against streams that are cut by the failure of the endpoint they go on at, while the route allows another one.
TEST_F(gateway_two_endpoints, a_begun_stream_goes_on_after_the_failure_of_the_next_endpoint) {
    auto text = config(2);
    const std::string_view two = R"("max_attempts": 2, "resumable": true)";
    store.put("op", "config", text.replace(text.find(two), two.size(), R"("max_attempts": 3, "resumable": true)"));
    std::this_thread::sleep_for(milliseconds{300});
    script("/chat/failed", {[](const http_request& request, raw_server::connection& to) {
                                scripted_endpoint::stream(request, to, 1, 3, false);
                                std::this_thread::sleep_for(milliseconds{50});
                                to.reset();
                            },
                            answer_error,
                            {}});
    const auto answer = gateway->post("/chat/failed");
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + whole_stream)) << answer;
    EXPECT_EQ(sends("/chat/failed"), 3);
}

// Guards against an endpoint's own word on a failed call that is replaced by a 502, because the endpoint that was asked
// instead has no answer at all.
TEST_F(gateway_two_endpoints, an_endpoints_failure_is_passed_on_if_no_other_one_answers) {
    script("/look/failed", {answer_error, [](const http_request&, raw_server::connection& to) { to.reset(); }});
    const auto answer = gateway->get("/look/failed");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 500 ")) << answer;
    EXPECT_NE(answer.find("Dandelionbay-Response-Seal: s"), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with("error")) << answer;
    EXPECT_EQ(sends("/look/failed"), 2);
}

// Guards against an endpoint's own word on a failed call that is replaced by a 504, because the endpoint that was asked
// instead is silent until the call's time limit.
TEST_F(gateway_two_endpoints, an_endpoints_failure_is_passed_on_at_the_time_limit) {
    script("/look/limit", {answer_error, [](const http_request&, raw_server::connection& to) { stay_silent(to); }});
    const auto answer = gateway->get_within("/look/limit", milliseconds{1'200});
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 500 ")) << answer;
    EXPECT_TRUE(answer.ends_with("error")) << answer;
    EXPECT_EQ(sends("/look/limit"), 2);
}

/*! Endpoints that are sound and now and then full, or silent for some time. */
class pausing_endpoints {
public:
    explicit pausing_endpoints(std::uint64_t seed) : random_{seed} {}

    void act(const http_request& request, raw_server::connection& to) {
        if (draw(10) < 3) {
            refuse(request, to);
            return;
        }
        const milliseconds silence{draw(2) == 0 ? 0 : 500 + draw(2'500)};
        if (request.path().starts_with("/look/")) {
            std::this_thread::sleep_for(silence);
            scripted_endpoint::answer(request, to, "whole");
            return;
        }
        const auto after = find_field(request.fields, "Last-Event-Id");
        const int first = after.empty() ? 1 : std::stoi(std::string{after}) + 1;
        const int silent_before = first + draw(7 - first);
        if (silent_before == first) {
            std::this_thread::sleep_for(silence);
        }
        scripted_endpoint::stream(request, to, first, silent_before - 1, false);
        if (silent_before > first) {
            std::this_thread::sleep_for(silence);
        }
        to.write(events(silent_before, 6) + "0\r\n\r\n");
    }

private:
    /*! A number from 0 on. */
    [[nodiscard]] int draw(int below) {
        const std::scoped_lock lock{mutex_};
        return below <= 1 ? 0 : std::uniform_int_distribution{0, below - 1}(random_);
    }

    std::mutex mutex_{};
    std::mt19937_64 random_;
};

class gateway_pauses : public gateway_two_endpoints, public testing::WithParamInterface<std::uint64_t> {
protected:
    static constexpr milliseconds time_limit{15'000}; // Longer than all silences of a call.
    static constexpr int callers = 8;
    static constexpr int calls_each = 6;

    /*! The usual configuration with the time limit of this test, and another idle time in each version. */
    [[nodiscard]] static std::string patient_config(int version) {
        auto out = config(version);
        for (const std::string_view name : {R"("timeout_ms": 4000)", R"("timeout_ms": 3000)"}) {
            for (auto at = out.find(name); at != std::string::npos; at = out.find(name, at + 1)) {
                out.replace(at, name.size(), concat(R"("timeout_ms": )", time_limit.count()));
            }
        }
        const std::string_view idle = "15000}";
        return out.replace(out.find(idle), idle.size(), concat(15'000 + version, "}"));
    }

    [[nodiscard]] std::map<std::string, std::string> call_all() const {
        std::mutex mutex;
        std::map<std::string, std::string> out;
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                for (int n = 0; n < calls_each; ++n) {
                    const auto path = concat(n % 3 == 0 ? "/look/" : "/chat/", caller, "-", n);
                    auto text = gateway->get_within(path, time_limit);
                    const std::scoped_lock lock{mutex};
                    out[path] = std::move(text);
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
        return out;
    }
};

// Guards against calls that are cut or end with a 502 at sound endpoints that are silent for 0.5 to 3 s and now and
// then full, while the configuration changes: each is answered whole or refused as not run.
TEST_P(gateway_pauses, calls_at_sound_endpoints_are_answered_whole_or_not_run) {
    constexpr milliseconds between_changes{300};
    const auto endpoints = std::make_shared<pausing_endpoints>(GetParam()); // Of which a late attempt may still ask.
    for (auto* const it : {&engine_1, &engine_2, &desk_1, &desk_2}) {
        it->otherwise([=](const http_request& request, raw_server::connection& to) { endpoints->act(request, to); });
    }
    std::atomic<bool> over{false};
    std::thread operating{[&] {
        for (int version = 2; !over; ++version) {
            store.put("op", "config", patient_config(version));
            std::this_thread::sleep_for(between_changes);
        }
    }};
    std::this_thread::sleep_for(between_changes);
    const auto answers = call_all();
    over = true;
    operating.join();
    int served = 0;
    for (const auto& [path, answer] : answers) {
        SCOPED_TRACE(concat("seed ", GetParam(), ", ", path, ", sent ", sends(path), " times: ", answer));
        if (answer.starts_with("HTTP/1.1 503 ")) {
            continue;
        }
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
        EXPECT_TRUE(answer.ends_with("\r\n\r\n" + (path.starts_with("/look/") ? "whole" : whole_stream)));
        ++served;
    }
    EXPECT_GT(served, callers * calls_each / 2);
}

INSTANTIATE_TEST_SUITE_P(seeds, gateway_pauses, testing::Range<std::uint64_t>(1, 3));

} // namespace
} // namespace dandelionbay::platform
