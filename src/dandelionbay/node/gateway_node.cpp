#include "dandelionbay/node/gateway_node.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/proxy/call_record.hpp"

namespace dandelionbay {

namespace {

/*! Parts of a bound after which the store is read again, so that a call that fails once leaves time for others. */
constexpr int parts_of_bound = 5;
/*! Of these parts, those after which a peer is asked: a reading that came in time is not as old. A watch tells what
 *  was so when it began, two parts before its end. */
constexpr int parts_of_list = 2;
constexpr int parts_of_evidence = 3;
/*! Part of a bound for which facts are trusted; the rest covers the way to the endpoint. */
constexpr double trusted_share = 0.9;
/*! Time before the kill at which a stop ends what still runs, so that the process can end in order. */
constexpr duration stop_margin = std::chrono::milliseconds{900};
/*! Time that the last writes get, and the longest time if callers have not taken all. */
constexpr std::chrono::milliseconds least_last_writes{150};
constexpr duration most_last_writes = std::chrono::milliseconds{600};

[[nodiscard]] freshness_limits freshness_of(const gateway_bounds& bounds) {
    freshness_limits out;
    out.max_key_age = std::chrono::duration_cast<duration>(bounds.key_withdrawal * trusted_share);
    return out;
}

[[nodiscard]] refresh_limits refresh_limits_of(const gateway_bounds& bounds) {
    refresh_limits out;
    out.max_operators_age = std::min(bounds.config, bounds.key_withdrawal) * parts_of_evidence / parts_of_bound;
    out.max_list_age = bounds.leaving * parts_of_list / parts_of_bound;
    return out;
}

[[nodiscard]] proxy_options data_path_of(const gateway_options& it) {
    return {.listen = it.caller_listen,
            .place = it.place,
            .dispatch = it.dispatch,
            .retry = it.retry,
            .max_connections = it.max_connections};
}

[[nodiscard]] std::string age_text(const std::optional<duration>& age) {
    return age ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*age).count()) : "none";
}

} // namespace

gateway_node::gateway_node(gateway_options options, platform_binding platform, std::shared_ptr<event_log> log,
                           settings_reader reader)
    : options_{std::move(options)}, platform_{std::move(platform)}, log_{std::move(log), clock_},
      view_{freshness_of(options_.bounds)}, proxy_{proxy_environment{&loop_, &clock_, &log_, &metrics_, &view_,
                                                                     platform_.protocol.get()},
                                                   data_path_of(options_)},
      synchronizer_{router_identity{options_.place.host,
                                    static_cast<std::uint64_t>(clock_.now().time_since_epoch().count()),
                                    options_.peer_listen, options_.place.region},
                    refresh_limits_of(options_.bounds),
                    view_,
                    proxy_.dispatch(),
                    proxy_.losses(),
                    proxy_.part_crashes(),
                    proxy_.stream_versions(),
                    platform_.read_config},
      transport_{peer_environment{&loop_, &clock_, &log_, &metrics_, &synchronizer_}, options_.peer_listen,
                 [this](const peer_change& change) { peers_changed(change); }},
      ready_{loop_, log_, [this](std::string_view path) { return page_of(path); }},
      status_{loop_, log_, [this](std::string_view path) { return page_of(path); }}, signals_{loop_, SIGTERM, SIGINT,
                                                                                              SIGHUP},
      stop_timer_{loop_}, settings_timer_{loop_}, facts_timer_{loop_}, versions_timer_{loop_}, reader_{
                                                                                                   std::move(reader)} {
    registry_options store;
    store.address = options_.store;
    store.host = options_.place.host;
    store.peer_address = options_.peer_listen;
    store.list_interval = options_.bounds.leaving / parts_of_bound;
    store.watch_timeout = options_.bounds.config * 2 / parts_of_bound;
    registry_ = platform_.make_registry(loop_, clock_, log_, metrics_, store, *this);
    proxy_.on_refusal_changed([this](std::uint64_t call) { keep_refusal(call); });
    proxy_.on_part_changed([this](const service_part& part) { keep_blocked_part(part); });
    for (const auto& peer : options_.first_peers) {
        synchronizer_.add_address(peer, clock_.now());
    }
}

