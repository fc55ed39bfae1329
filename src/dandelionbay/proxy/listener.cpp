#include "dandelionbay/proxy/listener.hpp"

#include <utility>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

[[nodiscard]] error_code listen_on(asio::ip::tcp::acceptor& acceptor, const socket_address& address) {
    error_code ec;
    const auto endpoint = to_tcp_endpoint(address);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address{true}, ec);
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (!ec) {
        acceptor.non_blocking(true, ec);
    }
    return ec;
}

} // namespace

listener::listener(asio::io_context& loop, bounded_log& log) : acceptor_{loop}, retry_timer_{loop}, log_{&log} {}

absl::Status listener::start(const socket_address& address, handler on_accept) {
    address_ = address;
    on_accept_ = std::move(on_accept);
    return resume();
}

absl::Status listener::resume() {
    if (const auto ec = listen_on(acceptor_, address_)) {
        error_code none;
        acceptor_.close(none);
        return absl::UnavailableError(concat("cannot listen on ", address_.ip, ":", address_.port, ": ", ec.message()));
    }
    accept();
    return absl::OkStatus();
}

void listener::pause() {
    accept_waiting(); // Otherwise the system would reset the waiting connections with their requests unread.
    error_code ec;    // Ignored: an acceptor that cannot be closed keeps listening.
    acceptor_.close(ec);
    retry_timer_.cancel();
}

void listener::accept() {
    acceptor_.async_accept([this](error_code ec, channel::tcp::socket socket) {
        if (stopped_ || ec == asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            log_->write(log_level::warn, "accept_failed", {{"reason", ec.message()}});
            retry_accept();
            return;
        }
        on_accept_(std::move(socket));
        accept_waiting();
        if (!stopped_ && acceptor_.is_open()) {
            accept();
        }
    });
}

void listener::accept_waiting() {
    for (int n = 1; n < max_accepts_per_turn && !stopped_; ++n) {
        error_code ec;
        auto socket = acceptor_.accept(ec);
        if (ec) {
            return; // No connection is waiting; any other failure recurs at the next accept.
        }
        on_accept_(std::move(socket));
    }
}

void listener::retry_accept() {
    retry_timer_.expires_after(accept_retry_interval);
    retry_timer_.async_wait([this](error_code ec) {
        if (!ec && !stopped_ && acceptor_.is_open()) {
            accept();
        }
    });
}

void listener::stop() {
    stopped_ = true;
    error_code ec; // Ignored: the process is ending and closes the acceptor.
    acceptor_.close(ec);
    retry_timer_.cancel();
}

} // namespace dandelionbay
