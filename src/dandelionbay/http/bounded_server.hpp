#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <thread>

#include "absl/status/status.h"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/http/caller_stream.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief Header fields of the present request that were hidden from the library. */
struct hidden_fields {
    std::string content_type{};
    std::string content_encoding{};
    std::string accept{};

    friend bool operator==(const hidden_fields&, const hidden_fields&) = default;
};

/**
 * @brief HTTP server with a fixed number of threads, a bounded queue of connections and bounds on each request.
 *
 * Requests reach the handlers as they were sent: content coding, form encoding and ranges are not interpreted.
 */
class bounded_server final : public httplib::Server {
    class connection_queue;

    bool process_and_close_socket(socket_t sock) override;
    void serve(internal::caller_stream& stream);
    void answer_fault(internal::caller_stream& stream, result_code code);
    [[nodiscard]] bool check_target(const httplib::Request& request, httplib::Response& response);
    void complete_error(httplib::Response& response);

public:
    /**
     * @brief Creates a server that does not listen yet.
     * @param threads Connections served at once; as many again wait, more are answered 503.
     * @param limits Limits of each connection. @param time Clock. @param metrics Counters; both must outlive the
     * server.
     */
    bounded_server(std::uint32_t threads, internal::connection_limits limits, const clock& time, counters& metrics);
    bounded_server(const bounded_server&) = delete;
    bounded_server(bounded_server&&) = delete;
    bounded_server& operator=(const bounded_server&) = delete;
    bounded_server& operator=(bounded_server&&) = delete;
    ~bounded_server() override;

    /*! @brief Listens and serves. @param address Port 0 takes a free port. @return Unavailable if that fails. */
    [[nodiscard]] absl::Status start(const socket_address& address);

    /*! @brief Closes each connection after its present answer from now on. */
    void begin_close() noexcept { closing_ = true; }

    /*! @brief Stops listening, lets the answers in progress end and joins all threads. */
    void finish() noexcept;

    /*! @brief Port in use; valid after start(). */
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /*! @brief Requests whose answer is not yet sent. */
    [[nodiscard]] std::int64_t active() const noexcept { return active_; }

    /*! @brief Hidden header fields of the request that the calling thread serves. */
    [[nodiscard]] static const hidden_fields& hidden() noexcept;

private:
    internal::connection_limits limits_;
    const clock* clock_;
    counters* counters_;
    std::atomic<bool> closing_{false};
    std::atomic<std::int64_t> active_{0};
    std::atomic<std::size_t> waiting_{0};
    std::uint16_t port_{};
    std::thread thread_;
};

} // namespace dandelionbay
