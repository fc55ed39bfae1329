#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/peer/peer_synchronizer.hpp"
#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/listener.hpp"

namespace dandelionbay {

/*! @brief The parts of the router that peer_transport uses. */
struct peer_environment {
    boost::asio::io_context* loop{};
    const clock* time{};
    bounded_log* log{};
    counters* metrics{};
    peer_synchronizer* synchronizer{};
};

/**
 * @brief Exchanges messages with the other routers over TCP.
 *
 * Each router sends on connections that it makes and receives on connections that it accepts. A message is a length
 * prefix of four bytes (little-endian) and a msgpack body.
 */
class peer_transport {
    class sender;
    class receiver;

    void accept(channel::tcp::socket socket);
    void poll();
    void send_round();
    void send_pending();
    void handle_message(const peer_message& in);

public:
    /*! @brief Called after each received message with what it changed. */
    using change_handler = std::function<void(const peer_change&)>;

    /*! @brief Longest wait of a message that is sent before the next round. */
    static constexpr std::chrono::milliseconds max_poll_interval{100};
    static constexpr std::chrono::milliseconds connect_timeout{500};
    /*! @brief Shortest time between two attempts to connect to a peer. */
    static constexpr std::chrono::milliseconds reconnect_interval{300};

    /**
     * @brief Creates a transport that is not started.
     *
     * @param environment Its members must be set and outlive the transport.
     * @param listen Address on which to accept peers.
     * @param on_change Called after each received message.
     */
    peer_transport(peer_environment environment, socket_address listen, change_handler on_change);
    peer_transport(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;
    ~peer_transport();

    /*! @brief Starts listening and sending. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start();

    /*! @brief Sends a last round, which announces that the router is leaving, and closes all connections. */
    void stop();

private:
    peer_environment environment_;
    socket_address listen_;
    change_handler on_change_;
    listener listener_;
    boost::asio::steady_timer timer_;
    peer_encoder encoder_{};
    std::map<socket_address, std::shared_ptr<sender>> senders_{};
    std::set<std::shared_ptr<receiver>> receivers_{};
    time_point next_round_{};
    bool stopped_{};
};

} // namespace dandelionbay
