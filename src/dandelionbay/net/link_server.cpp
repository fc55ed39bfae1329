#include "dandelionbay/net/link_server.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace dandelionbay {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};

// Ticks that stop() gives the links to write what is queued: 0.5 s.
constexpr int ticks_to_flush = 10;

// Incoming connections that have not yet said who they are; more are closed at once.
constexpr std::size_t max_strangers = 256;

// A later message of these types replaces an earlier one, so that they may be lost when a link is congested.
bool replaceable(const message& body) noexcept {
    return std::holds_alternative<heartbeat>(body) || std::holds_alternative<demand>(body) ||
           std::holds_alternative<ledger_rows>(body) || std::holds_alternative<config_query>(body);
}

} // namespace

void link_server::connected(internal::link& it) {
    greet(it);
    it.open();
}

void link_server::greet(internal::link& it) {
    auto self = self_;
    self.config_revision = state_.config_revision;
    transmit(it, self);
}

void link_server::refuse(internal::link& it, std::string_view reason) {
    if (!it.closed()) {
        it.close();
        failed(it, reason);
    }
}

void link_server::failed(internal::link& it, std::string_view reason) {
    counters_->add("link_closed_total", reason);
    const auto self = it.shared_from_this();
    strangers_.erase(self);
    const auto& host = it.peer().has_value() ? it.peer()->host : it.dialled();
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
        return;
    }
    auto& peer = found->second;
    if (peer.dialling == self) {
        peer.dialling.reset();
        delay_dial(peer);
    }
    if (peer.ready == self) {
        peer.ready.reset();
        delay_dial(peer);
        events_->link_down(found->first);
    }
}

void link_server::frame_received(internal::link& it, decoded_frame frame) {
    control_received_ += static_cast<std::int64_t>(frame.bytes - payload_bytes(frame.body));
    if (const auto* first = std::get_if<hello>(&frame.body)) {
        if (it.peer().has_value()) {
            refuse(it, "second_hello");
        } else {
            greeted(it, *first);
        }
    } else if (!it.peer().has_value()) {
        refuse(it, "hello_missing");
    } else {
        std::optional<time_point> sent;
        if (const auto* beat = std::get_if<heartbeat>(&frame.body)) {
            const auto found = peers_.find(it.peer()->host);
            if (found != peers_.end() && found->second.ready.get() == &it) {
                sent = found->second.echo.on_heartbeat(*beat, clock_->now());
            }
        }
        events_->message_received(it.peer()->host, std::move(frame.body), sent);
    }
}

void link_server::greeted(internal::link& it, const hello& peer) {
    if (peer.host.empty() || peer.host == self_.host || (!it.dialled().empty() && it.dialled() != peer.host)) {
        refuse(it, "wrong_host");
        return;
    }
    const auto self = it.shared_from_this();
    auto& state = peers_[peer.host];
    if (state.ready != nullptr && state.ready->peer()->incarnation > peer.incarnation) {
        refuse(it, "old_incarnation");
        return;
    }
    strangers_.erase(self);
    it.set_peer(peer);
    if (state.ready != nullptr) {
        counters_->add("link_closed_total", "replaced");
        std::exchange(state.ready, nullptr)->close();
        events_->link_down(peer.host);
    }
    if (state.dialling == self) {
        state.dialling.reset();
    }
    state.ready = self;
    state.wait = options_.first_wait;
    state.echo = heartbeat_echo{};
    counters_->add("link_opened_total");
    events_->link_up(peer);
    // At once, so that the peer can echo it and evidence counts on the new link.
    send_heartbeat(state, clock_->now());
}

void link_server::transmit(internal::link& it, const message& body) {
    if (replaceable(body) && it.unsent() > options_.max_unsent / 2) {
        counters_->add("link_messages_dropped_total", "congested");
        return;
    }
    const auto bytes = it.send(body);
    if (bytes == 0) {
        counters_->add("link_messages_dropped_total", "too_long");
        return;
    }
    control_sent_ += static_cast<std::int64_t>(bytes - payload_bytes(body));
    if (it.unsent() > options_.max_unsent) {
        refuse(it, "send_buffer_full");
    }
}

