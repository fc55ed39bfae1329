#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "dandelionbay/process/process_fleet.hpp"

namespace dandelionbay::testing {

/*! @brief One answer as a caller sees it. */
struct seen_answer {
    int status{};           //!< Zero if the connection broke.
    int code{};             //!< Result code of a refusal; zero without one.
    std::string executed{}; //!< Of a refusal; empty without one.
    bool retry_after{};     //!< The header is there.
    bool whole{};           //!< Complete and equal to what the engine or service must answer.
    bool false_whole{};     //!< Looks complete and is not what it must be.

    /*! @brief Tells whether this is a refusal by which the request did not run. */
    [[nodiscard]] bool not_run() const { return executed == "no"; }
};

/*! @brief Sends a chat call. @param fleet It. @param router To. @param prompt Unique text. @param stream Streamed. */
[[nodiscard]] seen_answer send_chat(const process_fleet& fleet, const std::string& router, const std::string& prompt,
                                    bool stream, std::uint32_t tokens = 20);

/*! @brief Sends an order whose key is its name. @param fleet It. @param router To. @param order Unique name. */
[[nodiscard]] seen_answer send_order(const process_fleet& fleet, const std::string& router, const std::string& order);

/*! @brief What the callers of one router saw. */
struct load_record {
    std::vector<seen_answer> chats{};
    std::map<std::string, std::vector<seen_answer>> orders{}; //!< All attempts of each order.

    /*! @brief Number of whole chat answers. */
    [[nodiscard]] std::size_t whole_chats() const;

    /*! @brief Number of orders that got their confirmation. */
    [[nodiscard]] std::size_t confirmed_orders() const;

    /*! @brief Number of orders that got their confirmation at the first attempt. */
    [[nodiscard]] std::size_t first_confirmed() const;

    /*! @brief Orders without confirmation at the first attempt, each with the status, result code and outcome. */
    [[nodiscard]] std::string first_refusals() const;
};

/**
 * @brief Callers that stream chats, make joined chat calls and send orders until they are stopped.
 *
 * An order that is not confirmed is sent again with its key, in turn through both routers, a few times.
 */
class caller_load {
    void chat(const std::string& router, bool stream);
    void order(const std::string& router, const std::string& other);
    void wait_while_held(const std::string& router) const;

public:
    /*! @brief Starts callers at both routers. @param fleet Must outlive the object. */
    explicit caller_load(const process_fleet& fleet);
    caller_load(const caller_load&) = delete;
    caller_load(caller_load&&) = delete;
    caller_load& operator=(const caller_load&) = delete;
    caller_load& operator=(caller_load&&) = delete;
    ~caller_load();

    /*! @brief Ends the callers after their present call. */
    void stop();

    /*! @brief Lets nobody call a router until it is released. @param router Its name; empty to release. */
    void hold(const std::string& router);

    /*! @brief What the callers of a router saw so far. @param router Its name. */
    [[nodiscard]] load_record seen(const std::string& router) const;

    /**
     * @brief Waits until callers of a router have got more whole answers of each kind.
     * @param router Its name.
     * @param count Number of chats and of orders from now on.
     */
    [[nodiscard]] bool wait_for_more(const std::string& router, std::size_t count) const;

    /*! @brief Checks after stop() that no answer is false, no order ran twice, and what is told of orders is true. */
    void expect_promises_kept() const;

private:
    const process_fleet& fleet_;
    std::atomic<bool> stopped_{};
    std::atomic<std::uint64_t> next_{};
    mutable std::mutex mutex_;
    std::string held_;
    std::map<std::string, load_record> seen_;
    std::vector<std::thread> threads_;
};

} // namespace dandelionbay::testing
