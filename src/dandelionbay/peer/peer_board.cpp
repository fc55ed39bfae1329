#include "dandelionbay/peer/peer_board.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

peer_board::peer_board(board_identity self, const fact_limits& limits, registry_view& view, dispatcher& dispatch,
                       lost_run_registry& losses, config_reader reader)
    : self_{std::move(self)}, limits_{limits}, view_{&view}, dispatch_{&dispatch}, losses_{&losses}, reader_{std::move(
                                                                                                         reader)} {
    dispatch_->set_routers({self_.host}, false);
}

std::int64_t peer_board::age_us(const std::optional<duration>& age) noexcept {
    return age ? age->count() : -1;
}

void peer_board::introduce(const socket_address& address, time_point now) {
    if (address != self_.address) {
        introduced_[address] = now;
    }
}

void peer_board::announced(const std::vector<router_entry>& routers, time_point now) {
    announced_.emplace();
    for (const auto& it : routers) {
        announced_->insert(it.host);
        introduce(it.peer_address, now);
    }
    follow_routers(now);
}

peer_state peer_board::compose(const socket_address& to, time_point now) {
    peer_state out;
    out.host = self_.host;
    out.incarnation = self_.incarnation;
    out.address = self_.address;
    out.region = self_.region;
    out.leaving = leaving_;
    out.sent_us = now.time_since_epoch().count();
    out.operators = view_->known_operator_state();
    out.operators.config_version = view_->config() == nullptr ? 0 : view_->config()->version;
    out.operators_age_us = age_us(view_->operator_state_age(now));
    out.list_as_of = view_->list().as_of;
    out.list_age_us = age_us(view_->endpoints_age(now));
    for (const auto& [id, load] : dispatch_->loads()) {
        const auto work = load.own(now);
        if (work.calls > 0) {
            out.loads.push_back(peer_load{id, work});
        }
    }
    out.teams = dispatch_->usage().own(now);
    out.queues = dispatch_->queues();
    out.endpoints_leaving = view_->leaving_processes();
    out.peers = told_peers_;
    const auto it = std::ranges::find_if(peers_, [&](const auto& item) { return item.second.address == to; });
    if (it == peers_.end()) {
        return out; // Its first message tells what it lacks.
    }
    auto& known = it->second;
    out.echo_us = known.stamp_us;
    out.echo_held_us = (now - known.stamp_at).count();
    out.part_uses = std::exchange(known.untold, {});
    out.losses = losses_->changed_since(known.confirmed);
    answer(known, out);
    known.asks = {};
    asking_.erase(it->first);
    if (!std::exchange(known.greeted, true)) {
        out.peers = live_addresses(now);
    }
    if (to_ask_ == it->first) {
        out.asks = missing(now);
        to_ask_.reset();
    }
    return out;
}

std::vector<socket_address> peer_board::live_addresses(time_point now) const {
    std::vector<socket_address> out;
    const auto silent = silent_after.at(interval());
    for (const auto& [host, it] : peers_) {
        if (now - it.heard < silent) { // Others would never be forgotten.
            out.push_back(it.address);
        }
    }
    return out;
}

void peer_board::choose_peers_to_tell(time_point now) {
    const auto all = live_addresses(now);
    told_peers_.clear();
    for (std::size_t n = 0; n < std::min(most_peers_told, all.size()); ++n) {
        told_peers_.push_back(all[next_told_++ % all.size()]);
    }
}

void peer_board::answer(const peer& to, peer_state& out) const {
    if (to.asks.config && to.config_version < out.operators.config_version) {
        out.config_text = config_text_;
    }
    if (to.asks.list && out.list_age_us >= 0) {
        out.list = view_->list();
    }
}

fact_request peer_board::missing(time_point now) const {
    const auto version = view_->config() == nullptr ? 0 : view_->config()->version;
    const auto older = [](const std::optional<duration>& age, duration limit) { return !age || *age > limit; };
    fact_request out;
    out.evidence = older(view_->operator_state_age(now), limits_.evidence);
    out.config = version == 0 || (version < newest_config_ && now - *config_heard_ >= config_patience);
    out.list = older(view_->endpoints_age(now), limits_.list);
    return out;
}

int peer_board::can_tell(const peer& it, const fact_request& wanted) const {
    const auto young = [](std::int64_t age_us, duration limit) { return age_us >= 0 && age_us <= limit.count(); };
    int out = 0;
    out += wanted.evidence && young(it.operators_age_us, limits_.evidence) ? 1 : 0;
    out += wanted.config && newest_config_ > 0 && it.config_version == newest_config_ ? 1 : 0;
    out += wanted.list && young(it.list_age_us, limits_.list) ? 1 : 0;
    return out;
}