std::shared_ptr<internal::link> link_server::make_link(boost::asio::ip::tcp::socket socket) {
    return std::make_shared<internal::link>(std::move(socket), static_cast<internal::link_owner&>(*this), *clock_);
}

void link_server::accept() {
    accepting_ = true;
    acceptor_.async_accept([this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
        accepting_ = false;
        if (!acceptor_.is_open()) {
            return;
        }
        if (ec) {
            // The next tick accepts again; an immediate attempt would spin while descriptors are short.
            counters_->add("link_accept_failed_total");
            return;
        }
        if (strangers_.size() >= max_strangers) {
            counters_->add("link_closed_total", "too_many_without_hello");
        } else {
            auto it = make_link(std::move(socket));
            strangers_.insert(it);
            connected(*it);
        }
        accept();
    });
}

void link_server::dial(const host_id& host, peer_state& to) {
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(to.address.ip, ec);
    if (ec) {
        counters_->add("link_closed_total", "bad_address");
        delay_dial(to);
        return;
    }
    to.dialling = make_link(boost::asio::ip::tcp::socket{loop_});
    to.dialling->set_dialled(host);
    to.dialling->connect({address, to.address.port});
}

void link_server::delay_dial(peer_state& to) {
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    to.wait = std::clamp(to.wait, options_.first_wait, options_.last_wait);
    const auto wait = std::chrono::duration_cast<duration>(to.wait * jitter(random_));
    to.next_dial = clock_->now() + wait;
    to.wait *= 2;
}

void link_server::apply_peers(const std::vector<host_entry>& hosts) {
    for (auto& [host, peer] : peers_) {
        peer.dial = false;
    }
    for (const auto& it : hosts) {
        if (it.host == self_.host || self_.role != host_role::router) {
            continue;
        }
        auto& peer = peers_[it.host];
        peer.address = it.peer;
        peer.dial = it.role == host_role::agent || self_.host < it.host;
    }
    std::erase_if(peers_, [](const auto& it) {
        const auto& peer = it.second;
        return !peer.dial && peer.ready == nullptr && peer.dialling == nullptr;
    });
}

void link_server::send_heartbeat(peer_state& peer, time_point now) {
    auto beat = state_;
    const auto since = std::chrono::ceil<std::chrono::milliseconds>(std::max(duration{}, now - state_at_)).count();
    // The highest age says that there is no evidence.
    beat.evidence_age_ms += static_cast<std::uint32_t>(
        std::min<std::int64_t>(since, std::numeric_limits<std::uint32_t>::max() - beat.evidence_age_ms));
    peer.echo.stamp(beat, now);
    peer.last_heartbeat = now;
    peer.announced = state_;
    transmit(*peer.ready, beat);
}

void link_server::keep_alive(const host_id& host, peer_state& peer, time_point now) {
    if (peer.ready != nullptr) {
        // On a busy link too, so that age and revision reach the other side. While the store is down, an agent's
        // evidence passes two heartbeats, agent to router and router to agent, and has to be renewed within the 4 s of
        // freshness.
        const bool changed = peer.announced.config_revision != state_.config_revision ||
                             peer.announced.leaving != state_.leaving || peer.echo.is_reply_due() ||
                             now - peer.last_heartbeat >= options_.heartbeat * 3 / 2;
        if (changed || now - peer.ready->last_sent() >= options_.heartbeat) {
            send_heartbeat(peer, now);
        }
    }
    const bool needed = peer.ready == nullptr || now - peer.ready->last_received() >= options_.redial;
    if (peer.dial && needed && peer.dialling == nullptr && now >= peer.next_dial) {
        dial(host, peer);
    }
}

void link_server::drop_silent(time_point now) {
    std::vector<std::shared_ptr<internal::link>> silent;
    const auto check = [&](const std::shared_ptr<internal::link>& it) {
        if (it != nullptr && now - it->last_received() >= options_.silence) {
            silent.push_back(it);
        }
    };
    std::ranges::for_each(strangers_, check);
    for (const auto& [host, peer] : peers_) {
        check(peer.ready);
        check(peer.dialling);
    }
    for (const auto& it : silent) {
        refuse(*it, "silent");
    }
}

