#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay {

/*! @brief A caller's connection, which serves its requests one after the other. */
class caller_connection final : public channel_handler, public std::enable_shared_from_this<caller_connection> {
    void read_requests();
    void start_exchange();
    void reject(int status);
    void finish_response();

public:
    /*! @brief Size of pipelined requests, in bytes, above which reading pauses while a request is served. */
    static constexpr std::size_t max_read_ahead_bytes = std::size_t{64} << 10U;

    /*! @brief Wraps an accepted socket. @param owner Must outlive the connection. */
    caller_connection(proxy& owner, channel::tcp::socket socket, time_point now);
    caller_connection(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() override;

    /*! @brief Starts to read. @param arrived_at Earliest time at which the bytes already received can have arrived. */
    void start(time_point arrived_at);

    /*! @brief A call of this connection is processed here. Sets the socket options, which refused calls don't need. */
    void on_call_begun();

    /*! @brief Closes the connection after the current response. */
    void close_after_response() noexcept { keep_alive_ = false; }

    /*! @brief Sends a whole response. @param head Head without framing fields. @param body Body. */
    void respond(response_head head, std::string_view body);

    /*! @brief Sends the head of a response whose body follows in chunks. */
    void begin_response(response_head head);

    /*! @brief Sends a chunk of the body. */
    void send_body(std::string_view bytes);

    /*! @brief Completes the body. */
    void end_response();

    /*! @brief Closes the connection within a response, whose last chunk is missing, so that it can't pass as complete.
     */
    void close_incomplete();

    /*! @brief Resets the connection; bytes that the caller has not received are discarded. */
    void abort();

    /*! @brief Applies the timeouts. @param now Current time. @return False if the connection was closed. */
    [[nodiscard]] bool check_timeouts(time_point now);

    /*! @brief When the wait for a request began; nothing while a request is read or served. */
    [[nodiscard]] std::optional<time_point> idle_since() const noexcept {
        return exchange_ == nullptr && !is_reading_request_ ? std::optional{since_} : std::nullopt;
    }

    /*! @brief Closes the connection once all written bytes are sent. */
    void finish();

    /*! @brief Closes the connection if no request is read or served. @return True if it was closed. */
    bool close_idle();

    /*! @brief Tells whether the caller has disconnected, even if the event loop has not processed that yet. */
    [[nodiscard]] bool has_disconnected() { return channel_->is_closed_by_peer(); }

    /*! @brief Number of bytes waiting to be sent to the caller. */
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return channel_->unsent_bytes(); }

    /*! @brief When the latest response ended, or the current request or wait for a request began, if that is later. */
    [[nodiscard]] time_point since() const noexcept { return since_; }

    void on_bytes(std::string_view bytes) override;
    void on_end(channel_close_reason reason) override;
    void on_written() override;

private:
    proxy* owner_;
    std::shared_ptr<channel> channel_;
    std::unique_ptr<request_reader> reader_;
    std::shared_ptr<exchange> exchange_{};
    time_point since_;          //!< When the wait for a request, or its reading, began.
    duration idle_timeout_{};   //!< In force when the wait began; the caller may rely on it.
    duration header_timeout_{}; //!< In force when reading the request began, as is body_timeout_.
    duration body_timeout_{};
    std::optional<time_point> unread_arrived_at_{}; //!< Set while bytes received before start() are read.
    time_point request_arrived_at_{};    //!< Earliest time at which the request's first byte can have arrived.
    time_point last_bytes_arrived_at_{}; //!< Earliest time at which the latest bytes can have arrived.
    bool is_reading_request_{};          //!< Part of a request was received.
    bool keep_alive_{true};              //!< The connection stays open after the response.
    bool is_reading_requests_{};         //!< read_requests() is running.
    bool has_options_{};                 //!< The socket options are set.
};

} // namespace dandelionbay
