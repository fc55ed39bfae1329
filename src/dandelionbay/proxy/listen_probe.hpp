#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief Finds out whether a process listens at an address: connects, and ends the connection at once. */
class listen_probe final : public channel_handler {
public:
    /*! @brief Called with false if the connection was refused, which a host does for a process that is gone. Not called
     *  if there was no answer. */
    using handler = std::function<void(bool listening)>;

    /*! @brief Connects. @param loop Event loop. @param to Address. @param limit Longest time to connect. */
    listen_probe(boost::asio::io_context& loop, const socket_address& to, std::chrono::milliseconds limit,
                 handler answered);
    listen_probe(const listen_probe&) = delete;
    listen_probe(listen_probe&&) = delete;
    listen_probe& operator=(const listen_probe&) = delete;
    listen_probe& operator=(listen_probe&&) = delete;
    ~listen_probe() override;

    /*! @brief Tells whether it is over. */
    [[nodiscard]] bool is_done() const noexcept { return done_; }

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(channel_close_reason end) override;

private:
    handler answered_;
    std::shared_ptr<channel> channel_;
    bool done_{};
};

} // namespace dandelionbay
