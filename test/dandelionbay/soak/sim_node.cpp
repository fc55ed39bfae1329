#include "soak/sim_node.hpp"

#include <utility>

namespace dandelionbay::soak {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;
constexpr duration zone_out_limit = 5s;
constexpr double output_token_cost = 2;

double input_cost(const submit& work) {
    return work.model_call ? static_cast<double>(work.request.body.find(' ')) : 1.0;
}

} // namespace

sim_router::sim_router(world& shared, router_settings settings, std::shared_ptr<const fleet_config> config)
    : shared_{&shared}, settings_{std::move(settings)}, config_{std::move(config)}, core_{std::make_unique<router_core>(
                                                                                        settings_, shared.metrics)} {
    perform(core_->apply(config_, shared_->events.now()));
    perform(core_->set_fresh(true, shared_->events.now()));
    tick();
}

void sim_router::perform(const router_core::actions& actions) {
    for (const auto& action : actions) {
        if (const auto* const send = std::get_if<send_message>(&action)) {
            if (const auto* const work = std::get_if<submit>(&send->body)) {
                shared_->checks.submitted(*work);
            }
            shared_->links.send(settings_.host, send->to, send->body);
        } else if (const auto* const data = std::get_if<answer_data>(&action)) {
            shared_->checks.data(data->id, data->data);
        } else if (const auto* const end = std::get_if<answer_end>(&action)) {
            open_.erase(end->id);
            shared_->checks.ended(*end);
        }
    }
}

void sim_router::tick() {
    if (shared_->links.paused_until(settings_.host) <= shared_->events.now()) {
        perform(core_->tick(shared_->events.now()));
    }
    shared_->events.after(tick_interval, [this] { tick(); });
}

hello sim_router::introduce() const {
    return {settings_.host,   host_role::router, settings_.region, settings_.zone, settings_.incarnation, {},
            config_->revision};
}

void sim_router::link_up(const hello& peer) {
    perform(core_->link_up(peer, shared_->events.now()));
}

void sim_router::link_down(const host_id& peer) {
    perform(core_->link_down(peer, shared_->events.now()));
}

void sim_router::receive(const host_id& from, const message& body) {
    perform(core_->receive(from, body, shared_->events.now()));
}

void sim_router::submit_request(accepted_request request, const std::string& key, std::uint32_t tokens) {
    request_id id{};
    const bool idempotent = request.idempotent;
    const auto team = request.team;
    const auto actions = core_->accept(std::move(request), shared_->events.now(), id);
    open_.insert(id);
    shared_->checks.accepted(id, team, key, tokens, idempotent, shared_->events.now());
    perform(actions);
}

void sim_router::caller_leaves(const request_id& id) {
    if (open_.contains(id)) {
        shared_->checks.abandoned(id);
        open_.erase(id);
        perform(core_->caller_gone(id, shared_->events.now()));
    }
}

void sim_router::apply(std::shared_ptr<const fleet_config> config) {
    // The adopter of a node never passes a lower revision on.
    if (config->revision <= config_->revision) {
        return;
    }
    config_ = std::move(config);
    perform(core_->apply(config_, shared_->events.now()));
}

void sim_router::set_peers(const std::vector<host_id>& peers) {
    peers_ = peers;
    perform(core_->set_exchange_peers(peers_, shared_->events.now()));
}

void sim_router::begin_stop() {
    stopping_ = true;
    perform(core_->begin_stop(shared_->events.now()));
}

void sim_router::restart() {
    for (const auto& id : open_) {
        shared_->checks.abandoned(id);
    }
    open_.clear();
    stopping_ = false;
    ++settings_.incarnation;
    core_ = std::make_unique<router_core>(settings_, shared_->metrics);
    perform(core_->set_exchange_peers(peers_, shared_->events.now()));
    perform(core_->apply(config_, shared_->events.now()));
    perform(core_->set_fresh(true, shared_->events.now()));
    shared_->links.break_links(settings_.host);
}

