#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay {

/*! @brief Connection of a caller: its requests, one after the other, and their answers. */
class caller_connection final : public channel_handler, public std::enable_shared_from_this<caller_connection> {
    void read_requests();
    void start_exchange();
    void reject(int status);
    void finish_response();

public:
    /*! @brief Bytes of following requests that are read while one is answered. */
    static constexpr std::size_t max_read_ahead_bytes = std::size_t{64} << 10U;

    /*! @brief Wraps an accepted socket. @param owner Outlives it. */
    caller_connection(proxy& owner, channel::tcp::socket socket, time_point now);
    caller_connection(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() override;

    /*! @brief Starts to read. @param came What is there already did not come before. */
    void start(time_point arrived_at);

    /*! @brief A call of it is begun here; refusals need no options of the connection. */
    void on_call_begun();

    /*! @brief The connection ends with the answer that is due. */
    void close_after_response() noexcept { keep_alive_ = false; }

    /*! @brief Sends a whole answer. @param head Without framing. @param body Its body. */
    void respond(response_head head, std::string_view body);

    /*! @brief Sends the head of an answer whose body follows in pieces. */
    void begin_response(response_head head);

    /*! @brief Sends a piece of the body. */
    void send_body(std::string_view bytes);

    /*! @brief The body is complete. */
    void end_response();

    /*! @brief Ends the connection in the middle of an answer, so that it can't look complete. */
    void close_incomplete();

    /*! @brief Ends the connection at once; what its caller has not taken is dropped. */
    void abort();

    /*! @brief Looks at time limits. @param now Time. @return False if it is closed. */
    [[nodiscard]] bool check_timeouts(time_point now);

    /*! @brief Start of the wait for a request. @return Nothing while one is being read or answered. */
    [[nodiscard]] std::optional<time_point> idle_since() const noexcept {
        return exchange_ == nullptr && !is_reading_request_ ? std::optional{since_} : std::nullopt;
    }

    /*! @brief Ends it once all that was written is sent. */
    void finish();

    /*! @brief Closes it if no request is being read or answered. @return True if it is closed. */
    bool close_idle();

    /*! @brief Tells whether the caller has closed, also if the event loop has not come to that yet. */
    [[nodiscard]] bool has_disconnected() { return channel_->is_closed_by_peer(); }

    /*! @brief Bytes that the caller has not taken yet. */
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return channel_->unsent_bytes(); }

    /*! @brief End of the newest answer, or a later time. */
    [[nodiscard]] time_point since() const noexcept { return since_; }

    void on_bytes(std::string_view bytes) override;
    void on_end(channel_close_reason end) override;
    void on_written() override;

private:
    proxy* owner_;
    std::shared_ptr<channel> channel_;
    std::unique_ptr<request_reader> reader_;
    std::shared_ptr<exchange> exchange_{};
    time_point since_;          //!< Start of the wait for a request, or of its reading.
    duration idle_timeout_{};   //!< In force when the wait began: its caller may reckon with it.
    duration header_timeout_{}; //!< In force when the request's reading began, like the next.
    duration body_timeout_{};
    std::optional<time_point> unread_arrived_at_{}; //!< While what waited at the start is read.
    time_point request_arrived_at_{};    //!< Not after the first byte of the request that is read, or of the next one.
    time_point last_bytes_arrived_at_{}; //!< Not after the bytes that were read last.
    bool is_reading_request_{};          //!< A request has begun.
    bool keep_alive_{true};              //!< The connection stays open after the answer.
    bool is_reading_requests_{};
    bool has_options_{}; //!< Its options are set.
};

} // namespace dandelionbay
