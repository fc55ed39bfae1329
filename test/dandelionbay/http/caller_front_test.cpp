#include "dandelionbay/http/caller_front.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <mutex>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "dandelionbay/node/answer_queue.hpp"

namespace dandelionbay {
namespace {

using namespace std::chrono_literals;

class scripted_gate final : public caller_gate {
public:
    scripted_gate() {
        auto it = std::make_shared<fleet_config>();
        it->teams.push_back({team_id{"t"}, "secret", {}, 1.0});
        service_config chat;
        chat.id = service_id{"chat"};
        chat.model = "m";
        service_config desk;
        desk.id = service_id{"desk"};
        desk.kind = service_kind::plain;
        desk.not_repeatable = {{"POST", "/orders"}};
        chat.max_body_bytes = desk.max_body_bytes = 30'000;
        it->services = {chat, desk};
        config_ = it;
    }

    std::shared_ptr<const fleet_config> config() const override { return config_; }
    bool stopping() const noexcept override { return stopped; }
    bool config_fresh() const noexcept override { return admits; }

    std::shared_ptr<answer_source> submit(accepted_request request) override {
        const std::lock_guard lock{mutex};
        requests.push_back(std::move(request));
        auto queue = std::make_shared<answer_queue>(1U << 20U, [this] { ++cancelled; });
        for (const auto& it : script) {
            EXPECT_TRUE(queue->push(it));
        }
        return queue;
    }

    std::mutex mutex;
    std::vector<answer_event> script;
    std::vector<accepted_request> requests;
    std::atomic<int> cancelled{0};
    std::atomic<bool> stopped{false};
    std::atomic<bool> admits{true};

private:
    std::shared_ptr<const fleet_config> config_;
};

class scripted_guard final : public claim_guard {
    class handle final : public claim_handle {
    public:
        explicit handle(std::string& log) : log_{&log} {}
        void finish(const stored_answer& answer) override { *log_ += "finish " + answer.body + ";"; }
        void abandon() override { *log_ += "abandon;"; }
        void release() override { *log_ += "release;"; }

    private:
        std::string* log_;
    };

public:
    claim_decision begin(const claim_request& request) override {
        log += "begin " + request.key + ";";
        claim_decision decision;
        decision.action = claim_decision::kind::proceed;
        decision.handle = std::make_unique<handle>(log);
        return decision;
    }

    std::string log;
};

constexpr auto* sse = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Hi\"}}]}\n\n";
const header_field sse_type{"Content-Type", "text/event-stream"};

class caller_api : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(front.start(none).ok()); }

    httplib::Client client() const {
        httplib::Client it{"127.0.0.1", front.port()};
        it.set_bearer_token_auth("secret");
        it.set_tcp_nodelay(true);
        return it;
    }

    httplib::Result chat(bool stream) const {
        return client().Post("/v1/chat/completions", body(stream), "application/json");
    }

    static std::string body(bool stream) {
        return std::string{R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":)"} +
               (stream ? "true}" : "false}");
    }

