#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "dandelionbay/standin/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"
#include "dandelionbay/store/table_map.hpp"

namespace dandelionbay {

/*! @brief Faults of the platform that can be switched while it serves. */
struct platform_faults {
    bool down{};                       //!< Every call ends without an answer and without effect.
    std::chrono::milliseconds delay{}; //!< Added to each call before it takes effect.
    bool lose_answers{};               //!< Writes take effect but are not answered.
    double writes_per_second{300.0};   //!< More are answered 429.
    double reads_per_second{2'000.0};  //!< More are answered 429.

    friend bool operator==(const platform_faults&, const platform_faults&) = default;
};

/*! @brief Settings of the platform stand-in. */
struct standin_platform_options {
    socket_address listen{"127.0.0.1", 0};
    std::chrono::milliseconds host_list_lag{1'000}; //!< Age at which a change of the host list becomes visible.
    std::vector<host_entry> hosts{};                //!< Host list that is visible from the start.
    platform_faults faults{};

    friend bool operator==(const standin_platform_options&, const standin_platform_options&) = default;
};

/**
 * @brief Stand-in for the platform's table service and host list.
 *
 * GET and PUT /tables/{table}/{key} with ETag, If-Match and If-None-Match: *; GET /tables/{table}; GET and PUT /hosts;
 * GET and POST /faults.
 */
class standin_platform {
    class state;

public:
    /**
     * @brief Creates a platform that does not serve yet.
     * @param options Settings. @param rows The rows; a new map if null.
     */
    explicit standin_platform(standin_platform_options options, std::shared_ptr<table_map> rows = nullptr);
    standin_platform(const standin_platform&) = delete;
    standin_platform(standin_platform&&) = delete;
    standin_platform& operator=(const standin_platform&) = delete;
    standin_platform& operator=(standin_platform&&) = delete;
    ~standin_platform();

    /*! @brief Listens and serves. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start();

    /*! @brief Breaks all connections and joins all threads. */
    void stop() noexcept;

    /*! @brief Port in use. @return The port; zero before start(). */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief The stored rows. */
    [[nodiscard]] table_map& rows() noexcept;

    /*! @brief Changes the host list; visible after the configured lag. @param hosts The new list. */
    void set_hosts(std::vector<host_entry> hosts);

    /*! @brief Switches faults. @param faults All faults in force from now on. */
    void set_faults(const platform_faults& faults);

    /*! @brief The faults in force. */
    [[nodiscard]] platform_faults faults() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
