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

/*! @brief One sending of a call to an endpoint, with what has come back of it. */
struct attempt final : response_handler, std::enable_shared_from_this<attempt> {
    /*! @brief Creates it. @param owner Its call; outlives it. @param name Its ticket. @param to Where it goes.
     *  @param now Time. */
    attempt(exchange& owner, ticket_id name, endpoint_choice to, time_point now);

    [[nodiscard]] bool on_head(const response_head& it) override;
    void on_body(std::string bytes) override;
    void on_complete() override;
    void on_failed(request_failure why) override;

    /*! @brief Bytes of its answer that are held until it, or an event of it, is complete. */
    [[nodiscard]] std::size_t buffered_response_bytes() const noexcept { return body.size() + scanner.rest().size(); }

    exchange* const call;
    const ticket_id ticket;
    const endpoint_choice choice;
    const time_point sent_at;
    time_point last_event_at;                  //!< When it was sent, or its newest event came.
    std::shared_ptr<http_connection> client{}; //!< Null once it has ended.
    std::optional<response_head> head{};
    response_metadata metadata{};
    std::string body{};
    event_scanner scanner{};
    bool is_streaming{};    //!< The answer is passed on event by event.
    bool is_continuation{}; //!< The answer goes on with what an earlier attempt began.
    bool is_paused{};       //!< The caller does not take what has come.
};

} // namespace dandelionbay
