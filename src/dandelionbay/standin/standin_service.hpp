#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "dandelionbay/standin/fwd.hpp"
#include "dandelionbay/store/host_list.hpp"

namespace dandelionbay {

/*! @brief Settings of the order service stand-in. */
struct standin_service_options {
    socket_address listen{"127.0.0.1", 0};
    std::chrono::milliseconds run_time{20}; //!< Time from the receipt of an order to its answer.

    friend bool operator==(const standin_service_options&, const standin_service_options&) = default;
};

/**
 * @brief Stand-in for a plain service that takes orders and does not recognise repeated ones.
 *
 * POST /orders with {"order": id, "answer_bytes": n (optional)}; GET /orders, /orders/{id}, /state; POST /faults with
 * {"lose_answers": bool, "run_time_ms": n, "crash": true}.
 */
class standin_service {
    class state;

public:
    /*! @brief Creates a service that does not serve yet. @param options Settings. */
    explicit standin_service(standin_service_options options);
    standin_service(const standin_service&) = delete;
    standin_service(standin_service&&) = delete;
    standin_service& operator=(const standin_service&) = delete;
    standin_service& operator=(standin_service&&) = delete;
    ~standin_service();

    /*! @brief Listens and serves. @return Unavailable if the address can't be bound. */
    [[nodiscard]] absl::Status start();

    /*! @brief Breaks all connections and joins all threads. */
    void stop() noexcept;

    /*! @brief Port in use. @return The port; zero before start(). */
    [[nodiscard]] std::uint16_t port() const noexcept;

    /*! @brief While set, orders are executed but not answered. @param lose The state. */
    void set_lose_answers(bool lose);

    /*! @brief Executed orders. @return Number of runs by order id. */
    [[nodiscard]] std::map<std::string, std::uint64_t> runs() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
