#include "dandelionbay/dispatch/team_usage.hpp"

namespace dandelionbay {

void team_usage::expire(time_point now) {
    while (!charges_.empty() && now - charges_.front().at >= window) {
        const auto& oldest = charges_.front();
        if (const auto it = own_.find(oldest.team); it != own_.end()) {
            it->second -= oldest.cost;
            if (it->second < 1.0) {
                own_.erase(it);
            }
        }
        charges_.pop_front();
    }
    std::erase_if(peers_, [&](const auto& it) { return now - it.second.at >= window; });
}

void team_usage::add(const team_id& team, double cost, time_point now) {
    charges_.push_back(charge{now, team, cost});
    own_[team] += cost;
}

void team_usage::report(const host_id& peer, const std::vector<team_service>& teams, time_point now) {
    auto& it = peers_[peer];
    it.at = now;
    it.teams.clear();
    for (const auto& part : teams) {
        it.teams.emplace(part.team, part.cost);
    }
}

double team_usage::used(const team_id& team, time_point now) {
    expire(now);
    const auto part = [&](const std::map<team_id, double>& teams) {
        const auto it = teams.find(team);
        return it == teams.end() ? 0.0 : it->second;
    };
    double sum = part(own_);
    for (const auto& [name, it] : peers_) {
        sum += part(it.teams);
    }
    return sum;
}

std::vector<team_service> team_usage::own(time_point now) {
    expire(now);
    std::vector<team_service> out;
    out.reserve(own_.size());
    for (const auto& [team, cost] : own_) {
        out.push_back(team_service{team, cost});
    }
    return out;
}

} // namespace dandelionbay
