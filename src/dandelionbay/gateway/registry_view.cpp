#include "dandelionbay/gateway/registry_view.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

namespace {

/*! An endpoint that refused a connection counts as verified after this time even without a new entry; the time covers
 * two writes of the entry. */
constexpr duration verification_timeout = std::chrono::milliseconds{2500};

[[nodiscard]] std::optional<duration> age_since(const std::optional<time_point>& at, time_point now) noexcept {
    if (!at) {
        return std::nullopt;
    }
    return std::max(duration{}, now - *at);
}

} // namespace

bool registry_view::adopt(std::shared_ptr<const route_config> next) {
    if (next == nullptr || (config_ != nullptr && next->version <= config_->version)) {
        return false;
    }
    config_ = std::move(next);
    ++revision_;
    return true;
}

void registry_view::note_epoch(const registry_version& as_of, time_point now) {
    const bool is_first = operators_.as_of == registry_version{} && list_.as_of == registry_version{};
    if (is_first || as_of.epoch <= epoch()) {
        return;
    }
    restored_at_ = now;
    zones_out_before_restore_ = zones_out_;
    outage_ended_at_ = now; // Entries of the backup may be missing or have expired.
}

bool registry_view::is_being_rewritten(time_point now) const {
    return restored_at_ && now - *restored_at_ < limits_.rewrite_time;
}

void registry_view::note_restored_zones(const std::set<zone_id>& next, const registry_version& as_of) {
    if (zones_out_.empty()) {
        return;
    }
    for (auto& [id, it] : endpoints_) {
        if (zones_out_.contains(it.entry.zone) && !next.contains(it.entry.zone)) {
            // The endpoints of the zone may have become cold; only an entry written later shows their state.
            it.min_verified_version = as_of;
            it.unverified_since = time_point::max();
        }
    }
}

void registry_view::note_store_answer(time_point read_at) {
    if (store_answered_at_ && read_at <= *store_answered_at_) {
        return;
    }
    if (has_store_failed_ && store_answered_at_ && read_at - *store_answered_at_ >= limits_.min_outage) {
        outage_ended_at_ = store_restored_at_.value_or(read_at);
    }
    store_answered_at_ = read_at;
    has_store_failed_ = false;
}

bool registry_view::update_operator_state(const operator_state& next, time_point read_at, time_point now) {
    if (next.as_of < operators_.as_of || next.as_of.epoch < epoch()) {
        return false;
    }
    note_store_answer(read_at);
    note_epoch(next.as_of, now);
    auto zones = is_being_rewritten(now) ? zones_out_before_restore_ : std::set<zone_id>{};
    for (const auto& it : next.zones_out) {
        zones.insert(it.zone);
    }
    note_restored_zones(zones, next.as_of);
    if (zones != zones_out_) {
        zones_out_ = std::move(zones);
        ++revision_;
    }
    operators_ = next;
    if (config_ == nullptr || config_->version < next.config_version) {
        return false;
    }
    operators_read_at_ = std::max(operators_read_at_.value_or(read_at), read_at);
    return true;
}

bool registry_view::was_removed(const endpoint_entry& entry) const {
    const auto found = removed_.find(entry.id);
    return found != removed_.end() && entry.started <= found->second.started && !endpoints_.contains(entry.id);
}

void registry_view::merge_restored_entry(known_endpoint& known, const endpoint_entry& entry,
                                         const registry_version& as_of, time_point now) {
    if (entry.started < known.entry.started) {
        return; // The backup has an earlier process.
    }
    if (known.entry.row_version < known.min_verified_version) {
        known.min_verified_version = as_of.next();
    }
    const bool was_leaving = known.entry.leaving;
    known.entry = entry;
    known.entry.leaving |= was_leaving;
    known.reported_leaving = reported_leaving(entry);
    known.cold_until = std::max(known.cold_until, now + entry.cold_for);
}

void registry_view::merge_entries(const endpoint_list& next, time_point now) {
    std::set<endpoint_id> seen;
    const bool rewriting = is_being_rewritten(now);
    for (const auto& entry : next.entries) {
        if (rewriting && was_removed(entry)) {
            continue;
        }
        seen.insert(entry.id);
        const auto [found, added] = endpoints_.try_emplace(entry.id);
        auto& known = found->second;
        known.present = true;
        if (std::exchange(known.is_awaiting_read, false)) {
            known.min_verified_version = next.as_of.next();
        }
        if (rewriting && !added && entry.started <= known.entry.started &&
            known.entry.row_version.epoch < entry.row_version.epoch) {
            merge_restored_entry(known, entry, next.as_of, now);
            continue;
        }
        const bool changed = known.entry.row_version != entry.row_version;
        const bool restarted = known.entry.started != entry.started && known.entry.started != 0;
        if (!changed) {
            continue;
        }
        known.entry = entry;
        known.reported_leaving = reported_leaving(entry);
        if (entry.cold_for > duration{}) {
            known.cold_until = now + entry.cold_for;
        } else if (restarted || entry.row_version >= known.min_verified_version) {
            known.cold_until = time_point{};
        }
    }
    for (auto& [id, it] : endpoints_) {
        if (it.present && !seen.contains(id)) {
            it.present = false;
            it.missing_since = now;
        }
    }
}

