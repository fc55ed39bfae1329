#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/result_code.hpp"
#include "dandelionbay/router/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Authenticated and validated request of a caller. */
struct accepted_request {
    team_id team{};
    service_id service{};
    bool idempotent{true};
    std::uint64_t fingerprint{};       //!< Hash of team, call and body.
    std::uint32_t input_tokens{};      //!< Estimate from the body; zero for plain calls.
    std::uint32_t max_output_tokens{}; //!< Caller's limit; zero if none was given.
    call request{};

    friend bool operator==(const accepted_request&, const accepted_request&) = default;
};

/*! @brief Sends a message to a host; the message is dropped if there is no link. */
struct send_message {
    host_id to{};
    message body{};

    friend bool operator==(const send_message&, const send_message&) = default;
};

/*! @brief First event of an answer: its status and headers. */
struct answer_head {
    request_id id{};
    std::int32_t status{};
    std::vector<header_field> headers{};

    friend bool operator==(const answer_head&, const answer_head&) = default;
};

/*! @brief Next bytes of an answer's body, in order and without gaps. */
struct answer_data {
    request_id id{};
    std::string data{};

    friend bool operator==(const answer_data&, const answer_data&) = default;
};

/**
 * @brief Last event of a request.
 *
 * If the code is ok, the body is complete. Otherwise the caller receives an error response if no head was sent, or a
 * body that it can recognise as incomplete.
 */
struct answer_end {
    request_id id{};
    result_code code{result_code::ok};
    executed state{executed::no};
    duration retry_after{}; //!< Delay before the caller should retry; zero if a retry would not help.

    friend bool operator==(const answer_end&, const answer_end&) = default;
};

using router_action = std::variant<send_message, answer_head, answer_data, answer_end>;

} // namespace dandelionbay
