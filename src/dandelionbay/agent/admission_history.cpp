#include "dandelionbay/agent/admission_history.hpp"

#include <algorithm>

namespace dandelionbay::internal {

void admission_history::insert(const request_id& id, const grant_id& grant, time_point now) {
    while (!order_.empty() && (order_.front().admitted + retention <= now || order_.size() >= capacity)) {
        const auto& oldest = order_.front().id;
        auto& highest = forgotten_.try_emplace(oldest.router, oldest).first->second;
        highest = std::max(highest, oldest);
        grants_.erase(oldest);
        order_.pop_front();
    }
    grants_.insert_or_assign(id, grant);
    order_.push_back(entry{id, now});
}

void admission_history::erase(const request_id& id) {
    grants_.erase(id);
}

std::optional<grant_id> admission_history::find(const request_id& id) const {
    const auto it = grants_.find(id);
    return it != grants_.end() ? std::optional{it->second} : std::nullopt;
}

bool admission_history::never_admitted(const request_id& id) const {
    const auto forgotten = forgotten_.find(id.router);
    return !grants_.contains(id) && (forgotten == forgotten_.end() || forgotten->second < id);
}

} // namespace dandelionbay::internal
