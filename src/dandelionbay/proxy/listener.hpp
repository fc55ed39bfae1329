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
 * All waiting connections are accepted in one turn. If a loop that is behind accepted only some per turn, the others
 * would stay in the system's queue, where their waiting time is unknown.
 */
class listener {
    void accept();
    void accept_waiting();
    void retry_accept();

public:
    using handler = std::function<void(channel::tcp::socket)>;

    /*! @brief Time until accepting is retried after a failure; a process without free descriptors would fail again at
     * once. */
    static constexpr std::chrono::milliseconds accept_retry_interval{20};

    /*! @brief Maximum number of connections accepted in one turn: the length of the system's queue. */
    static constexpr int max_accepts_per_turn = boost::asio::socket_base::max_listen_connections;

    /*! @brief Creates a listener. @param loop Event loop. @param log Log for failures. Both must outlive the listener.
     */
    listener(boost::asio::io_context& loop, bounded_log& log);

    /**
     * @brief Starts to listen.
     * @param address Address to bind.
     * @param on_accept Called with each accepted connection.
     * @return Unavailable if the address cannot be bound.
     */
    [[nodiscard]] absl::Status start(const socket_address& address, handler on_accept);

    /*! @brief Accepts all waiting connections and stops listening; the system then refuses further connections. */
    void pause();

    /*! @brief Listens again after pause(). @return Unavailable if the address cannot be bound. */
    [[nodiscard]] absl::Status resume();

    /*! @brief Stops for good; the handler is not called any more. */
    void stop();

private:
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    bounded_log* log_;
    socket_address address_{};
    handler on_accept_{};
    bool stopped_{};
};

} // namespace dandelionbay
