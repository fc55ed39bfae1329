#pragma once

#include <mutex>
#include <string>
#include <utility>

#include "raw_server.hpp"

namespace dandelionbay::platform {

/*! @brief Server that answers each request with the bytes that were set last, and ends the connection. */
class answering_server {
public:
    /*! @brief Sets the answer. @param bytes Written as they are. @param reset Whether a reset ends the connection. */
    void answer(std::string bytes, bool reset = false) {
        const std::scoped_lock lock{mutex_};
        bytes_ = std::move(bytes);
        reset_ = reset;
    }

    [[nodiscard]] socket_address address() const { return server_.address(); }

private:
    [[nodiscard]] std::pair<std::string, bool> next() {
        const std::scoped_lock lock{mutex_};
        return {bytes_, reset_};
    }

    std::mutex mutex_{};
    std::string bytes_{};
    bool reset_{};
    raw_server server_{[this](const http_request& /*request*/, raw_server::connection& to) {
        const auto [bytes, reset] = next();
        to.write(bytes);
        reset ? to.reset() : to.close();
    }};
};

} // namespace dandelionbay::platform