void peer_board::choose_peer_to_ask(time_point now) {
    const auto wanted = missing(now);
    if (!wanted.any() || (asked_at_ && now - *asked_at_ < ask_interval)) {
        return;
    }
    // Those that can tell most; of these the ones in this region, and others for each router and each time.
    const auto seed = name_hash(self_.host.value, asks_);
    const auto silent = silent_after.at(interval());
    std::tuple<int, bool, std::uint64_t> best{};
    for (const auto& [host, it] : peers_) {
        const std::tuple rank{can_tell(it, wanted), it.region == self_.region, name_hash(host.value, seed)};
        if (std::get<int>(rank) > 0 && !it.leaving && now - it.heard < silent && rank > best) {
            best = rank;
            to_ask_ = host;
        }
    }
    if (to_ask_) {
        asked_at_ = now;
        ++asks_;
    }
}

std::vector<socket_address> peer_board::due(time_point now) {
    choose_peer_to_ask(now);
    std::vector<socket_address> out;
    auto hosts = asking_;
    if (to_ask_) {
        hosts.insert(*to_ask_);
    }
    for (const auto& host : hosts) {
        if (const auto it = peers_.find(host); it != peers_.end()) {
            out.push_back(it->second.address);
        }
    }
    return out;
}

void peer_board::take_evidence(const peer_state& in, peer_change& out, time_point now) {
    if (!in.config_text.empty()) {
        const bool newer = view_->config() == nullptr || view_->config()->version < in.operators.config_version;
        if (auto config = newer ? reader_(in.config_text) : absl::StatusOr<route_config>{}; newer && config.ok()) {
            out.config_adopted = view_->adopt(std::make_shared<const route_config>(*std::move(config)));
            if (out.config_adopted) {
                config_text_ = in.config_text;
            }
        }
    }
    if (in.echo_us == 0) {
        return;
    }
    // Not after the sending, on this router's clock.
    const auto sent_after = time_point{duration{in.echo_us + in.echo_held_us}};
    if (sent_after > now) {
        return;
    }
    if (in.operators_age_us >= 0) {
        out.evidence_renewed = view_->update_operator_state(in.operators, sent_after - duration{in.operators_age_us});
    }
    if (in.list && in.list_age_us >= 0) {
        out.list_renewed = view_->merge_endpoints(*in.list, sent_after - duration{in.list_age_us}, now);
    }
}

void peer_board::take_loads(const peer_state& in, peer& from, time_point now) {
    std::vector<endpoint_id> loaded;
    loaded.reserve(in.loads.size());
    for (const auto& it : in.loads) {
        loaded.push_back(it.endpoint);
        if (view_->endpoints().contains(it.endpoint)) {
            dispatch_->load(it.endpoint).update_peer(in.host, it.work, now);
        }
    }
    std::ranges::sort(loaded);
    for (const auto& id : from.loaded) {
        if (const auto it = dispatch_->loads().find(id);
            it != dispatch_->loads().end() && !std::ranges::binary_search(loaded, id)) {
            it->second.update_peer(in.host, {}, now);
        }
    }
    from.loaded = std::move(loaded);
    for (const auto& use : in.part_uses) {
        if (view_->endpoints().contains(use.endpoint)) {
            dispatch_->load(use.endpoint).cache().use(use.part.id, use.part.tokens);
        }
    }
    dispatch_->usage().update_peer(in.host, in.teams, now);
    dispatch_->update_peer_queues(in.host, in.queues, now);
}

void peer_board::take_losses(const peer_state& in, peer_change& out, time_point now) {
    const time_point sent{duration{in.sent_us}}; // On the sender's clock.
    const auto latest = now - sent;
    const auto earliest =
        in.echo_us == 0 ? latest : std::min(latest, time_point{duration{in.echo_us + in.echo_held_us}} - sent);
    for (auto it : in.losses) {
        for (auto& run : it.runs) { // What may have come one after the other counts as such.
            run.started += latest;
            run.ended += earliest;
        }
        if (it.answered) {
            *it.answered += latest;
        }
        const bool refused = losses_->is_refused(it.call);
        losses_->merge(it, now);
        if (!refused && losses_->is_refused(it.call)) {
            out.calls_refused.push_back(it.call);
        }
    }
}

