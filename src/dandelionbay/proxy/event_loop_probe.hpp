#pragma once

#include <array>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include "absl/status/status.h"

namespace dandelionbay {

/*! @brief A byte that goes through the event loop's queue of ready sockets, behind all that is ready when it is sent.
 */
class event_loop_probe {
    using socket_type = boost::asio::local::stream_protocol::socket;

public:
    /*! @brief Creates it. @param loop Event loop; outlives it. */
    explicit event_loop_probe(boost::asio::io_context& loop);

    /*! @brief Starts. @param read Called when the byte is read. @return Unavailable without descriptors. */
    [[nodiscard]] absl::Status start(std::function<void()> read);

    /*! @brief Sends the byte; not again before it was read. @return False if that is not possible. */
    [[nodiscard]] bool send();

    /*! @brief Ends. */
    void stop();

private:
    socket_type in_;
    socket_type out_;
    std::function<void()> read_{};
    std::array<char, 1> byte_{};
};

} // namespace dandelionbay
