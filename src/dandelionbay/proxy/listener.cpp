#include "dandelionbay/proxy/listener.hpp"

#include <utility>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

[[nodiscard]] error_code listen_on(asio::ip::tcp::acceptor& acceptor, const socket_address& at) {
    error_code ec;
    const auto endpoint = to_tcp_endpoint(at);
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

listener::listener(asio::io_context& loop, bounded_log& log) : acceptor_{loop}, pause_{loop}, log_{&log} {}

absl::Status listener::start(const socket_address& at, handler accepted) {
    at_ = at;
    accepted_ = std::move(accepted);
    return resume();
}

absl::Status listener::resume() {
    if (const auto ec = listen_on(acceptor_, at_)) {
        error_code none;
        acceptor_.close(none);
        return absl::UnavailableError(concat("cannot listen on ", at_.ip, ":", at_.port, ": ", ec.message()));
    }
    accept();
    return absl::OkStatus();
}

void listener::pause() {
    accept_waiting(); // Those that the system holds would be reset with their requests unread.
    error_code ec;    // A listener that can't be closed goes on.
    acceptor_.close(ec);
    pause_.cancel();
}

void listener::accept() {
    acceptor_.async_accept([this](error_code ec, channel::tcp::socket socket) {
        if (stopped_ || ec == asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            log_->write(log_level::warn, "accept_failed", {{"reason", ec.message()}});
            accept_after_pause();
            return;
        }
        accepted_(std::move(socket));
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
            return; // None waits; any other failure comes again at the next one.
        }
        accepted_(std::move(socket));
    }
}

void listener::accept_after_pause() {
    pause_.expires_after(accept_retry_interval);
    pause_.async_wait([this](error_code ec) {
        if (!ec && !stopped_ && acceptor_.is_open()) {
            accept();
        }
    });
}

void listener::stop() {
    stopped_ = true;
    error_code ec; // The process ends; a listener that can't be closed goes with it.
    acceptor_.close(ec);
    pause_.cancel();
}

} // namespace dandelionbay
