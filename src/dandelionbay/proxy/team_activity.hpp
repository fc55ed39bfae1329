#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/fwd.hpp"
#include "dandelionbay/base/ids.hpp"

namespace dandelionbay {

/*! @brief Calls of one team to one service at one router. Costs are in the units of a team's usage. */
struct team_activity_entry {
    std::uint64_t arrived{};        //!< Attempts that arrived; one that comes again counts again.
    double arrived_cost{};          //!< Their cost.
    double largest_cost{};          //!< Cost of the largest of them.
    std::uint64_t begun{};          //!< Answers that began.
    double begun_cost{};            //!< Cost of their calls.
    std::uint64_t late{};           //!< Of these answers, those that began past their target.
    std::uint64_t unserved{};       //!< Attempts that ended without an answer: refused, failed, or given up.
    std::uint64_t unlogged{};       //!< Attempts that ended without a line of their own in the log.
    double unlogged_arrived_cost{}; //!< Their cost.

    team_activity_entry& operator+=(const team_activity_entry& other) noexcept;

    friend bool operator==(const team_activity_entry&, const team_activity_entry&) = default;
};

/**
 * @brief Sums of what each team asked for and got, logged once a second as line `team_second`.
 *
 * Lines on single calls are left out under load, just where a team lacks service. These sums are complete, and their
 * volume is bounded by the number of teams.
 */
class team_activity {
public:
    /*! @brief Interval between lines. */
    static constexpr duration log_interval = std::chrono::seconds{1};
    /*! @brief Most pairs of team and service in a line, about 60 bytes each; all further ones are one entry. */
    static constexpr std::size_t max_entries = 128;

    /*! @brief Identifies an entry. */
    struct key {
        team_id team{};
        service_id service{};

        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
        friend auto operator<=>(const key&, const key&) = default;
        friend bool operator==(const key&, const key&) = default;
    };

    /*! @brief Adds to the sums of a team at a service. */
    void add(const key& of, const team_activity_entry& amount);

    /*! @brief Writes and clears the sums if the interval has passed. They are kept if the log has no room. */
    void log_if_due(bounded_log& log, time_point now);

    /*! @brief Returns the sums since the last line; entries over the limit are under an empty key. */
    [[nodiscard]] const std::map<key, team_activity_entry>& entries() const noexcept { return entries_; }

private:
    std::map<key, team_activity_entry> entries_{};
    std::optional<time_point> logged_at_{}; //!< Begin of the sums.
};

} // namespace dandelionbay
