#include "dandelionbay/proxy/attempt.hpp"

#include <utility>

#include "dandelionbay/proxy/exchange.hpp"

namespace dandelionbay {

attempt::attempt(exchange& owner, ticket_id id, endpoint_choice to, time_point now)
    : call{&owner}, ticket{id}, choice{std::move(to)}, sent_at{now}, last_event_at{now} {}

bool attempt::on_head(const response_head& received) {
    return call->on_head(*this, received);
}

// A callback may end the attempt and its call, so both are kept alive until it returns.

void attempt::on_body(std::string bytes) {
    const auto self = shared_from_this();
    const auto owner = call->shared_from_this();
    call->on_body(*this, bytes);
}

void attempt::on_complete() {
    const auto self = shared_from_this();
    const auto owner = call->shared_from_this();
    call->on_complete(*this);
}

void attempt::on_failed(request_failure reason) {
    const auto self = shared_from_this();
    const auto owner = call->shared_from_this();
    call->on_failed(*this, reason);
}

} // namespace dandelionbay
