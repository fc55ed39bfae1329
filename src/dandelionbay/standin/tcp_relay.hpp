#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace dandelionbay {

/*! @brief What a relay does with a connection. */
enum class relay_mode : std::uint8_t {
    pass,
    stall, //!< Accepted and kept open, but no byte moves.
    cut,   //!< Closed at once.
};

/*! @brief Passes the TCP connections to one process on, and cuts or stalls them. */
class tcp_relay {
    struct connection {
        int dialler{-1};
        int target{-1};
        std::string head{}; //!< First bytes of the dialler: a link's hello, which has the dialler's host name.
        std::string to_target{};
        std::string to_dialler{};
        bool ended{};
    };

    [[nodiscard]] relay_mode mode_of(const connection& it);
    void accept();
    void pump(connection& it);
    void run();

public:
    /**
     * @brief Starts to listen.
     * @param address IP number of both sides.
     * @param port Port to listen on.
     * @param target Port of the process.
     */
    tcp_relay(const std::string& address, std::uint16_t port, std::uint16_t target);
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay(tcp_relay&&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;
    tcp_relay& operator=(tcp_relay&&) = delete;
    ~tcp_relay();

    /**
     * @brief Sets what happens to present and new connections.
     * @param mode What.
     * @param dialler Only connections whose first bytes contain this text; all if it is empty.
     */
    void set(relay_mode mode, const std::string& dialler = "");

    /*! @brief Tells whether the relay could listen. */
    [[nodiscard]] bool listening() const noexcept { return listening_; }

private:
    std::string address_;
    std::uint16_t target_;
    int listener_{-1};
    bool listening_{};
    std::atomic<bool> stopped_{};
    std::mutex mutex_;
    std::map<std::string, relay_mode> modes_;
    std::list<connection> connections_;
    std::thread thread_;
};

} // namespace dandelionbay
