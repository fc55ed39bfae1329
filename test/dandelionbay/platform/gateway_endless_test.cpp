#include <limits>

#include "dandelionbay/proxy/exchange.hpp"
#include "gateway_fleet.hpp"

namespace dandelionbay::platform {
namespace {

/*! Bytes that an endpoint sends without end in place of an answer. */
struct endless_bytes {
    std::string name{};
    std::string path{}; //!< Of the calls.
    std::string first{};
    std::string then{}; //!< Again and again.

    friend void PrintTo(const endless_bytes& it, std::ostream* out) { *out << it.name; }
};

[[nodiscard]] std::vector<endless_bytes> kinds() {
    const std::string filler(1'000, 'a');
    const std::string chunked = "HTTP/1.1 200 X\r\nDandelionbay-Request-Id: ID\r\nDandelionbay-Response-Seal: s\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
    const std::string by_close =
        "HTTP/1.1 200 X\r\nDandelionbay-Request-Id: ID\r\nDandelionbay-Response-Seal: s\r\n\r\n";
    return {{"no_http", "/look/a", "", filler},
            {"fields", "/look/a", "HTTP/1.1 200 X\r\n", concat("X-A: ", filler, "\r\n")},
            {"field_line", "/look/a", "HTTP/1.1 200 X\r\nX-A: ", filler},
            {"early_answers", "/look/a", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"nameless_answers", "/look/a", "", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nno"},
            {"nameless_body", "/look/a", "HTTP/1.1 200 X\r\n\r\n", filler},
            {"body", "/look/a", by_close, filler},
            {"chunks", "/look/a", chunked, chunk(filler)},
            {"chunk_size", "/look/a", chunked, "00000000"},
            {"chunk_extension", "/look/a", concat(chunked, "2;"), filler},
            {"trailer_line", "/look/a", concat(chunked, "0\r\nX-A: "), filler},
            {"trailers", "/look/a", concat(chunked, "0\r\n"), concat("X-A: ", filler, "\r\n")},
            {"stream_without_events", "/chat/a", chunked, chunk(filler)},
            {"stream_of_comments", "/chat/a", chunked, chunk(concat(":", filler, "\n"))},
            {"stream_chunk_extension", "/chat/a", concat(chunked, chunk(event(1)), "2;"), filler}};
}

/*! Endpoints that go on until the test ends. */
class unending_endpoints : public gateway_fleet {
protected:
    void TearDown() override {
        ended = true;
        gateway_fleet::TearDown();
    }

    /*! What one call may hold, and what the sockets' buffers take. */
    static constexpr std::size_t most_taken = exchange::max_buffered_response_bytes + (std::size_t{8} << 20U);

    /*! The routes' longest time limit, and some time to tell both sides. */
    static constexpr seconds longest{5};

    std::atomic<bool> ended{};
};

class gateway_endless : public unending_endpoints, public testing::WithParamInterface<endless_bytes> {
protected:
    /*! Makes endpoints send the bytes until the gateway closes the connection. */
    void send_without_end(scripted_endpoint& from) {
        from.otherwise([this](const http_request& request, raw_server::connection& to) {
            auto first = GetParam().first;
            if (const auto at = first.find("ID"); at != std::string::npos) {
                first.replace(at, 2, find_field(request.fields, "Dandelionbay-Request-Id"));
            }
            to.write(first);
            std::string many;
            while (many.size() < 10'000) {
                many += GetParam().then;
            }
            ++sending;
            while (!ended && to.write(many)) {
                sent += many.size();
            }
            --sending;
        });
    }

    std::atomic<int> sending{};
    std::atomic<std::size_t> sent{};
};

// Guards against an endpoint that sends without end and so takes a gateway's memory or its time, or looks like an
// answer.
TEST_P(gateway_endless, bytes_without_end_end_with_their_call) {
    for (auto* const it : {&engine_1, &desk_1}) {
        send_without_end(*it);
    }
    const auto began = std::chrono::steady_clock::now();
    const auto answer = gateway->get(GetParam().path);
    EXPECT_LE(std::chrono::steady_clock::now() - began, longest);
    EXPECT_TRUE(eventually([&] { return sending == 0; }, seconds{1})) << "the connection is still open";
    EXPECT_LE(sent, most_taken);
    EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << "a whole stream: " << answer;
    if (answer.find(" 200 ") != std::string::npos) {
        EXPECT_NE(answer.find("chunked"), std::string::npos) << answer;
    }
    {
        SCOPED_TRACE("the gateway serves on");
        for (auto* const it : {&engine_1, &desk_1}) {
            it->otherwise({});
        }
        EXPECT_TRUE(eventually([&] { return gateway->get("/look/b").find("200 X") != std::string::npos; }));
    }
}

class gateway_held : public unending_endpoints {
protected:
    [[nodiscard]] std::uint64_t bytes_of(const std::string& gauge) const {
        const auto name = concat("\ndandelionbay_", gauge, " ");
        const auto page = gateway->metrics();
        const auto at = page.find(name);
        return at == std::string::npos ? 0 : std::stoull(page.substr(at + name.size()));
    }

    [[nodiscard]] std::uint64_t held_bytes() const { return bytes_of("held_answer_bytes"); }

    std::atomic<std::size_t> written_answers{};
};

// Guards against a gateway that runs out of memory because many large answers stay without an end at the same time.
TEST_F(gateway_held, large_answers_that_do_not_end_take_a_bounded_amount_together) {
    constexpr int calls = 8;
    constexpr std::size_t part = std::size_t{6} << 20U;
    std::atomic<int> halted{};
    desk_1.otherwise([&](const http_request& request, raw_server::connection& to) {
        to.write(concat(scripted_endpoint::head(request, 200), "\r\n", std::string(part, 'a')));
        ++halted;
        while (!ended && to.open()) {
            std::this_thread::sleep_for(milliseconds{5});
        }
    });
    std::vector<std::thread> callers;
    for (int n = 0; n < calls; ++n) {
        callers.emplace_back([&, n] { std::ignore = gateway->get(concat("/look/", n)); });
    }
    EXPECT_TRUE(eventually([&] { return halted == calls; }));
    std::this_thread::sleep_for(milliseconds{200}); // The rest of what was written is read.
    const auto held = held_bytes();
    EXPECT_GE(held, part) << "answers within the limit stay";
    EXPECT_LE(held, proxy_options{}.max_held_answer_bytes);
    ended = true;
    for (auto& it : callers) {
        it.join();
    }
}

// Guards against a gateway that runs out of memory because callers do not take whole answers that are sent to them.
TEST_F(gateway_held, answers_that_callers_do_not_take_are_bounded_together) {
    constexpr std::size_t calls = 24;
    constexpr std::size_t size = std::size_t{7} << 20U;
    constexpr int least_buffer = 4'096; // Of the system, so that the gateway holds most of an answer.
    const std::string body(size, 'a');
    desk_1.otherwise([this, body](const http_request& request, raw_server::connection& to) {
        scripted_endpoint::answer(request, to, request.path() == "/look/small" ? "small" : body);
        ++written_answers;
    });
    boost::asio::io_context loop;
    std::vector<std::unique_ptr<tcp::socket>> callers;
    std::uint64_t most = 0;
    auto least = std::numeric_limits<std::uint64_t>::max(); // Since more came than the limit.
    for (std::size_t n = 0; n < calls; ++n) {
        const std::size_t before = written_answers;
        auto& socket = callers.emplace_back(std::make_unique<tcp::socket>(loop));
        socket->open(tcp::v4());
        socket->set_option(boost::asio::socket_base::receive_buffer_size{least_buffer});
        socket->connect(to_tcp_endpoint(gateway->caller()));
        boost::asio::write(*socket,
                           boost::asio::buffer(running_gateway::request("GET", concat("/look/", n), {}, "close")));
        // A busy gateway may refuse the call; the checks below count what it keeps.
        std::ignore = eventually([&] { return written_answers > before; }, longest);
        std::this_thread::sleep_for(milliseconds{50}); // It reads the rest and gives up what exceeds its limit.
        const auto kept = bytes_of("unsent_answer_bytes") + held_bytes();
        most = std::max(most, kept);
        least = n * size > 2 * proxy_options{}.max_held_answer_bytes ? std::min(least, kept) : least;
    }
    RecordProperty("most", std::to_string(most));
    RecordProperty("least", std::to_string(least));
    EXPECT_GE(most, size / 2) << "answers within the limit stay";
    EXPECT_GE(least, proxy_options{}.max_held_answer_bytes - 2 * size)
        << "no more are given up than have to: less than one of them, and what the system takes of the newest";
    EXPECT_LE(most, proxy_options{}.max_held_answer_bytes + size);
    EXPECT_LE(bytes_of("unsent_answer_bytes") + held_bytes(), proxy_options{}.max_held_answer_bytes);
    EXPECT_NE(gateway->get("/look/small").find("small"), std::string::npos) << "other callers are served";
    {
        SCOPED_TRACE("the newest caller takes its answer late, and gets all of it");
        std::string answer;
        std::array<char, 65'536> buf{};
        boost::system::error_code ec;
        while (!ec) {
            answer.append(buf.data(), callers.back()->read_some(boost::asio::buffer(buf), ec));
        }
        EXPECT_GE(answer.size(), size) << answer.substr(0, least_buffer);
    }
}

// Guards against a gateway that runs out of memory because the registry sends an answer that does not end.
TEST_F(gateway_held, an_answer_of_the_registry_without_end_takes_a_bounded_amount) {
    store.answer_without_end(true);
    EXPECT_TRUE(eventually([&] { return store.endless_answers() >= 2; })) << "it is given up and asked for again";
    EXPECT_LE(store.most_sent(), most_taken);
    store.answer_without_end(false);
    EXPECT_NE(gateway->get("/look/x").find("200 X"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(kinds, gateway_endless, testing::ValuesIn(kinds()),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace dandelionbay::platform
