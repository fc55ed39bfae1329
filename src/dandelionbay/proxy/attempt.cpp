#include "dandelionbay/proxy/attempt.hpp"

#include <utility>

#include "dandelionbay/proxy/exchange.hpp"

namespace dandelionbay {

attempt::attempt(exchange& owner, ticket_id name, endpoint_choice to, time_point now)
    : call{&owner}, ticket{name}, choice{std::move(to)}, sent_at{now}, last_event_at{now} {}

bool attempt::on_head(const response_head& it) {
    return call->on_head(*this, it);
}

// What comes may end the attempt and its call.

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

void attempt::on_failed(request_failure why) {
    const auto self = shared_from_this();
    const auto owner = call->shared_from_this();
    call->on_failed(*this, why);
}

} // namespace dandelionbay
