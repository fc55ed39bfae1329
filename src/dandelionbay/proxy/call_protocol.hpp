#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/gateway/call_options.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_message.hpp"

namespace dandelionbay {

/*! @brief Tells whether a status implies to a caller that its call has not run. */
[[nodiscard]] constexpr bool implies_not_run(int status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/*! @brief What the router tells an endpoint about a call. */
struct forwarding_metadata {
    endpoint_id endpoint{}; //!< Any other endpoint at this address must reject the call.
    team_id team{};         //!< Empty for calls without a team.
    duration time_left{};
    std::optional<std::uint64_t> resume_after{};

    friend bool operator==(const forwarding_metadata&, const forwarding_metadata&) = default;
};

/*! @brief Metadata of an endpoint's response, besides status and body. */
struct response_metadata {
    std::string id{};     //!< The caller's id of the attempt that this answers; empty if the response doesn't name one.
    bool has_signature{}; //!< The response carries the endpoint's signature.
    bool not_run{};       //!< The endpoint states that it did not run the call.
    bool wrong_endpoint{}; //!< The address belongs to another endpoint.
    bool encoded{};        //!< The body has a content encoding and is not as the endpoint wrote it.
    bool leaving{};        //!< The endpoint is shutting down and accepts no new calls.
    duration pause{};      //!< How long the endpoint wants no calls from this router; zero for no pause.
    std::optional<duration> cold_for{};
    std::optional<duration> idle_timeout{}; //!< Time after which the endpoint closes an idle connection.

    friend bool operator==(const response_metadata&, const response_metadata&) = default;
};

/*! @brief Names and formats of the header fields exchanged with callers and endpoints. */
class call_protocol {
public:
    call_protocol() = default;
    call_protocol(const call_protocol&) = delete;
    call_protocol(call_protocol&&) = delete;
    call_protocol& operator=(const call_protocol&) = delete;
    call_protocol& operator=(call_protocol&&) = delete;
    virtual ~call_protocol() = default;

    /*! @brief Parses what a caller asks for. @param fields Header of its request. */
    [[nodiscard]] virtual call_options read_call(const field_list& fields) const = 0;

    /*! @brief Replaces the fields that only the router may set. @param fields Header to forward to the endpoint. */
    virtual void write_call(field_list& fields, const forwarding_metadata& terms) const = 0;

    /*! @brief Parses a response's metadata. @param head Head of the response. */
    [[nodiscard]] virtual response_metadata read_response(const response_head& head) const = 0;
};

} // namespace dandelionbay
