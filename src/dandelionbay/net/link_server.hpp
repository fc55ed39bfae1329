#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/member/heartbeat_echo.hpp"
#include "dandelionbay/net/link.hpp"
#include "dandelionbay/net/link_events.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief Address and time limits of the links. */
struct link_options {
    socket_address listen{};                        //!< Port 0 takes a free port.
    std::chrono::milliseconds heartbeat{1'000};     //!< A heartbeat is sent when nothing else was sent for so long.
    std::chrono::milliseconds redial{2'000};        //!< A link silent for so long is dialled again while it is kept.
    std::chrono::milliseconds silence{3'000};       //!< A link silent for so long is closed.
    std::chrono::milliseconds first_wait{100};      //!< Wait before the second attempt to connect; doubled each time.
    std::chrono::milliseconds last_wait{2'000};     //!< Longest wait between attempts to connect.
    std::size_t max_unsent{std::size_t{16} << 20U}; //!< Bytes; a link over it is closed.
    std::uint64_t seed{};                           //!< Of the jitter.

    friend bool operator==(const link_options&, const link_options&) = default;
};

/**
 * @brief Links to all other hosts, on one event-loop thread.
 *
 * Routers dial agents; of two routers the one with the smaller host name dials. A host has at most one ready link: a
 * fresh connection replaces the older one. All public functions are safe for use by several threads.
 */
class link_server final : public service, private internal::link_owner {
    struct peer_state {
        socket_address address{};
        bool dial{};
        std::shared_ptr<internal::link> ready{};
        std::shared_ptr<internal::link> dialling{};
        time_point next_dial{};
        std::chrono::milliseconds wait{};
        time_point last_heartbeat{};
        heartbeat announced{};
        heartbeat_echo echo{}; //!< Of the ready link.
    };

    using link_set = std::set<std::shared_ptr<internal::link>>;

    void connected(internal::link& it) override;
    void frame_received(internal::link& it, decoded_frame frame) override;
    void failed(internal::link& it, std::string_view reason) override;

    [[nodiscard]] std::shared_ptr<internal::link> make_link(boost::asio::ip::tcp::socket socket);
    void accept();
    void dial(const host_id& host, peer_state& to);
    void delay_dial(peer_state& to);
    void greet(internal::link& it);
    void greeted(internal::link& it, const hello& peer);
    void refuse(internal::link& it, std::string_view reason);
    void transmit(internal::link& it, const message& body);
    void apply_peers(const std::vector<host_entry>& hosts);
    void send_heartbeat(peer_state& peer, time_point now);
    void keep_alive(const host_id& host, peer_state& peer, time_point now);
    void drop_silent(time_point now);
    void count_traffic();
    void schedule_tick();
    void tick();
    void close_all() noexcept;
    [[nodiscard]] bool flushed() const noexcept;

public:
    /**
     * @brief Creates a server that is not yet started.
     * @param options Address and limits. @param self First message on each link; its revision follows announce().
     * @param time Clock. @param metrics Counters. @param events Receiver. The last three must outlive the server.
     */
    link_server(link_options options, hello self, const clock& time, counters& metrics, link_events& events);
    link_server(const link_server&) = delete;
    link_server(link_server&&) = delete;
    link_server& operator=(const link_server&) = delete;
    link_server& operator=(link_server&&) = delete;
    ~link_server() override;

    /*! @brief Listens and starts the event loop. @param host Not used. @return InvalidArgument or Unavailable. */
    [[nodiscard]] absl::Status start(kernel& host) override;

    /*! @brief Writes what is queued for at most 0.5 s, closes all links and joins the thread. */
    void stop() noexcept override;

    /*! @brief Port on which the server listens; valid after start(). */
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /*! @brief Replaces the hosts to connect to. @param hosts All known hosts; this one is skipped. */
    void set_peers(std::vector<host_entry> hosts);

    /*! @brief Replaces the content of the heartbeats. @param state It. @param at Time of which its ages are. */
    void announce(const heartbeat& state, time_point at);

    /*! @brief Sends a message; dropped if there is no ready link. @param to Receiver. @param body The message. */
    void send(const host_id& to, message body);

private:
    link_options options_;
    hello self_;
    const clock* clock_;
    counters* counters_;
    link_events* events_;
    std::mt19937_64 random_;
    boost::asio::io_context loop_{1};
    boost::asio::ip::tcp::acceptor acceptor_{loop_};
    boost::asio::steady_timer timer_{loop_};
    std::map<host_id, peer_state> peers_;
    link_set strangers_; //!< Connections without the other side's hello.
    heartbeat state_;
    time_point state_at_; //!< Time of which the ages in state_ are.
    std::int64_t control_sent_{};
    std::int64_t control_received_{};
    int ticks_to_close_{-1};
    bool accepting_{};
    std::uint16_t port_{};
    std::thread thread_;
};

} // namespace dandelionbay
