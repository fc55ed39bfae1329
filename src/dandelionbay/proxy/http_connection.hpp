#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_reader.hpp"

namespace dandelionbay {

/*! @brief How a request failed. */
enum class request_failure : std::uint8_t {
    not_sent,          //!< No connection was made; the request can't have run.
    cancelled,         //!< It was not to be sent any more when the connection was made.
    broken,            //!< The connection ended before the answer was complete.
    malformed_response //!< What came is no answer.
};

/*! @brief Receives the answer of one request. */
class response_handler {
public:
    response_handler() = default;
    response_handler(const response_handler&) = delete;
    response_handler(response_handler&&) = delete;
    response_handler& operator=(const response_handler&) = delete;
    response_handler& operator=(response_handler&&) = delete;
    virtual ~response_handler() = default;

    /*! @brief Tells whether an answer belongs to the request; others are read and dropped. */
    [[nodiscard]] virtual bool on_head(const response_head& head) = 0;

    /*! @brief A piece of the body arrived. */
    virtual void on_body(std::string bytes) = 0;

    /*! @brief The answer is complete. The handler is forgotten before the call. */
    virtual void on_complete() = 0;

    /*! @brief The request failed. The handler is forgotten before the call. */
    virtual void on_failed(request_failure why) = 0;
};

/*! @brief HTTP client connection that carries one request at a time. */
class http_connection final : public channel_handler, public std::enable_shared_from_this<http_connection> {
    void write_request();
    void read_responses();
    void deliver(read_result result);
    void complete();
    void fail(request_failure why);

public:
    /*! @brief Bytes that may come before an answer, as interim ones or late copies of earlier ones. */
    static constexpr std::size_t max_bytes_before_response = std::size_t{8} << 20U;

    /*! @brief Connects. @param loop Event loop. @param to The other side. @param limit Longest time to connect. */
    http_connection(boost::asio::io_context& loop, const socket_address& to, std::chrono::milliseconds timeout);
    http_connection(const http_connection&) = delete;
    http_connection(http_connection&&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    http_connection& operator=(http_connection&&) = delete;
    ~http_connection() override;

    /*! @brief Starts to connect; to be called once, after construction. */
    void start();

    /*! @brief Makes a request at the moment at which it can be written; empty if it is not to be sent any more. */
    using request_maker = std::function<std::string()>;

    /*! @brief Sends a request, now or when the connection is made. @param make Makes it. @param without_body Its answer
     *  has no body. @param handler Or null. */
    void send(request_maker make, bool without_body, response_handler* handler);

    /*! @brief The same for a request that is sent in any case. */
    void send(std::string bytes, bool without_body, response_handler* handler);

    /*! @brief Ends the connection; with a reset if a request is unanswered. */
    void close() noexcept;

    /*! @brief Stops or continues to read. */
    void pause_reading(bool paused) { channel_->pause_reading(paused); }

    /*! @brief Tells whether it can take another request now: nothing is due and nothing has come. */
    [[nodiscard]] bool is_reusable();

    /*! @brief Tells whether bytes, or an end, have come that were not read yet, or no connection is made yet. */
    [[nodiscard]] bool has_unread() { return channel_->is_readable(); }

    /*! @brief Tells whether a request is unanswered. */
    [[nodiscard]] bool is_busy() const noexcept { return busy_; }

    /*! @brief The other side. */
    [[nodiscard]] const socket_address& address() const noexcept { return to_; }

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(channel_close_reason end) override;

private:
    socket_address to_;
    std::chrono::milliseconds connect_timeout_;
    std::shared_ptr<channel> channel_;
    response_reader reader_{};
    response_handler* handler_{};
    request_maker make_request_{}; //!< Of the request that waits for the connection.
    bool connected_{};
    bool busy_{};
    std::size_t bytes_before_response_{}; //!< Bytes since the request was sent, until its answer begins.
    bool response_started_{};
    bool is_foreign_response_{}; //!< The answer that is read belongs to another request.
    bool keep_alive_{true};      //!< The other side keeps the connection open after the answer.
};

/*! @brief Connections to endpoints that are idle. */
class connection_pool {
    struct idle_connection {
        std::shared_ptr<http_connection> client{};
        time_point since{};
        duration idle_timeout{};
    };

public:
    /*! @brief Idle connections kept for one address. */
    static constexpr std::size_t max_idle_per_address = 24;
    /*! @brief Idle time after which a connection is closed if the endpoint names none. */
    static constexpr duration default_idle_timeout = std::chrono::seconds{3};
    /*! @brief Time before the endpoint's own limit at which a connection is not used any more. */
    static constexpr duration idle_timeout_margin = std::chrono::milliseconds{400};

    /*! @brief Takes an idle connection. @param to Address. @param freshest Longest idle time. @return Or null. */
    [[nodiscard]] std::shared_ptr<http_connection> take(const socket_address& to, duration longest_idle,
                                                        time_point now);

    /*! @brief Keeps a connection. @param keep Time for which the endpoint keeps it; zero if it does not say. */
    void put(std::shared_ptr<http_connection> client, duration idle_timeout, time_point now);

    /*! @brief Closes connections that were idle for too long. */
    void expire(time_point now);

private:
    std::map<socket_address, std::vector<idle_connection>> idle_{};
};

} // namespace dandelionbay