void peer_board::note_facts(const peer_state& in, peer& from, bool found, time_point now) {
    from.region = in.region;
    from.config_version = in.operators.config_version;
    from.operators_age_us = in.operators_age_us;
    from.list_age_us = in.list_age_us;
    from.asks.evidence |= in.asks.evidence;
    from.asks.config |= in.asks.config;
    from.asks.list |= in.asks.list;
    if (found) { // It can't ask those that it doesn't know.
        from.greeted = false;
        from.asks = {true, true, in.list_age_us < 0 || duration{in.list_age_us} > limits_.list};
    }
    if (from.asks.any()) {
        asking_.insert(in.host);
    }
    if (in.operators.config_version > newest_config_) {
        newest_config_ = in.operators.config_version;
        config_heard_ = now;
    }
}

peer_change peer_board::receive(const peer_state& in, time_point now) {
    peer_change out;
    if (in.host == self_.host) {
        return out;
    }
    auto [it, added] = peers_.try_emplace(in.host);
    auto& known = it->second;
    if (!added && in.incarnation < known.incarnation) {
        return out; // A message of an earlier life.
    }
    out.peer_found = added || in.incarnation != known.incarnation;
    known.incarnation = in.incarnation;
    known.address = in.address;
    known.heard = now;
    known.leaving = in.leaving;
    known.stamp_us = in.sent_us;
    known.stamp_at = now;
    const time_point echoed{duration{in.echo_us}};
    known.confirmed = out.peer_found ? echoed : std::max(known.confirmed, echoed); // A new process knows nothing.
    note_facts(in, known, out.peer_found, now);
    introduce(in.address, now);
    for (const auto& address : in.peers) {
        if (!introduced_.contains(address)) {
            introduce(address, now);
        }
    }
    take_evidence(in, out, now);
    take_loads(in, known, now);
    take_losses(in, out, now);
    for (const auto& endpoint : in.endpoints_leaving) {
        if (view_->note_leaving(endpoint, now)) {
            out.endpoints_leaving.push_back(endpoint);
        }
    }
    if (out.peer_found) {
        dispatch_->add_router(in.host);
    }
    return out;
}

void peer_board::follow_routers(time_point now) {
    auto routers = announced_.value_or(std::set<host_id>{});
    routers.insert(self_.host);
    for (const auto& [host, it] : peers_) {
        if (!it.leaving || now - it.heard < silent_after.at(interval())) {
            routers.insert(host);
        } else {
            routers.erase(host);
        }
    }
    const bool complete = announced_ || (first_round_ && now - *first_round_ >= all_heard_after.at(interval()));
    dispatch_->set_routers(std::move(routers), complete);
}

void peer_board::begin_round(time_point now) {
    first_round_ = first_round_.value_or(now);
    const auto kept = forgotten_after.at(interval());
    std::erase_if(peers_, [&](const auto& it) { return now - it.second.heard > kept; });
    std::erase_if(asking_, [&](const auto& it) { return !peers_.contains(it); });
    std::erase_if(introduced_, [&](const auto& it) { return now - it.second > kept; });
    follow_routers(now);
    choose_peers_to_tell(now);
    choose_peer_to_ask(now); // Small fleets are told so often that there is no time between rounds.
    const auto uses = dispatch_->take_part_uses();
    for (auto& [host, it] : peers_) {
        it.untold.insert(it.untold.end(), uses.begin(), uses.end());
        if (it.untold.size() > most_untold) {
            it.untold.erase(it.untold.begin(), it.untold.end() - most_untold);
        }
    }
}

std::vector<socket_address> peer_board::addresses() const {
    std::vector<socket_address> out;
    for (const auto& [address, heard] : introduced_) {
        out.push_back(address);
    }
    return out;
}

duration peer_board::interval() const noexcept {
    return std::max(shortest_interval, interval_per_peer * static_cast<duration::rep>(introduced_.size()));
}

bool peer_board::stuck(const socket_address& to, time_point dialled, time_point now) const {
    if (now - dialled <= stuck_after.at(interval())) {
        return false;
    }
    const auto it = std::ranges::find_if(peers_, [&](const auto& item) { return item.second.address == to; });
    return it == peers_.end() || now - it->second.confirmed > confirmed_within.at(interval());
}

std::size_t peer_board::live(time_point now) const {
    const auto n = std::ranges::count_if(peers_, [&](const auto& it) {
        return !it.second.leaving && now - it.second.heard < silent_after.at(interval());
    });
    return static_cast<std::size_t>(n);
}

} // namespace dandelionbay
