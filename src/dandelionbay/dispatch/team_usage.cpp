#include "dandelionbay/dispatch/team_usage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionbay {

namespace {

/*! Reports of peers are searched for old ones this often: several times within the window. */
constexpr duration expiry_interval = std::chrono::milliseconds{100};

/*! Tells whether a team was refused more than now and then. */
[[nodiscard]] bool lacks_service(double used, double refused_cost) noexcept {
    return refused_cost > team_usage::refused_share_threshold * used;
}

} // namespace

void team_usage::change_total(const team_id& team, const account& by) {
    const auto it = totals_.try_emplace(team).first;
    it->second.used += by.used;
    it->second.refused_cost += by.refused_cost;
    if (it->second.used < 1.0 && it->second.refused_cost < 1.0) { // Rounding must not add up.
        totals_.erase(it);
    }
    extremes_known_ = false;
}

void team_usage::forget(const peer_report& it) {
    for (const auto& part : it.teams) {
        change_total(part.team, account{-part.cost, -part.refused_cost});
    }
}

void team_usage::expire(time_point now) {
    while (!charges_.empty() && now - charges_.front().at >= window) {
        const auto& oldest = charges_.front();
        if (const auto it = own_.find(oldest.team); it != own_.end()) {
            it->second.used -= oldest.amount.used;
            it->second.refused_cost -= oldest.amount.refused_cost;
            if (it->second.used < 1.0 && it->second.refused_cost < 1.0) {
                own_.erase(it);
            }
        }
        change_total(oldest.team, account{-oldest.amount.used, -oldest.amount.refused_cost});
        charges_.pop_front();
    }
    if (now - peers_looked_at_ < expiry_interval) {
        return;
    }
    peers_looked_at_ = now;
    std::erase_if(peers_, [&](const auto& it) {
        const bool old = now - it.second.at >= window;
        if (old) {
            forget(it.second);
        }
        return old;
    });
}

void team_usage::charge_team(const team_id& team, const account& amount, time_point now) {
    charges_.push_back(charge{now, team, amount});
    auto& own = own_[team];
    own.used += amount.used;
    own.refused_cost += amount.refused_cost;
    change_total(team, amount);
}

void team_usage::add(const team_id& team, double cost, time_point now) {
    charge_team(team, account{cost, 0.0}, now);
}

void team_usage::refund(const team_id& team, double cost, time_point added) {
    auto it = std::ranges::lower_bound(charges_, added, {}, &charge::at);
    while (it != charges_.end() && it->at == added && (it->team != team || it->amount.used != cost)) {
        ++it;
    }
    if (it == charges_.end() || it->at != added) {
        return; // It has left the window.
    }
    charges_.erase(it);
    own_[team].used -= cost;
    change_total(team, account{-cost, 0.0});
}

void team_usage::add_refused(const team_id& team, double cost, time_point now) {
    charge_team(team, account{0.0, cost}, now);
}

void team_usage::update_peer(const host_id& peer, const std::vector<team_usage_entry>& teams, time_point now) {
    auto& it = peers_[peer];
    forget(it);
    it = peer_report{now, teams};
    for (const auto& part : teams) {
        change_total(part.team, account{part.cost, part.refused_cost});
    }
}

void team_usage::find_extremes(time_point now) {
    expire(now);
    if (std::exchange(extremes_known_, true)) {
        return;
    }
    min_refused_usage_ = std::numeric_limits<double>::infinity();
    max_usage_ = 0.0;
    for (const auto& [team, it] : totals_) {
        if (lacks_service(it.used, it.refused_cost)) {
            min_refused_usage_ = std::min(min_refused_usage_, it.used);
        }
        max_usage_ = std::max(max_usage_, it.used);
    }
}

double team_usage::used(const team_id& team, time_point now) {
    expire(now);
    const auto it = totals_.find(team);
    return it == totals_.end() ? 0.0 : it->second.used;
}

double team_usage::min_refused_usage(time_point now) {
    find_extremes(now);
    return min_refused_usage_;
}

bool team_usage::is_often_refused(const team_id& team, time_point now) {
    expire(now);
    const auto it = totals_.find(team);
    return it != totals_.end() && lacks_service(it->second.used, it->second.refused_cost);
}

double team_usage::max_usage(time_point now) {
    find_extremes(now);
    return max_usage_;
}

std::vector<team_usage_entry> team_usage::own(time_point now) {
    expire(now);
    std::vector<team_usage_entry> out;
    out.reserve(own_.size());
    for (const auto& [team, it] : own_) {
        out.push_back(team_usage_entry{team, it.used, it.refused_cost});
    }
    return out;
}

} // namespace dandelionbay
