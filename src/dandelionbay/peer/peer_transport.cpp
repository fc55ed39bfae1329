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

[[nodiscard]] std::string add_length_prefix(const std::string& body) {
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

/*! Outgoing connection to one peer; reconnects after the connection ended. */
class peer_transport::sender final : public channel_handler {
public:
    sender(peer_transport& owner, socket_address to) : owner_{&owner}, to_{std::move(to)} {}
    sender(const sender&) = delete;
    sender(sender&&) = delete;
    sender& operator=(const sender&) = delete;
    sender& operator=(sender&&) = delete;
    ~sender() override { drop(); }

    /*! Sends the current state, unless earlier bytes are still unsent; connects first if there is no connection. */
    void send(time_point now) {
        if (channel_ == nullptr) {
            if (now >= next_dial_at_) {
                dial(now);
            }
            return;
        }
        if (!connected_) {
            return;
        }
        if (owner_->environment_.synchronizer->is_stalled(to_, dialled_at_, now)) {
            owner_->environment_.metrics->add("peer_redials_total");
            drop(); // The connection may have stalled while new ones work.
            dial(now);
            return;
        }
        if (channel_->unsent_bytes() > 0) {
            return;
        }
        const section_timer timed{*owner_->environment_.time, *owner_->environment_.metrics, "peers_out"};
        const auto state = owner_->environment_.synchronizer->make_message(to_, now);
        const auto bytes = add_length_prefix(owner_->encoder_.encode(state));
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
        static_cast<void>(bytes); // Peers answer on connections that they make.
    }

    void on_end(channel_close_reason end) override {
        static_cast<void>(end);
        drop();
    }

private:
    void dial(time_point now) {
        next_dial_at_ = now + reconnect_interval;
        dialled_at_ = now;
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
    time_point next_dial_at_{};
    time_point dialled_at_{};
    bool connected_{};
};

/*! Incoming connection from one peer. */
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
                reject_message("length");
                return;
            }
            if (buf_.size() < length_bytes + n) {
                return;
            }
            const auto state = decode_peer_message(std::string_view{buf_}.substr(length_bytes, n));
            buf_.erase(0, length_bytes + n);
            if (!state.ok()) {
                reject_message(from_absl(state.status().message()));
                return;
            }
            owner_->handle_message(*state);
        }
    }

    void on_end(channel_close_reason end) override {
        static_cast<void>(end);
        owner_->receivers_.erase(shared_from_this());
    }

private:
    void reject_message(std::string_view reason) {
        owner_->environment_.log->write(log_level::warn, "peer_message_refused", {{"reason", std::string{reason}}});
        owner_->environment_.metrics->add("peer_messages_refused_total");
        channel_->close();
        owner_->receivers_.erase(shared_from_this());
    }

    peer_transport* owner_;
    std::shared_ptr<channel> channel_;
    std::string buf_{};
};

peer_transport::peer_transport(peer_environment environment, socket_address listen, change_handler on_change)
    : environment_{environment}, listen_{std::move(listen)},
      on_change_{std::move(on_change)}, listener_{*environment_.loop, *environment_.log}, timer_{*environment_.loop} {}

peer_transport::~peer_transport() = default;

absl::Status peer_transport::start() {
    auto status = listener_.start(listen_, [this](channel::tcp::socket it) { accept(std::move(it)); });
    if (status.ok()) {
        poll();
    }
    return status;
}

void peer_transport::accept(channel::tcp::socket socket) {
    const auto it = std::make_shared<receiver>(*this, std::move(socket));
    receivers_.insert(it);
    it->start();
}

void peer_transport::poll() {
    timer_.expires_after(std::min<duration>(environment_.synchronizer->interval(), max_poll_interval));
    timer_.async_wait([this](error_code ec) {
        if (ec || stopped_) {
            return;
        }
        const absl::Cleanup next = [this] { poll(); }; // Also after an exception.
        const auto now = environment_.time->now();
        if (now >= next_round_ || environment_.synchronizer->has_urgent_changes(now)) {
            send_round();
        } else {
            send_pending();
        }
    });
}

void peer_transport::send_pending() {
    const auto now = environment_.time->now();
    for (const auto& address : environment_.synchronizer->pending_recipients(now)) {
        // A missing sender is created in the next round.
        if (const auto it = senders_.find(address); it != senders_.end()) {
            it->second->send(now);
        }
    }
}

void peer_transport::send_round() {
    const section_timer timed{*environment_.time, *environment_.metrics, "peer_rounds"};
    const auto now = environment_.time->now();
    environment_.synchronizer->begin_round(now);
    next_round_ = now + environment_.synchronizer->interval();
    const auto addresses = environment_.synchronizer->addresses();
    std::erase_if(senders_, [&](const auto& it) { return std::ranges::find(addresses, it.first) == addresses.end(); });
    for (const auto& address : addresses) {
        auto& it = senders_[address];
        if (it == nullptr) {
            it = std::make_shared<sender>(*this, address);
        }
        it->send(now);
    }
    environment_.metrics->set("peers_live",
                              static_cast<counters::value_type>(environment_.synchronizer->live_peer_count(now)));
}

void peer_transport::handle_message(const peer_message& in) {
    const auto change = environment_.synchronizer->receive(in, environment_.time->now());
    on_change_(change);
    if (environment_.synchronizer->has_pending_requests()) {
        send_pending();
    }
}

void peer_transport::stop() {
    environment_.synchronizer->set_leaving();
    send_round();
    stopped_ = true;
    listener_.stop();
    timer_.cancel();
    senders_.clear();
    receivers_.clear();
}

} // namespace dandelionbay
