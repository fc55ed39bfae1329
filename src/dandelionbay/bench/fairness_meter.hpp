#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/*! @brief What a team has got up to a moment. */
struct team_sample {
    std::int64_t tokens{}; //!< Output tokens that reached its callers.
    bool backlogged{};
    std::int64_t cost{}; //!< Cost units: one for an input token of a started call, two for an output token.

    friend bool operator==(const team_sample&, const team_sample&) = default;
};

/*! @brief Where the largest difference in cost units was seen. */
struct widest_gap {
    std::size_t first{}; //!< The team that got more between the two moments.
    std::size_t second{};
    duration from{};  //!< Time of all samples up to the moment at which the first was furthest behind the second.
    duration until{}; //!< The same for the moment at which it was furthest ahead.

    friend bool operator==(const widest_gap&, const widest_gap&) = default;
};

/**
 * @brief Largest difference of service between two teams over any interval in which both are backlogged throughout.
 */
class fairness_meter {
    void add_to_rate(const std::array<team_sample, team_count>& now, duration step);

    struct pair_state {
        bool open{};
        std::int64_t lowest{};
        std::int64_t highest{};
        std::int64_t lowest_cost{};
        std::int64_t highest_cost{};
        duration lowest_cost_at{};
        duration highest_cost_at{};
    };

    void extend(std::size_t a, std::size_t b, const std::array<team_sample, team_count>& now);

public:
    using sample = std::array<team_sample, team_count>;

    /*! @brief Adds a sample. @param now What each team has got. @param step Time since the last sample. */
    void add(const sample& now, duration step);

    /*! @brief The largest difference in tokens; zero if no two teams were backlogged at a time. */
    [[nodiscard]] std::int64_t gap() const noexcept { return gap_; }

    /*! @brief The largest difference in cost units. */
    [[nodiscard]] std::int64_t cost_gap() const noexcept { return cost_gap_; }

    /*! @brief The teams of cost_gap() and when it arose; nothing if it is zero. */
    [[nodiscard]] std::optional<widest_gap> widest() const noexcept { return widest_; }

    /*! @brief Highest service rate of all teams together. @return Cost units per second over one second at least; zero
     *  if the samples cover less. */
    [[nodiscard]] double rate() const noexcept { return rate_; }

    /*! @brief Time in which at least two teams were backlogged. */
    [[nodiscard]] duration contended() const noexcept { return contended_; }

private:
    std::array<std::array<pair_state, team_count>, team_count> pairs_{};
    std::int64_t gap_{0};
    std::int64_t cost_gap_{0};
    std::optional<widest_gap> widest_;
    duration elapsed_{0};
    duration contended_{0};
    std::optional<duration> window_; //!< Length so far of the window in which the rate is measured.
    std::int64_t window_cost_{0};
    double rate_{0};
};

} // namespace dandelionbay::bench
