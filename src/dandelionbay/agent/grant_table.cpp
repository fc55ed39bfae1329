#include "dandelionbay/agent/grant_table.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionbay::internal {

grant_id grant_table::issue(outstanding_grant it, time_point now) {
    it.id = grant_id{incarnation_, ++sequence_};
    it.expiry = now + lifetime;
    grants_.push_back(std::move(it));
    return grants_.back().id;
}

std::optional<outstanding_grant> grant_table::take(const grant_id& id, const host_id& router) {
    const auto it = std::ranges::find_if(grants_, [&](const auto& g) { return g.id == id && g.router == router; });
    if (it == grants_.end()) {
        return std::nullopt;
    }
    auto taken = std::move(*it);
    grants_.erase(it);
    return taken;
}

template<typename Predicate>
std::vector<outstanding_grant> grant_table::extract(Predicate which) {
    std::vector<outstanding_grant> taken;
    std::ranges::copy_if(grants_, std::back_inserter(taken), which);
    std::erase_if(grants_, which);
    return taken;
}

std::vector<outstanding_grant> grant_table::take_expired(time_point now) {
    return extract([&](const auto& g) { return g.expiry <= now; });
}

std::vector<outstanding_grant> grant_table::take_all(const host_id& router) {
    return extract([&](const auto& g) { return g.router == router; });
}

std::uint32_t grant_table::held_count(const host_id& router, const pool_id& pool, const team_id& team) const noexcept {
    return static_cast<std::uint32_t>(std::ranges::count_if(
        grants_, [&](const auto& g) { return !g.spare && g.router == router && g.pool == pool && g.team == team; }));
}

std::uint32_t grant_table::spare_count(const host_id& router, const pool_id& pool) const noexcept {
    return static_cast<std::uint32_t>(std::ranges::count_if(
        grants_, [&](const auto& g) { return g.spare && !g.recalled && g.router == router && g.pool == pool; }));
}

std::uint32_t grant_table::pending_count(const pool_id& pool, const team_id& team) const noexcept {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(grants_, [&](const auto& g) { return !g.spare && g.pool == pool && g.team == team; }));
}

} // namespace dandelionbay::internal
