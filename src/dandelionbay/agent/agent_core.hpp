#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dandelionbay/agent/agent_action.hpp"
#include "dandelionbay/agent/fwd.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Identity of an agent. */
struct agent_settings {
    host_id host{};
    region_id region{};
    zone_id zone{};
    endpoint_id endpoint{};
    incarnation_type incarnation{};
    std::uint64_t seed{};

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

/**
 * @brief Decision core of an endpoint agent: slots, cold start, grants, admission and answers.
 *
 * A deterministic state machine without input or output. Every event returns the actions that follow from it, in
 * order. Not safe for use by several threads at once.
 */
class agent_core {
    class state;

public:
    using actions = std::vector<agent_action>;

    /**
     * @brief Creates an agent that treats its endpoint as cold and admits nothing until it has a configuration.
     * @param settings Identity.
     * @param metrics Counters; must outlive this object.
     */
    agent_core(agent_settings settings, counters& metrics);
    agent_core(const agent_core&) = delete;
    agent_core(agent_core&&) noexcept;
    agent_core& operator=(const agent_core&) = delete;
    agent_core& operator=(agent_core&&) noexcept;
    ~agent_core();

    /**
     * @brief Applies a configuration; null and older revisions are ignored.
     * @param config The configuration.
     * @param now Current time.
     */
    [[nodiscard]] actions apply(std::shared_ptr<const fleet_config> config, time_point now);

    /**
     * @brief Sets whether the configuration is known to be the newest.
     * @param fresh False stops grants and admission until the next call with true.
     * @param now Current time.
     */
    [[nodiscard]] actions set_fresh(bool fresh, time_point now);

    /*! @brief Sets whether the host list marks this host as leaving. @param leaving Mark. @param now Current time. */
    [[nodiscard]] actions set_host_leaving(bool leaving, time_point now);

    /*! @brief Handles a new link. @param peer The first message of the peer. @param now Current time. */
    [[nodiscard]] actions link_up(const hello& peer, time_point now);

    /*! @brief Handles a link that broke or timed out. @param peer The peer. @param now Current time. */
    [[nodiscard]] actions link_down(const host_id& peer, time_point now);

    /*! @brief Handles a message. @param from The sender. @param body The message. @param now Current time. */
    [[nodiscard]] actions receive(const host_id& from, const message& body, time_point now);

    /*! @brief Handles the head of an answer. @param id The run. @param status HTTP status. @param headers Header. */
    [[nodiscard]] actions run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers,
                                   time_point now);

    /*! @brief Handles bytes of an answer. @param id The run. @param data Bytes. @param tokens Output tokens in data. */
    [[nodiscard]] actions run_data(const request_id& id, std::string data, std::uint32_t tokens, time_point now);

    /*! @brief Handles a broken connection of a run; run_ended() follows with the cause. @param id The run. */
    [[nodiscard]] actions run_broke(const request_id& id);

    /*! @brief Handles the end of a run. @param id The run. @param end Its outcome. @param input_tokens 0 if unknown. */
    [[nodiscard]] actions run_ended(const request_id& id, run_end end, std::uint32_t input_tokens, time_point now);

    /*! @brief Handles a state report of the endpoint. @param report The report. @param now Current time. */
    [[nodiscard]] actions report(const load_report& report, time_point now);

    /*! @brief Handles an endpoint that refuses connections or aborted a state request. @param now Current time. */
    [[nodiscard]] actions endpoint_lost(time_point now);

    /*! @brief Handles a state request that timed out, which alone is no proof of a loss. @param now Current time. */
    [[nodiscard]] actions report_timed_out(time_point now);

    /*! @brief Handles timeouts; must be called every 20 ms or at next_deadline(). @param now Current time. */
    [[nodiscard]] actions tick(time_point now);

    /*! @brief Begins a graceful stop: grants are recalled, running requests finish. @param now Current time. */
    [[nodiscard]] actions begin_stop(time_point now);

    /*! @brief Returns true if no run, no deferred submission and no unsent answer is left. */
    [[nodiscard]] bool idle() const noexcept;

    /*! @brief Returns the number of requests that the endpoint may run at once in its present state. */
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /*! @brief Returns the number of this agent's runs at the endpoint. */
    [[nodiscard]] std::uint32_t running() const noexcept;

    /*! @brief Returns the time at which tick() must be called next, or time_point::max(). */
    [[nodiscard]] time_point next_deadline() const noexcept;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
