#include "dandelionbay/node/fleet_state.hpp"

#include <map>

namespace dandelionbay {

void fleet_state::ask_peers(fleet_change& change, time_point now) {
    if (auto query = adopter_.next_query(now)) {
        change.messages.emplace_back(std::move(query->first), query->second);
    }
}

fleet_state::fleet_state(const node_options& options, host_role role, incarnation_type incarnation, counters& metrics,
                         time_point now)
    : settings_hosts_{options.hosts}, incarnation_{incarnation}, members_{host_entry{options.host, role, options.region,
                                                                                     options.zone, options.peer_listen,
                                                                                     false},
                                                                          options.hosts, metrics, now},
      adopter_{metrics}, freshness_{options.isolated, metrics} {}

fleet_change fleet_state::store_read(std::uint64_t revision, const std::string& document, time_point started,
                                     time_point now) {
    fleet_change change;
    change.config = adopter_.from_store(revision, document, now);
    if (adopter_.revision() >= revision) {
        freshness_.store_read(started);
    }
    ask_peers(change, now);
    return change;
}

fleet_change fleet_state::store_unchanged(std::uint64_t revision, time_point started, time_point now) {
    fleet_change change;
    if (revision != 0 && adopter_.revision() >= revision) {
        freshness_.store_read(started);
    }
    ask_peers(change, now);
    return change;
}

fleet_change fleet_state::store_empty(time_point now) {
    fleet_change change;
    adopter_.store_empty(now);
    ask_peers(change, now);
    return change;
}

fleet_change fleet_state::store_failed(time_point now) {
    fleet_change change;
    adopter_.store_failed(now);
    ask_peers(change, now);
    return change;
}

void fleet_state::host_list_read(const std::vector<host_entry>& hosts, time_point now) {
    members_.update_host_list(hosts, now);
    listed_hosts_ = hosts;
    listed_ = true;
}

fleet_change fleet_state::link_up(const hello& peer, time_point now) {
    fleet_change change;
    change.handled = members_.on_message(peer, now);
    if (change.handled) {
        adopter_.announced(peer.host, peer.config_revision);
        ask_peers(change, now);
    }
    return change;
}

void fleet_state::link_down(const host_id& peer) {
    adopter_.peer_lost(peer);
}

fleet_change fleet_state::receive(const host_id& from, const message& body, time_point now,
                                  std::optional<time_point> sent) {
    fleet_change change;
    if (const auto* beat = std::get_if<heartbeat>(&body)) {
        if (members_.on_message(from, *beat, now)) {
            adopter_.announced(from, beat->config_revision);
            if (sent.has_value()) {
                members_.on_heartbeat_confirmed(from, *sent);
                if (beat->config_revision <= adopter_.revision()) {
                    freshness_.peer_evidence(beat->evidence_age_ms, *sent);
                }
            }
            ask_peers(change, now);
        }
        return change;
    }
    if (!members_.on_message(from, members_.incarnation(from), now)) {
        return change;
    }
    if (const auto* query = std::get_if<config_query>(&body)) {
        if (auto document = adopter_.answer(*query)) {
            change.messages.emplace_back(from, std::move(*document));
        }
    } else if (const auto* document = std::get_if<config_document>(&body)) {
        change.config = adopter_.from_peer(from, *document, now);
        ask_peers(change, now);
    } else {
        change.handled = false;
    }
    return change;
}

fleet_change fleet_state::tick(time_point now) {
    fleet_change change;
    change.config = adopter_.tick(now);
    freshness_.majority_heard(members_.majority_confirmed_at(now));
    ask_peers(change, now);
    return change;
}

bool fleet_state::fresh(time_point now) {
    const bool evidence = freshness_.fresh(now) && adopter_.config() != nullptr;
    // A node that was isolated may be many changes behind when it hears the others again, so it waits until it has what
    // they announce. One that was not is behind by the changes of the last moments only.
    fresh_ = evidence && (fresh_ ? !adopter_.behind(now) : !adopter_.knows_higher());
    return fresh_;
}

heartbeat fleet_state::make_heartbeat(bool leaving, time_point now) const {
    heartbeat beat;
    beat.incarnation = incarnation_;
    beat.config_revision = adopter_.revision();
    beat.evidence_age_ms = freshness_.evidence_age_ms(now);
    beat.leaving = leaving;
    return beat;
}

std::vector<host_entry> fleet_state::peers() const {
    std::map<host_id, host_entry> all;
    for (const auto* list : {&settings_hosts_, &listed_hosts_}) {
        for (const auto& it : *list) {
            all.insert_or_assign(it.host, it);
        }
    }
    std::vector<host_entry> hosts;
    hosts.reserve(all.size());
    for (auto& [host, entry] : all) {
        hosts.push_back(std::move(entry));
    }
    return hosts;
}

} // namespace dandelionbay
