#include "dandelionbay/peer/peer_board.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

peer_board::peer_board(host_id self, std::uint64_t incarnation, socket_address address, registry_view& view,
                       dispatcher& dispatch, lost_runs& losses, config_reader reader)
    : self_{std::move(self)}, incarnation_{incarnation}, address_{std::move(address)}, view_{&view},
      dispatch_{&dispatch}, losses_{&losses}, reader_{std::move(reader)} {
    dispatch_->set_routers({self_}, false);
}

std::int64_t peer_board::age_us(const std::optional<duration>& age) noexcept {
    return age ? age->count() : -1;
}

void peer_board::introduce(const socket_address& address, time_point now) {
    if (address != address_) {
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
    out.host = self_;
    out.incarnation = incarnation_;
    out.address = address_;
    out.leaving = leaving_;
    out.sent_us = now.time_since_epoch().count();
    out.operators = view_->operators();
    out.operators.config_version = view_->config() == nullptr ? 0 : view_->config()->version;
    out.operators_age_us = age_us(view_->operator_age(now));
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
    out.endpoints_leaving = view_->leaving();
    for (const auto& [host, it] : peers_) {
        if (now - it.heard < silent_after.at(interval())) { // Others would never be forgotten.
            out.peers.push_back(it.address);
        }
    }
    const auto it = std::ranges::find_if(peers_, [&](const auto& item) { return item.second.address == to; });
    if (it == peers_.end()) {
        return out; // Its first message tells what it lacks.
    }
    auto& known = it->second;
    out.echo_us = known.stamp_us;
    out.echo_held_us = (now - known.stamp_at).count();
    out.part_uses = std::exchange(known.untold, {});
    out.losses = losses_->changed_since(known.confirmed);
    if (known.config_version < out.operators.config_version) {
        out.config_text = config_text_;
    }
    const bool stale = known.list_age_us < 0 || known.list_age_us > list_stale.count();
    if (stale && out.list_age_us >= 0 && (known.list_age_us < 0 || out.list_age_us < known.list_age_us)) {
        out.list = view_->list();
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
        out.evidence_renewed = view_->confirm(in.operators, sent_after - duration{in.operators_age_us});
    }
    if (in.list && in.list_age_us >= 0) {
        out.list_renewed = view_->merge(*in.list, sent_after - duration{in.list_age_us}, now);
    }
}

void peer_board::take_loads(const peer_state& in, time_point now) {
    std::set<endpoint_id> told;
    for (const auto& it : in.loads) {
        told.insert(it.endpoint);
        if (view_->endpoints().contains(it.endpoint)) {
            dispatch_->load(it.endpoint).report(in.host, it.work, now);
        }
    }
    for (auto& [id, load] : dispatch_->loads()) {
        if (!told.contains(id)) {
            load.report(in.host, {}, now);
        }
    }
    for (const auto& use : in.part_uses) {
        if (view_->endpoints().contains(use.endpoint)) {
            dispatch_->load(use.endpoint).parts().use(use.part.id, use.part.tokens);
        }
    }
    dispatch_->usage().report(in.host, in.teams, now);
    dispatch_->report_queues(in.host, in.queues, now);
}

void peer_board::take_losses(const peer_state& in, peer_change& out, time_point now) {
    const time_point sent{duration{in.sent_us}}; // On the sender's clock.
    const auto latest = now - sent;
    const auto earliest =
        in.echo_us == 0 ? latest : std::min(latest, time_point{duration{in.echo_us + in.echo_held_us}} - sent);
    for (auto it : in.losses) {
        for (auto& run : it.runs) { // What may have come one after the other counts as such.
            run.began += latest;
            run.ended += earliest;
        }
        if (it.answered) {
            *it.answered += latest;
        }
        const bool refused = losses_->refused(it.call);
        losses_->merge(it, now);
        if (!refused && losses_->refused(it.call)) {
            out.calls_refused.push_back(it.call);
        }
    }
}

peer_change peer_board::receive(const peer_state& in, time_point now) {
    peer_change out;
    if (in.host == self_) {
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
    known.config_version = in.operators.config_version;
    known.list_age_us = in.list_age_us;
    introduce(in.address, now);
    for (const auto& address : in.peers) {
        if (!introduced_.contains(address)) {
            introduce(address, now);
        }
    }
    take_evidence(in, out, now);
    take_loads(in, now);
    take_losses(in, out, now);
    for (const auto& endpoint : in.endpoints_leaving) {
        if (view_->note_leaving(endpoint, now)) {
            out.endpoints_leaving.push_back(endpoint);
        }
    }
    if (out.peer_found) {
        follow_routers(now);
    }
    return out;
}

void peer_board::follow_routers(time_point now) {
    auto routers = announced_.value_or(std::set<host_id>{});
    routers.insert(self_);
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
    std::erase_if(introduced_, [&](const auto& it) { return now - it.second > kept; });
    follow_routers(now);
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
