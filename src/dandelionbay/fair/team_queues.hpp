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
 * @brief Waiting requests of one pool: a bounded FIFO queue for each team, ranked by the teams' counters.
 *
 * Teams with the same permitted endpoints share a group. Within a group the team with the lowest counter is found in
 * constant time and moved in logarithmic time. A request that a suspect check holds back is kept in its queue.
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

    void unrank(const team_id& team, const team_state& it);
    void rank(const team_id& team, const team_state& it);

public:
    /*! @brief Bounds on waiting requests. */
    struct limits {
        size_type max_per_team{256};
        size_type max_total{4'096};

        friend bool operator==(const limits&, const limits&) = default;
    };

    /*! @brief What became of a request. */
    enum class admission : std::uint8_t { queued, team_full, total_full };

    /*! @brief Result of push(). */
    struct push_result {
        admission result{admission::queued};
        std::optional<request_id> evicted{}; //!< Newest request of the longest queue, removed to make room.
    };

    /*! @brief Sets a team's group and counter; the counter ranks it from now on. */
    void set_team(const team_id& team, group_type group, double counter);

    /*! @brief Sets a team's counter; does nothing for an unknown team. */
    void set_counter(const team_id& team, double counter);

    /**
     * @brief Appends a request.
     *
     * When the total bound is reached, a team whose queue is the longest is refused, and any other team takes the
     * place of the newest request of the longest queue. So only the team that fills the queues is refused.
     * @param team Team known by set_team().
     * @param id The request.
     * @param bounds Bounds in force.
     * @return Whether it was queued, and the request that lost its place, if any.
     */
    [[nodiscard]] push_result push(const team_id& team, const request_id& id, const limits& bounds);

    /*! @brief Puts a request back at the head of its queue, beyond the bounds if need be. */
    void requeue(const team_id& team, const request_id& id);

    /*! @brief Removes a request wherever it stands. @return False if it was not there. */
    bool remove(const team_id& team, const request_id& id);

    /*! @brief Takes the request at the head of a team's queue, which must not be empty. */
    request_id pop(const team_id& team);

    /**
     * @brief Takes the first request of a team that satisfies a condition.
     * @param allowed Predicate over request ids.
     * @return The request; nothing if none satisfies it.
     */
    template<typename Predicate>
    [[nodiscard]] std::optional<request_id> take_first_if(const team_id& team, Predicate allowed) {
        auto& it = teams_.at(team);
        const auto pos = std::ranges::find_if(it.waiting, allowed);
        if (pos == it.waiting.end()) {
            return std::nullopt;
        }
        unrank(team, it);
        const auto id = *pos;
        it.waiting.erase(pos);
        --total_;
        rank(team, it);
        return id;
    }

    /*! @brief Tells whether any request of a team satisfies a condition. @param allowed Predicate over ids. */
    template<typename Predicate>
    [[nodiscard]] bool any_of(const team_id& team, Predicate allowed) const {
        const auto it = teams_.find(team);
        return it != teams_.end() && std::ranges::any_of(it->second.waiting, allowed);
    }

    /*! @brief Request at the head of a team's queue, or null. */
    [[nodiscard]] const request_id* front(const team_id& team) const;

    /*! @brief Team with the lowest counter among groups. @param groups Groups to look at. @return Nothing if idle. */
    [[nodiscard]] std::optional<std::pair<double, team_id>> lowest(std::span<const group_type> groups) const;

    /*! @brief Team with the lowest counter above a bound. @param groups Groups to look at. @param bound Excluded. */
    [[nodiscard]] std::optional<std::pair<double, team_id>> lowest_above(std::span<const group_type> groups,
                                                                         double bound) const;

    /*! @brief The first backlogged teams of some groups in order of their counters. @param count Largest number. */
    [[nodiscard]] std::vector<std::pair<double, team_id>> lowest_teams(std::span<const group_type> groups,
                                                                       size_type count) const;

    /*! @brief As lowest_teams(), for all groups. */
    [[nodiscard]] std::vector<std::pair<double, team_id>> lowest_teams_in_all_groups(size_type count) const;

    /*! @brief Waiting requests of a team. */
    [[nodiscard]] size_type size(const team_id& team) const;

    /*! @brief Waiting requests of all teams. */
    [[nodiscard]] size_type total() const noexcept { return total_; }

    /*! @brief Teams with waiting requests. */
    [[nodiscard]] size_type backlogged_teams() const noexcept { return by_length_.size(); }

private:
    std::unordered_map<team_id, team_state> teams_;
    std::map<group_type, ranking> groups_;
    std::set<std::pair<size_type, team_id>> by_length_;
    size_type total_{};
};

} // namespace dandelionbay
