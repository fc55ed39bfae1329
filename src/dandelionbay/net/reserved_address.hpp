#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "dandelionbay/base/socket_address.hpp"

namespace dandelionbay {

/*! @brief Loopback address with a port of its own: while it is bound here, the system gives the port to no other
 * socket, and one that allows reuse can listen on it. Connections are refused until then. */
class reserved_address {
    using tcp = boost::asio::ip::tcp;

public:
    reserved_address() {
        holder_.open(tcp::v4());
        holder_.set_option(boost::asio::socket_base::reuse_address{true});
        holder_.bind(tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
        address_ = {"127.0.0.1", holder_.local_endpoint().port()};
    }

    [[nodiscard]] const socket_address& get() const noexcept { return address_; }

private:
    boost::asio::io_context loop_{};
    tcp::acceptor holder_{loop_};
    socket_address address_{};
};

} // namespace dandelionbay
