#include "dandelionbay/node/http_endpoint_client.hpp"

#include <atomic>
#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>

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
        EXPECT_EQ(events.ended.get_future().get(), crashes ? run_end::crashed : run_end::broken);
        client.stop();
    }
}

} // namespace
} // namespace dandelionbay
