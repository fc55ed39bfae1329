#include "dandelionbay/router/internal/grant_store.hpp"

#include "dandelionbay/router/internal/limits.hpp"

namespace dandelionbay::internal {

void grant_store::mark_spent(const key_type& key, bool submitted, time_point now) {
    if (spent_.try_emplace(key, submitted).second) {
        spent_by_time_.emplace_back(now, key);
    }
}

bool grant_store::add(const held_grant& grant) {
    const key_type key{grant.agent, grant.id};
    if (by_id_.contains(key) || spent_.contains(key)) {
        return false;
    }
    by_id_[key] = order_.insert(grant).first;
    return true;
}

void grant_store::remove(const held_grant& grant, bool submitted, time_point now) {
    const key_type key{grant.agent, grant.id};
    const auto it = by_id_.find(key);
    if (it != by_id_.end()) {
        mark_spent(key, submitted, now);
        order_.erase(it->second);
        by_id_.erase(it);
    }
}

bool grant_store::recall(const host_id& agent, const grant_id& id, time_point now) {
    const key_type key{agent, id};
    const auto held = by_id_.find(key);
    if (held != by_id_.end()) {
        order_.erase(held->second);
        by_id_.erase(held);
    }
    const auto spent = spent_.find(key);
    const bool submitted = spent != spent_.end() && spent->second;
    mark_spent(key, false, now);
    return !submitted;
}

void grant_store::remove_all_of(const host_id& agent, time_point now) {
    for (auto it = by_id_.lower_bound(key_type{agent, grant_id{}}); it != by_id_.end() && it->first.first == agent;) {
        mark_spent(it->first, false, now);
        order_.erase(it->second);
        it = by_id_.erase(it);
    }
}

std::size_t grant_store::remove_expired(time_point now) {
    std::size_t expired = 0;
    for (auto it = order_.begin(); it != order_.end();) {
        if (it->usable_until > now) {
            ++it;
            continue;
        }
        const key_type key{it->agent, it->id};
        mark_spent(key, false, now);
        by_id_.erase(key);
        it = order_.erase(it);
        ++expired;
    }
    while (!spent_by_time_.empty() && now - spent_by_time_.front().first >= spent_grant_retention_window) {
        spent_.erase(spent_by_time_.front().second);
        spent_by_time_.pop_front();
    }
    return expired;
}

} // namespace dandelionbay::internal
