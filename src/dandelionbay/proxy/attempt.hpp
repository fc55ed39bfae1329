#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/work.hpp"
#include "dandelionbay/proxy/call_protocol.hpp"
#include "dandelionbay/proxy/event_scanner.hpp"
#include "dandelionbay/proxy/fwd.hpp"
#include "dandelionbay/proxy/http_connection.hpp"

namespace dandelionbay {

/*! @brief One attempt to run a call at an endpoint, with the response received so far. */
struct attempt final : response_handler, std::enable_shared_from_this<attempt> {
    /*! @brief Creates an attempt. @param owner Its call; must outlive the attempt. @param id Its ticket.
     *  @param to The chosen endpoint. @param now Current time. */
    attempt(exchange& owner, ticket_id id, endpoint_choice to, time_point now);

    [[nodiscard]] bool on_head(const response_head& received) override;
    void on_body(std::string bytes) override;
    void on_complete() override;
    void on_failed(request_failure reason) override;

    /*! @brief Bytes of the response that are buffered until the response, or the current event, is complete. */
    [[nodiscard]] std::size_t buffered_response_bytes() const noexcept {
        return body.size() + scanner.partial_event().size();
    }

    exchange* const call;
    const ticket_id ticket;
    const endpoint_choice choice;
    const time_point sent_at;
    time_point last_event_at;                  //!< When the request was sent or the latest event arrived.
    std::shared_ptr<http_connection> client{}; //!< Null once the attempt has ended.
    std::optional<response_head> head{};
    response_metadata metadata{};
    std::string body{};
    event_scanner scanner{};
    bool has_begun{};        //!< An event or a whole response was received.
    time_point begun_at{};   //!< When that was.
    bool has_proven_parts{}; //!< The response proved the shared parts of the prompt sound.
    bool is_streaming{};     //!< The response is forwarded event by event.
    bool is_continuation{};  //!< The response continues a stream that an earlier attempt started.
    bool is_paused{};        //!< Reading is paused because the caller's connection is backed up.
};

} // namespace dandelionbay