absl::Status gateway_node::run(const std::function<void()>& started) {
    for (const auto& step :
         {std::function<absl::Status()>{[this] { return proxy_.start(); }},
          std::function<absl::Status()>{[this] { return transport_.start(); }},
          std::function<absl::Status()>{[this] { return ready_.start(options_.ready_listen); }},
          std::function<absl::Status()>{[this] { return status_.start(options_.metrics_listen); }}}) {
        if (auto status = step(); !status.ok()) {
            log_.write(log_level::error, "start_failed", {{"reason", std::string{from_absl(status.message())}}});
            proxy_.stop(); // Callers that the system has accepted would wait for ever.
            return status;
        }
    }
    wait_for_signal();
    watch_settings();
    log_facts();
    registry_->start();
    log_.write(log_level::info, "started");
    started();
    run_loop();
    log_.write(log_level::info, "stopped", {{"lines_left_out", std::to_string(log_.left_out())}});
    return absl::OkStatus();
}

void gateway_node::run_loop() {
    busy_.note_current_thread();
    while (!loop_.stopped()) {
        try {
            loop_.run();
        } catch (const std::exception& error) { // One event is lost; the connections of all others go on.
            metrics_.add("event_errors_total");
            log_.write(log_level::error, "event_failed", {{"reason", error.what()}});
        }
    }
}

void gateway_node::wait_for_signal() {
    signals_.async_wait([this](boost::system::error_code ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            log_.write(log_level::info, "stop_requested", {{"signal", std::to_string(signal)}});
            begin_stop();
        }
        wait_for_signal();
    });
}

void gateway_node::watch_settings() {
    settings_timer_.expires_after(settings_interval);
    settings_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            reload();
            watch_settings();
        }
    });
}

void gateway_node::log_facts() {
    facts_timer_.expires_after(facts_interval);
    facts_timer_.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        const auto now = clock_.now();
        const auto total = [&](std::string_view name) { return std::to_string(metrics_.total(name)); };
        event_log::fields values{
            {"config", std::to_string(view_.config() == nullptr ? 0 : view_.config()->version)},
            {"config_age_ms", age_text(view_.operator_state_age(now))},
            {"registry_epoch", std::to_string(view_.epoch())},
            {"list_as_of", std::to_string(view_.list().as_of.number)},
            {"list_age_ms", age_text(view_.endpoints_age(now))},
            {"loop_late_us", std::to_string(proxy_.mean_lateness().count())},
            {"peers_live", std::to_string(synchronizer_.live_peer_count(now))},
            {"peer_redials", total("peer_redials_total")},
            {"peer_bytes", total("peer_bytes_sent_total")},
            {"peer_messages", total("peer_messages_sent_total")},
            {"peer_list_bytes", std::to_string(metrics_.get("peer_bytes_sent_total", "list"))},
            {"peer_config_bytes", std::to_string(metrics_.get("peer_bytes_sent_total", "config"))},
            {"peer_losses", total("peer_losses_sent_total")},
            {"lists_taken", total("lists_from_peers_total")},
            {"registry_calls", total("registry_calls_total")},
            {"registry_late", total("registry_calls_late_total")},
            {"registry_us", total("registry_call_us_total")},
            {"registry_bytes", total("registry_answer_bytes_total")},
            {"call_bytes_far", std::to_string(metrics_.get("call_bytes_sent_total", "other_region"))},
            {"call_bytes_near", std::to_string(metrics_.get("call_bytes_sent_total", "same_region"))},
            {"open_calls", std::to_string(proxy_.open_calls())},
            {"waiting_calls", std::to_string(proxy_.dispatch().waiting())},
            {"connections", std::to_string(proxy_.connections())},
            {"connections_accepted", total("connections_accepted_total")},
            {"connections_refused", total("connections_refused_total")},
            {"intake_closed", total("intake_closed_total")},
            {"intake_closed_us", total("intake_closed_us_total")},
            {"calls_begun", total("calls_begun_total")},
            {"most_begun_per_s", std::to_string(proxy_.most_begun_per_s())},
            {"read_delay_ms", std::to_string(static_cast<std::int64_t>(to_ms(proxy_.read_delay())))},
            {"callers_gone_unread", total("callers_gone_unread_total")},
            {"repeats_refused", total("repeats_refused_total")},
            {"lines_left_out", std::to_string(log_.left_out())},
            {"busy_us", std::to_string(busy_.used().count())}};
        for (const auto& [section, us] : metrics_.values("loop_us_total")) {
            values.emplace_back(concat("us_", section), std::to_string(us));
        }
        for (const auto& [outcome, n] : metrics_.values("calls_total")) {
            values.emplace_back(concat("calls_", outcome), std::to_string(n));
        }
        log_.write(log_level::info, "facts", values);
        log_facts();
    });
}

