#pragma once

#include <array>
#include <cstdint>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/*! @brief What a team has got up to a moment. */
struct team_sample {
    std::int64_t tokens{}; //!< Output tokens that reached its callers.
    bool backlogged{};

    friend bool operator==(const team_sample&, const team_sample&) = default;
};

/**
 * @brief Largest difference of service between two teams over any interval in which both are backlogged throughout.
 */
class fairness_meter {
    struct pair_state {
        bool open{};
        std::int64_t lowest{};
        std::int64_t highest{};
    };

public:
    using sample = std::array<team_sample, team_count>;

    /*! @brief Adds a sample. @param now What each team has got. @param step Time since the last sample. */
    void add(const sample& now, duration step);

    /*! @brief The largest difference in tokens; zero if no two teams were backlogged at a time. */
    [[nodiscard]] std::int64_t gap() const noexcept { return gap_; }

    /*! @brief Time in which at least two teams were backlogged. */
    [[nodiscard]] duration contended() const noexcept { return contended_; }

private:
    std::array<std::array<pair_state, team_count>, team_count> pairs_{};
    std::int64_t gap_{0};
    duration contended_{0};
};

} // namespace dandelionbay::bench
