#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"

namespace dandelionbay {

/**
 * @brief Waiting requests of one pool: one bounded FIFO queue per team; backlogged teams are ordered by their counters.
 *
 * Teams with the same permitted endpoints share a group. Within a group the team with the lowest counter is found in
 * constant time and reordered in logarithmic time. A request that is held back because it may have crashed an endpoint
 * stays in its queue.
 */
class team_queues {
public:
    using group_type = std::uint32_t;
    using size_type = std::size_t;

private:
    struct team_state {
        group_type group{};
        double counter{};
        std::deque<request_id> waiting{};
    };

    using ranking = std::set<std::pair<double, team_id>>;

    void remove_from_index(const team_id& team, const team_state& it);
    void add_to_index(const team_id& team, const team_state& it);

public:
    /*! @brief Limits on the number of waiting requests. */
    struct limits {
        size_type max_per_team{256};
        size_type max_total{4'096};

        friend bool operator==(const limits&, const limits&) = default;
    };

    /*! @brief Outcome of push(). */
    enum class admission : std::uint8_t { queued, team_full, total_full };

    /*! @brief Result of push(): the outcome and an evicted request. */
    struct push_result {
        admission result{admission::queued};
        std::optional<request_id> evicted{}; //!< Newest request of the longest queue, removed to make room.
    };

    /*! @brief Sets a team's group and counter; adds the team if it is unknown. */
    void set_team(const team_id& team, group_type group, double counter);

    /*! @brief Sets a team's counter; does nothing if the team is unknown. */
    void set_counter(const team_id& team, double counter);

    /**
     * @brief Appends a request.
     *
     * When the total limit is reached, a request is rejected if its team's queue is, or would become, the longest one.
     * Otherwise the newest request of the longest queue is evicted. This way only the team that fills the queues is
     * rejected.
     * @param team Team that was added by set_team().
     * @param id The request.
     * @param bounds Limits to apply.
     * @return Whether the request was queued, and the evicted request, if any.
     */
    [[nodiscard]] push_result push(const team_id& team, const request_id& id, const limits& bounds);

    /*! @brief Puts a request back at the head of its queue, regardless of the limits. */
    void requeue(const team_id& team, const request_id& id);

    /*! @brief Removes a request at any position of its team's queue. @return False if it was not queued. */
    bool remove(const team_id& team, const request_id& id);

    /*! @brief Removes and returns the request at the head of a team's queue, which must not be empty. */
    request_id pop(const team_id& team);

    /**
     * @brief Removes and returns the first request of a team that satisfies a predicate.
     * @param team Team that was added by set_team().
     * @param allowed Predicate over request ids.
     * @return The request; nothing if no request satisfies the predicate.
     */
    template<typename Predicate>
    [[nodiscard]] std::optional<request_id> take_first_if(const team_id& team, Predicate allowed) {
        auto& it = teams_.at(team);
        const auto pos = std::ranges::find_if(it.waiting, allowed);
        if (pos == it.waiting.end()) {
            return std::nullopt;
        }
        remove_from_index(team, it);
        const auto id = *pos;
        it.waiting.erase(pos);
        --total_;
        add_to_index(team, it);
        return id;
    }

    /*! @brief Tells whether any request of a team satisfies a predicate. @param allowed Predicate over request ids. */
    template<typename Predicate>
    [[nodiscard]] bool any_of(const team_id& team, Predicate allowed) const {
        const auto it = teams_.find(team);
        return it != teams_.end() && std::ranges::any_of(it->second.waiting, allowed);
    }

    /*! @brief Returns the request at the head of a team's queue, or null if the queue is empty. */
    [[nodiscard]] const request_id* front(const team_id& team) const;

    /**
     * @brief Returns the backlogged team with the lowest counter.
     * @param groups Groups to search.
     * @return Nothing if no team is backlogged.
     */
    [[nodiscard]] std::optional<std::pair<double, team_id>> lowest(std::span<const group_type> groups) const;

    /**
     * @brief Returns the backlogged team with the lowest counter above a bound.
     * @param groups Groups to search.
     * @param bound Exclusive lower bound in cost units per weight.
     */
    [[nodiscard]] std::optional<std::pair<double, team_id>> lowest_above(std::span<const group_type> groups,
                                                                         double bound) const;

    /**
     * @brief Returns backlogged teams in ascending order of their counters.
     * @param groups Groups to search.
     * @param count Largest number of teams.
     */
    [[nodiscard]] std::vector<std::pair<double, team_id>> lowest_teams(std::span<const group_type> groups,
                                                                       size_type count) const;

    /*! @brief Like lowest_teams(), for all groups. */
    [[nodiscard]] std::vector<std::pair<double, team_id>> lowest_teams_in_all_groups(size_type count) const;

    /*! @brief Returns the number of waiting requests of a team. */
    [[nodiscard]] size_type size(const team_id& team) const;

    /*! @brief Returns the number of waiting requests of all teams. */
    [[nodiscard]] size_type total() const noexcept { return total_; }

    /*! @brief Returns the number of teams with waiting requests. */
    [[nodiscard]] size_type backlogged_teams() const noexcept { return by_length_.size(); }

private:
    std::unordered_map<team_id, team_state> teams_;
    std::map<group_type, ranking> groups_;
    std::set<std::pair<size_type, team_id>> by_length_;
    size_type total_{};
};

} // namespace dandelionbay