bool registry_view::merge_endpoints(const endpoint_list& next, time_point read_at, time_point now) {
    if (next.as_of < list_.as_of || next.as_of.epoch < epoch()) {
        return false;
    }
    note_store_answer(read_at);
    note_epoch(next.as_of, now);
    merge_entries(next, now);
    list_ = next;
    ++revision_;
    endpoints_read_at_ = std::max(endpoints_read_at_.value_or(read_at), read_at);
    expire(now);
    return true;
}

void registry_view::on_store_failed() {
    has_store_failed_ = true;
    store_restored_at_.reset();
}

void registry_view::on_store_restored(time_point now) {
    store_restored_at_ = now;
}

bool registry_view::may_return(const known_endpoint& endpoint, time_point now) const {
    if (endpoint.entry.leaving || endpoint.reported_leaving) {
        return false;
    }
    return outage_ended_at_ && now - *outage_ended_at_ < limits_.expiry_grace;
}

void registry_view::expire(time_point now) {
    const auto gone = std::erase_if(endpoints_, [&](const auto& item) {
        const bool removes = !item.second.present && !may_return(item.second, now);
        if (removes) {
            removed_[item.first] = removed_endpoint{item.second.entry.started, now};
        }
        return removes;
    });
    revision_ += gone > 0 ? 1 : 0;
    std::erase_if(removed_, [&](const auto& item) { return now - item.second.removed_at >= removed_retention; });
    std::erase_if(leaving_reports_, [&](const auto& item) {
        return !endpoints_.contains(item.first) && now - item.second.reported_at >= leaving_retention;
    });
}

bool registry_view::reported_leaving(const endpoint_entry& entry) const {
    const auto found = leaving_reports_.find(entry.id);
    return found != leaving_reports_.end() && found->second.started == entry.started;
}

bool registry_view::note_leaving(const endpoint_process& process, time_point now) {
    const auto [found, added] = leaving_reports_.try_emplace(process.id, leaving_report{process.started, now});
    if (!added && process.started <= found->second.started) {
        return false; // Already known, or reported by an earlier process.
    }
    found->second = leaving_report{process.started, now};
    if (const auto known = endpoints_.find(process.id); known != endpoints_.end()) {
        known->second.reported_leaving = reported_leaving(known->second.entry);
        ++revision_;
    }
    return true;
}

bool registry_view::has_ended(const endpoint_process& process) const {
    const auto known = endpoints_.find(process.id);
    return known == endpoints_.end() || (process.started != 0 && known->second.entry.started > process.started);
}

std::vector<endpoint_process> registry_view::leaving_processes() const {
    std::vector<endpoint_process> out;
    for (const auto& [id, it] : leaving_reports_) {
        if (const auto known = endpoints_.find(id); known != endpoints_.end() && known->second.reported_leaving) {
            out.push_back(endpoint_process{id, it.started});
        }
    }
    return out;
}

void registry_view::note_refused(const endpoint_id& id, time_point now) {
    if (const auto it = endpoints_.find(id); it != endpoints_.end()) {
        it->second.is_awaiting_read = true;
        it->second.min_verified_version = registry_version::max();
        it->second.unverified_since = now;
    }
}

void registry_view::note_cold(const endpoint_id& id, duration cold_for, time_point now) {
    if (const auto it = endpoints_.find(id); it != endpoints_.end()) {
        it->second.cold_until = std::max(it->second.cold_until, now + cold_for);
    }
}

bool registry_view::are_keys_fresh(time_point now) const noexcept {
    const auto age = operator_state_age(now);
    return age && *age < limits_.max_key_age;
}

std::optional<duration> registry_view::operator_state_age(time_point now) const noexcept {
    return age_since(operators_read_at_, now);
}

std::optional<duration> registry_view::endpoints_age(time_point now) const noexcept {
    return age_since(endpoints_read_at_, now);
}

bool registry_view::accepts_work(const known_endpoint& endpoint) const {
    return !endpoint.entry.leaving && !endpoint.reported_leaving && !zones_out_.contains(endpoint.entry.zone);
}

bool registry_view::is_cold(const known_endpoint& endpoint, time_point now) const noexcept {
    if (now < endpoint.cold_until) {
        return true;
    }
    const bool unverified = endpoint.entry.row_version < endpoint.min_verified_version;
    return unverified &&
           (endpoint.unverified_since == time_point::max() || now - endpoint.unverified_since < verification_timeout);
}

} // namespace dandelionbay
