#include "dandelionbay/net/link.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace dandelionbay::internal {

void link::fail(std::string_view reason) {
    if (!closed_) {
        close();
        owner_->failed(*this, reason);
    }
}

bool link::take_frames() {
    while (!closed_) {
        auto frame = decoder_.next();
        if (!frame.ok()) {
            fail(absl::IsFailedPrecondition(frame.status()) ? "protocol_version" : "malformed_frame");
            return false;
        }
        if (!frame->has_value()) {
            return true;
        }
        owner_->frame_received(*this, std::move(**frame));
    }
    return false;
}

void link::read() {
    socket_.async_read_some(boost::asio::buffer(buf_),
                            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) {
                                if (self->closed_) {
                                    return;
                                }
                                if (ec) {
                                    self->fail("connection_lost");
                                    return;
                                }
                                self->last_received_ = self->clock_->now();
                                self->decoder_.feed({self->buf_.data(), n});
                                if (self->take_frames()) {
                                    self->read();
                                }
                            });
}

void link::write() {
    writing_.swap(pending_);
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](const boost::system::error_code& ec, std::size_t /*n*/) {
                                 if (self->closed_) {
                                     return;
                                 }
                                 self->writing_.clear();
                                 if (self->writing_.capacity() > kept_bytes) {
                                     self->writing_.shrink_to_fit();
                                 }
                                 if (ec) {
                                     self->fail("connection_lost");
                                 } else if (!self->pending_.empty()) {
                                     self->write();
                                 }
                             });
}

link::link(boost::asio::ip::tcp::socket socket, link_owner& owner, const clock& time)
    : socket_{std::move(socket)}, owner_{&owner}, clock_{&time}, last_received_{time.now()}, last_sent_{time.now()} {}

void link::connect(const boost::asio::ip::tcp::endpoint& to) {
    socket_.async_connect(to, [self = shared_from_this()](const boost::system::error_code& ec) {
        if (self->closed_) {
            return;
        }
        if (ec) {
            self->fail("connect_failed");
            return;
        }
        self->owner_->connected(*self);
    });
}

void link::open() {
    boost::system::error_code ec;
    socket_.set_option(boost::asio::ip::tcp::no_delay{true}, ec);
    if (ec) {
        fail("connection_lost");
        return;
    }
    read();
}

std::size_t link::send(const message& body) {
    const auto frame = encoder_.encode(body);
    if (!frame.ok()) {
        return 0;
    }
    if (const auto* first = std::get_if<hello>(&body)) {
        said_ = *first;
    }
    last_sent_ = clock_->now();
    pending_ += *frame;
    if (writing_.empty()) {
        write();
    }
    return frame->size();
}

void link::set_peer(hello peer) {
    encoder_.set_link({said_, peer});
    decoder_.set_link({peer, said_});
    peer_ = std::move(peer);
}

void link::close() noexcept {
    closed_ = true;
    boost::system::error_code ec;
    socket_.close(ec);
}

} // namespace dandelionbay::internal
