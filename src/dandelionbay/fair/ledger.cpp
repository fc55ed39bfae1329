#include "dandelionbay/fair/ledger.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace dandelionbay {

namespace {

bool valid(double value) noexcept {
    return std::isfinite(value) && value >= 0.0;
}

} // namespace

ledger::entry& ledger::at(const team_key& key) {
    const auto [it, created] = entries_.try_emplace(key);
    if (created) {
        it->second.key = key;
    }
    return it->second;
}

ledger::row_state& ledger::own_row(entry& it) {
    const auto [found, created] = it.rows.try_emplace(row_key{self_, incarnation_});
    auto& row = found->second.row;
    if (created) {
        row.pool = it.key.pool;
        row.team = it.key.team;
        row.router = self_;
        row.incarnation = incarnation_;
        fold(it, self_, incarnation_ - 1);
    }
    return found->second;
}

bool ledger::counts(const row_state& it, time_point now) const {
    const bool own = it.row.router == self_ && it.row.incarnation == incarnation_;
    return own || (it.row.router != self_ && now - it.heard < remote_load_timeout);
}

void ledger::refresh(entry& it, time_point now, change cause) {
    auto& pool = pools_[it.key.pool];
    const auto old_rank = std::pair<double, const entry*>{it.base + it.reserved, &it};
    pool.backlogged.erase(old_rank);
    pool.backlogged_elsewhere.erase(old_rank);

    double charged = 0.0;
    it.reserved = 0.0;
    it.queued = 0;
    it.queued_elsewhere = 0;
    bool remote_load = false;
    for (const auto& [key, state] : it.rows) {
        charged += state.row.charged;
        if (!counts(state, now)) {
            continue;
        }
        const bool own = key == row_key{self_, incarnation_};
        it.reserved += state.row.reserved;
        it.queued += state.row.queued;
        it.queued_elsewhere += own ? 0 : state.row.queued;
        remote_load = remote_load || (!own && (state.row.reserved > 0.0 || state.row.queued > 0));
    }
    if (cause == change::by_peer) {
        consume_provisional(it, charged - it.service);
    }
    it.base = std::max(it.floor, it.lift + it.provisional + charged);
    pool.service += charged - it.service;
    it.service = charged;
    pool.highest = std::max(pool.highest, it.base);

    const auto rank = std::pair<double, const entry*>{it.base + it.reserved, &it};
    if (it.queued > 0) {
        pool.backlogged.insert(rank);
    }
    if (it.queued_elsewhere > 0) {
        pool.backlogged_elsewhere.insert(rank);
    }
    if (remote_load) {
        expiring_.insert(&it);
    } else {
        expiring_.erase(&it);
    }
    if (!it.touched) {
        it.touched = true;
        touched_.push_back(&it);
    }
}

void ledger::consume_provisional(entry& it, double gained) noexcept {
    it.provisional = std::max(0.0, it.provisional - std::max(0.0, gained));
}

void ledger::mark(const item& changed, const host_id& except) {
    for (auto& [peer, feed] : peers_) {
        if (peer != except && feed.pending.insert(changed).second) {
            feed.order.push_back(changed);
        }
    }
}

void ledger::own_changed(entry& it, row_state& own, time_point now) {
    ++own.row.version;
    own.heard = now;
    if (own.row.reserved > 0.0 || own.row.queued > 0) {
        own_load_.insert(&it);
    } else {
        own_load_.erase(&it);
    }
    mark(item{&it, &own}, self_);
    refresh(it, now);
}

void ledger::fold(entry& it, const host_id& router, incarnation_type up_to) {
    double charged = 0.0;
    incarnation_type highest = 0;
    auto pos = it.rows.lower_bound(row_key{router, 1});
    while (pos != it.rows.end() && pos->first.first == router && pos->first.second <= up_to) {
        if (pos->first == row_key{self_, incarnation_}) {
            ++pos;
            continue;
        }
        charged += pos->second.row.charged;
        highest = pos->first.second;
        for (auto& [peer, feed] : peers_) {
            feed.pending.erase(item{&it, &pos->second});
        }
        pos = it.rows.erase(pos);
    }
    if (highest == 0) {
        return;
    }
    auto& total = it.rows[row_key{router, 0}];
    total.row.pool = it.key.pool;
    total.row.team = it.key.team;
    total.row.router = router;
    total.row.charged += charged;
    total.row.version = std::max<std::uint64_t>(total.row.version, highest);
    mark(item{&it, &total}, self_);
}

