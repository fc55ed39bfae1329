#include "dandelionbay/proxy/event_loop_probe.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/connect_pair.hpp>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

using boost::system::error_code;

} // namespace

event_loop_probe::event_loop_probe(boost::asio::io_context& loop) : in_{loop}, out_{loop} {}

absl::Status event_loop_probe::start(std::function<void()> read) {
    error_code ec;
    boost::asio::local::connect_pair(in_, out_, ec);
    if (!ec) {
        in_.non_blocking(true, ec);
        out_.non_blocking(true, ec);
    }
    if (ec) {
        return absl::UnavailableError(concat("cannot make a pair of sockets: ", ec.message()));
    }
    read_ = std::move(read);
    return absl::OkStatus();
}

bool event_loop_probe::send() {
    error_code ec;
    out_.write_some(boost::asio::buffer(byte_), ec);
    if (ec) {
        return false; // Closed, or the system has no memory.
    }
    in_.async_wait(socket_type::wait_read, [this](error_code failed) {
        if (!failed) {
            error_code none;
            in_.read_some(boost::asio::buffer(byte_), none);
            read_();
        }
    });
    return true;
}

void event_loop_probe::stop() {
    error_code ec; // The process ends.
    in_.close(ec);
    out_.close(ec);
}

} // namespace dandelionbay
