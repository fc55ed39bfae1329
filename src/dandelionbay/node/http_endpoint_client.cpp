#include "dandelionbay/node/http_endpoint_client.hpp"

#include <httplib.h>

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "absl/strings/ascii.h"
#include "dandelionbay/http/event_stream.hpp"
#include "dandelionbay/http/framed_client.hpp"

namespace dandelionbay {

namespace {

using namespace std::chrono_literals;

// The endpoint is on the same host.
constexpr auto connect_time = 1s;
constexpr auto state_time = 1s;
constexpr auto crash_check_interval = 100ms;

std::string_view name_of(run_end end) noexcept {
    switch (end) {
    case run_end::complete:
        return "complete";
    case run_end::not_started:
        return "not_started";
    case run_end::refused:
        return "refused";
    case run_end::connection_lost:
        return "broken";
    case run_end::crashed:
        return "crashed";
    case run_end::cancelled:
        return "cancelled";
    case run_end::timed_out:
        break;
    }
    return "timed_out";
}

bool has_field(const httplib::Response& response, const char* name, std::string_view value) {
    return absl::AsciiStrToLower(response.get_header_value(name)).find(value) != std::string::npos;
}

// Without a length and without chunks the end of the body can't be told from a connection that broke.
bool is_delimited(const httplib::Request& request, const httplib::Response& response) {
    return request.method == "HEAD" || response.status == 204 || response.status == 304 ||
           response.has_header("Content-Length") || has_field(response, "Transfer-Encoding", "chunked");
}

} // namespace

/*! @brief One call to the endpoint. */
class http_endpoint_client::run {
public:
    run(const submit& it, const clock& time, std::string before)
        : work{it}, deadline{time.now() + std::chrono::milliseconds{it.timeout_ms}}, process{std::move(before)} {}

    void end(run_end why) {
        const std::lock_guard lock{mutex};
        if (!forced.has_value()) {
            forced = why;
            if (client != nullptr) {
                client->stop();
            }
        }
    }

    [[nodiscard]] bool is_forced() {
        const std::lock_guard lock{mutex};
        return forced.has_value();
    }

    const submit work;
    const time_point deadline;
    const std::string process; //!< Identity of the endpoint before the run.
    std::mutex mutex;
    framed_client* client{}; //!< Set while the call is in progress.
    std::optional<run_end> forced;
    std::thread thread;

