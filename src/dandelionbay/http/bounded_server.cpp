#include "dandelionbay/http/bounded_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/http/error_body.hpp"

namespace dandelionbay {

namespace {

// The library listens with a backlog of 5; a second listen() on Linux raises it.
constexpr int listen_backlog = 4'096;

// The library matches paths with std::regex, whose stack grows with the length of the text.
constexpr std::size_t max_path_bytes = 2'048;

constexpr auto* json_type = "application/json";

thread_local bool refusing = false;
thread_local hidden_fields hidden_now{};

std::string take_field(httplib::Request& request, const char* name) {
    auto value = request.get_header_value(name);
    request.headers.erase(name);
    return value;
}

// Each of these fields would make the library change the body or its coding: multipart bodies are split and removed,
// form bodies are cut at 8 KiB, compressed ones are unpacked without a bound, and answers are packed or cut to ranges.
void hide_fields(httplib::Request& request) {
    hidden_now.content_type = take_field(request, "Content-Type");
    hidden_now.content_encoding = take_field(request, "Content-Encoding");
    hidden_now.accept = request.get_header_value("Accept");
    request.headers.erase("Accept-Encoding");
    request.ranges.clear();
}

} // namespace

/*! @brief Fixed number of threads with a bounded queue. */
class bounded_server::connection_queue final : public httplib::TaskQueue {
    using task = std::function<void()>;

    void work() {
        for (;;) {
            task next;
            {
                std::unique_lock lock{mutex_};
                changed_.wait(lock, [this] { return ended_ || !tasks_.empty(); });
                if (tasks_.empty()) {
                    return;
                }
                next = std::move(tasks_.front());
                tasks_.pop_front();
                *waiting_ = tasks_.size();
            }
            next();
        }
    }

public:
    connection_queue(std::size_t threads, std::atomic<std::size_t>& waiting) : bound_{threads}, waiting_{&waiting} {
        for (std::size_t n = 0; n < threads; ++n) {
            threads_.emplace_back([this] { work(); });
        }
    }

    void enqueue(task next) override {
        {
            const std::lock_guard lock{mutex_};
            if (tasks_.size() < bound_) {
                tasks_.push_back(std::move(next));
                *waiting_ = tasks_.size();
                changed_.notify_one();
                return;
            }
        }
        refusing = true;
        next();
        refusing = false;
    }

