#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "dandelionbay/agent/fwd.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/router/router_action.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Instructs the driver to send the request to the endpoint. */
struct start_run {
    submit work{};

    friend bool operator==(const start_run&, const start_run&) = default;
};

/*! @brief Instructs the driver to close the call to the endpoint; the driver still reports the end of the run. */
struct cancel_run {
    request_id id{};

    friend bool operator==(const cancel_run&, const cancel_run&) = default;
};

/*!
 * @brief Instructs the driver to read the endpoint's state; a report, a timeout or the endpoint's loss must follow.
 *
 * The read must start after this action: a report already in flight may come from a previous process.
 */
struct check_endpoint {
    friend bool operator==(const check_endpoint&, const check_endpoint&) = default;
};

using agent_action = std::variant<send_message, start_run, cancel_run, check_endpoint>;

/*! @brief State that an endpoint reports about itself, delayed by up to its reporting interval. */
struct load_report {
    std::string process{}; //!< Identity of the endpoint's process; changes at a restart.
    bool cold{};
    std::uint32_t running{};

    friend bool operator==(const load_report&, const load_report&) = default;
};

/*! @brief How a call to the endpoint ended. */
enum class run_end : std::uint8_t {
    complete,        //!< The whole answer was read.
    not_started,     //!< The connection failed before the first byte of the request was written.
    refused,         //!< The endpoint responded that it did not run the request.
    connection_lost, //!< The connection broke after the request was written; the endpoint's process is still alive.
    crashed,         //!< The endpoint's process ended while the call was running.
    cancelled,       //!< Closed by cancel_run.
    timed_out,       //!< The run exceeded its time limit.
};

} // namespace dandelionbay
