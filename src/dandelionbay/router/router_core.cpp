#include "dandelionbay/router/router_core.hpp"

#include "dandelionbay/router/internal/state.hpp"

namespace dandelionbay {

router_core::router_core(router_settings settings, counters& metrics)
    : state_{std::make_unique<state>(std::move(settings), metrics)} {}

router_core::router_core(router_core&&) noexcept = default;
router_core& router_core::operator=(router_core&&) noexcept = default;
router_core::~router_core() = default;

router_core::actions router_core::apply(std::shared_ptr<const fleet_config> config, time_point now) {
    return state_->apply(std::move(config), now);
}

router_core::actions router_core::set_fresh(bool fresh, time_point now) {
    return state_->set_fresh(fresh, now);
}

router_core::actions router_core::accept(accepted_request request, time_point now, request_id& id) {
    return state_->accept(std::move(request), now, id);
}

router_core::actions router_core::caller_gone(const request_id& id, time_point now) {
    return state_->caller_gone(id, now);
}

router_core::actions router_core::link_up(const hello& peer, time_point now) {
    return state_->link_up(peer, now);
}

router_core::actions router_core::link_down(const host_id& peer, time_point now) {
    return state_->link_down(peer, now);
}

router_core::actions router_core::receive(const host_id& from, const message& body, time_point now) {
    return state_->receive(from, body, now);
}

router_core::actions router_core::tick(time_point now) {
    return state_->tick(now);
}

router_core::actions router_core::begin_stop(time_point now) {
    return state_->begin_stop(now);
}

router_core::actions router_core::set_exchange_peers(const std::vector<host_id>& peers, time_point now) {
    return state_->set_exchange_peers(peers, now);
}

bool router_core::idle() const noexcept {
    return state_->idle();
}

time_point router_core::next_deadline() const noexcept {
    return state_->next_deadline();
}

} // namespace dandelionbay
