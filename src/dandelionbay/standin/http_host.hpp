#pragma once

#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "dandelionbay/standin/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace httplib {
class Server;
} // namespace httplib

namespace dandelionbay {

/**
 * @brief HTTP server of the stand-ins whose connections can be broken at any point of a call.
 *
 * Each connection has its own thread for as long as it is open.
 */
class http_host {
    class tracking_server;

public:
    http_host();
    http_host(const http_host&) = delete;
    http_host(http_host&&) = delete;
    http_host& operator=(const http_host&) = delete;
    http_host& operator=(http_host&&) = delete;
    ~http_host();

    /*! @brief The server on which handlers are registered before start(). */
    [[nodiscard]] httplib::Server& routes() noexcept;

    /**
     * @brief Listens and serves.
     * @param address Where; port 0 takes a free port.
     * @return Unavailable if the address can't be bound.
     */
    [[nodiscard]] absl::Status start(const socket_address& address);

    /*! @brief Breaks all connections and joins all threads; no effect if it is not running. */
    void stop() noexcept;

    /*! @brief Port in use. @return The port; zero before start(). */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief Breaks all open connections; calls in progress get no answer. */
    void drop_connections() noexcept;

    /*! @brief Breaks the connection of the calling handler; its answer is not sent. */
    static void drop_current() noexcept;

    /*! @brief Tells whether the connection of the calling handler is broken or was closed by the other side. */
    [[nodiscard]] static bool current_closed() noexcept;

private:
    std::unique_ptr<tracking_server> server_;
};

} // namespace dandelionbay
