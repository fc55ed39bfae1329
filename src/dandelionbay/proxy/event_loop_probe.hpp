#pragma once

#include <array>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include "absl/status/status.h"

namespace dandelionbay {

/*! @brief Sends a byte through the event loop's queue of ready sockets, behind all that are ready at that time. */
class event_loop_probe {
    using socket_type = boost::asio::local::stream_protocol::socket;

public:
    /*! @brief Creates a probe. @param loop Event loop; must outlive the probe. */
    explicit event_loop_probe(boost::asio::io_context& loop);

    /*! @brief Opens the sockets. @param on_read Called when the byte is read. @return Unavailable if the sockets cannot
     * be opened. */
    [[nodiscard]] absl::Status start(std::function<void()> on_read);

    /*! @brief Sends the byte. The previous byte must have been read. @return False if the byte cannot be sent. */
    [[nodiscard]] bool send();

    /*! @brief Closes the sockets. */
    void stop();

private:
    socket_type reader_;
    socket_type writer_;
    std::function<void()> on_read_{};
    std::array<char, 1> byte_{};
};

} // namespace dandelionbay