void gateway_node::reload() {
    if (!reader_) {
        return;
    }
    auto next = reader_();
    if (!next.ok()) {
        log_.write(log_level::error, "settings_refused", {{"reason", std::string{from_absl(next.status().message())}}});
        return;
    }
    if (*next == options_) {
        return;
    }
    for (const auto& peer : next->first_peers) {
        synchronizer_.add_address(peer, clock_.now());
    }
    auto applied = options_;
    applied.first_peers = next->first_peers;
    log_.write(log_level::info, "settings_reloaded", {{"restart_needed", applied == *next ? "no" : "yes"}});
    options_ = *std::move(next);
}

status_server::page gateway_node::page_of(std::string_view path) {
    if (path == "/metrics") {
        return {200, render_metrics()};
    }
    return ready() ? status_server::page{200, "ready\n"} : status_server::page{503, "not ready\n"};
}

std::string gateway_node::render_metrics() {
    const auto now = clock_.now();
    metrics_.set("open_calls", static_cast<counters::value_type>(proxy_.open_calls()));
    metrics_.set("held_answer_bytes", static_cast<counters::value_type>(proxy_.held_answer_bytes()));
    metrics_.set("unsent_answer_bytes", static_cast<counters::value_type>(proxy_.unsent_bytes()));
    metrics_.set("overloaded", proxy_.is_overloaded() ? 1 : 0);
    metrics_.set("loop_late_us", proxy_.mean_lateness().count());
    metrics_.set("waiting_calls", static_cast<counters::value_type>(proxy_.dispatch().waiting()));
    metrics_.set("endpoints_known", static_cast<counters::value_type>(view_.endpoints().size()));
    metrics_.set("config_version",
                 view_.config() == nullptr ? 0 : static_cast<counters::value_type>(view_.config()->version));
    metrics_.set("config_age_us", view_.operator_state_age(now).value_or(duration{-1}).count());
    metrics_.set("log_lines_left_out", static_cast<counters::value_type>(log_.left_out()));
    return metrics_.render() + proxy_.first_answer().render("dandelionbay_first_answer_seconds") +
           proxy_.whole_answer().render("dandelionbay_whole_answer_seconds");
}

void gateway_node::begin_stop() {
    if (proxy_.draining()) {
        return;
    }
    const auto now = clock_.now() - proxy_.read_delay(); // The signal waited as long as callers' bytes.
    proxy_.drain(now + late_after, now + options_.bounds.stop_grace - stop_margin);
    log_.write(log_level::info, "stopping", {{"open_calls", std::to_string(proxy_.open_calls())}});
    continue_stop(now);
}

void gateway_node::continue_stop(time_point since) {
    const auto passed = clock_.now() - since;
    const bool quiet = passed >= balancer_delay && proxy_.close_idle() == 0 && proxy_.open_calls() == 0 &&
                       proxy_.unsent_connections() == 0;
    if (quiet || passed >= options_.bounds.stop_grace - stop_margin) {
        end();
        return;
    }
    stop_timer_.expires_after(stop_interval);
    stop_timer_.async_wait([this, since](boost::system::error_code ec) {
        if (!ec) {
            continue_stop(since);
        }
    });
}

