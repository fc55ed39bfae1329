#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/net/fwd.hpp"
#include "dandelionbay/wire/codec.hpp"

namespace dandelionbay::internal {

/*! @brief Owner of connections; called on the event loop's thread. */
class link_owner {
public:
    link_owner() = default;
    link_owner(const link_owner&) = delete;
    link_owner(link_owner&&) = delete;
    link_owner& operator=(const link_owner&) = delete;
    link_owner& operator=(link_owner&&) = delete;
    virtual ~link_owner() = default;

    /*! @brief An outgoing connection was made. @param it The connection. */
    virtual void connected(link& it) = 0;

    /*! @brief A frame arrived. @param it The connection. @param frame The frame. */
    virtual void frame_received(link& it, decoded_frame frame) = 0;

    /*! @brief The connection failed. @param it The connection, closed. @param reason Metric label. */
    virtual void failed(link& it, std::string_view reason) = 0;
};

/*! @brief One TCP connection to another host; used on the event loop's thread only. */
class link final : public std::enable_shared_from_this<link> {
    static constexpr std::size_t read_bytes = std::size_t{64} << 10U;

    // Buffers that grew over this during congestion are freed.
    static constexpr std::size_t kept_bytes = std::size_t{1} << 20U;

    void read();
    void write();
    void fail(std::string_view reason);
    [[nodiscard]] bool take_frames();

public:
    /*! @brief Wraps a socket. @param socket Open or not. @param owner Must outlive the link. @param now Time. */
    link(boost::asio::ip::tcp::socket socket, link_owner& owner, const clock& time);

    /*! @brief Connects. @param to The other side's address. */
    void connect(const boost::asio::ip::tcp::endpoint& to);

    /*! @brief Starts to read; the socket is connected. */
    void open();

    /*! @brief Queues a message. @param body It. @return Bytes queued; zero if it is too long for a frame. */
    std::size_t send(const message& body);

    /*! @brief Closes the connection; no callback follows. */
    void close() noexcept;

    /*! @brief Bytes that wait to be written. */
    [[nodiscard]] std::size_t unsent() const noexcept { return pending_.size() + writing_.size(); }

    /*! @brief Tells whether the connection was closed. */
    [[nodiscard]] bool closed() const noexcept { return closed_; }

    /*! @brief Time of the last bytes received, or of the creation; a long frame on a slow link shows life too. */
    [[nodiscard]] time_point last_received() const noexcept { return last_received_; }

    /*! @brief Time of the last frame sent, or of the creation. */
    [[nodiscard]] time_point last_sent() const noexcept { return last_sent_; }

    /*! @brief The other side's first message, once received. */
    [[nodiscard]] const std::optional<hello>& peer() const noexcept { return peer_; }

    /*! @brief Stores the other side's first message; this side's was sent before. @param peer It. */
    void set_peer(hello peer);

    /*! @brief Host that was dialled; empty for an incoming connection. */
    [[nodiscard]] const host_id& dialled() const noexcept { return dialled_; }

    /*! @brief Sets the host that is dialled. @param host It. */
    void set_dialled(host_id host) { dialled_ = std::move(host); }

private:
    boost::asio::ip::tcp::socket socket_;
    link_owner* owner_;
    const clock* clock_;
    frame_decoder decoder_;
    std::array<char, read_bytes> buf_{};
    std::string pending_;
    std::string writing_;
    std::optional<hello> peer_;
    hello said_; //!< This side's first message.
    frame_encoder encoder_;
    host_id dialled_;
    time_point last_received_;
    time_point last_sent_;
    bool closed_{};
};

} // namespace dandelionbay::internal
