#include "dandelionbay/dispatch/prefix_cache.hpp"

namespace dandelionbay {

void prefix_cache::evict() {
    while (used_tokens_ > capacity_tokens_ && !lru_.empty()) {
        used_tokens_ -= lru_.front().tokens;
        index_.erase(lru_.front().id);
        lru_.pop_front();
    }
}

void prefix_cache::set_capacity(std::uint64_t tokens) {
    capacity_tokens_ = tokens;
    evict();
}

void prefix_cache::record_use(std::uint64_t id, std::uint32_t tokens) {
    if (const auto it = index_.find(id); it != index_.end()) {
        lru_.splice(lru_.end(), lru_, it->second);
        return;
    }
    lru_.push_back(cached_part{id, tokens});
    index_.emplace(id, std::prev(lru_.end()));
    used_tokens_ += tokens;
    evict();
}

void prefix_cache::record_use(std::span<const prompt_part> parts) {
    // Later parts are useless without the earlier ones, so the earlier ones are recorded as the most recently used.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        record_use(it->id, it->tokens);
    }
}

std::uint32_t prefix_cache::cached_tokens(std::span<const prompt_part> parts) const {
    std::uint32_t tokens = 0;
    for (const auto& part : parts) {
        if (!index_.contains(part.id)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_cache::clear() {
    lru_.clear();
    index_.clear();
    used_tokens_ = 0;
}

} // namespace dandelionbay
