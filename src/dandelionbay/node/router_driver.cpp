#include "dandelionbay/node/router_driver.hpp"

#include <utility>

#include "dandelionbay/member/exchange_tree.hpp"

namespace dandelionbay {

namespace {

using namespace std::chrono_literals;

// A caller that reads more slowly than its answer arrives may lag by this much.
constexpr std::size_t max_unread_bytes = std::size_t{16} << 20U;

constexpr auto exchange_refresh = 200ms;

} // namespace

router_driver::router_driver(const router_node_options& options, const clock& time, counters& metrics,
                             table_store& store, host_list& hosts)
    : node_driver{options.common, host_role::router, {}, time, metrics, store, hosts},
      core_{router_settings{options.common.host, options.common.region, options.common.zone, life(), life()}, metrics} {
}

router_driver::~router_driver() {
    stop();
}

void router_driver::deliver(answer_event event, time_point now) {
    const auto id = std::visit([](const auto& part) { return part.id; }, event);
    const auto it = answers_.find(id);
    if (it == answers_.end()) {
        return;
    }
    const auto queue = it->second.queue;
    const bool last = std::holds_alternative<answer_end>(event);
    const bool read = queue->push(std::move(event));
    if (last || !read) {
        tickets_.erase(it->second.ticket);
        answers_.erase(it);
    }
    if (!read) {
        metrics().add("caller_too_slow_total");
        (void)queue->push(answer_end{id, result_code::answer_incomplete, executed::yes, {}});
        perform(core_.caller_gone(id, now), now);
    }
}

void router_driver::perform(router_core::actions actions, time_point now) {
    for (auto& it : actions) {
        if (auto* out = std::get_if<send_message>(&it)) {
            send(out->to, std::move(out->body));
        } else if (auto* start = std::get_if<answer_head>(&it)) {
            deliver(std::move(*start), now);
        } else if (auto* data = std::get_if<answer_data>(&it)) {
            deliver(std::move(*data), now);
        } else if (auto* end = std::get_if<answer_end>(&it)) {
            deliver(std::move(*end), now);
        }
    }
    idle_ = core_.idle();
}

void router_driver::accept(ticket_type ticket, const std::shared_ptr<answer_queue>& queue, accepted_request request) {
    const auto now = time().now();
    const auto& config = fleet().config();
    // The configuration may have changed since the caller's thread looked at it.
    if (config == nullptr || config->find(request.team) == nullptr || config->find(request.service) == nullptr) {
        (void)queue->push(answer_end{{}, result_code::unknown_service, executed::no, {}});
        return;
    }
    // After a pause of the process this may run before the tick that tells the core.
    update_freshness(now);
    request_id id;
    auto actions = core_.accept(std::move(request), now, id);
    answers_.emplace(id, open_answer{ticket, queue});
    tickets_.emplace(ticket, id);
    perform(std::move(actions), now);
}

void router_driver::cancel(ticket_type ticket) {
    const auto it = tickets_.find(ticket);
    if (it == tickets_.end()) {
        return;
    }
    const auto id = it->second;
    const auto now = time().now();
    tickets_.erase(it);
    answers_.erase(id);
    perform(core_.caller_gone(id, now), now);
}

void router_driver::refresh_exchange(time_point now) {
    if (now < next_exchange_) {
        return;
    }
    next_exchange_ = now + exchange_refresh;
    const auto members = fleet().members().members(now);
    auto peers = exchange_tree{options().host, members}.peers();
    if (peers != exchange_peers_) {
        exchange_peers_ = std::move(peers);
        perform(core_.set_exchange_peers(exchange_peers_, now), now);
    }
}

void router_driver::on_config(const std::shared_ptr<const fleet_config>& config, time_point now) {
    perform(core_.apply(config, now), now);
    // Callers see the configuration from here on; until the next tick their orders would be refused as stale.
    update_freshness(now);
    const std::lock_guard lock{config_mutex_};
    config_ = config;
}

void router_driver::on_host_list(bool /*leaving*/, time_point /*now*/) {}

void router_driver::on_link_up(const hello& peer, time_point now) {
    perform(core_.link_up(peer, now), now);
}

void router_driver::on_link_down(const host_id& peer, time_point now) {
    perform(core_.link_down(peer, now), now);
}

void router_driver::on_message(const host_id& from, const message& body, time_point now) {
    perform(core_.receive(from, body, now), now);
}

void router_driver::on_fresh(bool fresh, time_point now) {
    perform(core_.set_fresh(fresh, now), now);
}

void router_driver::on_tick(time_point now) {
    refresh_exchange(now);
    perform(core_.tick(now), now);
    metrics().set("requests_open", static_cast<std::int64_t>(answers_.size()));
}

void router_driver::on_begin_stop(time_point now) {
    perform(core_.begin_stop(now), now);
}

std::shared_ptr<const fleet_config> router_driver::config() const {
    const std::lock_guard lock{config_mutex_};
    return config_;
}

std::shared_ptr<answer_source> router_driver::submit(accepted_request request) {
    const auto ticket = ++last_ticket_;
    auto queue = std::make_shared<answer_queue>(max_unread_bytes,
                                                [this, ticket] { tasks().post([this, ticket] { cancel(ticket); }); });
    tasks().post(
        [this, ticket, queue, request = std::move(request)]() mutable { accept(ticket, queue, std::move(request)); });
    return queue;
}

std::size_t router_driver::cut_answers() {
    std::size_t cut = 0;
    tasks().call([this, &cut] {
        const auto now = time().now();
        for (const auto& [id, it] : std::exchange(answers_, {})) {
            (void)it.queue->push(answer_end{id, result_code::stopping, executed::unknown, {}});
            perform(core_.caller_gone(id, now), now);
            ++cut;
        }
        tickets_.clear();
    });
    return cut;
}

} // namespace dandelionbay
