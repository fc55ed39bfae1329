#include "dandelionbay/proxy/channel.hpp"

#include <array>
#include <exception>
#include <utility>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace dandelionbay {

namespace {

using boost::system::error_code;
namespace asio = boost::asio;

/*! Read buffer of all channels; the event loop has one thread. */
[[nodiscard]] std::array<char, channel::read_buffer_bytes>& shared_buffer() {
    thread_local std::array<char, channel::read_buffer_bytes> buf{};
    return buf;
}

} // namespace

asio::ip::tcp::endpoint to_tcp_endpoint(const socket_address& address) {
    error_code ec;
    return {asio::ip::make_address(address.ip, ec), address.port};
}

bool respond_without_reading(channel::tcp::socket socket, std::string_view response) {
    error_code ec;
    socket.non_blocking(true, ec);
    bool has_data = false;
    while (!ec) { // Closing a socket with unread bytes resets the connection, and the response is lost.
        has_data = socket.read_some(asio::buffer(shared_buffer()), ec) > 0 || has_data;
    }
    if (has_data && ec == asio::error::would_block) {
        socket.write_some(asio::buffer(response), ec);
        socket.shutdown(asio::socket_base::shutdown_both, ec);
    }
    return has_data;
}

channel::channel(tcp::socket socket, channel_handler& owner) : socket_{std::move(socket)}, owner_{&owner} {}

void channel::set_options() {
    error_code ec; // A socket works without an option too; the owner's timeouts still apply.
    socket_.set_option(tcp::no_delay{true}, ec);
    socket_.set_option(asio::socket_base::keep_alive{true}, ec);
    const auto set = [&](int name, int value) {
        static_cast<void>(setsockopt(socket_.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
    };
    set(TCP_KEEPIDLE, keep_alive_interval_s);
    set(TCP_KEEPINTVL, keep_alive_interval_s);
    set(TCP_KEEPCNT, max_unanswered_probes);
    set(TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

void channel::connect(const socket_address& to, std::chrono::milliseconds timeout, int receive_buffer_bytes) {
    error_code ec;
    const auto endpoint = to_tcp_endpoint(to);
    socket_.open(endpoint.protocol(), ec);
    if (ec) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->fail(channel_close_reason::unreachable); });
        return;
    }
    socket_.non_blocking(true, ec);
    set_options();
    if (receive_buffer_bytes > 0) {
        socket_.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, ec);
    }
    timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
    timer_->expires_after(timeout);
    timer_->async_wait([self = shared_from_this()](error_code cancelled) {
        // With many ready sockets the timer may run before the event of a connection made or refused in time.
        if (!cancelled && !self->connected_ && !self->is_connect_complete()) {
            self->fail(channel_close_reason::unreachable);
        }
    });
    socket_.async_connect(endpoint, [self = shared_from_this()](error_code failed) {
        if (self->ended_) {
            return;
        }
        if (self->timer_ != nullptr) {
            self->timer_->cancel();
        }
        if (failed) {
            self->fail(failed == asio::error::connection_refused ? channel_close_reason::refused
                                                                 : channel_close_reason::unreachable);
            return;
        }
        self->connected_ = true;
        self->owner_->on_connected();
        if (!self->ended_) {
            self->wait_readable();
            self->flush();
        }
    });
}

void channel::open() {
    error_code ec;
    socket_.non_blocking(true, ec);
    connected_ = true;
    if (ec) {
        fail(channel_close_reason::broken);
        return;
    }
    on_readable();
}

void channel::wait_readable() {
    if (reading_ || paused_ || ended_ || !connected_) {
        return;
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->reading_ = false;
        if (!ec && !self->ended_) {
            self->on_readable();
        }
    });
}

void channel::on_readable() {
    auto& buf = shared_buffer();
    error_code ec;
    const auto n = socket_.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block) {
        wait_readable();
        return;
    }
    if (ec) {
        fail(ec == asio::error::eof && !write_failed_ ? channel_close_reason::closed : channel_close_reason::broken);
        return;
    }
    if (!finishing_) {
        try {
            owner_->on_bytes({buf.data(), n});
        } catch (const std::exception&) {
            fail(channel_close_reason::broken); // An exception while handling a connection's bytes ends that connection
                                                // only.
            throw;
        }
    }
    wait_readable();
}

void channel::write(std::string_view bytes) {
    if (ended_ || finishing_) {
        return;
    }
    write_buffer_.append(bytes);
    if (connected_ && !writing_) {
        flush();
    }
}

void channel::flush() {
    error_code ec;
    std::size_t sent = 0;
    while (sent < write_buffer_.size()) {
        const auto n = socket_.write_some(asio::buffer(asio::buffer(write_buffer_) + sent), ec);
        if (ec) {
            break;
        }
        sent += n;
    }
    write_buffer_.erase(0, sent);
    if (ec && ec != asio::error::would_block) {
        // A response may have arrived before the reset. The system reports a reset once, so reading finds an end that
        // looks graceful.
        write_failed_ = true;
        write_buffer_.clear();
        wait_readable();
        return;
    }
    if (!write_buffer_.empty()) {
        wait_writable();
    } else if (finishing_) {
        close();
    }
}

void channel::wait_writable() {
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code ec) {
        self->writing_ = false;
        if (ec || self->ended_) {
            return;
        }
        self->flush();
        if (!self->ended_ && !self->finishing_ && self->write_buffer_.empty()) {
            self->owner_->on_written();
        }
    });
}

void channel::pause_reading(bool paused) {
    paused_ = paused;
    wait_readable();
}

void channel::finish() {
    if (ended_) {
        return;
    }
    finishing_ = true;
    if (write_buffer_.empty()) {
        close();
    }
}

void channel::close() noexcept {
    ended_ = true;
    if (timer_ != nullptr) {
        timer_->cancel();
    }
    error_code ec; // Shutting down a socket that is no longer connected fails harmlessly.
    socket_.shutdown(tcp::socket::shutdown_both, ec);
    socket_.close(ec);
}

void channel::abort() noexcept {
    error_code ec; // Without this option the connection is closed gracefully instead.
    socket_.set_option(asio::socket_base::linger{true, 0}, ec);
    ended_ = true;
    write_buffer_.clear();
    if (timer_ != nullptr) {
        timer_->cancel();
    }
    socket_.close(ec);
}

void channel::fail(channel_close_reason reason) {
    if (ended_) {
        return;
    }
    const bool has_no_owner = finishing_;
    close();
    if (!has_no_owner) {
        owner_->on_end(reason);
    }
}

bool channel::is_connect_complete() {
    pollfd descriptor{socket_.native_handle(), POLLOUT, 0};
    return poll(&descriptor, 1, 0) > 0;
}

int channel::peek() {
    char byte = 0;
    const auto n = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return no_data;
    }
    return n > 0 ? 1 : 0;
}

bool channel::is_closed_by_peer() {
    return ended_ || (connected_ && peek() == 0);
}

bool channel::is_readable() {
    return ended_ || !connected_ || peek() != no_data;
}

} // namespace dandelionbay
