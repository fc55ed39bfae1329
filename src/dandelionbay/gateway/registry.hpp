#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/gateway/route_config.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"
#include "dandelionbay/limit/part_crash_registry.hpp"

namespace dandelionbay {

/*! @brief Announcement of a router; the router may have crashed since. */
struct router_entry {
    host_id host{};
    socket_address peer_address{}; //!< Listening address for its peers.

    friend bool operator==(const router_entry&, const router_entry&) = default;
};

/*! @brief Receives the data that is read from the platform's registry. */
class registry_listener {
public:
    registry_listener() = default;
    registry_listener(const registry_listener&) = delete;
    registry_listener(registry_listener&&) = delete;
    registry_listener& operator=(const registry_listener&) = delete;
    registry_listener& operator=(registry_listener&&) = delete;
    virtual ~registry_listener() = default;

    /**
     * @brief Called with a configuration that is newer than all before.
     * @param config The configuration.
     * @param text The text it was parsed from, which is passed on to peers.
     */
    virtual void on_config(std::shared_ptr<const route_config> config, std::string text) = 0;

    /*! @brief Called with the state set by operators. @param read_at A time not later than the read. */
    virtual void on_operator_state(const operator_state& state, time_point read_at) = 0;

    /*! @brief Called with the registered endpoints. @param read_at A time not later than the read. */
    virtual void on_endpoints(const endpoint_list& list, time_point read_at) = 0;

    /*! @brief Called with the announcements of all routers. */
    virtual void on_routers(const std::vector<router_entry>& routers) = 0;

    /*! @brief Called with the retained losses of refused calls, some of which may be old: at the start, and after the
     *  registry was restored from a backup. */
    virtual void on_losses(const std::vector<call_losses>& losses) = 0;

    /*! @brief Called at the same times with the retained blocked prompt parts, some of which may be old; all have a
     * time of blocking.
     */
    virtual void on_blocked_parts(const std::vector<part_status>& parts) = 0;

    /*! @brief Called at the same times with the versions of each service that may have served of late. */
    virtual void on_versions(const std::map<service_id, std::set<version_id>>& versions) = 0;

    /**
     * @brief Called when the registry sent no answer or an invalid one.
     * @param call The operation that failed.
     * @param reason Cause of the failure.
     */
    virtual void on_registry_failed(std::string_view call, std::string_view reason) = 0;

    /*! @brief Called when the registry answers again after a failure. */
    virtual void on_registry_restored() = 0;

    /*! @brief Tells whether losses that the registry has lost are still needed. @param call Fingerprint of the call. */
    [[nodiscard]] virtual bool needs_losses(std::uint64_t call) const = 0;

    /*! @brief Tells whether a blocked part that the registry has lost is still needed. */
    [[nodiscard]] virtual bool needs_blocked_part(const service_part& part) const = 0;
};

/*! @brief Client of the platform's registry, which holds the configuration, the endpoints and the announcements of
 * routers. */
class registry {
public:
    registry() = default;
    registry(const registry&) = delete;
    registry(registry&&) = delete;
    registry& operator=(const registry&) = delete;
    registry& operator=(registry&&) = delete;
    virtual ~registry() = default;

    /*! @brief Starts reading and announces this router. */
    virtual void start() = 0;

    /*! @brief Writes the losses of a refused call for routers that start later. */
    virtual void retain_losses(const call_losses& losses) = 0;

    /*! @brief Removes the retained losses of a call. @param call Fingerprint of the call. */
    virtual void remove_losses(std::uint64_t call) = 0;

    /*! @brief Writes a blocked prompt part for routers that start later. @param status Its time of blocking is set. */
    virtual void retain_blocked_part(const part_status& status) = 0;

    /*! @brief Removes a retained prompt part. */
    virtual void remove_blocked_part(const service_part& part) = 0;

    /*! @brief Writes the versions of a service that serve or did of late, for routers that start later. */
    virtual void retain_versions(const service_id& service, const std::set<version_id>& versions) = 0;

    /*! @brief Withdraws the announcement and stops; waits a short time for the last write. */
    virtual void stop() = 0;
};

/*! @brief Settings for reading the registry. */
struct registry_options {
    socket_address address{};
    host_id host{};                                           //!< Host of this router.
    socket_address peer_address{};                            //!< Listening address of this router for its peers.
    duration list_interval{std::chrono::milliseconds{500}};   //!< A fifth of the bound for calls to a leaving endpoint.
    duration watch_timeout{std::chrono::milliseconds{1'000}}; //!< Wait of a long poll; bounds the age of the data.
    duration routers_interval{std::chrono::seconds{5}};
    duration answer_timeout{std::chrono::milliseconds{900}}; //!< Without an answer, the connection may be dead.

    friend bool operator==(const registry_options&, const registry_options&) = default;
};

} // namespace dandelionbay
