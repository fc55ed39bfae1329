#include "dandelionbay/limit/crash_register.hpp"

#include <algorithm>

namespace dandelionbay {

bool crash_register::raise(std::uint64_t fingerprint, std::uint32_t crashes, std::uint32_t cleared, time_point now) {
    auto& it = records_[fingerprint];
    const auto more_crashes = std::max(it.crashes, crashes);
    const auto more_cleared = std::max(it.cleared, cleared);
    if (more_crashes == it.crashes && more_cleared == it.cleared) {
        return false;
    }
    it = record{more_crashes, more_cleared, now};
    return true;
}

suspicion crash_register::crashed(std::uint64_t fingerprint, time_point now) {
    const auto it = records_.find(fingerprint);
    const auto number = (it != records_.end() ? it->second.crashes : 0) + 1;
    raise(fingerprint, number, 0, now);
    return {fingerprint, number, false};
}

bool crash_register::merge(const suspicion& in, time_point now) {
    if (in.cleared && in.crashes == 0) {
        // An agent that saw the request finish names no number. It covers a single crash only: a request that is
        // refused does not run, so it can't have finished since.
        const auto known = crashes(in.fingerprint);
        return known > 0 && known < refused_at && !finished(in.fingerprint, now).empty();
    }
    return in.crashes > 0 && raise(in.fingerprint, in.crashes, in.cleared ? in.crashes : 0, now);
}

std::vector<suspicion> crash_register::finished(std::uint64_t fingerprint, time_point now) {
    const auto it = records_.find(fingerprint);
    if (it == records_.end() || it->second.cleared >= it->second.crashes) {
        return {};
    }
    const auto number = it->second.crashes;
    raise(fingerprint, number, number, now);
    return {suspicion{fingerprint, number, true}};
}

std::uint32_t crash_register::crashes(std::uint64_t fingerprint) const {
    const auto it = records_.find(fingerprint);
    return it != records_.end() ? it->second.crashes - std::min(it->second.cleared, it->second.crashes) : 0;
}

void crash_register::expire(time_point now) {
    std::erase_if(records_, [&](const auto& it) { return now - it.second.changed >= kept; });
}

std::vector<suspicion> crash_register::all() const {
    std::vector<suspicion> out;
    for (const auto& [fingerprint, it] : records_) {
        if (it.cleared > 0) {
            out.push_back(suspicion{fingerprint, it.cleared, true});
        }
        if (it.crashes > it.cleared) {
            out.push_back(suspicion{fingerprint, it.crashes, false});
        }
    }
    return out;
}

} // namespace dandelionbay
