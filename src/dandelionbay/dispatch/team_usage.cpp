#include "dandelionbay/dispatch/team_usage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionbay {

namespace {

/*! Interval at which expired reports of peers are removed: several times per window. */
constexpr duration expiry_interval = std::chrono::milliseconds{100};

/*! Tells whether the refused cost of a team is too high in relation to its usage. */
[[nodiscard]] bool exceeds_refused_share(double used, double refused_cost) noexcept {
    return refused_cost > team_usage::refused_share_threshold * used;
}

} // namespace

void team_usage::change_total(const team_id& team, const account& delta) {
    const auto it = totals_.try_emplace(team).first;
    it->second.used += delta.used;
    it->second.refused_cost += delta.refused_cost;
    if (it->second.used < 1.0 && it->second.refused_cost < 1.0) { // Drops accumulated rounding errors.
        totals_.erase(it);
    }
    has_extremes_ = false;
}

void team_usage::subtract(const peer_report& it) {
    for (const auto& entry : it.teams) {
        change_total(entry.team, account{-entry.cost, -entry.refused_cost});
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
    if (now - peers_expired_at_ < expiry_interval) {
        return;
    }
    peers_expired_at_ = now;
    std::erase_if(peers_, [&](const auto& it) {
        const bool is_expired = now - it.second.at >= window;
        if (is_expired) {
            subtract(it.second);
        }
        return is_expired;
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
        return; // The charge has left the window.
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
    subtract(it);
    it = peer_report{now, teams};
    for (const auto& entry : teams) {
        change_total(entry.team, account{entry.cost, entry.refused_cost});
    }
}

void team_usage::find_extremes(time_point now) {
    expire(now);
    if (std::exchange(has_extremes_, true)) {
        return;
    }
    min_refused_usage_ = std::numeric_limits<double>::infinity();
    max_usage_ = 0.0;
    for (const auto& [team, it] : totals_) {
        if (exceeds_refused_share(it.used, it.refused_cost)) {
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
    return it != totals_.end() && exceeds_refused_share(it->second.used, it->second.refused_cost);
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
