#include "dandelionbay/dispatch/team_usage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionbay {

namespace {

/*! Interval at which expired reports of peers are removed: several times per window. */
constexpr duration expiry_interval = std::chrono::milliseconds{100};
/*! Interval at which the slices and the scales are computed: several times per slice. */
constexpr duration scale_interval = team_usage::slice / 5;

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
    it->second.sums += delta;
    if (it->second.sums.is_empty()) {
        totals_.erase(it);
    }
    has_extremes_ = false;
}

void team_usage::change_totals(const peer_report& it, double factor) {
    for (const auto& entry : it.teams) {
        add_slices(totals_[entry.team].peer_slices, slices_of(entry), factor);
        const auto amount = account_of(entry);
        change_total(entry.team, factor > 0.0 ? amount : -amount);
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
            change_totals(it.second, -1.0);
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
    change_totals(it, -1.0);
    it = peer_report{now, teams};
    change_totals(it, 1.0);
}

void team_usage::find_extremes(time_point now) {
    expire(now);
    update_scales(now);
    if (std::exchange(has_extremes_, true)) {
        return;
    }
    min_refused_usage_ = std::numeric_limits<double>::infinity();
    max_usage_ = 0.0;
    for (const auto& [team, it] : totals_) {
        if (is_often_refused(it.sums)) { // Nobody leaves more room for a team because it asks for less than before.
            min_refused_usage_ = std::min(min_refused_usage_, it.sums.used * std::max(1.0, it.scale.usage));
        }
        max_usage_ = std::max(max_usage_, it.sums.used * it.scale.usage);
    }
}

double team_usage::requested(const account& it) noexcept {
    return std::max(0.0, it.used) + std::max(0.0, it.refused_cost - it.turned_away_cost);
}

usage_slices team_usage::slices_of(const team_usage_entry& entry) noexcept {
    usage_slices out;
    if (entry.slices.empty()) {
        const auto sums = account_of(entry);
        out.fill({sums.used / static_cast<double>(slice_count), requested(sums) / static_cast<double>(slice_count)});
    } else {
        std::copy_n(entry.slices.begin(), std::min(entry.slices.size(), slice_count), out.begin());
    }
    return out;
}

void team_usage::slice_own(time_point now) {
    own_slices_.clear();
    for (const auto& it : charges_) {
        const auto n = static_cast<std::size_t>(std::max(duration{}, now - it.at) / slice);
        own_slices_[it.team][std::min(n, slice_count - 1)] += {it.amount.used, requested(it.amount)};
    }
}

void team_usage::update_scales(time_point now) {
    if (now - scaled_at_ < scale_interval) {
        return;
    }
    scaled_at_ = now;
    slice_own(now);
    std::vector<usage_slices> slices;
    slices.reserve(totals_.size());
    for (const auto& [team, it] : totals_) {
        auto& sum = slices.emplace_back(it.peer_slices);
        if (const auto own = own_slices_.find(team); own != own_slices_.end()) {
            add_slices(sum, own->second);
        }
    }
    const auto scales = window_scales(slices);
    auto next = scales.begin();
    for (auto& [team, it] : totals_) {
        it.scale = *next++;
    }
    has_extremes_ = false;
}

double team_usage::comparable_usage(const team_id& team, time_point now) {
    expire(now);
    update_scales(now);
    const auto it = totals_.find(team);
    return it == totals_.end() ? 0.0 : it->second.sums.used * it->second.scale.usage;
}

double team_usage::used(const team_id& team, time_point now) {
    expire(now);
    const auto it = totals_.find(team);
    return it == totals_.end() ? 0.0 : it->second.sums.used;
}

double team_usage::min_refused_usage(time_point now) {
    find_extremes(now);
    return min_refused_usage_;
}

bool team_usage::is_often_refused(const team_id& team, time_point now) {
    expire(now);
    const auto it = totals_.find(team);
    return it != totals_.end() && is_often_refused(it->second.sums);
}

double team_usage::admitted_share(const team_id& team, double capacity, time_point now) {
    expire(now);
    update_scales(now);
    const auto found = totals_.find(team);
    if (found == totals_.end()) {
        return 1.0;
    }
    std::vector<double> requests;
    requests.reserve(totals_.size());
    double total = 0.0;
    for (const auto& [id, it] : totals_) {
        requests.push_back(requested(it.sums) * it.scale.demand);
        total += std::max(0.0, it.sums.used) * capacity;
    }
    const double own = requested(found->second.sums) * found->second.scale.demand;
    const double most = max_min_share(std::move(requests), total);
    return own <= most ? 1.0 : most / own;
}

double team_usage::max_usage(time_point now) {
    find_extremes(now);
    return max_usage_;
}

std::vector<team_usage_entry> team_usage::own(time_point now) {
    expire(now);
    update_scales(now);
    std::vector<team_usage_entry> out;
    out.reserve(own_.size());
    for (const auto& [team, it] : own_) {
        team_usage_entry entry{team, it.used, it.refused_cost, static_cast<std::uint32_t>(it.refused_calls),
                               it.turned_away_cost};
        if (const auto found = own_slices_.find(team); found != own_slices_.end()) {
            entry.slices.assign(found->second.begin(), found->second.end());
            while (!entry.slices.empty() && entry.slices.back() == usage_slice{}) {
                entry.slices.pop_back();
            }
        } else { // Its first call came after the slices were computed.
            entry.slices.push_back({it.used, requested(it)});
        }
        out.push_back(std::move(entry));
    }
    return out;
}

} // namespace dandelionbay
