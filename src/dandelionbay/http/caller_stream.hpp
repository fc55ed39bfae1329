#pragma once

#include <httplib.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay::internal {

/*! @brief Limits of a caller's connection. */
struct connection_limits {
    std::size_t max_header_bytes{std::size_t{32} << 10U};
    std::size_t max_body_bytes{std::size_t{7} << 20U}; //!< Below the longest frame.
    std::chrono::milliseconds receive_time{10'000};    //!< For a whole request.
    std::chrono::milliseconds send_time{10'000};       //!< Without any progress.
    std::chrono::milliseconds idle_time{5'000};        //!< Between two requests.

    friend bool operator==(const connection_limits&, const connection_limits&) = default;
};

/*! @brief Why a request could not be read. */
enum class receive_fault : std::uint8_t { none, too_slow, too_large, connection_lost };

/**
 * @brief Buffered stream over a caller's socket that bounds size and time of each request.
 *
 * The library bounds neither the whole header nor the time of a whole request.
 */
class caller_stream final : public httplib::Stream {
    static constexpr std::size_t buffer_bytes = 16'384;

    [[nodiscard]] bool wait(std::int16_t events, time_point until) const;
    [[nodiscard]] bool has_buffered() const noexcept { return begin_ < end_; }
    ssize_t fault(receive_fault reason) noexcept;

public:
    /*! @brief Takes a socket, which stays owned by the caller. @param fd Socket. @param limits Limits. @param time
     * Clock. */
    caller_stream(int fd, const connection_limits& limits, const clock& time);
    caller_stream(const caller_stream&) = delete;
    caller_stream(caller_stream&&) = delete;
    caller_stream& operator=(const caller_stream&) = delete;
    caller_stream& operator=(caller_stream&&) = delete;
    ~caller_stream() override;

    /*! @brief The stream whose request the calling thread serves; null outside of a request. */
    [[nodiscard]] static caller_stream* current() noexcept;

    /**
     * @brief Waits for the first byte of a request.
     * @tparam Stop Callable without parameters.
     * @param stop Ends the wait when it returns true.
     * @return False if none came within the idle time or the connection ended.
     */
    template<typename Stop>
    [[nodiscard]] bool wait_request(Stop stop) {
        const auto until = clock_->now() + limits_.idle_time;
        while (!has_buffered()) {
            const auto slice = std::min<time_point>(until, clock_->now() + std::chrono::milliseconds{50});
            if (wait(poll_in, slice)) {
                return !peer_gone();
            }
            if (stop() || clock_->now() >= until) {
                return false;
            }
        }
        return true;
    }

    /*! @brief A request begins; its limits count from now. */
    void begin_request();

    /*! @brief The header was read; the bound of the body holds from now on. */
    void header_read() noexcept { in_header_ = false; }

    /*! @brief The connection is closed after the present answer. */
    void end_connection() noexcept { fault_ = receive_fault::connection_lost; }

    /*! @brief Tells whether the caller closed its side of the connection. */
    [[nodiscard]] bool peer_gone() const noexcept;

    /*! @brief Why the present request could not be read. */
    [[nodiscard]] receive_fault fault() const noexcept { return fault_; }

    /*! @brief Tells whether anything of the present answer was sent. */
    [[nodiscard]] bool answered() const noexcept { return sent_ > 0; }

    /*! @brief Sends the end of the answer to a caller that may still be sending, and closes the socket. */
    void close() noexcept;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* to, std::size_t size) override;
    ssize_t write(const char* from, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return fd_; }

private:
    static constexpr std::int16_t poll_in = 0x001;

    int fd_;
    connection_limits limits_;
    const clock* clock_;
    std::array<char, buffer_bytes> buf_{};
    std::size_t begin_{};
    std::size_t end_{};
    std::size_t received_{};
    std::size_t sent_{};
    time_point deadline_{};
    receive_fault fault_{receive_fault::none};
    bool in_header_{true};
};

} // namespace dandelionbay::internal
