#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/**
 * @brief Waiting calls of a modelled router, taken from the team with the least service.
 *
 * A team that had nothing waiting starts at the level of the last call taken, so that idle time gives no credit.
 */
class fair_queue {
    [[nodiscard]] std::optional<std::size_t> next_team() const {
        std::optional<std::size_t> out;
        for (std::size_t team = 0; team < team_count; ++team) {
            if (!waiting_.at(team).empty() && (!out || service_.at(team) < service_.at(*out))) {
                out = team;
            }
        }
        return out;
    }

    struct call {
        std::size_t index{};
        std::uint32_t cost{};
    };

public:
    /*! @brief Adds a call. @param team Of the caller. @param index Names the call. @param cost Its tokens. */
    void push(std::size_t team, std::size_t index, std::uint32_t cost) {
        auto& queue = waiting_.at(team);
        if (queue.empty()) {
            service_.at(team) = std::max(service_.at(team), level_);
        }
        queue.push_back({index, cost});
    }

    /*! @brief Takes the next call and charges its cost. @return Its index, or nothing if no call waits. */
    [[nodiscard]] std::optional<std::size_t> pop() {
        const auto team = next_team();
        if (!team) {
            return std::nullopt;
        }
        auto& queue = waiting_.at(*team);
        const auto out = queue.front();
        queue.pop_front();
        level_ = service_.at(*team);
        service_.at(*team) += out.cost;
        return out.index;
    }

private:
    std::array<std::deque<call>, team_count> waiting_{};
    std::array<std::uint64_t, team_count> service_{};
    std::uint64_t level_{0};
};

} // namespace dandelionbay::bench
