#include "dandelionbay/http/caller_stream.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace dandelionbay::internal {

namespace {

thread_local caller_stream* current_stream = nullptr;

// Bounds of what is read from a caller after its answer, so that the close does not reset the connection before the
// caller has read the answer.
constexpr std::size_t max_drained_bytes = std::size_t{1} << 20U;
constexpr int drain_slices = 10;
constexpr int drain_slice_ms = 50;

} // namespace

bool caller_stream::wait(std::int16_t events, time_point until) const {
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - clock_->now()).count();
        pollfd entry{fd_, events, 0};
        const auto n = ::poll(&entry, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, 100)));
        if (n > 0) {
            return true;
        }
        if ((n < 0 && errno != EINTR) || left <= 0) {
            return false;
        }
    }
}

ssize_t caller_stream::fault(receive_fault reason) noexcept {
    if (fault_ == receive_fault::none) {
        fault_ = reason;
    }
    return -1;
}

caller_stream::caller_stream(int fd, const connection_limits& limits, const clock& time)
    : fd_{fd}, limits_{limits}, clock_{&time} {
    current_stream = this;
}

caller_stream::~caller_stream() {
    current_stream = nullptr;
}

caller_stream* caller_stream::current() noexcept {
    return current_stream;
}

void caller_stream::begin_request() {
    received_ = end_ - begin_;
    sent_ = 0;
    deadline_ = clock_->now() + limits_.receive_time;
    fault_ = receive_fault::none;
    in_header_ = true;
}

bool caller_stream::peer_gone() const noexcept {
    char byte = 0;
    const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void caller_stream::close() noexcept {
    ::shutdown(fd_, SHUT_WR);
    std::size_t drained = 0;
    for (int n = 0; n < drain_slices && drained < max_drained_bytes;) {
        pollfd entry{fd_, POLLIN, 0};
        if (::poll(&entry, 1, drain_slice_ms) <= 0) {
            ++n;
            continue;
        }
        const auto got = ::recv(fd_, buf_.data(), buf_.size(), MSG_DONTWAIT);
        if (got <= 0) {
            break;
        }
        drained += static_cast<std::size_t>(got);
    }
    ::close(fd_);
}

bool caller_stream::is_readable() const {
    return has_buffered() || wait(POLLIN, deadline_);
}

bool caller_stream::is_writable() const {
    return wait(POLLOUT, clock_->now() + limits_.send_time) && !peer_gone();
}

ssize_t caller_stream::read(char* to, std::size_t size) {
    if (!has_buffered()) {
        if (clock_->now() >= deadline_ || !wait(POLLIN, deadline_)) {
            return fault(receive_fault::too_slow);
        }
        const auto n = ::recv(fd_, buf_.data(), buf_.size(), MSG_DONTWAIT);
        if (n <= 0) {
            fault(receive_fault::connection_lost);
            return n;
        }
        begin_ = 0;
        end_ = static_cast<std::size_t>(n);
        received_ += end_;
    }
    // A header may share its last read with a part of the body, at most one buffer.
    const auto most = limits_.max_header_bytes + buffer_bytes + (in_header_ ? 0 : limits_.max_body_bytes);
    if (received_ > most) {
        return fault(receive_fault::too_large);
    }
    const auto n = std::min(size, end_ - begin_);
    std::copy_n(buf_.begin() + static_cast<std::ptrdiff_t>(begin_), n, to);
    begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t caller_stream::write(const char* from, std::size_t size) {
    std::size_t done = 0;
    while (done < size) {
        if (!wait(POLLOUT, clock_->now() + limits_.send_time)) {
            return -1;
        }
        // NOLINTNEXTLINE(cppcoreguidelines-pro-bounds-pointer-arithmetic): signature of the library's stream.
        const auto n = ::send(fd_, from + done, size - done, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return -1;
        }
        done += n > 0 ? static_cast<std::size_t>(n) : 0;
        sent_ += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return static_cast<ssize_t>(done);
}

void caller_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
    ip.clear();
    port = 0;
}

void caller_stream::get_local_ip_and_port(std::string& ip, int& port) const {
    ip.clear();
    port = 0;
}

} // namespace dandelionbay::internal