bool ledger::merge_fold(entry& it, const ledger_row& row, const host_id& from) {
    fold(it, row.router, row.version);
    auto& total = it.rows[row_key{row.router, 0}];
    if (row.version < total.row.version || (row.version == total.row.version && row.charged <= total.row.charged)) {
        return false;
    }
    const double charged = std::max(row.charged, total.row.charged);
    total.row = row;
    total.row.charged = charged;
    total.row.reserved = 0.0;
    total.row.queued = 0;
    mark(item{&it, &total}, from);
    return true;
}

bool ledger::merge_row(entry& it, const ledger_row& row, const host_id& from, time_point now) {
    if (row.incarnation == 0) {
        return merge_fold(it, row, from);
    }
    if (row.router == self_ && row.incarnation == incarnation_) {
        return false;
    }
    const auto total = it.rows.find(row_key{row.router, 0});
    if (total != it.rows.end() && row.incarnation <= total->second.row.version) {
        return false;
    }
    auto& known = it.rows[row_key{row.router, row.incarnation}];
    if (row.version <= known.row.version) {
        return false;
    }
    if (known.row.version == 0) {
        known.row = row;
    }
    known.row.version = row.version;
    known.row.charged = std::max(row.charged, known.row.charged);
    known.row.reserved = row.reserved;
    known.row.queued = row.queued;
    known.heard = now;
    mark(item{&it, &known}, from);

    // A higher incarnation of a router proves that the lower ones have ended.
    auto last = it.rows.lower_bound(row_key{row.router, std::numeric_limits<incarnation_type>::max()});
    --last;
    fold(it, row.router, last->first.second - 1);
    return true;
}

ledger::ledger(host_id self, incarnation_type incarnation) : self_{std::move(self)}, incarnation_{incarnation} {
    assert(incarnation_ > 0 && "incarnation 0 marks folded rows");
}

void ledger::charge(const team_key& key, double cost, time_point now) {
    assert(valid(cost) && "a charge is finite and not negative");
    auto& it = at(key);
    auto& own = own_row(it);
    own.row.charged += cost;
    own_changed(it, own, now);
}

void ledger::reserve(const team_key& key, double delta, time_point now) {
    assert(std::isfinite(delta) && "a reservation is finite");
    auto& it = at(key);
    auto& own = own_row(it);
    own.row.reserved = std::max(0.0, own.row.reserved + delta);
    own_changed(it, own, now);
}

void ledger::set_queued(const team_key& key, std::uint32_t queued, time_point now) {
    auto& it = at(key);
    auto& own = own_row(it);
    if (own.row.queued == queued) {
        return;
    }
    if (it.queued == 0) {
        const auto& pool = pools_[key.pool];
        const double target = pool.backlogged.empty() ? pool.highest : pool.backlogged.begin()->first;
        const double missing = target - (it.base + it.reserved);
        if (missing > 0.0) {
            const double lift = target - it.reserved - it.service;
            if (synced_) {
                it.lift = std::max(it.lift, lift);
                mark(item{&it, nullptr}, self_);
            } else {
                it.provisional = std::max(it.provisional, lift - it.lift);
            }
        }
    }
    own.row.queued = queued;
    own_changed(it, own, now);
}

ledger::size_type ledger::merge(const host_id& from, const ledger_rows& in, time_point now) {
    size_type refused = 0;
    for (const auto& row : in.rows) {
        if (!valid(row.charged) || !valid(row.reserved) || row.version == 0) {
            ++refused;
            continue;
        }
        auto& it = at(team_key{row.pool, row.team});
        if (merge_row(it, row, from, now)) {
            refresh(it, now, change::by_peer);
        }
    }
    for (const auto& row : in.lifts) {
        if (!valid(row.lift)) {
            ++refused;
            continue;
        }
        auto& it = at(team_key{row.pool, row.team});
        if (row.lift > it.lift) {
            consume_provisional(it, row.lift - it.lift);
            it.lift = row.lift;
            mark(item{&it, nullptr}, from);
            refresh(it, now);
        }
    }
    return refused;
}

void ledger::merge_floor(const team_floor& in, time_point now) {
    auto& it = at(team_key{in.pool, in.team});
    if (valid(in.charged) && in.charged > it.floor) {
        it.floor = in.charged;
        refresh(it, now);
    }
}

void ledger::tick(time_point now) {
    const std::vector<entry*> loaded{own_load_.begin(), own_load_.end()};
    for (auto* it : loaded) {
        auto& own = own_row(*it);
        if (now - own.heard >= refresh_interval) {
            own_changed(*it, own, now);
        }
    }
    const std::vector<entry*> remote{expiring_.begin(), expiring_.end()};
    for (auto* it : remote) {
        refresh(*it, now);
    }
}

