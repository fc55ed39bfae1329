#include "dandelionbay/limit/retry_budget.hpp"

#include <algorithm>

namespace dandelionbay {

void retry_budget::record_request(const team_id& team) {
    auto& own = teams_.try_emplace(team, initial_team_retries).first->second;
    own = std::min(own + retries_per_request, max_team_retries);
    fleet_ = std::min(fleet_ + retries_per_request, max_router_retries);
}

bool retry_budget::try_take(const team_id& team) {
    auto& own = teams_.try_emplace(team, initial_team_retries).first->second;
    if (own < 1.0 || fleet_ < 1.0) {
        return false;
    }
    own -= 1.0;
    fleet_ -= 1.0;
    return true;
}

duration retry_budget::backoff(std::uint32_t attempt, std::mt19937_64& random) {
    constexpr std::uint32_t largest_shift = 10;
    const auto shift = std::min(std::max(attempt, 1U) - 1U, largest_shift);
    const auto high = std::min(initial_backoff.count() << shift, max_backoff.count());
    return duration{std::uniform_int_distribution<duration::rep>{high / 2, high}(random)};
}

} // namespace dandelionbay