    /*! @brief Sends bytes and reads until the connection ends. */
    std::string exchange(const std::string& bytes) const {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::socket socket{loop};
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), front.port()});
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
        return answer;
    }

    static std::string post(const std::string& content, const std::string& fields = "") {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n" + fields +
               "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
    }

    static void expect_error(const httplib::Result& answer, result_code code, executed state) {
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, describe(code).http_status);
        const auto error = nlohmann::json::parse(answer->body).at("error");
        EXPECT_EQ(error["code"], static_cast<int>(code));
        EXPECT_EQ(error["executed"], to_string(state));
        EXPECT_TRUE(error["message"].is_string() && error["type"].is_string());
    }

    bool wait_cancelled(int times) const {
        for (int n = 0; n < 300 && gate.cancelled < times; ++n) {
            std::this_thread::sleep_for(10ms);
        }
        return gate.cancelled == times;
    }

    kernel none;
    monotonic_clock time;
    counters metrics;
    scripted_gate gate;
    scripted_guard guard;
    caller_front front{caller_front_options{.listen = {"127.0.0.1", 0},
                                            .threads = 8,
                                            .limits = {.max_header_bytes = 8'192,
                                                       .max_body_bytes = 65'536,
                                                       .receive_time = 400ms,
                                                       .send_time = 1'000ms,
                                                       .idle_time = 1'000ms}},
                       gate, &guard, time, metrics};
};

// Guards against bad requests that reach a queue, that hang, or whose refusal is not in the documented form.
TEST_F(caller_api, bad_requests_are_refused_with_their_code) {
    {
        SCOPED_TRACE("token, body, model, service, path");
        httplib::Client stranger{"127.0.0.1", front.port()};
        expect_error(stranger.Get("/v1/models"), result_code::invalid_token, executed::no);
        const auto post_text = [&](const std::string& text) {
            return client().Post("/v1/chat/completions", text, "application/json");
        };
        expect_error(post_text("{"), result_code::malformed_request, executed::no);
        expect_error(post_text(std::string(30'000, '[')), result_code::malformed_request, executed::no);
        expect_error(post_text(R"({"model":"z","messages":[{}]})"), result_code::unknown_model, executed::no);
        expect_error(client().Get("/services/none/x"), result_code::unknown_service, executed::no);
        expect_error(client().Get("/services/chat/x"), result_code::unknown_service, executed::no);
        const std::string large(30'001, 'x');
        expect_error(client().Put("/services/desk/x", large, "text/plain"), result_code::request_too_large,
                     executed::no);
        expect_error(post_text(R"({"model":"m","messages":[{"role":"user","content":")" + large + R"("}]})"),
                     result_code::request_too_large, executed::no);
        expect_error(client().Get("/services/desk/a/%2e%2e/b"), result_code::malformed_request, executed::no);
        expect_error(client().Get("/nothing"), result_code::object_not_found, executed::no);
    }
    {
        SCOPED_TRACE("size of body and header, also without a length, and a body where none is read");
        expect_error(client().Post("/v1/chat/completions", std::string(70'000, ' '), "application/json"),
                     result_code::request_too_large, executed::no);
        std::string chunks = "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int n = 0; n < 200; ++n) {
            chunks += "400\r\n" + std::string(1'024, ' ') + "\r\n";
        }
        EXPECT_TRUE(exchange(chunks).starts_with("HTTP/1.1 413"));
        std::string fields;
        for (int n = 0; n < 100; ++n) {
            fields += "X-" + std::to_string(n) + ": " + std::string(500, 'x') + "\r\n";
        }
        EXPECT_TRUE(exchange(post("", fields)).starts_with("HTTP/1.1 413"));
        EXPECT_TRUE(exchange("GET /healthz HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /").starts_with("HTTP/1.1 400"));
    }
    {
        SCOPED_TRACE("slow sender, in the header and in the body");
        EXPECT_TRUE(exchange("POST /v1/chat").starts_with("HTTP/1.1 408"));
        EXPECT_TRUE(exchange(post("x").replace(post("x").size() - 1, 1, "")).starts_with("HTTP/1.1 408"));
    }
    EXPECT_TRUE(gate.requests.empty());
    EXPECT_EQ(client().Get("/healthz")->status, 200);
    gate.stopped = true;
    EXPECT_EQ(client().Get("/healthz")->status, 503);
}

// Guards against an answer that broke off and looks complete to its caller.
TEST_F(caller_api, a_broken_answer_never_looks_complete) {
    const answer_head start{{}, 200, {sse_type}};
    const answer_end broken{{}, result_code::endpoint_failed, executed::yes, {}};
    const answer_end fine{{}, result_code::ok, executed::yes, {}};
    {
        SCOPED_TRACE("refused before the head, with advice when to retry");
        gate.script = {answer_end{{}, result_code::team_queue_full, executed::no, 1'200ms}};
        const auto answer = chat(true);
        expect_error(answer, result_code::team_queue_full, executed::no);
        EXPECT_EQ(answer->get_header_value("Retry-After"), "2");
    }
    {
        SCOPED_TRACE("broken within the stream, also directly after the engine's end mark");
        for (const auto* rest : {"", "data: [DONE]\n\n"}) {
            gate.script = {start, answer_data{{}, std::string{sse} + rest}, broken};
            EXPECT_FALSE(chat(true)) << "the body must not be terminated";
            const auto raw = exchange(post(body(true)));
            EXPECT_NE(raw.find("event: error\ndata: {\"error\""), std::string::npos);
            EXPECT_EQ(raw.find("[DONE]"), std::string::npos);
            EXPECT_EQ(raw.find("\r\n0\r\n"), std::string::npos);
            expect_error(chat(false), result_code::endpoint_failed, executed::yes);
        }
    }
    {
        SCOPED_TRACE("ended well but without the end mark");
        gate.script = {start, answer_data{{}, sse}, fine};
        EXPECT_FALSE(chat(true));
        expect_error(chat(false), result_code::answer_incomplete, executed::yes);
    }
    {
        SCOPED_TRACE("plain answer");
        gate.script = {answer_head{{}, 200, {}}, answer_data{{}, "half"}, broken};
        EXPECT_FALSE(client().Get("/services/desk/x"));
        gate.script.back() = fine;
        EXPECT_EQ(client().Get("/services/desk/x")->body, "half");
    }
    {
        SCOPED_TRACE("complete, in pieces that split events");
        const std::string all = std::string{sse} + sse + "data: [DONE]\n\n";
        gate.script = {start};
        for (std::size_t at = 0; at < all.size(); at += 7) {
            gate.script.emplace_back(answer_data{{}, all.substr(at, 7)});
        }
        gate.script.emplace_back(fine);
        EXPECT_EQ(chat(true)->body, all);
        EXPECT_EQ(nlohmann::json::parse(chat(false)->body)["choices"][0]["message"]["content"], "HiHi");
    }
}

// Guards against work that goes on for callers who have left.
TEST_F(caller_api, a_caller_that_leaves_cancels_its_request) {
    boost::asio::io_context loop;
    const auto leave = [&] {
        boost::asio::ip::tcp::socket socket{loop};
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), front.port()});
        boost::asio::write(socket, boost::asio::buffer(post(body(true))));
        std::this_thread::sleep_for(50ms);
    };
    {
        SCOPED_TRACE("while its request waits");
        leave();
        EXPECT_TRUE(wait_cancelled(1));
    }
    {
        SCOPED_TRACE("while its answer streams");
        gate.script = {answer_head{{}, 200, {sse_type}}, answer_data{{}, sse}};
        leave();
        EXPECT_TRUE(wait_cancelled(2));
    }
}

// Guards against calls that are changed on the way, and against a second run of a call that may not be repeated.
TEST_F(caller_api, plain_calls_pass_whole_and_claimed_ones_settle_their_claim) {
    const answer_end fine{{}, result_code::ok, executed::yes, {}};
    gate.script = {answer_head{{}, 201, {{"X-A", "1"}, {"Content-Type", "text/x"}}}, answer_data{{}, "done"}, fine};
    {
        SCOPED_TRACE("form, multipart and compressed bodies are not interpreted");
        for (const auto* type : {"application/x-www-form-urlencoded", "multipart/form-data; boundary=q"}) {
            const std::string content(20'000, 'y');
            const auto answer = client().Put("/services/desk/a%20b?q=1", {{"Content-Encoding", "gzip"}}, content, type);
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->status, 201);
            EXPECT_EQ(answer->get_header_value("X-A"), "1");
            const auto& sent = gate.requests.back().request;
            EXPECT_EQ(sent.path, "/a%20b?q=1");
            EXPECT_EQ(sent.body, content);
            EXPECT_TRUE(gate.requests.back().idempotent);
            const auto has = [&](const header_field& it) { return std::ranges::count(sent.headers, it) == 1; };
            EXPECT_TRUE(has({"Content-Type", type}) && has({"Content-Encoding", "gzip"}));
            EXPECT_EQ(std::ranges::count(sent.headers, "Authorization", &header_field::name), 0);
        }
    }
    const auto order = [&](const char* path, const httplib::Headers& fields) {
        return client().Post(path, fields, "{}", "application/json");
    };
    {
        SCOPED_TRACE("a key is needed, however the path is written");
        for (const auto* path : {"/services/desk/orders", "/services/desk//orders/1", "/services/desk/%6frders"}) {
            expect_error(order(path, {}), result_code::idempotency_key_missing, executed::no);
        }
        EXPECT_EQ(guard.log, "");
    }
    {
        SCOPED_TRACE("finished, provably not run, unknown");
        EXPECT_EQ(order("/services/desk/orders", {{"Idempotency-Key", "k"}})->body, "done");
        EXPECT_FALSE(gate.requests.back().idempotent);
        EXPECT_EQ(std::exchange(guard.log, ""), "begin k;finish done;");
        gate.script = {answer_end{{}, result_code::queue_timeout, executed::no, {}}};
        expect_error(order("/services/desk/orders", {{"Idempotency-Key", "k"}}), result_code::queue_timeout,
                     executed::no);
        EXPECT_EQ(std::exchange(guard.log, ""), "begin k;release;");
        gate.script = {answer_head{{}, 201, {}}, answer_data{{}, "do"},
                       answer_end{{}, result_code::outcome_unknown, executed::unknown, {}}};
        expect_error(order("/services/desk/orders", {{"Idempotency-Key", "k"}}), result_code::outcome_unknown,
                     executed::unknown);
        EXPECT_EQ(guard.log, "begin k;abandon;");
    }
}

// Guards against an order that waits for the store at a router which admits no work, and is then refused for the store.
TEST_F(caller_api, an_isolated_router_refuses_orders_before_their_claim) {
    const auto order = [&] {
        return client().Post("/services/desk/orders", {{"Idempotency-Key", "k"}}, "{}", "application/json");
    };
    gate.script = {answer_head{{}, 201, {}}, answer_data{{}, "done"},
                   answer_end{{}, result_code::ok, executed::yes, {}}};
    gate.admits = false;
    const auto refused = order();
    ASSERT_TRUE(refused);
    expect_error(refused, result_code::configuration_stale, executed::no);
    EXPECT_EQ(refused->get_header_value("Retry-After"), "1");
    EXPECT_EQ(metrics.get("refused_total", "configuration_stale"), 1);
    EXPECT_EQ(guard.log, "");
    EXPECT_TRUE(gate.requests.empty());
    gate.admits = true;
    EXPECT_EQ(order()->body, "done");
    EXPECT_EQ(guard.log, "begin k;finish done;");
}

} // namespace
} // namespace dandelionbay
