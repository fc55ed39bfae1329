#include "dandelionbay/router/internal/grant_shelf.hpp"

#include "dandelionbay/router/internal/limits.hpp"

namespace dandelionbay::internal {

void grant_shelf::spend(const key_type& key, bool submitted, time_point now) {
    if (spent_.try_emplace(key, submitted).second) {
        spent_order_.emplace_back(now, key);
    }
}

bool grant_shelf::add(const held_grant& grant) {
    const key_type key{grant.agent, grant.id};
    if (by_id_.contains(key) || spent_.contains(key)) {
        return false;
    }
    by_id_[key] = order_.insert(grant).first;
    return true;
}

void grant_shelf::take(const held_grant& grant, bool submitted, time_point now) {
    const key_type key{grant.agent, grant.id};
    const auto it = by_id_.find(key);
    if (it != by_id_.end()) {
        spend(key, submitted, now);
        order_.erase(it->second);
        by_id_.erase(it);
    }
}

bool grant_shelf::recall(const host_id& agent, const grant_id& id, time_point now) {
    const key_type key{agent, id};
    const auto held = by_id_.find(key);
    if (held != by_id_.end()) {
        order_.erase(held->second);
        by_id_.erase(held);
    }
    const auto spent = spent_.find(key);
    const bool submitted = spent != spent_.end() && spent->second;
    spend(key, false, now);
    return !submitted;
}

void grant_shelf::drop(const host_id& agent, time_point now) {
    for (auto it = by_id_.lower_bound(key_type{agent, grant_id{}}); it != by_id_.end() && it->first.first == agent;) {
        spend(it->first, false, now);
        order_.erase(it->second);
        it = by_id_.erase(it);
    }
}

std::size_t grant_shelf::expire(time_point now) {
    std::size_t expired = 0;
    for (auto it = order_.begin(); it != order_.end();) {
        if (it->usable_until > now) {
            ++it;
            continue;
        }
        const key_type key{it->agent, it->id};
        spend(key, false, now);
        by_id_.erase(key);
        it = order_.erase(it);
        ++expired;
    }
    while (!spent_order_.empty() && now - spent_order_.front().first >= spent_grant_memory) {
        spent_.erase(spent_order_.front().second);
        spent_order_.pop_front();
    }
    return expired;
}

} // namespace dandelionbay::internal
