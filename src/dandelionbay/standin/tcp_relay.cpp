#include "dandelionbay/standin/tcp_relay.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <vector>

namespace dandelionbay {

namespace {

constexpr int poll_ms = 10;
constexpr std::size_t head_bytes = 512;

[[nodiscard]] sockaddr_in address_of(const std::string& address, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

[[nodiscard]] const sockaddr* as_sockaddr(const sockaddr_in& address) noexcept {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface takes sockaddr.
    return reinterpret_cast<const sockaddr*>(&address);
}

void set_options(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
}

/*! Reads what is there into an empty buffer. False at the end of the stream. */
[[nodiscard]] bool fill(int fd, std::string& buffer) {
    if (!buffer.empty()) {
        return true;
    }
    std::array<char, 65'536> bytes{};
    const auto n = ::recv(fd, bytes.data(), bytes.size(), 0);
    if (n > 0) {
        buffer.assign(bytes.data(), static_cast<std::size_t>(n));
    }
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

/*! Writes what the receiver takes. False if the connection is broken. */
[[nodiscard]] bool drain(int fd, std::string& buffer) {
    if (buffer.empty()) {
        return true;
    }
    const auto n = ::send(fd, buffer.data(), buffer.size(), MSG_NOSIGNAL);
    if (n > 0) {
        buffer.erase(0, static_cast<std::size_t>(n));
    }
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

} // namespace

relay_mode tcp_relay::mode_of(const connection& it) {
    const std::lock_guard lock{mutex_};
    for (const auto& [dialler, mode] : modes_) {
        if (mode != relay_mode::pass && it.head.find(dialler) != std::string::npos) {
            return mode;
        }
    }
    return relay_mode::pass;
}

void tcp_relay::accept() {
    const int dialler = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (dialler < 0) {
        return;
    }
    const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = address_of(address_, target_);
    if (::connect(target, as_sockaddr(to), sizeof(to)) != 0) {
        ::close(target);
        ::close(dialler);
        return;
    }
    set_options(dialler);
    set_options(target);
    connections_.push_back({.dialler = dialler, .target = target});
}

void tcp_relay::pump(connection& it) {
    const auto ends = [&](bool open) { it.ended = it.ended || !open; };
    if (mode_of(it) == relay_mode::pass) {
        ends(fill(it.dialler, it.to_target));
        if (it.head.size() < head_bytes) {
            it.head += it.to_target.substr(0, head_bytes - it.head.size());
        }
    }
    const auto mode = mode_of(it);
    ends(mode != relay_mode::cut);
    if (mode != relay_mode::pass) {
        return;
    }
    ends(drain(it.target, it.to_target));
    // Nothing goes back before the dialler is known by its first bytes.
    if (!it.head.empty()) {
        ends(fill(it.target, it.to_dialler));
        ends(drain(it.dialler, it.to_dialler));
    }
}

void tcp_relay::run() {
    while (!stopped_) {
        std::vector<pollfd> fds{{listener_, POLLIN, 0}};
        for (const auto& it : connections_) {
            if (mode_of(it) != relay_mode::pass) {
                continue;
            }
            const auto events = [](const std::string& in, const std::string& out) {
                return static_cast<short>((in.empty() ? POLLIN : 0) | (out.empty() ? 0 : POLLOUT));
            };
            fds.push_back({it.dialler, events(it.to_target, it.to_dialler), 0});
            fds.push_back({it.head.empty() ? -1 : it.target, events(it.to_dialler, it.to_target), 0});
        }
        ::poll(fds.data(), fds.size(), poll_ms);
        if ((fds.front().revents & POLLIN) != 0) {
            accept();
        }
        for (auto it = connections_.begin(); it != connections_.end();) {
            pump(*it);
            if (it->ended) {
                ::close(it->dialler);
                ::close(it->target);
                it = connections_.erase(it);
            } else {
                ++it;
            }
        }
    }
}

tcp_relay::tcp_relay(const std::string& address, std::uint16_t port, std::uint16_t target)
    : address_{address}, target_{target}, listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto at = address_of(address, port);
    constexpr int backlog = 128;
    listening_ = ::bind(listener_, as_sockaddr(at), sizeof(at)) == 0 && ::listen(listener_, backlog) == 0;
    set_options(listener_);
    thread_ = std::thread{[this] { run(); }};
}

tcp_relay::~tcp_relay() {
    stopped_ = true;
    thread_.join();
    ::close(listener_);
    for (const auto& it : connections_) {
        ::close(it.dialler);
        ::close(it.target);
    }
}

void tcp_relay::set(relay_mode mode, const std::string& dialler) {
    const std::lock_guard lock{mutex_};
    modes_[dialler] = mode;
}

} // namespace dandelionbay
