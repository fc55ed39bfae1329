#include "dandelionbay/node/node_driver.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include <xxhash.h>

#include "dandelionbay/config/config_editor.hpp"

namespace dandelionbay {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 20ms;
constexpr auto publish_interval = 100ms;
constexpr double poll_jitter = 0.2;

// Different for each host, so that hosts that start together do not poll together.
std::uint64_t seed_of(const host_id& host, incarnation_type incarnation) {
    return XXH64(host.value.data(), host.value.size(), incarnation);
}

link_options link_settings(const node_options& options, incarnation_type incarnation) {
    link_options links;
    links.listen = options.peer_listen;
    links.seed = seed_of(options.host, incarnation);
    return links;
}

} // namespace

incarnation_type new_incarnation() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation_type>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

node_driver::node_driver(node_options options, host_role role, endpoint_id endpoint, const clock& time,
                         counters& metrics, table_store& store, host_list& hosts)
    : options_{std::move(options)}, role_{role}, incarnation_{new_incarnation()}, clock_{&time}, counters_{&metrics},
      store_{&store}, hosts_{&hosts}, fleet_{options_, role, incarnation_, metrics, time.now()},
      links_{std::make_unique<link_server>(
          link_settings(options_, incarnation_),
          hello{options_.host, role, options_.region, options_.zone, incarnation_, std::move(endpoint), 0}, time,
          metrics, *this)},
      config_poller_{options_.poll_interval, poll_jitter, [this] { poll_config(); }},
      host_poller_{options_.poll_interval, poll_jitter, [this] { poll_hosts(); }}, tasks_{tick_interval,
                                                                                          [this] { tick(); }} {}

node_driver::~node_driver() = default;

absl::Status node_driver::start(kernel& /*host*/) {
    refresh_peers();
    tasks_.start();
    return absl::OkStatus();
}

void node_driver::stop() noexcept {
    tasks_.stop();
}

void node_driver::start_polling() {
    config_poller_.start(seed_of(options_.host, incarnation_));
    host_poller_.start(seed_of(options_.host, incarnation_ + 1));
}

void node_driver::stop_polling() noexcept {
    config_poller_.stop();
    host_poller_.stop();
}

void node_driver::note(log_level level, std::string_view event, const event_log::fields& values) {
    if (log_ != nullptr) {
        log_->write(level, event, values);
    }
}

void node_driver::begin_stop() {
    stopping_ = true;
    note(log_level::info, "stop_begins", {});
    tasks_.post([this] {
        const auto now = clock_->now();
        links_->announce(fleet_.make_heartbeat(true, now), now);
        on_begin_stop(now);
    });
}

void node_driver::apply(const fleet_change& change, time_point now) {
    for (const auto& [to, body] : change.messages) {
        links_->send(to, body);
    }
    if (change.config != nullptr) {
        revision_ = fleet_.revision();
        counters_->set("config_revision", static_cast<std::int64_t>(fleet_.revision()));
        note(log_level::info, "config_in_force", {{"revision", std::to_string(fleet_.revision())}});
        on_config(change.config, now);
        links_->announce(fleet_.make_heartbeat(stopping_, now), now);
    }
}

void node_driver::poll_config() {
    const auto started = clock_->now();
    const auto known = revision_.load();
    const auto row = store_->get_unless(config_table, config_key, known);
    if (row.ok() && !row->has_value()) {
        counters_->add("store_reads_total", "unchanged");
        tasks_.post([this, started, known] {
            const auto now = clock_->now();
            apply(fleet_.store_unchanged(known, started, now), now);
        });
        return;
    }
    const auto stored = row.ok() ? decode_stored_config(**row) : absl::StatusOr<stored_config>{row.status()};
    if (!stored.ok()) {
        const bool empty = absl::IsNotFound(stored.status());
        const bool malformed = absl::IsDataLoss(stored.status());
        counters_->add("store_reads_total", empty ? "not_found" : malformed ? "malformed" : "failed");
        tasks_.post([this, empty] {
            const auto now = clock_->now();
            apply(empty ? fleet_.store_empty(now) : fleet_.store_failed(now), now);
        });
        return;
    }
    counters_->add("store_reads_total", "ok");
    tasks_.post([this, started, revision = stored->revision, text = stored->document] {
        const auto now = clock_->now();
        apply(fleet_.store_read(revision, text, started, now), now);
    });
}

