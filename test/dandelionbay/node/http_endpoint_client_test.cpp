#include "dandelionbay/node/http_endpoint_client.hpp"

#include <atomic>
#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>

#include "dandelionbay/net/cut_answers.hpp"
#include "dandelionbay/platform/raw_server.hpp"

namespace dandelionbay {
namespace {

class end_recorder final : public run_events {
public:
    void run_head(const request_id& /*id*/, std::int32_t /*status*/, std::vector<header_field> /*headers*/) override {}
    void run_data(const request_id& /*id*/, std::string /*data*/, std::uint32_t /*tokens*/) override {}
    void run_broke(const request_id& /*id*/) override {}
    void run_ended(const request_id& /*id*/, run_end end, std::uint32_t /*input_tokens*/) override {
        ended.set_value(end);
    }

    std::promise<run_end> ended;
};

/*! @brief Endpoint that breaks its answers; its next state request after that gets no load report. */
class breaking_endpoint {
public:
    breaking_endpoint() {
        server_.Post("/run", [this](const httplib::Request& /*request*/, httplib::Response& response) {
            response.set_chunked_content_provider("text/plain",
                                                  [this](std::size_t /*offset*/, httplib::DataSink& sink) {
                                                      sink.write("a", 1);
                                                      broken_ = true;
                                                      return false;
                                                  });
        });
        server_.Get("/state", [this](const httplib::Request& /*request*/, httplib::Response& response) {
            const bool known = !broken_ || reports_after_++ > 0;
            response.set_content(known ? R"({"process": ")" + (broken_ ? next_process : "1") + "\"}" : "no report",
                                 "application/json");
        });
        port = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
        serving_ = std::thread{[this] { server_.listen_after_bind(); }};
    }
    breaking_endpoint(const breaking_endpoint&) = delete;
    breaking_endpoint(breaking_endpoint&&) = delete;
    breaking_endpoint& operator=(const breaking_endpoint&) = delete;
    breaking_endpoint& operator=(breaking_endpoint&&) = delete;
    ~breaking_endpoint() {
        server_.stop();
        serving_.join();
    }

    std::uint16_t port{};
    std::string next_process{"1"};

private:
    httplib::Server server_;
    std::thread serving_;
    std::atomic<bool> broken_{false};
    std::atomic<int> reports_after_{0};
};

// Guards against a crash that is taken for a broken connection, because the first state request after it met the
// process while it ended and got no load report; its running requests would not become suspects.
TEST(http_endpoint_client, a_crash_is_noticed_although_the_first_report_after_it_is_missing) {
    for (const bool crashes : {true, false}) {
        SCOPED_TRACE(crashes);
        breaking_endpoint endpoint;
        endpoint.next_process = crashes ? "2" : "1";
        const monotonic_clock time;
        counters metrics;
        end_recorder events;
        http_endpoint_client client{{"127.0.0.1", endpoint.port}, time, metrics};
        ASSERT_EQ(client.state()->process, "1");
        client.start_run({.id = {host_id{"r"}, 1, 1}, .timeout_ms = 10'000, .request = {"POST", "/run", {}, "{}"}},
                         events);
        EXPECT_EQ(events.ended.get_future().get(), crashes ? run_end::crashed : run_end::connection_lost);
        client.stop();
    }
}

// Guards against a silent endpoint that is taken for one whose connection ended, and the other way round: only the end
// is a sign that the process is lost.
TEST(http_endpoint_client, a_silent_endpoint_is_told_from_one_that_ends_the_connection) {
    enum class kind { silent, closes, resets, cut, malformed };
    std::atomic<kind> now{kind::silent};
    std::promise<void> release;
    const auto released = release.get_future().share();
    platform::raw_server endpoint{[&](const http_request& /*request*/, platform::raw_server::connection& to) {
        switch (now.load()) {
        case kind::silent:
            released.wait();
            return;
        case kind::closes:
            return to.close();
        case kind::resets:
            return to.reset();
        case kind::cut:
            to.write("HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n{");
            return to.close();
        case kind::malformed:
            to.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
            return;
        }
    }};
    const monotonic_clock time;
    counters metrics;
    http_endpoint_client client{endpoint.address(), time, metrics};
    EXPECT_TRUE(absl::IsDeadlineExceeded(client.state().status()));
    release.set_value();
    for (const auto it : {kind::closes, kind::resets, kind::cut, kind::malformed}) {
        now = it;
        const auto status = client.state().status();
        EXPECT_FALSE(status.ok() || absl::IsDeadlineExceeded(status) || absl::IsUnavailable(status)) << status;
    }
    client.stop();
}

// Guards against runs whose answer was cut, in its head or between the parts of a chunk, and that count as complete.
TEST(http_endpoint_client, a_run_whose_answer_is_cut_is_never_complete) {
    const std::string fields = "Content-Type: text/plain\r\n";
    const auto whole = whole_answers(fields, false);
    const auto cut = cut_answers(fields);
    for (const bool reset : {false, true}) {
        SCOPED_TRACE(reset ? "ended by a reset" : "closed in order");
        platform::raw_server endpoint{[&](const http_request& request, platform::raw_server::connection& to) {
            if (request.target == "/state") {
                to.write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            const auto n = std::stoul(request.target.substr(1));
            to.write(n < whole.size() ? whole[n] : cut[n - whole.size()]);
            reset&& n >= whole.size() ? to.reset() : to.close();
        }};
        const monotonic_clock time;
        counters metrics;
        std::vector<end_recorder> events(whole.size() + cut.size());
        http_endpoint_client client{endpoint.address(), time, metrics, std::chrono::milliseconds{0}};
        const auto end_of = [&](std::size_t n) {
            client.start_run(
                {.id = {host_id{"r"}, 1, n}, .timeout_ms = 10'000, .request = {"GET", concat("/", n), {}, {}}},
                events[n]);
            return events[n].ended.get_future();
        };
        constexpr std::size_t at_once = 16;
        for (std::size_t from = 0; from < events.size(); from += at_once) {
            const auto to = std::min(from + at_once, events.size());
            std::vector<std::future<run_end>> ends;
            for (std::size_t n = from; n < to; ++n) {
                ends.push_back(end_of(n));
            }
            for (std::size_t n = from; n < to; ++n) {
                const auto end = ends[n - from].get();
                if (n < whole.size()) {
                    EXPECT_EQ(end, run_end::complete) << whole[n];
                } else {
                    EXPECT_NE(end, run_end::complete) << cut[n - whole.size()];
                }
            }
        }
        client.stop();
    }
}

} // namespace
} // namespace dandelionbay
