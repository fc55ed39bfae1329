#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/router/fwd.hpp"
#include "dandelionbay/router/router_action.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Identity of a router and the seed of its random numbers. */
struct router_settings {
    host_id host{};
    region_id region{};
    zone_id zone{};
    incarnation_type incarnation{};
    std::uint64_t seed{};

    friend bool operator==(const router_settings&, const router_settings&) = default;
};

/**
 * @brief State machine of an entry router: queues, fair scheduling, grants, retries and answers.
 *
 * Deterministic and free of I/O. Every event returns the resulting actions in order. Not thread-safe.
 */
class router_core {
    class state;

public:
    using actions = std::vector<router_action>;

    /**
     * @brief Creates a router without links, requests or a configuration.
     * @param settings Identity and random seed.
     * @param metrics Counters; must outlive the router_core.
     */
    router_core(router_settings settings, counters& metrics);
    router_core(const router_core&) = delete;
    router_core(router_core&&) noexcept;
    router_core& operator=(const router_core&) = delete;
    router_core& operator=(router_core&&) noexcept;
    ~router_core();

    /*! @brief Applies a configuration. @param config The configuration; not null. @param now Current time. */
    [[nodiscard]] actions apply(std::shared_ptr<const fleet_config> config, time_point now);

    /**
     * @brief Sets whether the configuration can be trusted to be the latest.
     * @param fresh If false, waiting and new requests are refused as not executed until it is true again; runs
     * continue.
     * @param now Current time.
     */
    [[nodiscard]] actions set_fresh(bool fresh, time_point now);

    /**
     * @brief Queues a request, or refuses it.
     * @param request The request; its team and service must exist in the applied configuration.
     * @param now Current time.
     * @param id Receives the id that the answer events of the request carry.
     * @return Actions; they include an answer_end if the request is refused.
     */
    [[nodiscard]] actions accept(accepted_request request, time_point now, request_id& id);

    /*! @brief Handles the disconnect of a caller. @param id Its request. @param now Current time. */
    [[nodiscard]] actions caller_gone(const request_id& id, time_point now);

    /*! @brief Handles a new link. @param peer Hello message of the peer. @param now Current time. */
    [[nodiscard]] actions link_up(const hello& peer, time_point now);

    /*! @brief Handles a broken or silent link. @param peer Host of the peer. @param now Current time. */
    [[nodiscard]] actions link_down(const host_id& peer, time_point now);

    /*! @brief Handles a received message. @param from Its sender. @param body The message. @param now Current time. */
    [[nodiscard]] actions receive(const host_id& from, const message& body, time_point now);

    /*! @brief Handles expired timers; to be called every 20 ms or at next_deadline(). @param now Current time. */
    [[nodiscard]] actions tick(time_point now);

    /*! @brief Begins a graceful stop: grants are returned if no request can use them. @param now Current time. */
    [[nodiscard]] actions begin_stop(time_point now);

    /**
     * @brief Sets the routers with which service counters and crash suspicions are exchanged.
     * @param peers Hosts chosen by the exchange tree; messages are sent only to those that have a link.
     * @param now Current time.
     */
    [[nodiscard]] actions set_exchange_peers(const std::vector<host_id>& peers, time_point now);

    /*! @brief Checks whether the router has no requests. @return True if no request waits or runs. */
    [[nodiscard]] bool idle() const noexcept;

    /*! @brief Returns the time at which tick() must be called next. @return The time, or time_point::max(). */
    [[nodiscard]] time_point next_deadline() const noexcept;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
