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
     * @brief Creates an agent whose endpoint counts as cold and which admits nothing until it has a configuration.
     * @param settings Identity.
     * @param metrics Counters; must outlive the core.
     */
    agent_core(agent_settings settings, counters& metrics);
    agent_core(const agent_core&) = delete;
    agent_core(agent_core&&) noexcept;
    agent_core& operator=(const agent_core&) = delete;
    agent_core& operator=(agent_core&&) noexcept;
    ~agent_core();

    /*! @brief Puts a configuration in force. @param config The configuration. @param now Current time. */
    [[nodiscard]] actions apply(std::shared_ptr<const fleet_config> config, time_point now);

    /**
     * @brief Tells the core whether its configuration may be trusted to be the newest.
     * @param fresh False stops admission until it is true again.
     * @param now Current time.
     */
    [[nodiscard]] actions set_fresh(bool fresh, time_point now);

    /*! @brief The host list says whether this host is leaving. @param leaving The state. @param now Current time. */
    [[nodiscard]] actions set_host_leaving(bool leaving, time_point now);

    /*! @brief A link is ready. @param peer The other side's first message. @param now Current time. */
    [[nodiscard]] actions link_up(const hello& peer, time_point now);

    /*! @brief A link broke or went silent. @param peer The other side. @param now Current time. */
    [[nodiscard]] actions link_down(const host_id& peer, time_point now);

    /*! @brief A message arrived. @param from Its sender. @param body The message. @param now Current time. */
    [[nodiscard]] actions receive(const host_id& from, const message& body, time_point now);

    /*! @brief The endpoint began to answer. @param id The run. @param status HTTP status. @param headers Header. */
    [[nodiscard]] actions run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers,
                                   time_point now);

    /*! @brief Bytes of an answer. @param id The run. @param data The bytes. @param tokens Output tokens in them. */
    [[nodiscard]] actions run_data(const request_id& id, std::string data, std::uint32_t tokens, time_point now);

    /*! @brief The connection of a run broke; run_ended() follows when it is known why. @param id The run. */
    [[nodiscard]] actions run_broke(const request_id& id);

    /*! @brief A run ended. @param id The run. @param end How. @param input_tokens Input tokens, zero if unknown. */
    [[nodiscard]] actions run_ended(const request_id& id, run_end end, std::uint32_t input_tokens, time_point now);

    /*! @brief The endpoint reported its state. @param report The report. @param now Current time. */
    [[nodiscard]] actions report(const load_report& report, time_point now);

    /*! @brief The endpoint refuses connections, or broke off a request for its state. @param now Current time. */
    [[nodiscard]] actions endpoint_lost(time_point now);

    /*! @brief A report did not come within its time, which alone is no sign of a loss. @param now Current time. */
    [[nodiscard]] actions report_timed_out(time_point now);

    /*! @brief Time passed; to be called every 20 ms or at next_deadline(). @param now Current time. */
    [[nodiscard]] actions tick(time_point now);

    /*! @brief Begins the graceful stop: grants are recalled, running work finishes. @param now Current time. */
    [[nodiscard]] actions begin_stop(time_point now);

    /*! @brief Tells whether no run and no unread answer is left. */
    [[nodiscard]] bool idle() const noexcept;

    /*! @brief Requests the endpoint may run at once in its present state. */
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /*! @brief Requests running at the endpoint. */
    [[nodiscard]] std::uint32_t running() const noexcept;

    /*! @brief Time of the next event that tick() must see. @return The time, or time_point::max(). */
    [[nodiscard]] time_point next_deadline() const noexcept;

private:
    std::unique_ptr<state> state_;
};

} // namespace dandelionbay
