#include "dandelionbay/agent/agent_state.hpp"

#include <algorithm>
#include <cassert>

namespace dandelionbay {

namespace {

// Bytes per second of the link between regions, each way, and the part of it that requests and answers may use; the
// rest is for control messages, answers sent again and the store.
constexpr double region_link_rate = 30e6 / 8;
constexpr double region_link_share = 0.5;

// Smallest burst of the budget between regions, so that one large answer doesn't block it for long.
constexpr double min_remote_burst = 256.0 * 1024;

} // namespace

agent_core::state::state(agent_settings settings, counters& metrics)
    : settings_{std::move(settings)}, metrics_{metrics}, grants_{settings_.incarnation},
      remote_budget_{region_link_rate * region_link_share, min_remote_burst, time_point{}} {}

void agent_core::state::configure(time_point now) {
    const auto* const endpoint = config_->find(settings_.endpoint);
    is_zone_out_ = config_->zone_out(settings_.zone) || (endpoint != nullptr && config_->zone_out(endpoint->zone));
    is_endpoint_leaving_ = endpoint == nullptr || config_->leaving(settings_.endpoint);
    pools_.clear();
    teams_.clear();
    if (endpoint == nullptr) {
        return;
    }
    for (const auto& pool : config_->pools) {
        if (config_->in_pool(*endpoint, pool)) {
            pools_.insert(pool.id);
        }
    }
    for (const auto& team : config_->teams) {
        teams_.emplace(team.id, team_state{.allowed = config_->may_use(team, *endpoint), .weight = team.weight});
    }
    std::erase_if(last_pool_grant_, [&](const auto& it) { return !pools_.contains(it.first); });
    floors_.retain([&](const auto& key) { return pools_.contains(key.first) && teams_.contains(key.second); });
    ramp_.configure(endpoint->slots, endpoint->cold_slots,
                    std::chrono::milliseconds{endpoint->expected_first_token_ms});

    const auto neighbours = std::ranges::count_if(config_->endpoints, [&](const endpoint_config& it) {
        const auto* const zone = config_->find(it.zone);
        return zone != nullptr && zone->region == settings_.region;
    });
    const auto rate =
        region_link_rate * region_link_share / static_cast<double>(std::max<std::ptrdiff_t>(1, neighbours));
    remote_budget_.configure(rate, std::max(min_remote_burst, 2 * rate), now);
}

void agent_core::state::mark_endpoint_lost(time_point now, actions& out) {
    ramp_.reset(now);
    is_endpoint_lost_ = true;
    silent_since_.reset();
    paused_until_ = now + internal::lost_endpoint_backoff;
    recall_all("endpoint_lost", out);
}

bool agent_core::state::clear_silence() noexcept {
    if (!silent_since_.has_value()) {
        return false;
    }
    silent_since_.reset();
    is_endpoint_lost_ = false;
    paused_until_.reset();
    return true;
}

bool agent_core::state::record_contact(time_point now) noexcept {
    last_contact_ = now;
    return clear_silence();
}

void agent_core::state::apply_leaving(bool was_leaving, actions& out) {
    const bool leaves = is_zone_out_ || is_endpoint_leaving_ || is_host_leaving_;
    if (leaves) {
        recall_all(is_zone_out_ ? "zone_out" : "leaving", out);
    } else if (was_leaving) {
        ramp_.lower_to_quarter();
    }
}

std::optional<result_code> agent_core::state::refusal_reason(time_point /*now*/) const {
    if (is_stopping_) {
        return result_code::stopping;
    }
    if (config_ == nullptr) {
        return result_code::configuration_stale;
    }
    if (is_zone_out_) {
        return result_code::zone_out_of_service;
    }
    if (is_endpoint_leaving_ || is_host_leaving_) {
        return result_code::endpoint_leaving;
    }
    if (!is_configuration_fresh_) {
        return result_code::configuration_stale;
    }
    if (is_endpoint_lost_) {
        return result_code::endpoint_unavailable;
    }
    return std::nullopt;
}

bool agent_core::state::can_grant(time_point now) const {
    return !refusal_reason(now).has_value() && is_first_report_wait_over_ &&
           (!paused_until_.has_value() || now >= *paused_until_);
}

std::uint32_t agent_core::state::used_slots() const noexcept {
    return running() + orphaned_runs_ + grants_.size();
}

void agent_core::state::record_violation(std::string_view reason) {
    metrics_.add("invariant_violations_total", reason);
    assert(false && "an invariant of the agent is violated");
}

void agent_core::state::apply(std::shared_ptr<const fleet_config> config, time_point now, actions& out) {
    if (config == nullptr || (config_ != nullptr && config->revision < config_->revision)) {
        return;
    }
    const bool was_leaving = config_ != nullptr && (is_zone_out_ || is_endpoint_leaving_ || is_host_leaving_);
    if (config_ == nullptr) {
        first_report_wait_start_ = now;
    }
    config_ = std::move(config);
    configure(now);
    apply_leaving(was_leaving, out);
}

void agent_core::state::set_fresh(bool fresh, time_point /*now*/, actions& out) {
    is_configuration_fresh_ = fresh;
    if (!fresh) {
        recall_all("stale", out);
    }
}

void agent_core::state::set_host_leaving(bool leaving, time_point /*now*/, actions& out) {
    const bool was_leaving = is_zone_out_ || is_endpoint_leaving_ || is_host_leaving_;
    is_host_leaving_ = leaving;
    apply_leaving(config_ != nullptr && was_leaving, out);
}

void agent_core::state::report(const load_report& report, time_point now, actions& out) {
    const bool first = process_.empty();
    const auto most = std::max(max_running_since_report_, running());
    const auto unknown_runs = report.running > most ? report.running - most : 0;
    // Only runs of an earlier life of this agent are foreign; the reports lag, so the number only falls.
    orphaned_runs_ = first ? unknown_runs : std::min(orphaned_runs_, unknown_runs);
    max_running_since_report_ = running();
    if (!first && report.process != process_) {
        orphaned_runs_ = 0;
        ramp_.reset(now);
        recall_excess(out);
    }
    if (silent_since_.has_value() && report.process.empty()) {
        // Nothing shows that it is still the process from before the silence.
        ramp_.reset(now);
    }
    process_ = report.process;
    ramp_.set_reported_cold(report.cold, now);
    if (first && !report.cold && !is_endpoint_lost_) {
        ramp_.raise_to_quarter();
    }
    is_first_report_wait_over_ = true;
    if (is_endpoint_lost_ && report.process != crashed_process_) {
        is_endpoint_lost_ = false;
        paused_until_.reset();
    }
    static_cast<void>(record_contact(now));
    has_unexplained_break_ = false;
    process_deferred(now, out);
}

void agent_core::state::endpoint_lost(time_point now, actions& out) {
    metrics_.add("endpoint_lost_total");
    is_first_report_wait_over_ = true;
    has_unexplained_break_ = false;
    mark_endpoint_lost(now, out);
    process_deferred(now, out);
}

void agent_core::state::report_timed_out(time_point now, actions& out) {
    const bool lost_before = is_endpoint_lost_ && !silent_since_.has_value();
    const bool silent_twice = silent_since_.has_value() && now - *silent_since_ >= internal::report_timeout;
    if (!last_contact_.has_value() || lost_before || silent_twice) {
        endpoint_lost(now, out);
        return;
    }
    if (now - *last_contact_ < internal::report_timeout && deferred_.empty()) {
        return;
    }
    if (!silent_since_.has_value()) {
        metrics_.add("endpoint_silent_total");
        silent_since_ = now;
        paused_until_ = now + internal::lost_endpoint_backoff;
    }
    is_endpoint_lost_ = true;
    recall_all("endpoint_silent", out);
    process_deferred(now, out);
}

void agent_core::state::tick(time_point now, actions& out) {
    if (!is_first_report_wait_over_ && first_report_wait_start_.has_value() &&
        now - *first_report_wait_start_ >= internal::first_report_timeout) {
        is_first_report_wait_over_ = true;
    }
    if (paused_until_.has_value() && now >= *paused_until_) {
        if (clear_silence()) {
            ramp_.reset(now);
        }
        paused_until_.reset();
        is_endpoint_lost_ = false;
    }
    suspicions_.expire(now);
    check_runs(now, out);
    expire_answers(now);
}

void agent_core::state::begin_stop(time_point /*now*/, actions& out) {
    is_stopping_ = true;
    recall_all("stopping", out);
}

bool agent_core::state::idle() const noexcept {
    return runs_.empty() && deferred_.empty() &&
           std::ranges::all_of(ended_, [](const auto& it) { return it.second.end_sent; });
}

time_point agent_core::state::next_deadline() const noexcept {
    auto next = time_point::max();
    const auto consider = [&next](time_point at) { next = std::min(next, at); };
    if (!is_first_report_wait_over_ && first_report_wait_start_.has_value()) {
        consider(*first_report_wait_start_ + internal::first_report_timeout);
    }
    if (paused_until_.has_value()) {
        consider(*paused_until_);
    }
    if (idle_since_.has_value()) {
        consider(*idle_since_ + internal::max_exchange_duration + duration{1});
    }
    for (const auto& it : grants_.all()) {
        consider(it.expiry);
    }
    if (!ended_by_time_.empty()) {
        consider(ended_by_time_.begin()->first + internal::answer_retention);
    }
    for (const auto& [id, run] : runs_) {

        if (run.cancel_reason == result_code::ok) {
            consider(run.deadline);
        }
        if (run.work.model_call && !run.has_output && !run.is_overdue) {
            consider(ramp_.overdue_at(run.started) + duration{1});
        }
        const auto link = links_.find(id.router);
        if (link != links_.end() && !link->second.up && run.work.idempotent && run.cancel_reason == result_code::ok) {
            consider(link->second.down_since + internal::resume_window);
        }
    }
    for (const auto& [key, work] : demands_.all()) {
        const auto link = links_.find(key.first);
        if (link == links_.end() || !link->second.remote || work.teams.empty()) {
            continue;
        }
        const auto ready = std::max(work.waiting_since + internal::max_exchange_duration,
                                    remote_budget_.ready_at(mean_bytes_, last_event_));
        if (ready > last_event_) {
            consider(ready);
        }
    }
    return next;
}

} // namespace dandelionbay
