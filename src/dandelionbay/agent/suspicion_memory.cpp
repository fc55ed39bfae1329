#include "dandelionbay/agent/suspicion_memory.hpp"

#include <algorithm>

namespace dandelionbay::internal {

void suspicion_memory::merge(const suspicion& news, time_point now) {
    std::erase_if(entries_, [&](const auto& it) { return it.second.heard + retention <= now; });
    if (news.cleared) {
        // A request that was refused for its second crash can't have finished since; only a first suspicion is cleared.
        const auto it = entries_.find(news.fingerprint);
        if (it != entries_.end() && it->second.crashes < refusal) {
            entries_.erase(it);
        }
        return;
    }
    if (entries_.size() >= capacity && !entries_.contains(news.fingerprint)) {
        entries_.erase(std::ranges::min_element(entries_, {}, [](const auto& it) { return it.second.heard; }));
    }
    auto& it = entries_[news.fingerprint];
    it.crashes = std::max(it.crashes, news.crashes);
    it.heard = now;
}

std::uint32_t suspicion_memory::crashes(std::uint64_t fingerprint, time_point now) const {
    const auto it = entries_.find(fingerprint);
    return it != entries_.end() && it->second.heard + retention > now ? it->second.crashes : 0;
}

std::vector<suspicion> suspicion_memory::all(time_point now) const {
    std::vector<suspicion> result;
    for (const auto& [fingerprint, it] : entries_) {
        if (it.heard + retention > now) {
            result.push_back(suspicion{.fingerprint = fingerprint, .crashes = it.crashes});
        }
    }
    return result;
}

} // namespace dandelionbay::internal
