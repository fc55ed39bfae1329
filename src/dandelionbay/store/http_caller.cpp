#include "dandelionbay/store/http_caller.hpp"

#include <httplib.h>

#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "dandelionbay/http/framed_client.hpp"

namespace dandelionbay::internal {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t largest_body = 16U << 20U;
constexpr std::size_t most_kept = 16;

// Shorter than the usual keep-alive time of servers, so that a kept connection is seldom closed under a call.
constexpr auto longest_idle = std::chrono::seconds{4};

bool succeeded(int status) noexcept {
    return status >= 200 && status < 300;
}

} // namespace

http_caller::http_caller(socket_address server, std::chrono::milliseconds time_limit)
    : server_{std::move(server)}, time_limit_{time_limit} {}

http_caller::~http_caller() = default;

std::unique_ptr<framed_client> http_caller::take() {
    {
        const std::lock_guard lock{mutex_};
        while (!kept_.empty()) {
            auto newest = std::move(kept_.back());
            kept_.pop_back();
            if (steady_clock::now() - newest.since < longest_idle) {
                return std::move(newest.client);
            }
        }
    }
    auto client = std::make_unique<framed_client>(server_.ip, server_.port);
    // The limits of the phases add up to the time limit.
    client->set_connection_timeout(time_limit_ / 4);
    client->set_write_timeout(time_limit_ / 4);
    client->set_read_timeout(time_limit_ / 2);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    return client;
}

void http_caller::keep(std::unique_ptr<framed_client> client) {
    const std::lock_guard lock{mutex_};
    if (kept_.size() < most_kept) {
        kept_.push_back({std::move(client), steady_clock::now()});
    }
}

void http_caller::forget_all() {
    const std::lock_guard lock{mutex_};
    kept_.clear();
}

absl::StatusOr<http_answer> http_caller::call(httplib::Request& request) {
    const auto began = steady_clock::now();
    http_answer answer;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t /*offset*/,
                                   std::uint64_t /*total*/) {
        answer.body.append(data, size);
        return answer.body.size() <= largest_body && steady_clock::now() - began < time_limit_;
    };
    // Such an answer has no body, but may tell the length of what it stands for (RFC 9110, 8.6). The library would wait
    // for a body unless the length is zero.
    bool without_body = false;
    request.response_handler = [&](const httplib::Response& head) {
        answer.status = head.status;
        answer.etag = head.get_header_value("ETag");
        without_body = head.status == not_modified && head.get_header_value("Content-Length") != "0";
        return !without_body;
    };
    auto client = take();
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!client->send(request, response, error)) {
        if (without_body) {
            return answer; // The library has closed the connection.
        }
        forget_all();
        const auto text = absl::StrCat("no answer from ", server_.ip, ":", server_.port, ": ", to_string(error));
        return steady_clock::now() - began < time_limit_ / 4 ? absl::UnavailableError(text)
                                                             : absl::DeadlineExceededError(text);
    }
    keep(std::move(client));
    answer.status = response.status;
    answer.etag = response.get_header_value("ETag");
    return answer;
}

absl::StatusOr<http_answer> http_caller::get(const std::string& path, const std::string& known) {
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    if (!known.empty()) {
        request.set_header("If-None-Match", known);
    }
    auto answer = call(request);
    const bool unchanged = answer.ok() && !known.empty() && answer->status == not_modified;
    if (answer.ok() && !unchanged && !succeeded(answer->status)) {
        return error_of(*answer);
    }
    return answer;
}

absl::Status error_of(const http_answer& answer) {
    const auto text = absl::StrCat("HTTP status ", answer.status);
    switch (answer.status) {
    case 404:
        return absl::NotFoundError(text);
    case 412:
        return absl::AbortedError(text);
    case 429:
        return absl::UnavailableError("the platform's rate limit is exceeded");
    default:
        return answer.status >= 500 ? absl::UnavailableError(text) : absl::InvalidArgumentError(text);
    }
}

} // namespace dandelionbay::internal