void node_driver::poll_hosts() {
    auto list = hosts_->read();
    counters_->add("host_list_reads_total", list.ok() ? "ok" : "failed");
    if (!list.ok()) {
        return;
    }
    tasks_.post([this, hosts = std::move(*list)] {
        const auto now = clock_->now();
        fleet_.host_list_read(hosts, now);
        refresh_peers();
        on_host_list(std::ranges::any_of(hosts, [&](const auto& it) { return it.host == options_.host && it.leaving; }),
                     now);
    });
}

void node_driver::refresh_peers() {
    auto peers = fleet_.peers();
    if (peers != dialled_) {
        dialled_ = std::move(peers);
        links_->set_peers(dialled_);
    }
}

void node_driver::publish(time_point now) {
    snapshot next{fleet_.members().members(now), fleet_.members().has_majority(now), fleet_.listed(),
                  fleet_.members().majority_revision(fleet_.revision(), now)};
    // The membership learns revisions from messages, and a host sends none to itself.
    for (auto& it : next.members) {
        it.config_revision = it.entry.host == options_.host ? fleet_.revision() : it.config_revision;
    }
    const std::lock_guard lock{snapshot_mutex_};
    snapshot_ = std::move(next);
}

void node_driver::update_freshness(time_point now) {
    const bool fresh = fleet_.fresh(now);
    if (fresh != fresh_.exchange(fresh)) {
        on_fresh(fresh, now);
    }
}

void node_driver::tick() {
    const auto now = clock_->now();
    apply(fleet_.tick(now), now);
    update_freshness(now);
    if (now >= next_publish_) {
        next_publish_ = now + publish_interval;
        publish(now);
        links_->announce(fleet_.make_heartbeat(stopping_, now), now);
    }
    on_tick(now);
}

bool node_driver::may_be_alive(const host_id& host, incarnation_type life) const {
    if (host == options_.host) {
        return life == incarnation_;
    }
    const std::lock_guard lock{snapshot_mutex_};
    const auto it = std::ranges::find(snapshot_.members, host, [](const member& m) { return m.entry.host; });
    if (it == snapshot_.members.end()) {
        return !snapshot_.listed;
    }
    return it->state != member_state::gone && it->incarnation <= life;
}

std::vector<node_state> node_driver::nodes() const {
    const std::lock_guard lock{snapshot_mutex_};
    std::vector<node_state> states;
    for (const auto& it : snapshot_.members) {
        states.push_back(
            {it.entry.host, it.entry.role, it.entry.zone, std::string{to_string(it.state)}, it.config_revision});
    }
    return states;
}

bool node_driver::hears_majority() const {
    const std::lock_guard lock{snapshot_mutex_};
    return snapshot_.majority;
}

void node_driver::adopt(std::uint64_t revision, const std::string& document) {
    // The change was just written, so that the row held it when this call began.
    const auto started = clock_->now();
    tasks_.call([this, revision, document, started] {
        const auto now = clock_->now();
        apply(fleet_.store_read(revision, document, started, now), now);
    });
}

bool node_driver::wait_for_majority(std::uint64_t revision, std::chrono::milliseconds limit) const {
    const auto end = std::chrono::steady_clock::now() + limit;
    for (;;) {
        {
            const std::lock_guard lock{snapshot_mutex_};
            if (snapshot_.majority_revision >= revision) {
                return true;
            }
        }
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(tick_interval);
    }
}

duration node_driver::control_cpu_time() const noexcept {
    return tasks_.cpu_time() + link_time_.used() + config_poller_.cpu_time() + host_poller_.cpu_time();
}

void node_driver::link_up(const hello& peer) {
    link_time_.note_current_thread(); // The event loop calls this function.
    tasks_.post([this, peer] {
        const auto now = clock_->now();
        const auto change = fleet_.link_up(peer, now);
        note(log_level::info, "link_up",
             {{"peer", peer.host.value}, {"incarnation", std::to_string(peer.incarnation)}});
        apply(change, now);
        if (change.handled) {
            on_link_up(peer, now);
        }
    });
}

void node_driver::link_down(const host_id& peer) {
    tasks_.post([this, peer] {
        note(log_level::warn, "link_down", {{"peer", peer.value}});
        fleet_.link_down(peer);
        on_link_down(peer, clock_->now());
    });
}

void node_driver::message_received(const host_id& from, message body, std::optional<time_point> sent) {
    tasks_.post([this, from, sent, body = std::move(body)] {
        const auto now = clock_->now();
        const auto change = fleet_.receive(from, body, now, sent);
        apply(change, now);
        if (!change.handled) {
            on_message(from, body, now);
        }
    });
}

} // namespace dandelionbay
