#include "dandelionbay/proxy/listen_probe.hpp"

#include <utility>

namespace dandelionbay {

listen_probe::listen_probe(boost::asio::io_context& loop, const socket_address& address,
                           std::chrono::milliseconds timeout, handler on_result)
    : on_result_{std::move(on_result)}, channel_{std::make_shared<channel>(channel::tcp::socket{loop}, *this)} {
    channel_->connect(address, timeout);
}

listen_probe::~listen_probe() {
    channel_->close();
}

void listen_probe::on_connected() {
    is_done_ = true;
    channel_->close();
    on_result_(true);
}

void listen_probe::on_bytes(std::string_view bytes) {
    static_cast<void>(bytes); // No request was sent, so the bytes have no meaning.
}

void listen_probe::on_end(channel_close_reason end) {
    is_done_ = true;
    if (end == channel_close_reason::refused) {
        on_result_(false);
    }
}

} // namespace dandelionbay
