#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/fwd.hpp"
#include "dandelionbay/dispatch/usage_slices.hpp"

namespace dandelionbay {

/*! @brief Usage and refused work of a team in the current window. */
struct team_usage_entry {
    team_id team{};
    double cost{};                 //!< Cost of the dispatched calls.
    double refused_cost{};         //!< Cost of the refused calls.
    std::uint32_t refused_calls{}; //!< Number of the refused calls; 0 beside a cost if the sender does not count them.
    double turned_away_cost{};     //!< Part of refused_cost that an overloaded host refused before any admission.
    std::vector<usage_slice> slices{}; //!< Newest first; empty if the sender does not tell when the work was done.

    friend bool operator==(const team_usage_entry&, const team_usage_entry&) = default;
};

/**
 * @brief Usage of each team in a sliding window, fleet-wide: what this router dispatched and what its peers reported.
 *
 * Teams are served in order of increasing usage, which yields max-min fair shares. Only recent usage counts, so that a
 * team neither pays for a past burst nor accumulates credit while idle. Teams that asked for different parts of the
 * window are compared by comparable_usage().
 */
class team_usage {
    struct account {
        double used{};
        double refused_cost{};
        std::int64_t refused_calls{};
        double turned_away_cost{};

        account& operator+=(const account& other) noexcept;
        [[nodiscard]] account operator-() const noexcept;
        [[nodiscard]] bool is_empty() const noexcept;
    };
    struct team_total {
        account sums{};
        usage_slices peer_slices{}; //!< Sums of the peers' reports.
        window_scale scale{};
    };
    struct charge {
        time_point at{};
        team_id team{};
        account amount{};
    };

    struct peer_report {
        time_point at{};
        std::vector<team_usage_entry> teams{};
    };

    [[nodiscard]] static account account_of(const team_usage_entry& entry) noexcept;
    [[nodiscard]] static bool is_often_refused(const account& it) noexcept;
    [[nodiscard]] static double requested(const account& it) noexcept;
    /*! Returns what a peer reported in slices; evenly spread if it does not tell when the work was done. */
    [[nodiscard]] static usage_slices slices_of(const team_usage_entry& entry) noexcept;
    void slice_own(time_point now);
    void update_scales(time_point now);
    /*! Changes a team's total; removes the team if nothing is left. */
    void change_total(const team_id& team, const account& delta);
    /*! The same for a peer's report. @param factor 1 adds it, -1 subtracts it. */
    void change_totals(const peer_report& it, double factor);
    void expire(time_point now);
    void charge_team(const team_id& team, const account& amount, time_point now);
    void find_extremes(time_point now);

public:
    /*! @brief Length of the window. */
    static constexpr duration window = std::chrono::seconds{4}; // The time over which shares are to be even.

    /*! @brief Length of a slice of the window. */
    static constexpr duration slice = window / slice_count;

    /*! @brief A team is often refused if its refused cost exceeds this share of its usage. */
    static constexpr double refused_share_threshold = 0.05;

    /*! @brief Number of refused calls below which a team that got more than it was refused is not often refused. */
    static constexpr std::int64_t min_refused_calls = 2;

    /*! @brief Adds dispatched work. @param cost Prompt tokens plus twice the generated tokens. */
    void add(const team_id& team, double cost, time_point now);

    /*! @brief Reverts add() for work that was lost before its answer started. @param cost Cost passed to add().
     *  @param added Time passed to add(). */
    void refund(const team_id& team, double cost, time_point added);

    /*! @brief Adds refused work. @param cost As in add(). */
    void add_refused(const team_id& team, double cost, time_point now);

    /*! @brief Adds work that this router's host refused because it is overloaded, before its admission was decided. It
     *  counts as refused, but not as work to divide the engines among. @param cost As in add(). */
    void add_turned_away(const team_id& team, double cost, time_point now);

    /*! @brief Replaces the usage that a peer reported. @param teams Work that the peer itself dispatched or refused. */
    void update_peer(const host_id& peer, const std::vector<team_usage_entry>& teams, time_point now);

    /*! @brief Returns the usage of a team, in cost units per window. */
    [[nodiscard]] double used(const team_id& team, time_point now);

    /**
     * @brief Returns the usage that a team would have if it had asked in the whole window as it does now, and had got
     * the same ratio of its max-min shares. A team that used capacity before others asked for it owes them nothing, and
     * a team gets no credit for the time in which it asked for little.
     * @return Cost units per window.
     */
    [[nodiscard]] double comparable_usage(const team_id& team, time_point now);

    /**
     * @brief Returns the lowest comparable usage among the teams that are often refused. Teams with a higher usage have
     * to leave room for that team.
     * @return Cost units per window; infinity if no team is often refused.
     */
    [[nodiscard]] double min_refused_usage(time_point now);

    /*! @brief Tells whether a team is often refused: its refused cost exceeds refused_share_threshold, and the cost of
     *  more than one call, unless the team got less than it was refused. */
    [[nodiscard]] bool is_often_refused(const team_id& team, time_point now);

    /**
     * @brief Returns the share of a team's work to admit, if all teams together may use a multiple of their usage in
     * the last window. What they may use is divided by max-min fairness among what they ask for now: no team gets less
     * than it asks for while another gets more than it.
     * @param team The team.
     * @param capacity What all teams together may use, as a ratio to their usage in the last window.
     * @return From 0 to 1, as a ratio to the work that the team asked for; 1 if it asked for no more than it may use.
     */
    [[nodiscard]] double admitted_share(const team_id& team, double capacity, time_point now);

    /*! @brief Returns the highest comparable usage of a team, in cost units per window; 0 if there is none. */
    [[nodiscard]] double max_usage(time_point now);

    /*! @brief Returns the work that this router dispatched or refused, to be sent to its peers. */
    [[nodiscard]] std::vector<team_usage_entry> own(time_point now);

private:
    std::deque<charge> charges_{};
    std::map<team_id, account> own_{};
    std::map<host_id, peer_report> peers_{};
    std::map<team_id, team_total> totals_{}; //!< Over all routers.
    std::map<team_id, usage_slices> own_slices_{};
    time_point scaled_at_{}; //!< When the own slices and the scales were computed.
    double min_refused_usage_{};
    double max_usage_{};
    bool has_extremes_{};           //!< Whether the two values above are current.
    time_point peers_expired_at_{}; //!< When expired reports were last removed.
};

} // namespace dandelionbay