sim_agent::sim_agent(world& shared, agent_settings settings, std::uint32_t slots,
                     std::shared_ptr<const fleet_config> config)
    : shared_{&shared}, settings_{std::move(settings)}, config_{std::move(config)}, core_{std::make_unique<agent_core>(
                                                                                        settings_, shared.metrics)} {
    endpoint_events& sink = *this;
    endpoint_ = std::make_unique<sim_endpoint>(shared.events, settings_.seed, slots, sink);
    perform(core_->apply(config_, shared_->events.now()));
    perform(core_->set_fresh(true, shared_->events.now()));
    tick();
}

void sim_agent::perform(const agent_core::actions& actions) {
    for (const auto& action : actions) {
        if (const auto* const send = std::get_if<send_message>(&action)) {
            shared_->links.send(settings_.host, send->to, send->body);
        } else if (const auto* const run = std::get_if<start_run>(&action)) {
            start(run->work);
        } else if (const auto* const cancel = std::get_if<cancel_run>(&action)) {
            // The driver reports the end of a cancelled call later, never from within the action.
            shared_->events.after(1ms, [this, id = cancel->id] { endpoint_->cancel(id); });
        } else if (std::holds_alternative<check_endpoint>(action)) {
            endpoint_->check();
        }
    }
}

void sim_agent::start(const submit& work) {
    const auto now = shared_->events.now();
    const bool out_too_long = zone_out_since_.has_value() && now > *zone_out_since_ + zone_out_limit;
    const bool bearable = endpoint_->start(work);
    shared_->checks.served(work.team, input_cost(work));
    teams_[work.id] = work.team;
    shared_->checks.engine_started(work, settings_.endpoint, bearable, out_too_long);
}

void sim_agent::tick() {
    busy_ += tick_interval * static_cast<duration::rep>(endpoint_->running());
    if (shared_->links.paused_until(settings_.host) <= shared_->events.now()) {
        perform(core_->tick(shared_->events.now()));
    }
    shared_->events.after(tick_interval, [this] { tick(); });
}

void sim_agent::run_head(const request_id& id) {
    perform(core_->run_head(id, 200, {}, shared_->events.now()));
}

void sim_agent::run_data(const request_id& id, std::string data) {
    shared_->checks.served(teams_[id], output_token_cost);
    perform(core_->run_data(id, std::move(data), 1, shared_->events.now()));
}

void sim_agent::run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) {
    perform(core_->run_ended(id, end, input_tokens, shared_->events.now()));
}

void sim_agent::reported(const load_report& state) {
    perform(core_->report(state, shared_->events.now()));
}

hello sim_agent::introduce() const {
    return {settings_.host,        host_role::agent,   settings_.region, settings_.zone,
            settings_.incarnation, settings_.endpoint, config_->revision};
}

void sim_agent::link_up(const hello& peer) {
    perform(core_->link_up(peer, shared_->events.now()));
}

void sim_agent::link_down(const host_id& peer) {
    perform(core_->link_down(peer, shared_->events.now()));
}

void sim_agent::receive(const host_id& from, const message& body) {
    perform(core_->receive(from, body, shared_->events.now()));
}

void sim_agent::apply(std::shared_ptr<const fleet_config> config) {
    // The adopter of a node never passes a lower revision on.
    if (config->revision <= config_->revision) {
        return;
    }
    config_ = std::move(config);
    perform(core_->apply(config_, shared_->events.now()));
}

void sim_agent::set_fresh(bool fresh) {
    perform(core_->set_fresh(fresh, shared_->events.now()));
}

void sim_agent::begin_stop() {
    stopping_ = true;
    perform(core_->begin_stop(shared_->events.now()));
}

void sim_agent::restart() {
    ++settings_.incarnation;
    stopping_ = false;
    endpoint_->drop_calls();
    core_ = std::make_unique<agent_core>(settings_, shared_->metrics);
    perform(core_->apply(config_, shared_->events.now()));
    perform(core_->set_fresh(true, shared_->events.now()));
    shared_->links.break_links(settings_.host);
}

} // namespace dandelionbay::soak