void ledger::add_peer(const host_id& peer) {
    auto& feed = peers_[peer];
    feed = peer_feed{};
    for (const auto& [key, it] : entries_) {
        if (it.lift > 0.0) {
            feed.order.emplace_back(&it, nullptr);
        }
        for (const auto& [id, state] : it.rows) {
            feed.order.emplace_back(&it, &state);
        }
    }
    feed.pending.insert(feed.order.begin(), feed.order.end());
    feed.initial = feed.order.size();
}

void ledger::remove_peer(const host_id& peer) {
    peers_.erase(peer);
}

void ledger::sweep(peer_feed& feed, ledger_rows& out, std::size_t count) const {
    if (entries_.empty()) {
        return;
    }
    auto pos = feed.sweep ? entries_.lower_bound(feed.sweep->first) : entries_.begin();
    for (std::size_t n = 0; n < count; ++n) {
        if (pos == entries_.end()) {
            pos = entries_.begin();
            feed.sweep.reset();
        }
        const auto& it = pos->second;
        const bool inside = feed.sweep && feed.sweep->first == pos->first;
        const auto row = inside ? it.rows.upper_bound(feed.sweep->second) : it.rows.begin();
        if (row == it.rows.end()) {
            if (it.lift > 0.0) {
                out.lifts.push_back(lift_row{it.key.pool, it.key.team, it.lift});
            }
            ++pos;
            feed.sweep.reset();
            if (pos != entries_.end()) {
                feed.sweep.emplace(pos->first, row_key{});
            }
            continue;
        }
        out.rows.push_back(row->second.row);
        feed.sweep.emplace(pos->first, row->first);
    }
}

ledger_rows ledger::take_changes(const host_id& peer, size_type limit, size_type repair) {
    ledger_rows out;
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return out;
    }
    auto& feed = found->second;
    while (!feed.order.empty() && out.rows.size() + out.lifts.size() < limit) {
        const auto next = feed.order.front();
        feed.order.pop_front();
        feed.initial -= feed.initial > 0 ? 1 : 0;
        if (feed.pending.erase(next) == 0) {
            continue;
        }
        const auto& it = *next.first;
        if (next.second != nullptr) {
            out.rows.push_back(next.second->row);
        } else {
            out.lifts.push_back(lift_row{it.key.pool, it.key.team, it.lift});
        }
    }
    sweep(feed, out, repair);
    return out;
}

bool ledger::has_sent_initial_rows(const host_id& peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.initial == 0;
}

void ledger::set_synced(bool synced, time_point now) {
    if (synced == synced_) {
        return;
    }
    synced_ = synced;
    if (!synced_) {
        return;
    }
    for (auto& [key, it] : entries_) {
        if (it.provisional <= 0.0) {
            continue;
        }
        // A team that another router had backlogged was not idle and needed no lift.
        if (it.queued_elsewhere == 0) {
            it.lift += it.provisional;
            mark(item{&it, nullptr}, self_);
        }
        it.provisional = 0.0;
        refresh(it, now);
    }
}

bool ledger::has_changes(const host_id& peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && !it->second.pending.empty();
}

double ledger::counter(const team_key& key) const {
    const auto it = entries_.find(key);
    return it != entries_.end() ? it->second.base + it->second.reserved : 0.0;
}

double ledger::charged(const team_key& key) const {
    const auto it = entries_.find(key);
    return it != entries_.end() ? it->second.base : 0.0;
}

double ledger::service(const pool_id& pool) const {
    const auto it = pools_.find(pool);
    return it != pools_.end() ? it->second.service : 0.0;
}

std::uint64_t ledger::queued(const team_key& key) const {
    const auto it = entries_.find(key);
    return it != entries_.end() ? it->second.queued : 0;
}

std::optional<std::pair<double, team_id>> ledger::lowest_remote(const pool_id& pool) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end() || it->second.backlogged_elsewhere.empty()) {
        return std::nullopt;
    }
    const auto& [value, owner] = *it->second.backlogged_elsewhere.begin();
    return std::pair{value, owner->key.team};
}

std::vector<team_key> ledger::take_changed_teams() {
    std::vector<team_key> keys;
    keys.reserve(touched_.size());
    for (auto* it : touched_) {
        it->touched = false;
        keys.push_back(it->key);
    }
    touched_.clear();
    return keys;
}

ledger::size_type ledger::rows() const noexcept {
    size_type n = 0;
    for (const auto& [key, it] : entries_) {
        n += it.rows.size();
    }
    return n;
}

} // namespace dandelionbay
