#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "dandelionbay/proxy/channel.hpp"
#include "dandelionbay/proxy/fwd.hpp"

namespace dandelionbay {

/*! @brief Checks whether a process listens at an address, by connecting and closing the connection at once. */
class listen_probe final : public channel_handler {
public:
    /*! @brief Called with true if the connection was made and with false if it was refused, as a host does for a
     * process that has ended. Not called if there was no answer. */
    using handler = std::function<void(bool listening)>;

    /*! @brief Starts to connect. @param loop Event loop. @param address Address to check. @param timeout Maximum time
     * to connect. @param on_result Called with the result. */
    listen_probe(boost::asio::io_context& loop, const socket_address& address, std::chrono::milliseconds timeout,
                 handler on_result);
    listen_probe(const listen_probe&) = delete;
    listen_probe(listen_probe&&) = delete;
    listen_probe& operator=(const listen_probe&) = delete;
    listen_probe& operator=(listen_probe&&) = delete;
    ~listen_probe() override;

    /*! @brief Returns whether the check has ended. */
    [[nodiscard]] bool is_done() const noexcept { return is_done_; }

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(channel_close_reason end) override;

private:
    handler on_result_;
    std::shared_ptr<channel> channel_;
    bool is_done_{};
};

} // namespace dandelionbay
