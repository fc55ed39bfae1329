#include "dandelionbay/fair/team_queues.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace dandelionbay {

void team_queues::unrank(const team_id& team, const team_state& it) {
    if (it.waiting.empty()) {
        return;
    }
    by_length_.erase(std::pair{it.waiting.size(), team});
    const auto group = groups_.find(it.group);
    group->second.erase(std::pair{it.counter, team});
    if (group->second.empty()) {
        groups_.erase(group);
    }
}

void team_queues::rank(const team_id& team, const team_state& it) {
    if (!it.waiting.empty()) {
        by_length_.emplace(it.waiting.size(), team);
        groups_[it.group].emplace(it.counter, team);
    }
}

void team_queues::set_team(const team_id& team, group_type group, double counter) {
    auto& it = teams_[team];
    if (it.group == group && it.counter == counter) {
        return;
    }
    unrank(team, it);
    it.group = group;
    it.counter = counter;
    rank(team, it);
}

void team_queues::set_counter(const team_id& team, double counter) {
    const auto it = teams_.find(team);
    if (it != teams_.end()) {
        set_team(team, it->second.group, counter);
    }
}

team_queues::push_result team_queues::push(const team_id& team, const request_id& id, const limits& bounds) {
    const auto found = teams_.find(team);
    assert(found != teams_.end() && "set_team() comes before push()");
    const auto length = found->second.waiting.size();
    if (length >= bounds.max_per_team) {
        return {admission::team_full, std::nullopt};
    }
    push_result out;
    if (total_ >= bounds.max_total) {
        if (by_length_.empty() || length + 1 >= by_length_.rbegin()->first) {
            return {admission::total_full, std::nullopt};
        }
        const auto longest = by_length_.rbegin()->second;
        auto& other = teams_.at(longest);
        unrank(longest, other);
        out.evicted = other.waiting.back();
        other.waiting.pop_back();
        --total_;
        rank(longest, other);
    }
    unrank(team, found->second);
    found->second.waiting.push_back(id);
    ++total_;
    rank(team, found->second);
    return out;
}

void team_queues::requeue(const team_id& team, const request_id& id) {
    auto& it = teams_.at(team);
    unrank(team, it);
    it.waiting.push_front(id);
    ++total_;
    rank(team, it);
}

bool team_queues::remove(const team_id& team, const request_id& id) {
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return false;
    }
    auto& it = found->second;
    const auto pos = std::ranges::find(it.waiting, id);
    if (pos == it.waiting.end()) {
        return false;
    }
    unrank(team, it);
    it.waiting.erase(pos);
    --total_;
    rank(team, it);
    return true;
}

request_id team_queues::pop(const team_id& team) {
    auto& it = teams_.at(team);
    assert(!it.waiting.empty() && "only a backlogged team has a head");
    unrank(team, it);
    auto id = it.waiting.front();
    it.waiting.pop_front();
    --total_;
    rank(team, it);
    return id;
}

const request_id* team_queues::front(const team_id& team) const {
    const auto it = teams_.find(team);
    return it != teams_.end() && !it->second.waiting.empty() ? &it->second.waiting.front() : nullptr;
}

std::optional<std::pair<double, team_id>> team_queues::lowest(std::span<const group_type> groups) const {
    return lowest_above(groups, -std::numeric_limits<double>::infinity());
}

std::optional<std::pair<double, team_id>> team_queues::lowest_above(std::span<const group_type> groups,
                                                                    double bound) const {
    std::optional<std::pair<double, team_id>> best;
    for (const auto id : groups) {
        const auto group = groups_.find(id);
        if (group == groups_.end()) {
            continue;
        }
        const double above = std::nextafter(bound, std::numeric_limits<double>::infinity());
        const auto it = group->second.lower_bound(std::pair{above, team_id{}});
        if (it != group->second.end() && (!best || *it < *best)) {
            best = *it;
        }
    }
    return best;
}

std::vector<std::pair<double, team_id>> team_queues::lowest_teams(std::span<const group_type> groups,
                                                                  size_type count) const {
    std::vector<std::pair<double, team_id>> out;
    for (const auto id : groups) {
        const auto group = groups_.find(id);
        if (group != groups_.end()) {
            const auto n = std::min(count, group->second.size());
            out.insert(out.end(), group->second.begin(),
                       std::next(group->second.begin(), static_cast<std::ptrdiff_t>(n)));
        }
    }
    std::ranges::sort(out);
    out.resize(std::min(out.size(), count));
    return out;
}

std::vector<std::pair<double, team_id>> team_queues::lowest_teams_in_all_groups(size_type count) const {
    std::vector<group_type> groups;
    groups.reserve(groups_.size());
    for (const auto& [id, teams] : groups_) {
        groups.push_back(id);
    }
    return lowest_teams(groups, count);
}

team_queues::size_type team_queues::size(const team_id& team) const {
    const auto it = teams_.find(team);
    return it != teams_.end() ? it->second.waiting.size() : 0;
}

} // namespace dandelionbay
