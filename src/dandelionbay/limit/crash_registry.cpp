#include "dandelionbay/limit/crash_registry.hpp"

#include <algorithm>

#include <xxhash.h>

namespace dandelionbay {

namespace {

constexpr crash_id sequence_mask = 0xffff;

} // namespace

crash_id make_crash_id(const host_id& agent, incarnation_type incarnation, std::uint16_t sequence) {
    return (XXH64(agent.value.data(), agent.value.size(), incarnation) & ~sequence_mask) | sequence;
}

bool is_same_agent_incarnation(crash_id a, crash_id b) noexcept {
    return (a & ~sequence_mask) == (b & ~sequence_mask);
}

std::uint32_t crash_registry::count(const record& in) noexcept {
    return static_cast<std::uint32_t>(std::ranges::count(in.crashes, false, &crash::cleared));
}

suspicion crash_registry::message_of(std::uint64_t fingerprint, const record& in) {
    suspicion out{.fingerprint = fingerprint};
    for (const auto& it : in.crashes) {
        (it.cleared ? out.cleared : out.crashes).push_back(it.id);
    }
    return out;
}

bool crash_registry::add(record& to, crash_id id, bool cleared) {
    const auto it = std::ranges::find(to.crashes, id, &crash::id);
    if (it != to.crashes.end()) {
        const bool changed = cleared && !it->cleared;
        it->cleared = it->cleared || cleared;
        return changed;
    }
    if (to.crashes.size() >= max_crashes) {
        const auto oldest = std::ranges::find(to.crashes, true, &crash::cleared);
        if (cleared || oldest == to.crashes.end()) {
            return false;
        }
        to.crashes.erase(oldest);
    }
    to.crashes.push_back(crash{id, cleared});
    return true;
}

bool crash_registry::record_crash(std::uint64_t fingerprint, crash_id id, time_point now) {
    return merge(suspicion{.fingerprint = fingerprint, .crashes = {id}}, now);
}

bool crash_registry::merge(const suspicion& in, time_point now) {
    if (in.crashes.empty() && in.cleared.empty()) {
        return false;
    }
    if (records_.size() >= capacity_ && !records_.contains(in.fingerprint)) {
        records_.erase(std::ranges::min_element(records_, {}, [](const auto& it) { return it.second.changed; }));
    }
    auto& it = records_[in.fingerprint];
    bool changed = false;
    for (const auto id : in.cleared) {
        changed = add(it, id, true) || changed;
    }
    for (const auto id : in.crashes) {
        changed = add(it, id, false) || changed;
    }
    if (changed) {
        it.changed = now;
    }
    return changed;
}

bool crash_registry::record_completion(std::uint64_t fingerprint, std::span<const crash_id> covered, time_point now) {
    return merge(suspicion{.fingerprint = fingerprint, .cleared = {covered.begin(), covered.end()}}, now);
}

std::uint32_t crash_registry::crash_count(std::uint64_t fingerprint) const {
    const auto it = records_.find(fingerprint);
    return it != records_.end() ? count(it->second) : 0;
}

suspicion crash_registry::suspicion_of(std::uint64_t fingerprint) const {
    const auto it = records_.find(fingerprint);
    return it != records_.end() ? message_of(fingerprint, it->second) : suspicion{.fingerprint = fingerprint};
}

void crash_registry::expire(time_point now) {
    std::erase_if(records_, [&](const auto& it) { return now - it.second.changed >= retention_window; });
}

std::vector<suspicion> crash_registry::all_suspicions() const {
    std::vector<suspicion> out;
    for (const auto& [fingerprint, it] : records_) {
        out.push_back(message_of(fingerprint, it));
    }
    return out;
}

std::vector<suspicion> crash_registry::refused_suspicions() const {
    std::vector<suspicion> out;
    for (const auto& [fingerprint, it] : records_) {
        if (count(it) >= min_crashes_to_refuse) {
            out.push_back(message_of(fingerprint, it));
        }
    }
    return out;
}

} // namespace dandelionbay
