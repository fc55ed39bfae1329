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

/*! @brief Tells whether a status promises a caller that its call has not run. */
[[nodiscard]] constexpr bool implies_not_run(int status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/*! @brief What the router tells an endpoint about a call. */
struct forwarding_metadata {
    endpoint_id endpoint{}; //!< Another endpoint at this address must not run it.
    team_id team{};         //!< Empty for calls without a team.
    duration time_left{};
    std::optional<std::uint64_t> resume_after{};

    friend bool operator==(const forwarding_metadata&, const forwarding_metadata&) = default;
};

/*! @brief What an endpoint's answer says besides status and body. */
struct response_metadata {
    std::string id{};      //!< The caller's name for the attempt that it answers; empty if it does not say.
    bool has_signature{};  //!< It bears the endpoint's signature.
    bool not_run{};        //!< The endpoint says that it did not run the call.
    bool wrong_endpoint{}; //!< Another endpoint has this address.
    bool encoded{};        //!< The body is not the endpoint's own.
    bool leaving{};        //!< The endpoint leaves and takes no new calls.
    duration pause{};      //!< Time for which the endpoint wants no calls from this router; zero for none.
    std::optional<duration> cold_for{};
    std::optional<duration> idle_timeout{}; //!< Time after which the endpoint closes an idle connection.

    friend bool operator==(const response_metadata&, const response_metadata&) = default;
};

/*! @brief Names and formats of what callers and endpoints put into header fields. */
class call_protocol {
public:
    call_protocol() = default;
    call_protocol(const call_protocol&) = delete;
    call_protocol(call_protocol&&) = delete;
    call_protocol& operator=(const call_protocol&) = delete;
    call_protocol& operator=(call_protocol&&) = delete;
    virtual ~call_protocol() = default;

    /*! @brief Reads what a caller asks for. @param fields Header of its request. */
    [[nodiscard]] virtual call_options read_call(const field_list& fields) const = 0;

    /*! @brief Replaces in a caller's header what the router sets itself. @param fields Header to be sent on. */
    virtual void write_call(field_list& fields, const forwarding_metadata& terms) const = 0;

    /*! @brief Reads an answer. @param head Its head. */
    [[nodiscard]] virtual response_metadata read_response(const response_head& head) const = 0;
};

} // namespace dandelionbay
