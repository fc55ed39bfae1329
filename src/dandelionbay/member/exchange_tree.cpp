#include "dandelionbay/member/exchange_tree.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

namespace {

std::uint64_t score(const region_id& region, const host_id& host) {
    return name_hash(region.value + '\0' + host.value);
}

} // namespace

exchange_tree::exchange_tree(host_id self, std::span<const member> members) : self_{std::move(self)} {
    for (const auto& it : members) {
        const bool own = it.entry.host == self_;
        const bool present = it.state == member_state::live || it.state == member_state::leaving;
        if (own) {
            region_ = it.entry.region;
        }
        if (it.entry.role == host_role::router && (own || present)) {
            routers_.push_back(router{it.entry.host, it.entry.region, it.state == member_state::leaving});
        }
    }
}

std::optional<host_id> exchange_tree::aggregator(const region_id& region) const {
    const router* best = nullptr;
    const auto order = [&](const router& it) { return std::tuple{!it.leaving, score(region, it.host), it.host}; };
    for (const auto& it : routers_) {
        if (it.region == region && (best == nullptr || order(it) > order(*best))) {
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
        if (const auto above = aggregator(region_); above.has_value()) {
            result.insert(*above);
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
