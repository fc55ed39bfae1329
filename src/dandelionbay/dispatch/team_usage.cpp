#include "dandelionbay/dispatch/team_usage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionbay {

namespace {

/*! Reports of peers are searched for old ones this often: several times within the window. */
constexpr duration expiry_interval = std::chrono::milliseconds{100};

/*! Tells whether a team was refused more than now and then. */
[[nodiscard]] bool lacks_service(double used, double denied) noexcept {
    return denied > team_usage::denied_share * used;
}

} // namespace

void team_usage::change_total(const team_id& team, const account& by) {
    const auto it = totals_.try_emplace(team).first;
    it->second.used += by.used;
    it->second.denied += by.denied;
    if (it->second.used < 1.0 && it->second.denied < 1.0) { // Rounding must not add up.
        totals_.erase(it);
    }
    extremes_known_ = false;
}

void team_usage::forget(const peer_report& it) {
    for (const auto& part : it.teams) {
        change_total(part.team, account{-part.cost, -part.denied});
    }
}

void team_usage::expire(time_point now) {
    while (!charges_.empty() && now - charges_.front().at >= window) {
        const auto& oldest = charges_.front();
        if (const auto it = own_.find(oldest.team); it != own_.end()) {
            it->second.used -= oldest.amount.used;
            it->second.denied -= oldest.amount.denied;
            if (it->second.used < 1.0 && it->second.denied < 1.0) {
                own_.erase(it);
            }
        }
        change_total(oldest.team, account{-oldest.amount.used, -oldest.amount.denied});
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
    own.denied += amount.denied;
    change_total(team, amount);
}

void team_usage::add(const team_id& team, double cost, time_point now) {
    charge_team(team, account{cost, 0.0}, now);
}

void team_usage::take_back(const team_id& team, double cost, time_point added) {
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

void team_usage::deny(const team_id& team, double cost, time_point now) {
    charge_team(team, account{0.0, cost}, now);
}

void team_usage::report(const host_id& peer, const std::vector<team_service>& teams, time_point now) {
    auto& it = peers_[peer];
    forget(it);
    it = peer_report{now, teams};
    for (const auto& part : teams) {
        change_total(part.team, account{part.cost, part.denied});
    }
}

void team_usage::find_extremes(time_point now) {
    expire(now);
    if (std::exchange(extremes_known_, true)) {
        return;
    }
    least_denied_ = std::numeric_limits<double>::infinity();
    most_ = 0.0;
    for (const auto& [team, it] : totals_) {
        if (lacks_service(it.used, it.denied)) {
            least_denied_ = std::min(least_denied_, it.used);
        }
        most_ = std::max(most_, it.used);
    }
}

double team_usage::used(const team_id& team, time_point now) {
    expire(now);
    const auto it = totals_.find(team);
    return it == totals_.end() ? 0.0 : it->second.used;
}

double team_usage::least_denied(time_point now) {
    find_extremes(now);
    return least_denied_;
}

bool team_usage::refused(const team_id& team, time_point now) {
    expire(now);
    const auto it = totals_.find(team);
    return it != totals_.end() && lacks_service(it->second.used, it->second.denied);
}

double team_usage::most(time_point now) {
    find_extremes(now);
    return most_;
}

std::vector<team_service> team_usage::own(time_point now) {
    expire(now);
    std::vector<team_service> out;
    out.reserve(own_.size());
    for (const auto& [team, it] : own_) {
        out.push_back(team_service{team, it.used, it.denied});
    }
    return out;
}

} // namespace dandelionbay
