#include "dandelionbay/gateway/registry_view.hpp"

#include <algorithm>
#include <limits>
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

void registry_view::note_restored_zones(const operator_state& next) {
    if (zones_out_.empty()) {
        return;
    }
    const auto still_out = [&](const zone_id& zone) {
        return std::ranges::any_of(next.zones_out, [&](const zone_out& it) { return it.zone == zone; });
    };
    for (auto& [id, it] : endpoints_) {
        if (zones_out_.contains(it.entry.zone) && !still_out(it.entry.zone)) {
            // The endpoints of the zone may have become cold; only an entry written later shows their state.
            it.min_verified_version = next.as_of;
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

bool registry_view::update_operator_state(const operator_state& next, time_point read_at) {
    if (next.as_of < operators_.as_of) {
        return false;
    }
    note_store_answer(read_at);
    note_restored_zones(next);
    if (next.zones_out != operators_.zones_out) {
        zones_out_.clear();
        for (const auto& it : next.zones_out) {
            zones_out_.insert(it.zone);
        }
        ++revision_;
    }
    operators_ = next;
    if (config_ == nullptr || config_->version < next.config_version) {
        return false;
    }
    operators_read_at_ = std::max(operators_read_at_.value_or(read_at), read_at);
    return true;
}

void registry_view::merge_entries(const endpoint_list& next, time_point now) {
    std::set<endpoint_id> seen;
    for (const auto& entry : next.entries) {
        seen.insert(entry.id);
        auto& known = endpoints_[entry.id];
        const bool changed = known.entry.row_version != entry.row_version;
        const bool restarted = known.entry.started != entry.started && known.entry.started != 0;
        known.present = true;
        if (known.is_awaiting_read) {
            known.is_awaiting_read = false;
            known.min_verified_version = next.as_of + 1;
        }
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
    if (next.as_of < list_.as_of) {
        return false;
    }
    note_store_answer(read_at);
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
    const auto gone = std::erase_if(
        endpoints_, [&](const auto& item) { return !item.second.present && !may_return(item.second, now); });
    revision_ += gone > 0 ? 1 : 0;
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
        it->second.min_verified_version = std::numeric_limits<std::uint64_t>::max();
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
