#include "soak/sim_driver.hpp"

#include <string>
#include <utility>

namespace dandelionbay::soak {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;
constexpr duration heartbeat_interval = 1s;
constexpr duration poll_interval = 2s;
constexpr double poll_jitter = 0.2;
constexpr duration store_delay = 20ms;
// An accepted configuration is in force everywhere within this time (R10).
constexpr duration in_force_limit = 5s;

node_options options_of(const hello& self, std::vector<host_entry> hosts) {
    node_options options{};
    options.host = self.host;
    options.region = self.region;
    options.zone = self.zone;
    options.hosts = std::move(hosts);
    return options;
}

} // namespace

sim_driver::sim_driver(world& shared, hello self, std::uint64_t seed)
    : shared_{&shared}, self_{std::move(self)}, random_{seed} {
    forget(self_.incarnation);
}

void sim_driver::forget(incarnation_type incarnation) {
    self_.incarnation = incarnation;
    stopping_ = false;
    fleet_ = std::make_unique<fleet_state>(options_of(self_, shared_->store.settings_hosts()), self_.role, incarnation,
                                           shared_->metrics, now());
}

void sim_driver::begin() {
    tick();
    poll();
    beat();
}

hello sim_driver::introduce() const {
    auto self = self_;
    self.config_revision = fleet_->revision();
    return self;
}

void sim_driver::apply(const fleet_change& change) {
    for (const auto& [to, body] : change.messages) {
        shared_->links.send(host(), to, body);
    }
    if (change.config != nullptr) {
        on_config(change.config);
        send_heartbeats();
    }
}

void sim_driver::link_up(const hello& peer) {
    linked_[peer.host] = heartbeat_echo{};
    const auto change = fleet_->link_up(peer, now());
    apply(change);
    if (change.handled) {
        on_link_up(peer);
    }
    send_heartbeat(peer.host);
}

void sim_driver::link_down(const host_id& peer) {
    linked_.erase(peer);
    fleet_->link_down(peer);
    on_link_down(peer);
}

void sim_driver::receive(const host_id& from, const message& body) {
    std::optional<time_point> sent;
    if (const auto* beat = std::get_if<heartbeat>(&body)) {
        sent = linked_[from].on_heartbeat(*beat, now());
    }
    const auto change = fleet_->receive(from, body, now(), sent);
    apply(change);
    if (linked_[from].is_reply_due()) {
        send_heartbeat(from);
    }
    if (!change.handled) {
        on_message(from, body);
    }
}

void sim_driver::check_revision(bool fresh) {
    const auto due = shared_->store.accepted_by(now() - in_force_limit);
    if (fresh && fleet_->revision() < due) {
        shared_->checks.violation(host().value + " admits work with revision " + std::to_string(fleet_->revision()) +
                                  ", " + std::to_string(due) + " was accepted over 5 s ago");
    }
}

void sim_driver::tick() {
    if (shared_->links.paused_until(host()) <= now()) {
        apply(fleet_->tick(now()));
        const bool may_admit = fresh();
        check_revision(may_admit);
        on_tick(may_admit);
    }
    shared_->events.after(tick_interval, [this] { tick(); });
}

void sim_driver::poll() {
    if (shared_->links.paused_until(host()) <= now()) {
        const auto started = now();
        const bool answered = shared_->store.answers(host());
        const auto read = [this, started, answered, life = self_.incarnation, revision = shared_->store.revision(),
                           document = shared_->store.document(), hosts = shared_->store.hosts()] {
            if (life != self_.incarnation) {
                return;
            }
            if (answered) {
                fleet_->host_list_read(hosts, now());
            }
            apply(answered ? fleet_->store_read(revision, document, started, now()) : fleet_->store_failed(now()));
        };
        shared_->events.after(store_delay, [this, read] { shared_->links.run_at(host(), read); });
    }
    const double factor = std::uniform_real_distribution{1.0 - poll_jitter, 1.0 + poll_jitter}(random_);
    shared_->events.after(std::chrono::duration_cast<duration>(poll_interval * factor), [this] { poll(); });
}

void sim_driver::beat() {
    if (shared_->links.paused_until(host()) <= now()) {
        send_heartbeats();
    }
    shared_->events.after(heartbeat_interval, [this] { beat(); });
}

void sim_driver::send_heartbeats() {
    for (const auto& [peer, echo] : linked_) {
        send_heartbeat(peer);
    }
}

void sim_driver::send_heartbeat(const host_id& peer) {
    auto beat = fleet_->make_heartbeat(stopping_, now());
    linked_[peer].stamp(beat, now());
    shared_->links.send(host(), peer, beat);
}

void sim_driver::announce_stop() {
    stopping_ = true;
    send_heartbeats();
}

} // namespace dandelionbay::soak
