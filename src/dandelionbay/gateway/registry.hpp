#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/gateway/route_config.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"

namespace dandelionbay {

/*! @brief A router as it announced itself; it may have been killed since. */
struct router_entry {
    host_id host{};
    socket_address peer_address{}; //!< Where it listens for its peers.

    friend bool operator==(const router_entry&, const router_entry&) = default;
};

/*! @brief Receives what is read from the platform's registry. */
class registry_listener {
public:
    registry_listener() = default;
    registry_listener(const registry_listener&) = delete;
    registry_listener(registry_listener&&) = delete;
    registry_listener& operator=(const registry_listener&) = delete;
    registry_listener& operator=(registry_listener&&) = delete;
    virtual ~registry_listener() = default;

    /*! @brief A configuration was read that is newer than all before. @param text Its text, for the peers. */
    virtual void on_config(std::shared_ptr<const route_config> config, std::string text) = 0;

    /*! @brief What operators want was read. @param read_at A moment not after the reading. */
    virtual void on_operator_state(const operator_state& state, time_point read_at) = 0;

    /*! @brief The endpoints were read. @param read_at A moment not after the reading. */
    virtual void on_endpoints(const endpoint_list& list, time_point read_at) = 0;

    /*! @brief The announcements of all routers were read. */
    virtual void on_routers(const std::vector<router_entry>& routers) = 0;

    /*! @brief Refused calls that routers kept were read, some of them perhaps long ago. Comes once. */
    virtual void on_losses(const std::vector<call_losses>& losses) = 0;

    /*! @brief The registry did not answer, or not as it should. @param call What was called. @param reason Why. */
    virtual void on_registry_failed(std::string_view call, std::string_view reason) = 0;

    /*! @brief The registry answers again. */
    virtual void on_registry_restored() = 0;
};

/*! @brief The platform's registry: configuration, endpoints, and the routers' own announcements. */
class registry {
public:
    registry() = default;
    registry(const registry&) = delete;
    registry(registry&&) = delete;
    registry& operator=(const registry&) = delete;
    registry& operator=(registry&&) = delete;
    virtual ~registry() = default;

    /*! @brief Begins to read and to announce this router. */
    virtual void start() = 0;

    /*! @brief Keeps the losses of a refused call for routers that start later. */
    virtual void retain_losses(const call_losses& it) = 0;

    /*! @brief Removes what was kept of a call. @param call Fingerprint. */
    virtual void remove_losses(std::uint64_t call) = 0;

    /*! @brief Withdraws the announcement and ends; gives the last write a short time. */
    virtual void stop() = 0;
};

/*! @brief How a router reads the registry. */
struct registry_options {
    socket_address address{};
    host_id host{};                //!< This router.
    socket_address peer_address{}; //!< Where it listens for its peers.
    duration list_interval{
        std::chrono::milliseconds{500}}; //!< A fifth of the time in which a leaving endpoint must be left.
    duration watch_timeout{
        std::chrono::milliseconds{1'000}}; //!< How long a call waits for changes; bounds the evidence's age.
    duration routers_interval{std::chrono::seconds{5}};
    duration answer_timeout{std::chrono::milliseconds{900}}; //!< Without an answer, the connection may be silent.

    friend bool operator==(const registry_options&, const registry_options&) = default;
};

} // namespace dandelionbay