void gateway_node::end() {
    log_.write(log_level::info, "ending", {{"open_calls", std::to_string(proxy_.open_calls())}});
    proxy_.stop();
    transport_.stop();
    registry_->stop();
    settings_timer_.cancel();
    facts_timer_.cancel();
    versions_timer_.cancel();
    await_last_writes(clock_.now());
}

void gateway_node::await_last_writes(time_point since) {
    stop_timer_.expires_after(least_last_writes);
    stop_timer_.async_wait([this, since](boost::system::error_code /*ec*/) {
        const auto unsent = proxy_.unsent_connections();
        if (unsent > 0 && clock_.now() - since < most_last_writes) {
            await_last_writes(since);
            return;
        }
        if (unsent > 0) {
            log_.write(log_level::warn, "answers_cut_by_stop", {{"connections", std::to_string(unsent)}});
        }
        loop_.stop();
    });
}

void gateway_node::keep_refusal(std::uint64_t call) {
    if (proxy_.losses().is_refused(call)) {
        registry_->retain_losses(proxy_.losses().losses_of(call));
    } else {
        registry_->remove_losses(call);
    }
}

void gateway_node::keep_blocked_part(const service_part& part) {
    const auto status = proxy_.part_crashes().status_of(part);
    if (!status.blocked) {
        remove_blocked_part(part);
        return;
    }
    std::erase_if(retained_parts_, [this](const service_part& it) {
        const bool is_expired = !proxy_.part_crashes().status_of(it).blocked;
        if (is_expired) {
            registry_->remove_blocked_part(it);
        }
        return is_expired;
    });
    retained_parts_.insert(part);
    registry_->retain_blocked_part(status);
}

void gateway_node::remove_blocked_part(const service_part& part) {
    retained_parts_.erase(part);
    registry_->remove_blocked_part(part);
}

void gateway_node::peers_changed(const peer_change& change) {
    if (change.peer_found) {
        log_.write(log_level::info, "peer_found", {{"routers", std::to_string(proxy_.dispatch().router_count())}});
    }
    if (change.config_adopted) {
        log_.write(log_level::info, "config_adopted",
                   {{"version", std::to_string(view_.config()->version)}, {"from", "peer"}});
    }
    for (const auto& it : change.endpoints_leaving) {
        metrics_.add("endpoints_leaving_total", "peer");
        log_.write(log_level::info, "endpoint_leaving", {{"endpoint", it.id.value}, {"from", "peer"}});
    }
    for (const auto call : change.newly_refused_calls) {
        log_call_lost_again(log_, call, proxy_.losses(), "peer");
        if (proxy_.losses().has_local_loss(call)) { // The others need not write it too.
            keep_refusal(call);
        }
    }
    proxy_.set_report_delay(synchronizer_.urgent_delay(peer_transport::max_poll_interval));
    proxy_.note_part_changes(change.parts, "peer");
    for (const auto& it : change.parts.unblocked) {
        if (retained_parts_.contains(it)) { // The others need not remove it too.
            remove_blocked_part(it);
        }
    }
    if (change.list_refreshed) {
        update_versions(clock_.now());
        metrics_.add("lists_from_peers_total");
        log_leaving("list_of_peer");
    }
}

void gateway_node::on_config(std::shared_ptr<const route_config> config, std::string text) {
    if (view_.adopt(std::move(config))) {
        synchronizer_.set_config_text(std::move(text));
        log_.write(log_level::info, "config_adopted",
                   {{"version", std::to_string(view_.config()->version)}, {"from", "registry"}});
    }
}

