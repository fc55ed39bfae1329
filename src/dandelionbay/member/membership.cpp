#include "dandelionbay/member/membership.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace dandelionbay {

std::string_view to_string(member_state state) noexcept {
    switch (state) {
    case member_state::live:
        return "live";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::gone:
        break;
    }
    return "gone";
}

member_state membership::state_of(const record& host, time_point now) const {
    const bool is_self = host.entry.host == self_.host;
    const auto silence = is_self ? duration{} : now - host.last_message_at.value_or(host.known_since);
    const bool is_leaving = host.has_announced_leaving || host.entry.leaving;
    if (silence >= gone_timeout || (host.has_announced_leaving && silence >= suspect_timeout)) {
        return member_state::gone;
    }
    if (silence >= suspect_timeout || (!is_self && !host.last_message_at.has_value())) {
        return member_state::suspect;
    }
    return is_leaving ? member_state::leaving : member_state::live;
}

bool membership::counts_for_majority(const record& host, time_point now) {
    const bool is_silent = !host.last_message_at.has_value() || now - *host.last_message_at >= suspect_timeout;
    return !is_silent || (!host.is_delisted && !host.has_announced_leaving);
}

membership::record* membership::accept(const host_id& from, incarnation_type incarnation, time_point now) {
    const auto it = records_.find(from);
    if (it == records_.end() || from == self_.host) {
        metrics_.add("unknown_host_messages_total");
        return nullptr;
    }
    auto& known = it->second;
    if (incarnation < known.incarnation) {
        metrics_.add("old_incarnation_total");
        return nullptr;
    }
    if (incarnation > known.incarnation) {
        // A new incarnation of the host has not announced anything yet.
        known.incarnation = incarnation;
        known.config_revision = 0;
        known.has_announced_leaving = false;
    }
    known.last_message_at = std::max(known.last_message_at.value_or(now), now);
    return &known;
}

membership::membership(host_entry self, const std::vector<host_entry>& hosts, counters& metrics, time_point now)
    : self_{std::move(self)}, metrics_{metrics}, are_hosts_named_{std::ranges::any_of(
                                                     hosts, [this](const auto& it) { return it.host != self_.host; })} {
    for (const auto& it : hosts) {
        records_.emplace(it.host, record{.entry = it, .known_since = now, .was_listed = true});
    }
    records_.insert_or_assign(self_.host, record{.entry = self_, .known_since = now});
}

void membership::update_host_list(const std::vector<host_entry>& hosts, time_point now) {
    are_hosts_named_ = true;
    std::set<host_id> listed;
    for (const auto& it : hosts) {
        listed.insert(it.host);
        auto& known = records_.try_emplace(it.host, record{.known_since = now}).first->second;
        known.entry = it;
        known.was_listed = true;
        known.is_delisted = false;
    }
    for (auto& [host, known] : records_) {
        // The list lags, so a host that sends messages exists, and a new host may still be missing.
        const bool is_missing = host != self_.host && !listed.contains(host);
        const auto silence = now - known.last_message_at.value_or(known.known_since);
        known.is_delisted = known.is_delisted || (is_missing && (known.was_listed || silence >= unlisted_timeout));
    }
    std::erase_if(records_, [&](const auto& it) {
        return it.second.is_delisted && state_of(it.second, now) == member_state::gone;
    });
}

bool membership::on_message(const hello& peer, time_point now) {
    records_.try_emplace(
        peer.host, record{.entry = {.host = peer.host, .role = peer.role, .region = peer.region, .zone = peer.zone},
                          .known_since = now});
    auto* const known = accept(peer.host, peer.incarnation, now);
    if (known == nullptr) {
        return false;
    }
    known->entry.role = peer.role;
    known->entry.region = peer.region;
    known->entry.zone = peer.zone;
    known->config_revision = std::max(known->config_revision, peer.config_revision);
    return true;
}

bool membership::on_message(const host_id& from, const heartbeat& beat, time_point now) {
    auto* const known = accept(from, beat.incarnation, now);
    if (known == nullptr) {
        return false;
    }
    known->config_revision = std::max(known->config_revision, beat.config_revision);
    // An announced stop holds until a new incarnation.
    known->has_announced_leaving = known->has_announced_leaving || beat.leaving;
    return true;
}

bool membership::on_message(const host_id& from, incarnation_type incarnation, time_point now) {
    return accept(from, incarnation, now) != nullptr;
}

void membership::on_heartbeat_confirmed(const host_id& from, time_point sent) {
    if (const auto it = records_.find(from); it != records_.end()) {
        it->second.confirmed_at = std::max(it->second.confirmed_at.value_or(sent), sent);
    }
}

member_state membership::state(const host_id& host, time_point now) const {
    const auto it = records_.find(host);
    return it != records_.end() ? state_of(it->second, now) : member_state::gone;
}

incarnation_type membership::incarnation(const host_id& host) const {
    const auto it = records_.find(host);
    return it != records_.end() ? it->second.incarnation : 0;
}

std::vector<member> membership::members(time_point now) const {
    std::vector<member> result;
    for (const auto& [host, it] : records_) {
        result.push_back(member{.entry = it.entry,
                                .state = state_of(it, now),
                                .incarnation = it.incarnation,
                                .config_revision = it.config_revision});
    }
    return result;
}

std::size_t membership::known_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        records_, [&](const auto& it) { return it.first == self_.host || counts_for_majority(it.second, now); }));
}

bool membership::has_majority(time_point now) const {
    const auto since = majority_since(&record::last_message_at, now);
    return since.has_value() && now - *since < suspect_timeout;
}

std::uint64_t membership::majority_revision(std::uint64_t own, time_point now) const {
    if (!are_hosts_named_) {
        return 0;
    }
    std::vector<std::uint64_t> revisions{own};
    for (const auto& [host, it] : records_) {
        if (host != self_.host && counts_for_majority(it, now)) {
            revisions.push_back(it.config_revision);
        }
    }
    std::ranges::sort(revisions, std::greater{});
    return revisions[revisions.size() / 2];
}

std::optional<time_point> membership::majority_confirmed_at(time_point now) const {
    return majority_since(&record::confirmed_at, now);
}

std::optional<time_point> membership::majority_since(std::optional<time_point> record::*time, time_point now) const {
    // A process that knows only the hosts that sent it messages would see a majority on any side of a partition.
    if (!are_hosts_named_) {
        return std::nullopt;
    }
    std::vector<time_point> times{now};
    for (const auto& [host, it] : records_) {
        if (host != self_.host && (it.*time).has_value() && counts_for_majority(it, now)) {
            times.push_back(*(it.*time));
        }
    }
    const auto needed = known_count(now) / 2 + 1;
    if (times.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(times, std::greater{});
    return times[needed - 1];
}

} // namespace dandelionbay
