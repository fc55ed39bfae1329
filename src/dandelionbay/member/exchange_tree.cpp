#include "dandelionbay/member/exchange_tree.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

namespace {

std::uint64_t rendezvous_weight(const region_id& region, const host_id& host) {
    return name_hash(region.value + '\0' + host.value);
}

} // namespace

exchange_tree::exchange_tree(host_id self, std::span<const member> members) : self_{std::move(self)} {
    for (const auto& it : members) {
        const bool is_self = it.entry.host == self_;
        const bool is_present = it.state == member_state::live || it.state == member_state::leaving;
        if (is_self) {
            region_ = it.entry.region;
        }
        if (it.entry.role == host_role::router && (is_self || is_present)) {
            routers_.push_back(participant{it.entry.host, it.entry.region, it.state == member_state::leaving});
        }
    }
}

std::optional<host_id> exchange_tree::aggregator(const region_id& region) const {
    const participant* best = nullptr;
    const auto rank = [&](const participant& it) {
        return std::tuple{!it.leaving, rendezvous_weight(region, it.host), it.host};
    };
    for (const auto& it : routers_) {
        if (it.region == region && (best == nullptr || rank(it) > rank(*best))) {
            best = &it;
        }
    }
    return best != nullptr ? std::optional{best->host} : std::nullopt;
}

bool exchange_tree::is_aggregator() const {
    return aggregator(region_) == self_;
}

std::vector<host_id> exchange_tree::peers() const {
    std::set<host_id> result;
    if (!is_aggregator()) {
        if (const auto own = aggregator(region_); own.has_value()) {
            result.insert(*own);
        }
        return {result.begin(), result.end()};
    }
    for (const auto& it : routers_) {
        if (it.region == region_) {
            result.insert(it.host);
        } else if (const auto other = aggregator(it.region); other.has_value()) {
            result.insert(*other);
        }
    }
    result.erase(self_);
    return {result.begin(), result.end()};
}

} // namespace dandelionbay
