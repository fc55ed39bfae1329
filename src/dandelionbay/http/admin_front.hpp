#pragma once

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/http/admin_api.hpp"
#include "dandelionbay/http/bounded_server.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief Settings of the administration server. */
struct admin_front_options {
    socket_address listen{}; //!< Port 0 takes a free port.
    std::string token{};     //!< The operators' bearer token.

    friend bool operator==(const admin_front_options&, const admin_front_options&) = default;
};

/*! @brief HTTP server of the administration API; every call needs the operators' bearer token. */
class admin_front final : public service {
    void answer(const httplib::Request& request, httplib::Response& response);

public:
    /**
     * @brief Creates a server that does not serve yet.
     * @param options Settings. @param api Answers the calls. @param time Clock. @param metrics Counters. All but the
     * options must outlive the server.
     */
    admin_front(admin_front_options options, admin_api& api, const clock& time, counters& metrics);
    admin_front(const admin_front&) = delete;
    admin_front(admin_front&&) = delete;
    admin_front& operator=(const admin_front&) = delete;
    admin_front& operator=(admin_front&&) = delete;
    ~admin_front() override;

    /*! @brief Listens and serves. @param host Not used. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start(kernel& host) override;

    /*! @brief Finishes the calls in progress and joins all threads. */
    void stop() noexcept override;

    /*! @brief Port in use; valid after start(). */
    [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

private:
    admin_front_options options_;
    admin_api* api_;
    bounded_server server_;
};

} // namespace dandelionbay
