#include "dandelionbay/agent/agent_core.hpp"

#include <utility>

#include "dandelionbay/agent/agent_state.hpp"

namespace dandelionbay {

namespace {

// Collects the actions of one event, and of the grants that follow from it.
template<typename State, typename Event>
agent_core::actions handle(State& state, time_point now, Event event) {
    agent_core::actions out;
    event(state, out);
    state.update_grants(now, out);
    return out;
}

} // namespace

agent_core::agent_core(agent_settings settings, counters& metrics)
    : state_{std::make_unique<state>(std::move(settings), metrics)} {}

agent_core::agent_core(agent_core&&) noexcept = default;
agent_core& agent_core::operator=(agent_core&&) noexcept = default;
agent_core::~agent_core() = default;

agent_core::actions agent_core::apply(std::shared_ptr<const fleet_config> config, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.apply(std::move(config), now, out); });
}

agent_core::actions agent_core::set_fresh(bool fresh, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.set_fresh(fresh, now, out); });
}

agent_core::actions agent_core::set_host_leaving(bool leaving, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.set_host_leaving(leaving, now, out); });
}

agent_core::actions agent_core::link_up(const hello& peer, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.link_up(peer, now, out); });
}

agent_core::actions agent_core::link_down(const host_id& peer, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.link_down(peer, now, out); });
}

agent_core::actions agent_core::receive(const host_id& from, const message& body, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.receive(from, body, now, out); });
}

agent_core::actions agent_core::run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers,
                                         time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.run_head(id, status, std::move(headers), now, out); });
}

agent_core::actions agent_core::run_data(const request_id& id, std::string data, std::uint32_t tokens, time_point now) {
    // Several thousand pieces arrive each second; only one that moves the limit can lead to grants.
    actions out;
    if (state_->run_data(id, std::move(data), tokens, now, out)) {
        state_->update_grants(now, out);
    }
    return out;
}

agent_core::actions agent_core::run_broke(const request_id& id) {
    state_->run_broke(id);
    return {};
}

agent_core::actions agent_core::run_ended(const request_id& id, run_end end, std::uint32_t input_tokens,
                                          time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.run_ended(id, end, input_tokens, now, out); });
}

agent_core::actions agent_core::report(const load_report& report, time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.report(report, now, out); });
}

agent_core::actions agent_core::endpoint_lost(time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.endpoint_lost(now, out); });
}

agent_core::actions agent_core::report_timed_out(time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.report_timed_out(now, out); });
}

agent_core::actions agent_core::tick(time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.tick(now, out); });
}

agent_core::actions agent_core::begin_stop(time_point now) {
    return handle(*state_, now, [&](auto& it, auto& out) { it.begin_stop(now, out); });
}

bool agent_core::idle() const noexcept {
    return state_->idle();
}

std::uint32_t agent_core::limit() const noexcept {
    return state_->limit();
}

std::uint32_t agent_core::running() const noexcept {
    return state_->running();
}

time_point agent_core::next_deadline() const noexcept {
    return state_->next_deadline();
}

} // namespace dandelionbay
