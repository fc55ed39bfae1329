#include "dandelionbay/limit/retry_budget.hpp"

#include <algorithm>

namespace dandelionbay {

void retry_budget::record_request(const team_id& team) {
    auto& available = team_retries_.try_emplace(team, initial_team_retries).first->second;
    available = std::min(available + retries_per_request, max_team_retries);
    router_retries_ = std::min(router_retries_ + retries_per_request, max_router_retries);
}

bool retry_budget::try_take(const team_id& team) {
    auto& available = team_retries_.try_emplace(team, initial_team_retries).first->second;
    if (available < 1.0 || router_retries_ < 1.0) {
        return false;
    }
    available -= 1.0;
    router_retries_ -= 1.0;
    return true;
}

duration retry_budget::backoff(std::uint32_t attempt, std::mt19937_64& random) {
    constexpr std::uint32_t max_shift = 10;
    const auto shift = std::min(std::max(attempt, 1U) - 1U, max_shift);
    const auto upper_bound = std::min(initial_backoff.count() << shift, max_backoff.count());
    return duration{std::uniform_int_distribution<duration::rep>{upper_bound / 2, upper_bound}(random)};
}

} // namespace dandelionbay
