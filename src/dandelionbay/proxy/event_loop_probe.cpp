#include "dandelionbay/proxy/event_loop_probe.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/connect_pair.hpp>

#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

using boost::system::error_code;

} // namespace

event_loop_probe::event_loop_probe(boost::asio::io_context& loop) : reader_{loop}, writer_{loop} {}

absl::Status event_loop_probe::start(std::function<void()> on_read) {
    error_code ec;
    boost::asio::local::connect_pair(reader_, writer_, ec);
    if (!ec) {
        reader_.non_blocking(true, ec);
        writer_.non_blocking(true, ec);
    }
    if (ec) {
        return absl::UnavailableError(concat("cannot create a socket pair: ", ec.message()));
    }
    on_read_ = std::move(on_read);
    return absl::OkStatus();
}

bool event_loop_probe::send() {
    error_code ec;
    writer_.write_some(boost::asio::buffer(byte_), ec);
    if (ec) {
        return false; // The socket is closed, or the system is out of memory.
    }
    reader_.async_wait(socket_type::wait_read, [this](error_code failed) {
        if (!failed) {
            error_code none;
            reader_.read_some(boost::asio::buffer(byte_), none);
            on_read_();
        }
    });
    return true;
}

void event_loop_probe::stop() {
    error_code ec; // Ignored: the process is ending.
    reader_.close(ec);
    writer_.close(ec);
}

} // namespace dandelionbay
