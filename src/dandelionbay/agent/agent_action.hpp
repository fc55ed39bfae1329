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

/*! @brief Send the request to the endpoint. */
struct start_run {
    submit work{};

    friend bool operator==(const start_run&, const start_run&) = default;
};

/*! @brief Close the call to the endpoint; the driver still reports its end. */
struct cancel_run {
    request_id id{};

    friend bool operator==(const cancel_run&, const cancel_run&) = default;
};

/*!
 * @brief Read the endpoint's state now; a report or the loss of the endpoint must follow.
 *
 * The state must be read after this action; a report that was on its way already may be of a former process.
 */
struct check_endpoint {
    friend bool operator==(const check_endpoint&, const check_endpoint&) = default;
};

using agent_action = std::variant<send_message, start_run, cancel_run, check_endpoint>;

/*! @brief State of an endpoint as it reports it, late by its reporting interval. */
struct load_report {
    std::string process{}; //!< Identity of the endpoint's process; changes when it restarts.
    bool cold{};
    std::uint32_t running{};

    friend bool operator==(const load_report&, const load_report&) = default;
};

/*! @brief How a call to the endpoint ended. */
enum class run_end : std::uint8_t {
    complete,        //!< The whole answer was read.
    not_started,     //!< The connection failed before the first byte of the request was written.
    refused,         //!< The endpoint answered that it did not run the request.
    connection_lost, //!< The connection broke after the request was written; the endpoint still lives.
    crashed,         //!< The endpoint's process ended while the call was running.
    cancelled,       //!< Ended by cancel_run.
    timed_out,       //!< The run's time limit passed.
};

} // namespace dandelionbay