void link_server::count_traffic() {
    counters_->add("control_bytes_sent_total", {}, std::exchange(control_sent_, 0));
    counters_->add("control_bytes_received_total", {}, std::exchange(control_received_, 0));
    counters_->set("links_ready",
                   std::ranges::count_if(peers_, [](const auto& it) { return it.second.ready != nullptr; }));
}

bool link_server::flushed() const noexcept {
    return std::ranges::all_of(
        peers_, [](const auto& it) { return it.second.ready == nullptr || it.second.ready->unsent() == 0; });
}

void link_server::close_all() noexcept {
    for (const auto& it : strangers_) {
        it->close();
    }
    for (const auto& [host, peer] : peers_) {
        for (const auto& it : {peer.ready, peer.dialling}) {
            if (it != nullptr) {
                it->close();
            }
        }
    }
}

void link_server::schedule_tick() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            tick();
        }
    });
}

void link_server::tick() {
    count_traffic();
    if (ticks_to_close_ > 0 && (--ticks_to_close_ == 0 || flushed())) {
        close_all();
        loop_.stop();
        return;
    }
    if (!accepting_ && acceptor_.is_open()) {
        accept();
    }
    const auto now = clock_->now();
    drop_silent(now);
    // A failed transmission only empties an entry, so that the iteration stays valid.
    for (auto& [host, peer] : peers_) {
        keep_alive(host, peer, now);
    }
    schedule_tick();
}

link_server::link_server(link_options options, hello self, const clock& time, counters& metrics, link_events& events)
    : options_{std::move(options)}, self_{std::move(self)}, clock_{&time}, counters_{&metrics}, events_{&events},
      random_{options_.seed}, state_{.incarnation = self_.incarnation,
                                     .config_revision = self_.config_revision,
                                     .evidence_age_ms = std::numeric_limits<std::uint32_t>::max()},
      state_at_{time.now()} {}

link_server::~link_server() {
    stop();
}

absl::Status link_server::start(kernel& /*host*/) {
    assert(!thread_.joinable() && "a link server starts once");
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(options_.listen.ip, ec);
    if (ec) {
        return absl::InvalidArgumentError(absl::StrCat("peer address ", options_.listen.ip, " is not an IP number"));
    }
    const boost::asio::ip::tcp::endpoint local{address, options_.listen.port};
    acceptor_.open(local.protocol(), ec);
    if (!ec) {
        acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address{true}, ec);
    }
    if (!ec) {
        acceptor_.bind(local, ec);
    }
    if (!ec) {
        acceptor_.listen(boost::asio::ip::tcp::acceptor::max_listen_connections, ec);
    }
    if (ec) {
        return absl::UnavailableError(
            absl::StrCat("can't listen on ", options_.listen.ip, " port ", options_.listen.port, ": ", ec.message()));
    }
    port_ = acceptor_.local_endpoint().port();
    accept();
    schedule_tick();
    thread_ = std::thread{[this] { loop_.run(); }};
    return absl::OkStatus();
}

void link_server::stop() noexcept {
    if (thread_.joinable()) {
        boost::asio::post(loop_, [this] {
            boost::system::error_code ec;
            acceptor_.close(ec);
            ticks_to_close_ = ticks_to_flush;
        });
        thread_.join();
    }
}

void link_server::set_peers(std::vector<host_entry> hosts) {
    boost::asio::post(loop_, [this, hosts = std::move(hosts)] { apply_peers(hosts); });
}

void link_server::announce(const heartbeat& state, time_point at) {
    boost::asio::post(loop_, [this, state, at] {
        state_ = state;
        state_at_ = at;
    });
}

void link_server::send(const host_id& to, message body) {
    boost::asio::post(loop_, [this, to, body = std::move(body)] {
        const auto it = peers_.find(to);
        if (it == peers_.end() || it->second.ready == nullptr) {
            counters_->add("link_messages_dropped_total", "no_link");
            return;
        }
        transmit(*it->second.ready, body);
    });
}

} // namespace dandelionbay
