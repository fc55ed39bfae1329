#include "dandelionbay/proxy/listen_probe.hpp"

#include <utility>

namespace dandelionbay {

listen_probe::listen_probe(boost::asio::io_context& loop, const socket_address& to, std::chrono::milliseconds limit,
                           handler answered)
    : answered_{std::move(answered)}, channel_{std::make_shared<channel>(channel::tcp::socket{loop}, *this)} {
    channel_->connect(to, limit);
}

listen_probe::~listen_probe() {
    channel_->close();
}

void listen_probe::on_connected() {
    done_ = true;
    channel_->close();
    answered_(true);
}

void listen_probe::on_bytes(std::string_view bytes) {
    static_cast<void>(bytes); // Nothing was asked.
}

void listen_probe::on_end(channel_close_reason end) {
    done_ = true;
    if (end == channel_close_reason::refused) {
        answered_(false);
    }
}

} // namespace dandelionbay
