#include <algorithm>
#include <chrono>
#include <utility>

#include "dandelionbay/agent/agent_state.hpp"

namespace dandelionbay {

result_code agent_core::state::check_submission(const submit& it,
                                                const std::optional<internal::outstanding_grant>& held,
                                                std::uint32_t crashes, time_point now) const {
    if (const auto code = refusal_reason(now); code.has_value()) {
        return *code;
    }
    if (!held.has_value() || held->expiry <= now) {
        return result_code::grant_unknown;
    }
    if (it.timeout_ms == 0) {
        return result_code::deadline_exceeded;
    }
    // A service or team that this configuration does not have may exist in a newer one at the router.
    const auto* const service = config_->find(it.service);
    if (service == nullptr || !teams_.contains(it.team)) {
        return result_code::configuration_stale;
    }
    if (service->pool != held->pool || !pools_.contains(held->pool)) {
        return result_code::grant_unknown;
    }
    if (!is_allowed(it.team)) {
        return result_code::not_permitted;
    }
    if (crashes >= crash_registry::min_crashes_to_refuse) {
        return result_code::crashes_endpoints;
    }
    const bool suspect_runs = std::ranges::any_of(runs_, [](const auto& run) { return run.second.crashes > 0; });
    if (crashes > 0 && suspect_runs) {
        return result_code::endpoint_unavailable;
    }
    // The limit may have fallen since the grant was issued.
    if (running() + orphaned_runs_ >= ramp_.limit()) {
        return result_code::endpoint_cold;
    }
    return result_code::ok;
}

void agent_core::state::reject(const host_id& to, const submit& it, result_code code, actions& out) {
    metrics_.add("refused_total", describe(code).name);
    out.emplace_back(send_message{to, rejected{.id = it.id, .grant = it.grant, .code = code}});
}

bool agent_core::state::must_check_endpoint(time_point now) const {
    // A running call breaks with its process, so only an endpoint without calls can be replaced unnoticed; a broken one
    // is still among the runs until it is known why it broke. An endpoint that never names its process can't be
    // checked.
    const bool silent = !last_contact_.has_value() || now - *last_contact_ >= internal::max_contact_age;
    return (has_unexplained_break_ || (runs_.empty() && silent)) && !process_.empty() &&
           !refusal_reason(now).has_value();
}

void agent_core::state::defer_submission(const host_id& from, const submit& it, time_point now, actions& out) {
    if (deferred_.empty()) {
        metrics_.add("endpoint_checks_total");
        out.emplace_back(check_endpoint{});
    }
    deferred_.push_back({from, it, now});
}

void agent_core::state::process_deferred(time_point now, actions& out) {
    for (auto& [router, work, since] : std::exchange(deferred_, {})) {
        const auto waited = std::chrono::ceil<std::chrono::milliseconds>(now - since).count();
        work.timeout_ms -= static_cast<std::uint32_t>(std::min<std::int64_t>(work.timeout_ms, waited));
        on_submit(router, work, now, out);
    }
}

bool agent_core::state::cancel_deferred(const host_id& from, const request_id& id, time_point now) {
    const auto it = std::ranges::find(deferred_, id, [](const auto& held) { return held.work.id; });
    if (it == deferred_.end() || it->router != from) {
        return false;
    }
    if (const auto held = grants_.take(it->work.grant, from); held.has_value()) {
        refund_unused({*held}, now);
    }
    deferred_.erase(it);
    return true;
}

void agent_core::state::on_submit(const host_id& from, const submit& it, time_point now, actions& out) {
    if (must_check_endpoint(now)) {
        defer_submission(from, it, now, out);
        return;
    }
    const auto held = grants_.take(it.grant, from);
    if (held.has_value()) {
        demands_.record_submission(from, held->pool, it.team);
    }
    const auto link = links_.find(from);
    if (link == links_.end() || !link->second.up || it.id.router != from ||
        it.id.incarnation != link->second.peer.incarnation) {
        reject(from, it, result_code::protocol_error, out);
        return;
    }
    if (const auto used_grant = admitted_.find(it.id); used_grant.has_value()) {
        if (*used_grant == it.grant) {
            // A repeated message. An answer "rejected" would be taken for the admitted run's result.
            metrics_.add("duplicate_submissions_total");
            return;
        }
        reject(from, it, result_code::duplicate_request, out);
        return;
    }
    suspicions_.merge(suspicion{.fingerprint = it.fingerprint, .crashes = it.crashes}, now);
    const auto crashes = std::max(it.suspicion, suspicions_.crash_count(it.fingerprint));
    if (const auto code = check_submission(it, held, crashes, now); code != result_code::ok) {
        if (held.has_value()) {
            refund_unused({*held}, now);
        }
        reject(from, it, code, out);
        return;
    }

    admitted_.insert(it.id, it.grant, now);
    drop_answer(it.id);

    run_state run{};
    run.work = it;
    run.work.request = call{};
    run.request_bytes = it.request.body.size();
    run.started = now;
    run.deadline = now + std::chrono::milliseconds{it.timeout_ms};
    run.crashes = crashes;
    run.known_crashes = suspicions_.suspicion_of(it.fingerprint).crashes;
    run.remote = held->remote;
    run.remote_bytes = held->budget_bytes;
    if (!runs_.emplace(it.id, std::move(run)).second) {
        record_violation("admitted_twice");
        return;
    }

    if (running() + orphaned_runs_ > ramp_.limit()) {
        record_violation("admission_over_limit");
    }
    if (refusal_reason(now).has_value()) {
        record_violation("admission_while_refusing");
    }
    metrics_.add("admitted_total");
    out.emplace_back(start_run{it});
}

} // namespace dandelionbay
