#include "dandelionbay/dispatch/team_usage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionbay {

namespace {

/*! Interval at which expired reports of peers are removed: several times per window. */
constexpr duration expiry_interval = std::chrono::milliseconds{100};

} // namespace

team_usage::account& team_usage::account::operator+=(const account& other) noexcept {
    used += other.used;
    refused_cost += other.refused_cost;
    refused_calls += other.refused_calls;
    turned_away_cost += other.turned_away_cost;
    return *this;
}

team_usage::account team_usage::account::operator-() const noexcept {
    return {-used, -refused_cost, -refused_calls, -turned_away_cost};
}

bool team_usage::account::is_empty() const noexcept {
    return used < 1.0 && refused_cost < 1.0 && refused_calls == 0; // Sums of costs have rounding errors.
}

team_usage::account team_usage::account_of(const team_usage_entry& entry) noexcept {
    const bool is_counted = entry.refused_calls > 0 || entry.refused_cost <= 0.0;
    return {entry.cost, entry.refused_cost, is_counted ? std::int64_t{entry.refused_calls} : min_refused_calls,
            entry.turned_away_cost};
}

bool team_usage::is_often_refused(const account& it) noexcept {
    return it.refused_cost > refused_share_threshold * it.used &&
           (it.refused_calls >= min_refused_calls || it.refused_cost > it.used);
}

void team_usage::change_total(const team_id& team, const account& delta) {
    const auto it = totals_.try_emplace(team).first;
    it->second += delta;
    if (it->second.is_empty()) {
        totals_.erase(it);
    }
    has_extremes_ = false;
}

void team_usage::subtract(const peer_report& it) {
    for (const auto& entry : it.teams) {
        change_total(entry.team, -account_of(entry));
    }
}

void team_usage::expire(time_point now) {
    while (!charges_.empty() && now - charges_.front().at >= window) {
        const auto& oldest = charges_.front();
        if (const auto it = own_.find(oldest.team); it != own_.end()) {
            it->second += -oldest.amount;
            if (it->second.is_empty()) {
                own_.erase(it);
            }
        }
        change_total(oldest.team, -oldest.amount);
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
    own_[team] += amount;
    change_total(team, amount);
}

void team_usage::add(const team_id& team, double cost, time_point now) {
    charge_team(team, account{cost}, now);
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
    change_total(team, account{-cost});
}

void team_usage::add_refused(const team_id& team, double cost, time_point now) {
    charge_team(team, account{0.0, cost, 1}, now);
}

void team_usage::add_turned_away(const team_id& team, double cost, time_point now) {
    charge_team(team, account{0.0, cost, 1, cost}, now);
}

void team_usage::update_peer(const host_id& peer, const std::vector<team_usage_entry>& teams, time_point now) {
    auto& it = peers_[peer];
    subtract(it);
    it = peer_report{now, teams};
    for (const auto& entry : teams) {
        change_total(entry.team, account_of(entry));
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
        if (is_often_refused(it)) {
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
    return it != totals_.end() && is_often_refused(it->second);
}

double team_usage::admitted_share(const team_id& team, double capacity, time_point now) {
    expire(now);
    const auto found = totals_.find(team);
    if (found == totals_.end()) {
        return 1.0;
    }
    const auto requested = [](const account& it) {
        return std::max(0.0, it.used) + std::max(0.0, it.refused_cost - it.turned_away_cost);
    };
    std::vector<double> requests;
    requests.reserve(totals_.size());
    double left = 0.0;
    for (const auto& [id, it] : totals_) {
        requests.push_back(requested(it));
        left += std::max(0.0, it.used) * capacity;
    }
    std::ranges::sort(requests);
    const double own = requested(found->second);
    auto teams_left = static_cast<double>(requests.size());
    for (const double it : requests) {
        const double even_share = left / teams_left;
        if (it > even_share) { // This team and all that asked for more get the same.
            return own <= even_share ? 1.0 : even_share / own;
        }
        left -= it;
        teams_left -= 1.0;
    }
    return 1.0;
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
        out.push_back(team_usage_entry{team, it.used, it.refused_cost, static_cast<std::uint32_t>(it.refused_calls),
                                       it.turned_away_cost});
    }
    return out;
}

} // namespace dandelionbay
