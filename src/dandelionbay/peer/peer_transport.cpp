#include "dandelionbay/peer/peer_transport.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "dandelionbay/base/section_timer.hpp"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

using boost::system::error_code;

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_per_byte = 8;

[[nodiscard]] std::string with_length(const std::string& body) {
    std::string out;
    out.reserve(length_bytes + body.size());
    for (std::size_t n = 0; n < length_bytes; ++n) {
        out.push_back(static_cast<char>(body.size() >> (bits_per_byte * n) & 0xFFU));
    }
    return out + body;
}

[[nodiscard]] std::size_t read_length(std::string_view bytes) {
    std::size_t out = 0;
    for (std::size_t n = 0; n < length_bytes; ++n) {
        out |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[n])) << (bits_per_byte * n);
    }
    return out;
}

} // namespace

/*! Connection to one peer, made again after it ended. */
class peer_transport::sender final : public channel_handler {
public:
    sender(peer_transport& owner, socket_address to) : owner_{&owner}, to_{std::move(to)} {}
    sender(const sender&) = delete;
    sender(sender&&) = delete;
    sender& operator=(const sender&) = delete;
    sender& operator=(sender&&) = delete;
    ~sender() override { drop(); }

    /*! Sends the newest state, unless an older one is still on its way. */
    void send(time_point now) {
        if (channel_ == nullptr) {
            if (now >= next_dial_) {
                dial(now);
            }
            return;
        }
        if (!connected_) {
            return;
        }
        if (owner_->environment_.board->is_stalled(to_, dialled_, now)) {
            owner_->environment_.metrics->add("peer_redials_total");
            drop(); // It may have gone silent while new connections work.
            dial(now);
            return;
        }
        if (channel_->unsent_bytes() > 0) {
            return;
        }
        const section_timer timed{*owner_->environment_.time, *owner_->environment_.metrics, "peers_out"};
        const auto state = owner_->environment_.board->make_message(to_, now);
        const auto bytes = with_length(owner_->encoder_.encode(state));
        const std::string_view kind = state.list ? "list" : state.config_text.empty() ? "state" : "config";
        owner_->environment_.metrics->add("peer_messages_sent_total", kind);
        owner_->environment_.metrics->add("peer_losses_sent_total", {},
                                          static_cast<counters::value_type>(state.losses.size()));
        owner_->environment_.metrics->add("peer_bytes_sent_total", kind,
                                          static_cast<counters::value_type>(bytes.size()));
        channel_->write(bytes);
    }

    void on_connected() override { connected_ = true; }

    void on_bytes(std::string_view bytes) override {
        static_cast<void>(bytes); // Peers answer on connections of their own.
    }

    void on_end(channel_close_reason end) override {
        static_cast<void>(end);
        drop();
    }

private:
    void dial(time_point now) {
        next_dial_ = now + reconnect_interval;
        dialled_ = now;
        channel_ = std::make_shared<channel>(channel::tcp::socket{*owner_->environment_.loop}, *this);
        channel_->connect(to_, connect_timeout);
    }

    void drop() {
        connected_ = false;
        if (auto it = std::exchange(channel_, nullptr); it != nullptr) {
            it->close();
        }
    }

    peer_transport* owner_;
    socket_address to_;
    std::shared_ptr<channel> channel_{};
    time_point next_dial_{};
    time_point dialled_{};
    bool connected_{};
};

/*! Connection from one peer. */
class peer_transport::receiver final : public channel_handler, public std::enable_shared_from_this<receiver> {
public:
    receiver(peer_transport& owner, channel::tcp::socket socket)
        : owner_{&owner}, channel_{std::make_shared<channel>(std::move(socket), *this)} {}
    receiver(const receiver&) = delete;
    receiver(receiver&&) = delete;
    receiver& operator=(const receiver&) = delete;
    receiver& operator=(receiver&&) = delete;
    ~receiver() override { channel_->close(); }

