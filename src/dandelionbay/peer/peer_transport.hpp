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

/*! @brief What the links share with the rest of the router. */
struct peer_environment {
    boost::asio::io_context* loop{};
    const clock* time{};
    bounded_log* log{};
    counters* metrics{};
    peer_synchronizer* board{};
};

/**
 * @brief TCP connections among routers: each router sends on connections that it makes and receives on those that it
 * accepts. A message is its length in four bytes, lowest first, and msgpack.
 */
class peer_transport {
    class sender;
    class receiver;

    void accept(channel::tcp::socket socket);
    void tick();
    void send_round();
    void send_due();
    void received(const peer_message& in);

public:
    /*! @brief Called after a message changed something. */
    using change_handler = std::function<void(const peer_change&)>;

    /*! @brief Messages out of turn wait at most this long. */
    static constexpr std::chrono::milliseconds max_poll_interval{100};
    /*! @brief Longest time to make a connection. */
    static constexpr std::chrono::milliseconds connect_timeout{500};
    /*! @brief Time after a failed connection before the next one. */
    static constexpr std::chrono::milliseconds reconnect_interval{300};

    /*! @brief Creates them. @param environment All members outlive it. @param listen Address for peers. */
    peer_transport(peer_environment environment, socket_address listen, change_handler changed);
    peer_transport(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;
    ~peer_transport();

    /*! @brief Listens and begins to send. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start();

    /*! @brief Sends a last round and ends. */
    void stop();

private:
    peer_environment environment_;
    socket_address listen_;
    change_handler changed_;
    listener listener_;
    boost::asio::steady_timer timer_;
    peer_encoder encoder_{};
    std::map<socket_address, std::shared_ptr<sender>> senders_{};
    std::set<std::shared_ptr<receiver>> receivers_{};
    time_point next_round_{};
    bool stopped_{};
};

} // namespace dandelionbay
