#include "soak/sim_node.hpp"

#include <utility>

#include "dandelionbay/member/exchange_tree.hpp"

namespace dandelionbay::soak {

namespace {

using namespace std::chrono_literals;

constexpr duration measure_interval = 20ms;
constexpr duration zone_out_limit = 5s;
constexpr double output_token_cost = 2;

double input_cost(const submit& work) {
    return work.model_call ? static_cast<double>(work.request.body.find(' ')) : 1.0;
}

hello hello_of(const router_settings& it) {
    return {it.host, host_role::router, it.region, it.zone, it.incarnation, {}, 0};
}

hello hello_of(const agent_settings& it) {
    return {it.host, host_role::agent, it.region, it.zone, it.incarnation, it.endpoint, 0};
}

} // namespace

sim_router::sim_router(world& shared, router_settings settings)
    : sim_driver{shared, hello_of(settings), settings.seed}, settings_{std::move(settings)},
      core_{std::make_unique<router_core>(settings_, shared.metrics)} {
    begin();
}

void sim_router::perform(const router_core::actions& actions) {
    for (const auto& action : actions) {
        if (const auto* const send = std::get_if<send_message>(&action)) {
            if (const auto* const work = std::get_if<submit>(&send->body)) {
                shared().checks.submitted(*work);
            }
            shared().links.send(settings_.host, send->to, send->body);
        } else if (const auto* const data = std::get_if<answer_data>(&action)) {
            shared().checks.data(data->id, data->data);
        } else if (const auto* const end = std::get_if<answer_end>(&action)) {
            open_.erase(end->id);
            shared().checks.ended(*end);
        }
    }
}

void sim_router::update_freshness(bool fresh) {
    if (fresh != std::exchange(fresh_, fresh)) {
        perform(core_->set_fresh(fresh, now()));
    }
}

void sim_router::refresh_exchange() {
    const auto members = fleet().members().members(now());
    auto peers = exchange_tree{host(), members}.peers();
    if (peers != peers_) {
        peers_ = std::move(peers);
        perform(core_->set_exchange_peers(peers_, now()));
    }
}

void sim_router::on_config(const std::shared_ptr<const fleet_config>& config) {
    perform(core_->apply(config, now()));
}

void sim_router::on_link_up(const hello& peer) {
    perform(core_->link_up(peer, now()));
}

void sim_router::on_link_down(const host_id& peer) {
    perform(core_->link_down(peer, now()));
}

void sim_router::on_message(const host_id& from, const message& body) {
    perform(core_->receive(from, body, now()));
}

void sim_router::on_tick(bool fresh) {
    update_freshness(fresh);
    refresh_exchange();
    perform(core_->tick(now()));
}

void sim_router::submit_request(accepted_request request, const std::string& key, std::uint32_t tokens) {
    update_freshness(fresh());
    request_id id{};
    const bool idempotent = request.idempotent;
    const auto team = request.team;
    const auto actions = core_->accept(std::move(request), now(), id);
    open_.insert(id);
    shared().checks.accepted(id, team, key, tokens, idempotent, now());
    perform(actions);
}

void sim_router::caller_leaves(const request_id& id) {
    if (open_.contains(id)) {
        shared().checks.abandoned(id);
        open_.erase(id);
        perform(core_->caller_gone(id, now()));
    }
}

void sim_router::begin_stop() {
    announce_stop();
    perform(core_->begin_stop(now()));
}

void sim_router::restart() {
    for (const auto& id : open_) {
        shared().checks.abandoned(id);
    }
    open_.clear();
    peers_.clear();
    fresh_ = false;
    forget(++settings_.incarnation);
    core_ = std::make_unique<router_core>(settings_, shared().metrics);
    shared().links.break_links(settings_.host);
}

sim_agent::sim_agent(world& shared, agent_settings settings, std::uint32_t slots)
    : sim_driver{shared, hello_of(settings), settings.seed}, settings_{std::move(settings)},
      core_{std::make_unique<agent_core>(settings_, shared.metrics)} {
    endpoint_events& sink = *this;
    endpoint_ = std::make_unique<sim_endpoint>(shared.events, settings_.seed, slots, sink);
    begin();
    measure();
}

void sim_agent::perform(const agent_core::actions& actions) {
    for (const auto& action : actions) {
        if (const auto* const send = std::get_if<send_message>(&action)) {
            shared().links.send(settings_.host, send->to, send->body);
        } else if (const auto* const run = std::get_if<start_run>(&action)) {
            start(run->work);
        } else if (const auto* const cancel = std::get_if<cancel_run>(&action)) {
            // The driver reports the end of a cancelled call later, never from within the action.
            shared().events.after(1ms, [this, id = cancel->id] { endpoint_->cancel(id); });
        } else if (std::holds_alternative<check_endpoint>(action)) {
            endpoint_->check();
        }
    }
}

void sim_agent::start(const submit& work) {
    if (!endpoint_->reachable()) {
        shared().events.after(1ms, [this, id = work.id] { run_ended(id, run_end::not_started, 0); });
        return;
    }
    const bool out_too_long = zone_out_since_.has_value() && now() > *zone_out_since_ + zone_out_limit;
    const bool bearable = endpoint_->start(work);
    shared().checks.served(work.team, input_cost(work));
    teams_[work.id] = work.team;
    shared().checks.engine_started(work, settings_.endpoint, now(), bearable, out_too_long);
}

void sim_agent::measure() {
    busy_ += measure_interval * static_cast<duration::rep>(endpoint_->running());
    shared().events.after(measure_interval, [this] { measure(); });
}

void sim_agent::run_head(const request_id& id) {
    perform(core_->run_head(id, 200, {}, now()));
}

void sim_agent::run_data(const request_id& id, std::string data) {
    shared().checks.served(teams_[id], output_token_cost);
    perform(core_->run_data(id, std::move(data), 1, now()));
}

void sim_agent::run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) {
    perform(core_->run_ended(id, end, input_tokens, now()));
}

void sim_agent::reported(const load_report& state) {
    perform(core_->report(state, now()));
}

void sim_agent::unreachable() {
    perform(core_->endpoint_lost(now()));
}

void sim_agent::on_config(const std::shared_ptr<const fleet_config>& config) {
    perform(core_->apply(config, now()));
}

void sim_agent::on_link_up(const hello& peer) {
    perform(core_->link_up(peer, now()));
}

void sim_agent::on_link_down(const host_id& peer) {
    perform(core_->link_down(peer, now()));
}

void sim_agent::on_message(const host_id& from, const message& body) {
    perform(core_->receive(from, body, now()));
}

void sim_agent::on_tick(bool fresh) {
    if (fresh != std::exchange(fresh_, fresh)) {
        perform(core_->set_fresh(fresh, now()));
    }
    perform(core_->tick(now()));
}

void sim_agent::begin_stop() {
    announce_stop();
    perform(core_->begin_stop(now()));
}

void sim_agent::restart() {
    fresh_ = false;
    forget(++settings_.incarnation);
    endpoint_->drop_calls();
    core_ = std::make_unique<agent_core>(settings_, shared().metrics);
    shared().links.break_links(settings_.host);
}

} // namespace dandelionbay::soak
