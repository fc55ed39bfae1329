#include "dandelionbay/node/agent_driver.hpp"

#include <utility>

namespace dandelionbay {

namespace {

using namespace std::chrono_literals;

constexpr auto state_interval = 500ms;

} // namespace

agent_driver::agent_driver(const agent_node_options& options, endpoint_client& endpoint, const clock& time,
                           counters& metrics, table_store& store, host_list& hosts)
    : node_driver{options.common, host_role::agent, options.endpoint, time, metrics, store, hosts},
      endpoint_{&endpoint}, core_{agent_settings{options.common.host, options.common.region, options.common.zone,
                                                 options.endpoint, life(), life()},
                                  metrics},
      endpoint_poller_{state_interval, 0.1, [this] { poll_endpoint(); }} {}

agent_driver::~agent_driver() {
    agent_driver::stop();
}

absl::Status agent_driver::start(kernel& host) {
    auto status = node_driver::start(host);
    endpoint_poller_.start(life());
    return status;
}

void agent_driver::stop() noexcept {
    endpoint_poller_.stop();
    endpoint_->stop();
    node_driver::stop();
}

void agent_driver::perform(agent_core::actions actions) {
    for (auto& it : actions) {
        if (auto* out = std::get_if<send_message>(&it)) {
            send(out->to, std::move(out->body));
        } else if (const auto* run = std::get_if<start_run>(&it)) {
            endpoint_->start_run(run->work, *this);
        } else if (const auto* end = std::get_if<cancel_run>(&it)) {
            endpoint_->cancel_run(end->id);
        } else if (std::holds_alternative<check_endpoint>(it)) {
            ++checks_ordered_;
            endpoint_poller_.wake();
        }
    }
    idle_ = core_.idle();
}

void agent_driver::poll_endpoint() {
    endpoint_->expire(time().now());
    const auto checks = checks_ordered_.load();
    auto state = endpoint_->state();
    metrics().add("load_reports_total", state.ok()                                 ? "ok"
                                        : absl::IsDeadlineExceeded(state.status()) ? "late"
                                                                                   : "failed");
    tasks().post([this, checks, state = std::move(state)] {
        if (checks != checks_ordered_) {
            // Read in part before a check was ordered, so it may describe a former process; the check's own follows.
            return;
        }
        const auto now = time().now();
        if (state.ok()) {
            perform(core_.report(*state, now));
        } else {
            perform(absl::IsDeadlineExceeded(state.status()) ? core_.report_timed_out(now) : core_.endpoint_lost(now));
        }
    });
}

void agent_driver::run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers) {
    tasks().post([this, id, status, headers = std::move(headers)] {
        perform(core_.run_head(id, status, headers, time().now()));
    });
}

void agent_driver::run_data(const request_id& id, std::string data, std::uint32_t tokens) {
    tasks().post([this, id, data = std::move(data), tokens]() mutable {
        perform(core_.run_data(id, std::move(data), tokens, time().now()));
    });
}

void agent_driver::run_broke(const request_id& id) {
    tasks().post([this, id] { perform(core_.run_broke(id)); });
}

void agent_driver::run_ended(const request_id& id, run_end end, std::uint32_t input_tokens) {
    tasks().post([this, id, end, input_tokens] { perform(core_.run_ended(id, end, input_tokens, time().now())); });
}

void agent_driver::on_config(const std::shared_ptr<const fleet_config>& config, time_point now) {
    perform(core_.apply(config, now));
}

void agent_driver::on_host_list(bool leaving, time_point now) {
    perform(core_.set_host_leaving(leaving, now));
}

void agent_driver::on_link_up(const hello& peer, time_point now) {
    perform(core_.link_up(peer, now));
}

void agent_driver::on_link_down(const host_id& peer, time_point now) {
    perform(core_.link_down(peer, now));
}

void agent_driver::on_message(const host_id& from, const message& body, time_point now) {
    perform(core_.receive(from, body, now));
}

void agent_driver::on_fresh(bool fresh, time_point now) {
    perform(core_.set_fresh(fresh, now));
}

void agent_driver::on_tick(time_point now) {
    perform(core_.tick(now));
    metrics().set("endpoint_limit", core_.limit());
    metrics().set("endpoint_running", core_.running());
}

void agent_driver::on_begin_stop(time_point now) {
    perform(core_.begin_stop(now));
}

} // namespace dandelionbay