void gateway_node::on_operator_state(const operator_state& state, time_point read_at) {
    if (state.zones_out != view_.known_operator_state().zones_out) {
        std::string zones;
        for (const auto& it : state.zones_out) {
            zones += concat(zones.empty() ? "" : ",", it.zone.value);
        }
        log_.write(log_level::info, "zones_out",
                   {{"zones", zones},
                    {"epoch", std::to_string(state.as_of.epoch)},
                    {"as_of", std::to_string(state.as_of.number)}});
    }
    view_.update_operator_state(state, read_at, clock_.now());
    proxy_.pump();
}

void gateway_node::on_endpoints(const endpoint_list& list, time_point read_at) {
    const auto now = clock_.now();
    const auto known = view_.endpoints().size();
    view_.merge_endpoints(list, read_at, now);
    update_versions(now);
    proxy_.dispatch().refresh(now);
    log_leaving("registry");
    if (view_.endpoints().size() != known) {
        log_.write(log_level::info, "endpoints_changed",
                   {{"known", std::to_string(view_.endpoints().size())}, {"before", std::to_string(known)}});
    }
    proxy_.pump();
}

void gateway_node::log_leaving(std::string_view from) {
    std::set<endpoint_id> leaving;
    for (const auto& it : view_.list().entries) {
        if (!it.leaving) {
            continue;
        }
        leaving.insert(it.id);
        if (!leaving_.contains(it.id)) {
            log_.write(log_level::info, "endpoint_leaving",
                       {{"endpoint", it.id.value},
                        {"from", std::string{from}},
                        {"as_of", std::to_string(view_.list().as_of.number)},
                        {"list_age_ms", age_text(view_.endpoints_age(clock_.now()))}});
        }
    }
    leaving_ = std::move(leaving);
}

void gateway_node::on_routers(const std::vector<router_entry>& routers) {
    synchronizer_.set_announced_routers(routers, clock_.now());
}

void gateway_node::on_losses(const std::vector<call_losses>& losses) {
    const auto now = clock_.now();
    for (const auto& it : losses) {
        const auto recent = [&](const lost_run& run) { return now - run.ended < lost_run_registry::retention_window; };
        if (std::ranges::none_of(it.runs, recent)) {
            registry_->remove_losses(it.call);
        } else if (proxy_.losses().merge(it, now)) {
            log_call_lost_again(log_, it.call, proxy_.losses(), "registry");
        }
    }
}

void gateway_node::on_blocked_parts(const std::vector<part_status>& parts) {
    const auto now = clock_.now();
    part_evidence retained;
    for (const auto& it : parts) {
        if (now - *it.blocked < part_crash_registry::retention_window) {
            retained.parts.push_back(it);
        } else {
            remove_blocked_part(it.part);
        }
    }
    proxy_.note_part_changes(proxy_.part_crashes().merge(retained, now), "registry");
    for (const auto& it : retained.parts) {
        if (proxy_.part_crashes().status_of(it.part).blocked) {
            retained_parts_.insert(it.part);
        } else {
            remove_blocked_part(it.part); // An answer began since.
        }
    }
}

void gateway_node::on_registry_failed(std::string_view call, std::string_view reason) {
    const auto now = clock_.now();
    view_.on_store_failed();
    metrics_.add("registry_failures_total", call);
    if (!std::exchange(registry_failed_, true)) {
        log_.write(log_level::warn, "registry_lost",
                   {{"call", std::string{call}},
                    {"reason", std::string{reason}},
                    {"config_age_ms", age_text(view_.operator_state_age(now))}});
    }
}

void gateway_node::on_registry_restored() {
    view_.on_store_restored(clock_.now());
    if (std::exchange(registry_failed_, false)) {
        log_.write(log_level::info, "registry_back",
                   {{"config_age_ms", age_text(view_.operator_state_age(clock_.now()))}});
    }
}

bool gateway_node::needs_losses(std::uint64_t call) const {
    return proxy_.losses().is_refused(call);
}

bool gateway_node::needs_blocked_part(const service_part& part) const {
    return proxy_.part_crashes().status_of(part).blocked.has_value();
}

} // namespace dandelionbay
