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

/*! @brief Identity and limits of a router. */
struct router_settings {
    host_id host{};
    region_id region{};
    zone_id zone{};
    incarnation_type incarnation{};
    std::uint64_t seed{};

    friend bool operator==(const router_settings&, const router_settings&) = default;
};

/**
 * @brief Decision core of an entry router: queues, fair choice, use of grants, retries and answers.
 *
 * A deterministic state machine without input or output. Every event returns the actions that follow from it, in
 * order. Not safe for use by several threads at once.
 */
class router_core {
    class state;

public:
    using actions = std::vector<router_action>;

    /**
     * @brief Creates a router without links, queues and configuration.
     * @param settings Identity and limits.
     * @param metrics Counters; must outlive the core.
     */
    router_core(router_settings settings, counters& metrics);
    router_core(const router_core&) = delete;
    router_core(router_core&&) noexcept;
    router_core& operator=(const router_core&) = delete;
    router_core& operator=(router_core&&) noexcept;
    ~router_core();

    /*! @brief Puts a configuration in force. @param config The configuration. @param now Current time. */
    [[nodiscard]] actions apply(std::shared_ptr<const fleet_config> config, time_point now);

    /**
     * @brief Tells the core whether its configuration may be trusted to be the newest.
     * @param fresh False refuses what waits and what comes as not run until it is true again; work that runs goes on.
     * @param now Current time.
     */
    [[nodiscard]] actions set_fresh(bool fresh, time_point now);

    /**
     * @brief Takes a request in.
     * @param request The request; its team and service must exist in the configuration in force.
     * @param now Current time.
     * @param id Receives the id under which the answer events come.
     * @return Actions; an answer_end among them if the request is refused at once.
     */
    [[nodiscard]] actions accept(accepted_request request, time_point now, request_id& id);

    /*! @brief The caller closed its connection. @param id The request. @param now Current time. */
    [[nodiscard]] actions caller_gone(const request_id& id, time_point now);

    /*! @brief A link is ready. @param peer The other side's first message. @param now Current time. */
    [[nodiscard]] actions link_up(const hello& peer, time_point now);

    /*! @brief A link broke or went silent. @param peer The other side. @param now Current time. */
    [[nodiscard]] actions link_down(const host_id& peer, time_point now);

    /*! @brief A message arrived. @param from Its sender. @param body The message. @param now Current time. */
    [[nodiscard]] actions receive(const host_id& from, const message& body, time_point now);

    /*! @brief Time passed; to be called every 20 ms or at next_deadline(). @param now Current time. */
    [[nodiscard]] actions tick(time_point now);

    /*! @brief Begins the graceful stop: grants go back when nothing waits. @param now Current time. */
    [[nodiscard]] actions begin_stop(time_point now);

    /**
     * @brief Sets the routers with which service counters and suspicions are exchanged.
     * @param peers Hosts chosen by the exchange tree; messages go only to those that have a link.
     * @param now Current time.
     */
    [[nodiscard]] actions set_exchange_peers(const std::vector<host_id>& peers, time_point now);

    /*! @brief Tells whether no request is left. @return True if none waits or runs. */
    [[nodiscard]] bool idle() const noexcept;

    /*! @brief Time of the next event that tick() must see. @return The time, or time_point::max(). */
    [[nodiscard]] time_point next_deadline() const noexcept;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
