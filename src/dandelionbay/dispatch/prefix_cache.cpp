#include "dandelionbay/dispatch/prefix_cache.hpp"

namespace dandelionbay {

void prefix_cache::trim() {
    while (used_ > capacity_ && !order_.empty()) {
        used_ -= order_.front().tokens;
        index_.erase(order_.front().id);
        order_.pop_front();
    }
}

void prefix_cache::set_capacity(std::uint64_t tokens) {
    capacity_ = tokens;
    trim();
}

void prefix_cache::use(std::uint64_t id, std::uint32_t tokens) {
    if (const auto it = index_.find(id); it != index_.end()) {
        order_.splice(order_.end(), order_, it->second);
        return;
    }
    order_.push_back(kept{id, tokens});
    index_.emplace(id, std::prev(order_.end()));
    used_ += tokens;
    trim();
}

void prefix_cache::use(std::span<const prompt_part> parts) {
    // The later parts are useless without the earlier ones, so the earlier ones count as used last.
    for (auto it = parts.rbegin(); it != parts.rend(); ++it) {
        use(it->id, it->tokens);
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
    order_.clear();
    index_.clear();
    used_ = 0;
}

} // namespace dandelionbay
