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

/*! @brief Why a channel was closed other than by its owner. */
enum class channel_close_reason : std::uint8_t {
    refused,     //!< Connection refused; nothing was sent.
    unreachable, //!< The connection could not be established; nothing was sent.
    closed,      //!< The peer closed the connection gracefully.
    broken       //!< The connection was reset or failed.
};

/*! @brief Receives a channel's events, on the event loop's thread and never from within a call to the channel. */
class channel_handler {
public:
    channel_handler() = default;
    channel_handler(const channel_handler&) = delete;
    channel_handler(channel_handler&&) = delete;
    channel_handler& operator=(const channel_handler&) = delete;
    channel_handler& operator=(channel_handler&&) = delete;
    virtual ~channel_handler() = default;

    /*! @brief An outgoing connection was established. */
    virtual void on_connected() {}

    /*! @brief Bytes were received. @param bytes Valid during the call only. */
    virtual void on_bytes(std::string_view bytes) = 0;

    /*! @brief The channel was closed other than by its owner; no events follow. @param reason Reason. */
    virtual void on_end(channel_close_reason reason) = 0;

    /*! @brief All bytes that had to wait were handed to the socket. */
    virtual void on_written() {}
};

/**
 * @brief A TCP connection on the event loop.
 *
 * All channels read into one shared buffer, so an idle connection holds no read buffer. Writes go to the socket at once
 * as far as it accepts them.
 */
class channel final : public std::enable_shared_from_this<channel> {
    void wait_readable();
    void wait_writable();
    void on_readable();
    void flush();
    void fail(channel_close_reason reason);
    [[nodiscard]] bool is_connect_complete();
    [[nodiscard]] int peek();

    static constexpr int no_data = -1;

public:
    using tcp = boost::asio::ip::tcp;

    /*! @brief Maximum number of bytes taken by one read. */
    static constexpr std::size_t read_buffer_bytes = std::size_t{32} << 10U;
    /*! @brief Time without acknowledgement of sent data after which a connection counts as broken, in ms. */
    static constexpr int unacknowledged_timeout_ms = 3'000;
    /*! @brief Idle time before the first keep-alive probe, and between probes, in s. */
    static constexpr int keep_alive_interval_s = 1;
    /*! @brief Unanswered keep-alive probes after which a connection counts as broken. */
    static constexpr int max_unanswered_probes = 3;

    /*! @brief Wraps a socket. @param socket Open or not. @param owner Must outlive the channel or close it. */
    channel(tcp::socket socket, channel_handler& owner);

    /*! @brief Connects to a peer. @param to Its address. @param timeout Maximum time to connect.
     *  @param receive_buffer_bytes Size of the system's receive buffer; 0 lets the system choose and change it. */
    void connect(const socket_address& to, std::chrono::milliseconds timeout, int receive_buffer_bytes = 0);

    /*! @brief Starts to read an accepted connection, beginning with the bytes already received. */
    void open();

    /*! @brief Sets the socket options. connect() does so itself; refused calls are spared the system calls. */
    void set_options();

    /*! @brief Writes bytes, at once or as soon as the socket accepts them. */
    void write(std::string_view bytes);

    /*! @brief Pauses or resumes reading. */
    void pause_reading(bool paused);

    /*! @brief Closes the connection after all written bytes are sent; the owner gets no more events. */
    void finish();

    /*! @brief Closes the connection at once; the owner gets no more events. */
    void close() noexcept;

    /*! @brief Resets the connection at once, discarding unsent bytes, including those in the socket's buffer. The owner
     *  gets no more events. */
    void abort() noexcept;

    /*! @brief Number of bytes waiting for the socket to accept them. */
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return write_buffer_.size(); }

    /*! @brief Tells whether the channel only sends its remaining bytes; it no longer needs its owner. */
    [[nodiscard]] bool is_finishing() const noexcept { return finishing_; }

    /*! @brief Tells whether the channel is closed, by its owner or otherwise. */
    [[nodiscard]] bool ended() const noexcept { return ended_; }

    /*! @brief Tells whether the peer has closed the connection and all its bytes were read. */
    [[nodiscard]] bool is_closed_by_peer();

    /*! @brief Tells whether the socket holds unread bytes or an end of stream, or the channel is not connected. */
    [[nodiscard]] bool is_readable();

private:
    tcp::socket socket_;
    channel_handler* owner_;
    std::unique_ptr<boost::asio::steady_timer> timer_{}; // Runs while connecting.
    std::string write_buffer_{};
    bool connected_{};
    bool reading_{};
    bool writing_{};
    bool paused_{};
    bool finishing_{};
    bool write_failed_{}; //!< The connection broke while bytes were written.
    bool ended_{};
};

/**
 * @brief Sends a response on an accepted connection without parsing its request, and closes the connection.
 * @param socket The connection; bytes received on it are discarded.
 * @param response A whole response that announces the close.
 * @return False if no bytes had been received; then no response is sent.
 */
bool respond_without_reading(channel::tcp::socket socket, std::string_view response);

/*! @brief Converts an address. @return The address for Asio; unspecified if the given one is not valid. */
[[nodiscard]] boost::asio::ip::tcp::endpoint to_tcp_endpoint(const socket_address& address);

} // namespace dandelionbay
