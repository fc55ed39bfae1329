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

member_state membership::state_of(const record& it, time_point now) const {
    const bool self = it.entry.host == self_.host;
    const auto silent = self ? duration{} : now - it.heard.value_or(it.known_since);
    const bool leaves = it.announced_leaving || it.entry.leaving;
    if (silent >= gone_timeout || (it.announced_leaving && silent >= suspect_timeout)) {
        return member_state::gone;
    }
    if (silent >= suspect_timeout || (!self && !it.heard.has_value())) {
        return member_state::suspect;
    }
    return leaves ? member_state::leaving : member_state::live;
}

bool membership::counts(const record& it, time_point now) {
    const bool silent = !it.heard.has_value() || now - *it.heard >= suspect_timeout;
    return !silent || (!it.delisted && !it.announced_leaving);
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
        // A new life of the host has announced nothing yet.
        known.incarnation = incarnation;
        known.config_revision = 0;
        known.announced_leaving = false;
    }
    known.heard = std::max(known.heard.value_or(now), now);
    return &known;
}

membership::membership(host_entry self, const std::vector<host_entry>& hosts, counters& metrics, time_point now)
    : self_{std::move(self)}, metrics_{metrics}, all_named_{std::ranges::any_of(
                                                     hosts, [this](const auto& it) { return it.host != self_.host; })} {
    for (const auto& it : hosts) {
        records_.emplace(it.host, record{.entry = it, .known_since = now, .ever_listed = true});
    }
    records_.insert_or_assign(self_.host, record{.entry = self_, .known_since = now});
}

void membership::host_list_read(const std::vector<host_entry>& hosts, time_point now) {
    all_named_ = true;
    std::set<host_id> listed;
    for (const auto& it : hosts) {
        listed.insert(it.host);
        auto& known = records_.try_emplace(it.host, record{.known_since = now}).first->second;
        known.entry = it;
        known.ever_listed = true;
        known.delisted = false;
    }
    for (auto& [host, known] : records_) {
        // The list lags: a host that is heard exists, and one that is new may still be missing.
        const bool missing = host != self_.host && !listed.contains(host);
        const auto silent = now - known.heard.value_or(known.known_since);
        known.delisted = known.delisted || (missing && (known.ever_listed || silent >= unlisted_timeout));
    }
    std::erase_if(records_,
                  [&](const auto& it) { return it.second.delisted && state_of(it.second, now) == member_state::gone; });
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
    // A stop is not taken back; only a new incarnation ends it.
    known->announced_leaving = known->announced_leaving || beat.leaving;
    return true;
}

bool membership::on_message(const host_id& from, incarnation_type incarnation, time_point now) {
    return accept(from, incarnation, now) != nullptr;
}

void membership::on_heartbeat_confirmed(const host_id& from, time_point sent) {
    if (const auto it = records_.find(from); it != records_.end()) {
        it->second.confirmed = std::max(it->second.confirmed.value_or(sent), sent);
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
        records_, [&](const auto& it) { return it.first == self_.host || counts(it.second, now); }));
}

bool membership::hears_majority(time_point now) const {
    const auto since = majority_since(&record::heard, now);
    return since.has_value() && now - *since < suspect_timeout;
}

std::uint64_t membership::majority_revision(std::uint64_t own, time_point now) const {
    if (!all_named_) {
        return 0;
    }
    std::vector<std::uint64_t> revisions{own};
    for (const auto& [host, it] : records_) {
        if (host != self_.host && counts(it, now)) {
            revisions.push_back(it.config_revision);
        }
    }
    std::ranges::sort(revisions, std::greater{});
    return revisions[revisions.size() / 2];
}

std::optional<time_point> membership::majority_heard(time_point now) const {
    return majority_since(&record::confirmed, now);
}

std::optional<time_point> membership::majority_since(std::optional<time_point> record::*what, time_point now) const {
    // A process that only knows the hosts it heard would find a majority of them in any part of a partition.
    if (!all_named_) {
        return std::nullopt;
    }
    std::vector<time_point> times{now};
    for (const auto& [host, it] : records_) {
        if (host != self_.host && (it.*what).has_value() && counts(it, now)) {
            times.push_back(*(it.*what));
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
