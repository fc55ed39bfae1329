#include "dandelionbay/standin/http_host.hpp"

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

constexpr int listen_backlog = 4'096;
constexpr int io_timeout_ms = 5'000;
constexpr auto idle_limit = std::chrono::seconds{60};

// Interval at which an idle connection notices the stop of the server.
constexpr int idle_check_ms = 50;

bool wait_for(int fd, std::int16_t events, int timeout_ms) noexcept {
    pollfd entry{fd, events, 0};
    return ::poll(&entry, 1, timeout_ms) > 0;
}

void address_of(int fd, bool remote, std::string& ip, int& port) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface takes sockaddr.
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if ((remote ? ::getpeername(fd, generic, &size) : ::getsockname(fd, generic, &size)) != 0) {
        return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    if (::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) != nullptr) {
        ip = text.data();
        port = ntohs(address.sin_port);
    }
}

// Buffered stream over a socket. The library's own stream class is not public.
class socket_stream final : public httplib::Stream {
public:
    explicit socket_stream(int fd) : fd_{fd} {}

    [[nodiscard]] bool has_buffered() const noexcept { return begin_ < end_; }

    bool is_readable() const override { return has_buffered() || wait_for(fd_, POLLIN, io_timeout_ms); }

    bool is_writable() const override { return wait_for(fd_, POLLOUT, io_timeout_ms); }

    ssize_t read(char* to, std::size_t size) override {
        if (!has_buffered()) {
            if (!is_readable()) {
                return -1;
            }
            const auto n = ::recv(fd_, buf_.data(), buf_.size(), 0);
            if (n <= 0) {
                return n;
            }
            begin_ = 0;
            end_ = static_cast<std::size_t>(n);
        }
        const auto n = std::min(size, end_ - begin_);
        std::copy_n(buf_.begin() + static_cast<std::ptrdiff_t>(begin_), n, to);
        begin_ += n;
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char* from, std::size_t size) override {
        return is_writable() ? ::send(fd_, from, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override { address_of(fd_, true, ip, port); }

    void get_local_ip_and_port(std::string& ip, int& port) const override { address_of(fd_, false, ip, port); }

    socket_t socket() const override { return fd_; }

private:
    int fd_;
    std::array<char, 4'096> buf_{};
    std::size_t begin_{0};
    std::size_t end_{0};
};

// Starts a thread for each connection that finds no idle one.
class growing_pool final : public httplib::TaskQueue {
    void work() {
        std::unique_lock lock{mutex_};
        for (;;) {
            ++idle_;
            changed_.wait(lock, [this] { return !jobs_.empty() || stopped_; });
            --idle_;
            if (jobs_.empty()) {
                return;
            }
            const auto job = std::move(jobs_.front());
            jobs_.pop_front();
            lock.unlock();
            job();
            lock.lock();
        }
    }

public:
    void enqueue(std::function<void()> job) override {
        const std::lock_guard lock{mutex_};
        jobs_.push_back(std::move(job));
        if (idle_ < jobs_.size()) {
            threads_.emplace_back([this] { work(); });
        }
        changed_.notify_one();
    }

    void shutdown() override {
        {
            const std::lock_guard lock{mutex_};
            stopped_ = true;
        }
        changed_.notify_all();
        for (auto& it : threads_) {
            it.join();
        }
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
    std::vector<std::thread> threads_;
    std::size_t idle_{0};
    bool stopped_{false};
};

// Socket of the connection that the calling thread serves.
thread_local int current_socket = -1;

} // namespace

class http_host::tracking_server final : public httplib::Server {
    bool process_and_close_socket(socket_t fd) override {
        {
            const std::lock_guard lock{mutex_};
            open_.insert(fd);
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        current_socket = fd;
        serve(fd);
        current_socket = -1;
        const std::lock_guard lock{mutex_};
        open_.erase(fd);
        ::shutdown(fd, SHUT_RDWR);
        ::close(fd);
        return true;
    }

    void serve(int fd) {
        socket_stream stream{fd};
        auto idle_since = std::chrono::steady_clock::now();
        while (svr_sock_ != INVALID_SOCKET && std::chrono::steady_clock::now() - idle_since < idle_limit) {
            if (!stream.has_buffered() && !wait_for(fd, POLLIN, idle_check_ms)) {
                continue;
            }
            bool closed = false;
            // Without Accept-Encoding the library does not spend time on compression.
            const auto plain = [](httplib::Request& request) { request.headers.erase("Accept-Encoding"); };
            if (!process_request(stream, false, closed, plain) || closed) {
                return;
            }
            idle_since = std::chrono::steady_clock::now();
        }
    }

public:
    void drop_all() noexcept {
        const std::lock_guard lock{mutex_};
        for (const auto fd : open_) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    int listening_socket{-1};
    std::thread acceptor;
    std::atomic<std::uint16_t> port{0};

private:
    std::mutex mutex_;
    std::set<int> open_;
};

http_host::http_host() : server_{std::make_unique<tracking_server>()} {
    server_->new_task_queue = [] { return new growing_pool; };
    // The library's default also sets SO_REUSEPORT, with which two processes could share a port unnoticed.
    server_->set_socket_options([this](int fd) {
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        server_->listening_socket = fd;
    });
}

http_host::~http_host() {
    stop();
}

httplib::Server& http_host::routes() noexcept {
    return *server_;
}

absl::Status http_host::start(const socket_address& address) {
    int port = address.port;
    if (port == 0) {
        port = server_->bind_to_any_port(address.ip);
    } else if (!server_->bind_to_port(address.ip, port)) {
        port = -1;
    }
    if (port <= 0) {
        return absl::UnavailableError(absl::StrCat("can't listen on ", address.ip, ":", address.port));
    }
    // The library listens with a backlog of 5, which refuses bursts of connections.
    ::listen(server_->listening_socket, listen_backlog);
    server_->port = static_cast<std::uint16_t>(port);
    server_->acceptor = std::thread{[this] { server_->listen_after_bind(); }};
    while (!server_->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    return absl::OkStatus();
}

void http_host::stop() noexcept {
    if (!server_->acceptor.joinable()) {
        return;
    }
    server_->stop();
    server_->drop_all();
    server_->acceptor.join();
}

std::uint16_t http_host::port() const noexcept {
    return server_->port;
}

void http_host::drop_connections() noexcept {
    server_->drop_all();
}

void http_host::drop_current() noexcept {
    if (current_socket >= 0) {
        ::shutdown(current_socket, SHUT_RDWR);
    }
}

bool http_host::current_closed() noexcept {
    pollfd entry{current_socket, POLLRDHUP, 0};
    return current_socket < 0 || ::poll(&entry, 1, 0) > 0;
}

} // namespace dandelionbay
