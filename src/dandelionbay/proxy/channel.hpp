#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief Why a channel ended. */
enum class channel_close_reason : std::uint8_t {
    refused,     //!< No process listens there; nothing was sent.
    unreachable, //!< No connection was made; nothing was sent.
    closed,      //!< The other side ended it in order.
    broken       //!< It was reset or failed.
};

/*! @brief Uses a channel; called on the event loop's thread, never from within a call to the channel. */
class channel_handler {
public:
    channel_handler() = default;
    channel_handler(const channel_handler&) = delete;
    channel_handler(channel_handler&&) = delete;
    channel_handler& operator=(const channel_handler&) = delete;
    channel_handler& operator=(channel_handler&&) = delete;
    virtual ~channel_handler() = default;

    /*! @brief An outgoing connection was made. */
    virtual void on_connected() {}

    /*! @brief Bytes arrived. @param bytes Valid during the call only. */
    virtual void on_bytes(std::string_view bytes) = 0;

    /*! @brief The channel ended by itself; it calls nothing any more. @param end How. */
    virtual void on_end(channel_close_reason end) = 0;

    /*! @brief All that was written is on its way. */
    virtual void on_written() {}
};

/**
 * @brief One TCP connection on the event loop.
 *
 * Reads into a buffer that all channels share, so an idle connection takes no memory for one, and writes at once what
 * the socket takes.
 */
class channel final : public std::enable_shared_from_this<channel> {
    void wait_readable();
    void wait_writable();
    void on_readable();
    void flush();
    void fail(channel_close_reason end);
    [[nodiscard]] bool is_connect_complete();
    [[nodiscard]] int peek();

    static constexpr int no_data = -1;

public:
    using tcp = boost::asio::ip::tcp;

    /*! @brief Bytes that one read takes at most. */
    static constexpr std::size_t read_buffer_bytes = std::size_t{32} << 10U;
    /*! @brief A connection whose data is not acknowledged for this time is broken, in ms. */
    static constexpr int unacknowledged_timeout_ms = 3'000;
    /*! @brief Idle time before the first keep-alive probe, and between probes, in s. */
    static constexpr int keep_alive_interval_s = 1;
    /*! @brief Unanswered probes after which a connection is broken. */
    static constexpr int max_unanswered_probes = 3;

    /*! @brief Wraps a socket. @param socket Open or not. @param owner Must outlive the channel or close it. */
    channel(tcp::socket socket, channel_handler& owner);

    /*! @brief Connects. @param to The other side. @param limit Longest time. */
    void connect(const socket_address& to, std::chrono::milliseconds timeout);

    /*! @brief Starts to read an accepted connection; what has come already is read at once. */
    void open();

    /*! @brief Sets the options of a connection that is worth their system calls; connect() does it by itself. */
    void set_options();

    /*! @brief Writes bytes, now or as soon as the socket takes them. */
    void write(std::string_view bytes);

    /*! @brief Stops or continues to read. */
    void pause_reading(bool paused);

    /*! @brief Ends the connection after all that was written is sent; the owner hears nothing any more. */
    void finish();

    /*! @brief Ends the connection at once; the owner hears nothing any more. */
    void close() noexcept;

    /*! @brief Like close(), and drops what the system still holds of the written bytes: the other side sees a reset. */
    void abort() noexcept;

    /*! @brief Bytes that wait to be sent. */
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return write_buffer_.size(); }

    /*! @brief Tells whether it only sends what is left; it does not need its owner any more. */
    [[nodiscard]] bool is_finishing() const noexcept { return finishing_; }

    /*! @brief Tells whether it was closed or ended. */
    [[nodiscard]] bool ended() const noexcept { return ended_; }

    /*! @brief Tells whether the other side has closed the connection and all its bytes were read. */
    [[nodiscard]] bool is_closed_by_peer();

    /*! @brief Tells whether bytes or an end wait to be read on a connection on which nothing is due. */
    [[nodiscard]] bool is_readable();

private:
    tcp::socket socket_;
    channel_handler* owner_;
    std::unique_ptr<boost::asio::steady_timer> timer_{}; // While connecting.
    std::string write_buffer_{};
    bool connected_{};
    bool reading_{};
    bool writing_{};
    bool paused_{};
    bool finishing_{};
    bool ended_{};
};

/**
 * @brief Answers an accepted connection without reading its request as such, and ends it.
 * @param socket The connection; what has come on it is dropped.
 * @param answer A whole answer that ends the connection.
 * @return False if nothing had come: then nothing is answered.
 */
bool respond_without_reading(channel::tcp::socket socket, std::string_view answer);

/*! @brief Converts an address. @return The library's form, or an unspecified address if it is not valid. */
[[nodiscard]] boost::asio::ip::tcp::endpoint to_tcp_endpoint(const socket_address& it);

} // namespace dandelionbay