    void start() {
        channel_->set_options();
        channel_->open();
    }

    void on_bytes(std::string_view bytes) override {
        const auto self = shared_from_this();
        const section_timer timed{*owner_->environment_.time, *owner_->environment_.metrics, "peers_in"};
        buf_.append(bytes);
        while (buf_.size() >= length_bytes) {
            const auto n = read_length(buf_);
            if (n > max_peer_message_bytes) {
                fail("length");
                return;
            }
            if (buf_.size() < length_bytes + n) {
                return;
            }
            const auto state = decode_peer_message(std::string_view{buf_}.substr(length_bytes, n));
            buf_.erase(0, length_bytes + n);
            if (!state.ok()) {
                fail(from_absl(state.status().message()));
                return;
            }
            owner_->received(*state);
        }
    }

    void on_end(channel_close_reason end) override {
        static_cast<void>(end);
        owner_->receivers_.erase(shared_from_this());
    }

private:
    void fail(std::string_view reason) {
        owner_->environment_.log->write(log_level::warn, "peer_message_refused", {{"reason", std::string{reason}}});
        owner_->environment_.metrics->add("peer_messages_refused_total");
        channel_->close();
        owner_->receivers_.erase(shared_from_this());
    }

    peer_transport* owner_;
    std::shared_ptr<channel> channel_;
    std::string buf_{};
};

peer_transport::peer_transport(peer_environment environment, socket_address listen, change_handler changed)
    : environment_{environment}, listen_{std::move(listen)}, changed_{std::move(changed)},
      listener_{*environment_.loop, *environment_.log}, timer_{*environment_.loop} {}

peer_transport::~peer_transport() = default;

absl::Status peer_transport::start() {
    auto status = listener_.start(listen_, [this](channel::tcp::socket it) { accept(std::move(it)); });
    if (status.ok()) {
        tick();
    }
    return status;
}

void peer_transport::accept(channel::tcp::socket socket) {
    const auto it = std::make_shared<receiver>(*this, std::move(socket));
    receivers_.insert(it);
    it->start();
}

void peer_transport::tick() {
    timer_.expires_after(std::min<duration>(environment_.board->interval(), max_poll_interval));
    timer_.async_wait([this](error_code ec) {
        if (ec || stopped_) {
            return;
        }
        const absl::Cleanup next = [this] { tick(); }; // Also after an error.
        if (environment_.time->now() >= next_round_) {
            send_round();
        } else {
            send_due();
        }
    });
}

void peer_transport::send_due() {
    const auto now = environment_.time->now();
    for (const auto& address : environment_.board->pending_recipients(now)) {
        if (const auto it = senders_.find(address); it != senders_.end()) { // Else the next round makes it.
            it->second->send(now);
        }
    }
}

void peer_transport::send_round() {
    const section_timer timed{*environment_.time, *environment_.metrics, "peer_rounds"};
    const auto now = environment_.time->now();
    environment_.board->begin_round(now);
    next_round_ = now + environment_.board->interval();
    const auto addresses = environment_.board->addresses();
    std::erase_if(senders_, [&](const auto& it) { return std::ranges::find(addresses, it.first) == addresses.end(); });
    for (const auto& address : addresses) {
        auto& it = senders_[address];
        if (it == nullptr) {
            it = std::make_shared<sender>(*this, address);
        }
        it->send(now);
    }
    environment_.metrics->set("peers_live",
                              static_cast<counters::value_type>(environment_.board->live_peer_count(now)));
}

void peer_transport::received(const peer_message& in) {
    const auto change = environment_.board->receive(in, environment_.time->now());
    changed_(change);
    if (environment_.board->has_pending_requests()) {
        send_due();
    }
}

void peer_transport::stop() {
    environment_.board->set_leaving();
    send_round();
    stopped_ = true;
    listener_.stop();
    timer_.cancel();
    senders_.clear();
    receivers_.clear();
}

} // namespace dandelionbay
