#pragma once

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/proxy/channel.hpp"

namespace dandelionbay {

/**
 * @brief Accepts TCP connections on the event loop.
 *
 * All that wait are taken at a time: some for each turn of a loop that is behind would leave the others in the system's
 * queue, where nobody knows how long they have waited.
 */
class listener {
    void accept();
    void accept_waiting();
    void accept_after_pause();

public:
    using handler = std::function<void(channel::tcp::socket)>;

    /*! @brief Pause after a failure: a process without free descriptors fails again at once. */
    static constexpr std::chrono::milliseconds accept_retry_interval{20};

    /*! @brief Connections taken at a time: as many as wait in the system at most. */
    static constexpr int max_accepts_per_turn = boost::asio::socket_base::max_listen_connections;

    /*! @brief Creates it. @param loop Event loop. @param log Takes failures. Both outlive it. */
    listener(boost::asio::io_context& loop, bounded_log& log);

    /**
     * @brief Listens.
     * @param at Address.
     * @param accepted Takes each connection.
     * @return Unavailable if the address can't be bound.
     */
    [[nodiscard]] absl::Status start(const socket_address& at, handler accepted);

    /*! @brief Takes all connections that wait, and listens no more: the system refuses further ones. */
    void pause();

    /*! @brief Listens again after a pause. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status resume();

    /*! @brief Ends; the handler is not called any more. */
    void stop();

private:
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    bounded_log* log_;
    socket_address at_{};
    handler accepted_{};
    bool stopped_{};
};

} // namespace dandelionbay