    // Used by the run's thread only.
    event_splitter splitter;
    token_count tokens;
    bool is_stream{};
    bool stream_ended{};
    bool refused{};
    bool delimited{};
};

void http_endpoint_client::perform(run& it, run_events& events) {
    framed_client client{endpoint_.ip, endpoint_.port};
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
    client.set_follow_location(false);
    client.set_url_encode(false);
    client.set_decompress(false);
    client.set_connection_timeout(connect_time);
    client.set_read_timeout(std::chrono::milliseconds{it.work.timeout_ms});
    client.set_write_timeout(std::chrono::milliseconds{it.work.timeout_ms});

    httplib::Request request;
    request.method = it.work.request.method;
    request.path = it.work.request.path;
    request.body = it.work.request.body;
    for (const auto& field : it.work.request.headers) {
        request.headers.emplace(field.name, field.value);
    }
    const auto& id = it.work.id;
    request.response_handler = [&](const httplib::Response& response) {
        if (it.work.model_call && (response.status == 429 || response.status == 503)) {
            it.refused = true;
            return false;
        }
        it.is_stream = it.work.model_call && has_field(response, "Content-Type", "text/event-stream");
        it.delimited = is_delimited(request, response);
        std::vector<header_field> headers;
        for (const auto& [name, value] : response.headers) {
            headers.push_back({name, value});
        }
        events.run_head(id, response.status, std::move(headers));
        return !it.is_forced();
    };
    request.content_receiver = [&](const char* data, std::size_t n, std::uint64_t /*offset*/, std::uint64_t /*total*/) {
        std::uint32_t tokens = 0;
        if (it.is_stream) {
            it.splitter.feed({data, n}, [&](std::string_view event) {
                const auto text = event_data(event);
                tokens += it.tokens.add(text);
                it.stream_ended = it.stream_ended || text == end_of_stream;
            });
        }
        events.run_data(id, std::string{data, n}, tokens);
        return !it.is_forced();
    };
    {
        const std::lock_guard lock{it.mutex};
        it.client = &client;
    }
    auto end = it.is_forced() ? run_end::cancelled : run_end::connection_lost;
    if (end == run_end::connection_lost) {
        const auto result = client.send(request);
        if (it.refused) {
            end = run_end::refused;
        } else if (result && it.delimited && (!it.is_stream || it.stream_ended)) {
            end = run_end::complete;
        } else if (result.error() == httplib::Error::Connection ||
                   result.error() == httplib::Error::ConnectionTimeout) {
            end = run_end::not_started;
        }
    }
    {
        const std::lock_guard lock{it.mutex};
        it.client = nullptr;
        if (it.forced.has_value() && end != run_end::complete) {
            end = *it.forced;
        }
    }
    if (end == run_end::connection_lost) {
        events.run_broke(id);
        end = crashed_since(it.process) ? run_end::crashed : end;
    }
    counters_->add("endpoint_runs_total", name_of(end));
    events.run_ended(id, end, it.tokens.input());
}

bool http_endpoint_client::crashed_since(const std::string& process) {
    const auto until = std::chrono::steady_clock::now() + crash_watch_;
    do {
        const auto now = state();
        if (absl::IsUnavailable(now.status())) {
            return true;
        }
        // A process that ends may accept a connection and leave the request without an answer; the next report tells.
        if (now.ok() && !process.empty() && now->process != process) {
            return true;
        }
        std::this_thread::sleep_for(crash_check_interval);
    } while (std::chrono::steady_clock::now() < until);
    return false;
}

void http_endpoint_client::reap() {
    std::vector<std::shared_ptr<run>> done;
    {
        const std::lock_guard lock{mutex_};
        done.swap(finished_);
    }
    for (const auto& it : done) {
        it->thread.join();
    }
}

http_endpoint_client::http_endpoint_client(socket_address endpoint, const clock& time, counters& metrics,
                                           std::chrono::milliseconds crash_watch)
    : endpoint_{std::move(endpoint)}, clock_{&time}, counters_{&metrics}, crash_watch_{crash_watch} {}

http_endpoint_client::~http_endpoint_client() {
    stop();
}

void http_endpoint_client::start_run(const submit& work, run_events& events) {
    reap();
    const std::lock_guard lock{mutex_};
    auto it = std::make_shared<run>(work, *clock_, process_);
    if (stopping_ || !runs_.emplace(work.id, it).second) {
        events.run_ended(work.id, run_end::not_started, 0);
        return;
    }
    it->thread = std::thread{[this, it, &events] {
        perform(*it, events);
        const std::lock_guard end_lock{mutex_};
        runs_.erase(it->work.id);
        finished_.push_back(it);
        ended_.notify_all();
    }};
}

void http_endpoint_client::cancel_run(const request_id& id) {
    std::shared_ptr<run> found;
    {
        const std::lock_guard lock{mutex_};
        const auto it = runs_.find(id);
        found = it != runs_.end() ? it->second : nullptr;
    }
    if (found != nullptr) {
        found->end(run_end::cancelled);
    }
}

absl::StatusOr<load_report> http_endpoint_client::state() {
    framed_client client{endpoint_.ip, endpoint_.port};
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_time);
    client.set_read_timeout(state_time);
    const auto asked = std::chrono::steady_clock::now();
    const auto answer = client.Get("/state");
    if (!answer) {
        if (answer.error() == httplib::Error::Connection) {
            return absl::UnavailableError("the endpoint can't be reached");
        }
        // The library reports a connection that ended like one that was silent for the time limit.
        const bool ended = answer.error() != httplib::Error::ConnectionTimeout &&
                           std::chrono::steady_clock::now() - asked < state_time;
        return ended ? absl::AbortedError("the connection ended without a load report")
                     : absl::DeadlineExceededError("no load report in time");
    }
    if (answer->status == 404) {
        return load_report{}; // An endpoint without load reports counts as warm.
    }
    const auto document = nlohmann::json::parse(answer->body, nullptr, false);
    if (answer->status != 200 || !document.is_object()) {
        return absl::DataLossError("malformed load report");
    }
    load_report report;
    try {
        report.process = document.value("process", "");
        report.cold = document.value("cold", false);
        report.running = document.value("running", 0U);
    } catch (const nlohmann::json::exception&) {
        return absl::DataLossError("malformed load report");
    }
    const std::lock_guard lock{mutex_};
    process_ = report.process;
    return report;
}

void http_endpoint_client::expire(time_point now) {
    std::vector<std::shared_ptr<run>> overdue;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [id, it] : runs_) {
            if (now >= it->deadline) {
                overdue.push_back(it);
            }
        }
    }
    for (const auto& it : overdue) {
        it->end(run_end::timed_out);
    }
}

void http_endpoint_client::stop() noexcept {
    std::vector<std::shared_ptr<run>> open;
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        for (const auto& [id, it] : runs_) {
            open.push_back(it);
        }
    }
    for (const auto& it : open) {
        it->end(run_end::cancelled);
    }
    {
        std::unique_lock lock{mutex_};
        ended_.wait(lock, [this] { return runs_.empty(); });
    }
    reap();
}

} // namespace dandelionbay