    void shutdown() override {
        {
            const std::lock_guard lock{mutex_};
            ended_ = true;
        }
        changed_.notify_all();
        for (auto& it : threads_) {
            it.join();
        }
    }

private:
    std::size_t bound_;
    std::atomic<std::size_t>* waiting_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<task> tasks_;
    std::vector<std::thread> threads_;
    bool ended_{false};
};

bool bounded_server::process_and_close_socket(socket_t sock) {
    internal::caller_stream stream{sock, limits_, *clock_};
    if (refusing) {
        counters_->add("connections_refused_total", "queue_full");
        answer_fault(stream, result_code::router_queue_full);
        ::close(sock);
        return false;
    }
    serve(stream);
    stream.close();
    return true;
}

void bounded_server::serve(internal::caller_stream& stream) {
    bool served = false;
    // An idle connection gives its thread up when others wait for one.
    const auto stop = [&] { return closing_ || (served && waiting_ > 0); };
    while (stream.wait_request(stop)) {
        ++active_;
        stream.begin_request();
        bool closed = false;
        const auto setup = [&](httplib::Request& request) {
            stream.header_read();
            hide_fields(request);
        };
        const bool ok = process_request(stream, closing_, closed, setup);
        if (stream.fault() == internal::receive_fault::too_slow && !stream.answered()) {
            answer_fault(stream, result_code::sender_too_slow);
        } else if (stream.fault() == internal::receive_fault::too_large && !stream.answered()) {
            answer_fault(stream, result_code::request_too_large);
        }
        --active_;
        served = true;
        if (!ok || closed || closing_ || stream.fault() != internal::receive_fault::none) {
            return;
        }
    }
}

void bounded_server::answer_fault(internal::caller_stream& stream, result_code code) {
    const auto& info = describe(code);
    counters_->add("refused_total", info.name);
    const auto body = error_body(code, executed::no);
    const auto retry = info.http_status == 503 ? "Retry-After: 1\r\n" : "";
    const auto text = absl::StrCat("HTTP/1.1 ", info.http_status, " ", to_absl(info.name),
                                   "\r\nConnection: close\r\nContent-Type: ", json_type, "\r\n", retry,
                                   "Content-Length: ", body.size(), "\r\n\r\n", body);
    stream.write(text.data(), text.size());
}

bool bounded_server::check_target(const httplib::Request& request, httplib::Response& response) {
    const bool no_body = request.method == "GET" || request.method == "HEAD" || request.method == "OPTIONS";
    const auto length = request.get_header_value("Content-Length");
    if (no_body && ((!length.empty() && length != "0") || request.has_header("Transfer-Encoding"))) {
        // The library leaves this body unread and would take it for the next request.
        internal::caller_stream::current()->end_connection();
        response.status = 400;
        return false;
    }
    if (request.path.size() > max_path_bytes) {
        response.status = 414;
        return false;
    }
    return true;
}

void bounded_server::complete_error(httplib::Response& response) {
    if (!response.body.empty() || response.content_provider_) {
        return;
    }
    const auto* const stream = internal::caller_stream::current();
    auto code = result_code::malformed_request;
    if (stream != nullptr && stream->fault() == internal::receive_fault::too_slow) {
        code = result_code::sender_too_slow;
    } else if (response.status == 413 || response.status == 414 ||
               (stream != nullptr && stream->fault() == internal::receive_fault::too_large)) {
        code = result_code::request_too_large;
    } else if (response.status == 404) {
        code = result_code::object_not_found;
    } else if (response.status >= 500) {
        code = result_code::internal_error;
    }
    counters_->add("refused_total", describe(code).name);
    response.status = describe(code).http_status;
    response.set_content(error_body(code, executed::no), json_type);
    if (stream != nullptr && stream->fault() != internal::receive_fault::none) {
        response.set_header("Connection", "close");
    }
}

bounded_server::bounded_server(std::uint32_t threads, internal::connection_limits limits, const clock& time,
                               counters& metrics)
    : limits_{limits}, clock_{&time}, counters_{&metrics} {
    new_task_queue = [this, threads] { return new connection_queue{threads, waiting_}; };
    // The default sets SO_REUSEPORT, with which a second process shares a port without an error.
    set_socket_options([](socket_t sock) {
        const int on = 1;
        ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_tcp_nodelay(true);
    set_payload_max_length(limits_.max_body_bytes);
    set_error_handler(
        [this](const httplib::Request& /*request*/, httplib::Response& response) { complete_error(response); });
    set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
        return check_target(request, response) ? HandlerResponse::Unhandled : HandlerResponse::Handled;
    });
    set_exception_handler([](const httplib::Request& /*request*/, httplib::Response& response,
                             const std::exception_ptr& /*error*/) { response.status = 500; });
}

bounded_server::~bounded_server() {
    finish();
}

absl::Status bounded_server::start(const socket_address& address) {
    const auto failed = [&] {
        return absl::UnavailableError(absl::StrCat("can't listen on ", address.ip, " port ", address.port));
    };
    if (address.port == 0) {
        const auto port = bind_to_any_port(address.ip);
        if (port <= 0) {
            return failed();
        }
        port_ = static_cast<std::uint16_t>(port);
    } else if (!bind_to_port(address.ip, address.port)) {
        return failed();
    } else {
        port_ = address.port;
    }
    if (::listen(svr_sock_, listen_backlog) != 0) {
        return failed();
    }
    thread_ = std::thread{[this] { listen_after_bind(); }};
    while (!is_running()) {
        std::this_thread::yield();
    }
    return absl::OkStatus();
}

void bounded_server::finish() noexcept {
    closing_ = true;
    if (thread_.joinable()) {
        // Server::stop() would also cut the answers in progress; without the listening socket the accept loop ends.
        ::shutdown(svr_sock_, SHUT_RDWR);
        thread_.join();
    }
}

const hidden_fields& bounded_server::hidden() noexcept {
    return hidden_now;
}

} // namespace dandelionbay
