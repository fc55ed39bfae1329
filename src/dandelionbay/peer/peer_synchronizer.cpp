#include "dandelionbay/peer/peer_synchronizer.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "dandelionbay/base/name_hash.hpp"

namespace dandelionbay {

namespace {

/*! Returns a lower bound of the send time, by this router's clock: the sender had read its echo by then. */
[[nodiscard]] std::optional<time_point> earliest_send_time(const peer_message& it) {
    return it.echo_us == 0 ? std::nullopt : std::optional{time_point{duration{it.echo_us + it.echo_delay_us}}};
}

} // namespace

peer_synchronizer::peer_synchronizer(router_identity self, const refresh_limits& limits, registry_view& view,
                                     dispatcher& dispatch, lost_run_registry& losses, part_crash_registry& part_crashes,
                                     stream_version_registry& streams, config_parser parser)
    : self_{std::move(self)}, limits_{limits}, view_{&view}, dispatch_{&dispatch}, losses_{&losses},
      part_crashes_{&part_crashes}, streams_{&streams}, parser_{std::move(parser)} {
    dispatch_->set_routers({self_.host}, false);
}

std::int64_t peer_synchronizer::age_us(const std::optional<duration>& age) noexcept {
    return age ? age->count() : -1;
}

void peer_synchronizer::add_address(const socket_address& address, time_point now) {
    if (address != self_.address) {
        addresses_[address] = now;
    }
}

void peer_synchronizer::set_announced_routers(const std::vector<router_entry>& routers, time_point now) {
    announced_hosts_.emplace();
    for (const auto& it : routers) {
        announced_hosts_->insert(it.host);
        add_address(it.peer_address, now);
    }
    update_routers(now);
}

peer_message peer_synchronizer::make_message(const socket_address& to, time_point now) {
    peer_message out;
    out.host = self_.host;
    out.incarnation = self_.incarnation;
    out.address = self_.address;
    out.region = self_.region;
    out.is_leaving = is_leaving_;
    out.sent_us = now.time_since_epoch().count();
    out.operators = view_->known_operator_state();
    out.operators.config_version = view_->config() == nullptr ? 0 : view_->config()->version;
    out.operators_age_us = age_us(view_->operator_state_age(now));
    out.list_as_of = view_->list().as_of;
    out.list_age_us = age_us(view_->endpoints_age(now));
    for (const auto& [id, load] : dispatch_->loads()) {
        const auto work = load.own(now);
        if (work.calls > 0) {
            out.loads.push_back(endpoint_work_entry{id, work});
        }
    }
    out.teams = dispatch_->usage().own(now);
    out.queues = dispatch_->queues();
    out.delays = dispatch_->observed_delays(now);
    out.endpoints_leaving = view_->leaving_processes();
    out.peers = round_addresses_;
    const auto it = std::ranges::find_if(peers_, [&](const auto& item) { return item.second.address == to; });
    if (it == peers_.end()) {
        return out; // The peer's first message tells what it lacks.
    }
    auto& known = it->second;
    out.echo_us = known.timestamp_us;
    out.echo_delay_us = (now - known.timestamp_received).count();
    out.part_uses = std::exchange(known.pending_part_uses, {});
    out.versions = streams_->make_report(known.streams_told, now);
    known.first_losses_sent = known.first_losses_sent.value_or(now);
    out.losses = losses_->changed_since(known.losses_confirmed);
    out.part_crashes = part_crashes_->changed_since(known.losses_confirmed);
    add_requested_state(known, out);
    known.request = {};
    requesting_peers_.erase(it->first);
    if (!std::exchange(known.has_all_addresses, true)) {
        out.peers = live_addresses(now);
    }
    if (request_target_ == it->first) {
        out.request = missing_state(now);
        request_target_.reset();
    }
    return out;
}

std::vector<socket_address> peer_synchronizer::live_addresses(time_point now) const {
    std::vector<socket_address> out;
    const auto timeout = silence_timeout.for_interval(interval());
    for (const auto& [host, it] : peers_) {
        // Routers that drop an expired address would add it again if others passed on addresses of silent peers.
        if (now - it.last_heard < timeout) {
            out.push_back(it.address);
        }
    }
    return out;
}

void peer_synchronizer::choose_round_addresses(time_point now) {
    const auto all = live_addresses(now);
    round_addresses_.clear();
    for (std::size_t n = 0; n < std::min(max_addresses_per_message, all.size()); ++n) {
        round_addresses_.push_back(all[next_address_++ % all.size()]);
    }
}

void peer_synchronizer::add_requested_state(const peer& to, peer_message& out) const {
    if (to.request.config && to.config_version < out.operators.config_version) {
        out.config_text = config_text_;
    }
    if (to.request.list && out.list_age_us >= 0) {
        out.list = view_->list();
    }
}

refresh_request peer_synchronizer::missing_state(time_point now) const {
    const auto version = view_->config() == nullptr ? 0 : view_->config()->version;
    const auto is_older = [](const std::optional<duration>& age, duration limit) { return !age || *age > limit; };
    refresh_request out;
    out.operators = is_older(view_->operator_state_age(now), limits_.max_operators_age);
    out.config =
        version == 0 || (version < newest_config_version_ && now - *newest_config_heard_ >= config_request_delay);
    out.list = is_older(view_->endpoints_age(now), limits_.max_list_age);
    return out;
}

int peer_synchronizer::answerable_parts(const peer& it, const refresh_request& wanted) const {
    const auto is_fresh = [](std::int64_t age_us, duration limit) { return age_us >= 0 && age_us <= limit.count(); };
    int out = 0;
    out += wanted.operators && is_fresh(it.operators_age_us, limits_.max_operators_age) ? 1 : 0;
    out += wanted.config && newest_config_version_ > 0 && it.config_version == newest_config_version_ ? 1 : 0;
    out += wanted.list && is_fresh(it.list_age_us, limits_.max_list_age) ? 1 : 0;
    return out;
}

void peer_synchronizer::choose_request_target(time_point now) {
    const auto wanted = missing_state(now);
    if (!wanted.any() || (last_request_ && now - *last_request_ < request_interval)) {
        return;
    }
    // Prefer the peers that can answer most of the request, then those in this region; the hash spreads the choice
    // over peers, with another order for each router and each request.
    const auto seed = name_hash(self_.host.value, request_count_);
    const auto timeout = silence_timeout.for_interval(interval());
    std::tuple<int, bool, std::uint64_t> best{};
    for (const auto& [host, it] : peers_) {
        const std::tuple rank{answerable_parts(it, wanted), it.region == self_.region, name_hash(host.value, seed)};
        if (std::get<int>(rank) > 0 && !it.is_leaving && now - it.last_heard < timeout && rank > best) {
            best = rank;
            request_target_ = host;
        }
    }
    if (request_target_) {
        last_request_ = now;
        ++request_count_;
    }
}

std::vector<socket_address> peer_synchronizer::pending_recipients(time_point now) {
    choose_request_target(now);
    std::vector<socket_address> out;
    auto hosts = requesting_peers_;
    if (request_target_) {
        hosts.insert(*request_target_);
    }
    for (const auto& host : hosts) {
        if (const auto it = peers_.find(host); it != peers_.end()) {
            out.push_back(it->second.address);
        }
    }
    return out;
}

void peer_synchronizer::merge_registry_state(const peer_message& in, peer_change& out, time_point now) {
    if (!in.config_text.empty()) {
        const bool newer = view_->config() == nullptr || view_->config()->version < in.operators.config_version;
        if (auto config = newer ? parser_(in.config_text) : absl::StatusOr<route_config>{}; newer && config.ok()) {
            out.config_adopted = view_->adopt(std::make_shared<const route_config>(*std::move(config)));
            if (out.config_adopted) {
                config_text_ = in.config_text;
            }
        }
    }
    const auto sent = earliest_send_time(in);
    if (!sent || *sent > now) {
        return;
    }
    if (in.operators_age_us >= 0) {
        out.operators_refreshed =
            view_->update_operator_state(in.operators, *sent - duration{in.operators_age_us}, now);
    }
    if (in.list && in.list_age_us >= 0) {
        out.list_refreshed = view_->merge_endpoints(*in.list, *sent - duration{in.list_age_us}, now);
    }
}

void peer_synchronizer::merge_loads(const peer_message& in, peer& from, time_point now) {
    std::vector<endpoint_id> loaded_endpoints;
    loaded_endpoints.reserve(in.loads.size());
    for (const auto& it : in.loads) {
        loaded_endpoints.push_back(it.endpoint);
        if (view_->endpoints().contains(it.endpoint)) {
            dispatch_->load(it.endpoint).update_peer(in.host, it.work, now);
        }
    }
    std::ranges::sort(loaded_endpoints);
    for (const auto& id : from.loaded_endpoints) {
        if (const auto it = dispatch_->loads().find(id);
            it != dispatch_->loads().end() && !std::ranges::binary_search(loaded_endpoints, id)) {
            it->second.update_peer(in.host, {}, now);
        }
    }
    from.loaded_endpoints = std::move(loaded_endpoints);
    for (const auto& use : in.part_uses) {
        if (view_->endpoints().contains(use.endpoint)) {
            dispatch_->load(use.endpoint).cache().record_use(use.part.id, use.part.tokens);
        }
    }
    dispatch_->usage().update_peer(in.host, in.teams, now);
    dispatch_->update_peer_queues(in.host, in.queues, now);
    dispatch_->update_peer_delays(in.host, in.delays, now);
}

peer_synchronizer::clock_offset peer_synchronizer::offset_of(const peer_message& in, time_point now) {
    const time_point sent{duration{in.sent_us}}; // By the sender's clock.
    return {std::min(now, earliest_send_time(in).value_or(now)) - sent, now - sent};
}

void peer_synchronizer::merge_losses(const peer_message& in, peer_change& out, time_point now) {
    const auto offset = offset_of(in, now);
    for (auto it : in.losses) {
        // Dates the start late and the end early, so that runs that may not have overlapped count separately.
        for (auto& run : it.runs) {
            run.started += offset.max;
            run.ended += offset.min;
        }
        if (it.answered) {
            *it.answered += offset.max;
        }
        const bool refused = losses_->is_refused(it.call);
        losses_->merge(it, now);
        if (!refused && losses_->is_refused(it.call)) {
            out.newly_refused_calls.push_back(it.call);
        }
    }
}

void peer_synchronizer::merge_part_crashes(const peer_message& in, peer_change& out, time_point now) {
    if (in.part_crashes.empty()) {
        return;
    }
    const auto offset = offset_of(in, now);
    auto evidence = in.part_crashes;
    for (auto& it : evidence.losses) { // Dated as in merge_losses(), so that runs that may not have overlapped count.
        it.ended += offset.min;
        for (auto& run : it.runs) {
            if (run.sent) {
                *run.sent += offset.max;
            }
        }
    }
    for (auto& it : evidence.parts) { // In doubt, an answer began after a loss and cleared it.
        if (it.cleared) {
            *it.cleared += offset.max;
        }
        if (it.blocked) {
            *it.blocked += offset.min;
        }
    }
    out.parts = part_crashes_->merge(evidence, now);
}

void peer_synchronizer::merge_versions(const peer_message& in, time_point now) {
    // Dated early, or a version that has left would be passed on for ever.
    const auto sent = earliest_send_time(in);
    // The message may have waited unread, and the peer may itself be cut off from the registry.
    const auto as_of = sent && in.list_age_us >= 0 ? std::optional{*sent - duration{in.list_age_us}} : std::nullopt;
    streams_->merge(in.versions, std::min(sent.value_or(now), now), as_of, now);
}

void peer_synchronizer::record_peer(const peer_message& in, peer& from, bool is_new, time_point now) {
    from.region = in.region;
    from.config_version = in.operators.config_version;
    from.operators_age_us = in.operators_age_us;
    from.list_age_us = in.list_age_us;
    from.request.operators |= in.request.operators;
    from.request.config |= in.request.config;
    from.request.list |= in.request.list;
    if (is_new) { // A new process can't request from peers that it doesn't know.
        from.has_all_addresses = false;
        from.request = {true, true, in.list_age_us < 0 || duration{in.list_age_us} > limits_.max_list_age};
    }
    if (from.request.any()) {
        requesting_peers_.insert(in.host);
    }
    if (in.operators.config_version > newest_config_version_) {
        newest_config_version_ = in.operators.config_version;
        newest_config_heard_ = now;
    }
}

peer_change peer_synchronizer::receive(const peer_message& in, time_point now) {
    peer_change out;
    if (in.host == self_.host) {
        return out;
    }
    auto [it, added] = peers_.try_emplace(in.host);
    auto& known = it->second;
    if (!added && in.incarnation < known.incarnation) {
        return out; // A message of an earlier process.
    }
    out.peer_found = added || in.incarnation != known.incarnation;
    known.incarnation = in.incarnation;
    known.address = in.address;
    known.last_heard = now;
    known.is_leaving = in.is_leaving;
    known.timestamp_us = in.sent_us;
    known.timestamp_received = now;
    const time_point echoed{duration{in.echo_us}};
    if (out.peer_found) { // A new process has not received what the earlier one confirmed.
        known.newest_confirmed = echoed;
        known.first_losses_sent.reset();
        known.losses_confirmed = {};
        known.streams_told = {};
    }
    known.newest_confirmed = std::max(known.newest_confirmed, echoed);
    if (known.first_losses_sent && echoed >= *known.first_losses_sent) { // Earlier messages had no losses.
        known.losses_confirmed = known.newest_confirmed;
    }
    record_peer(in, known, out.peer_found, now);
    add_address(in.address, now);
    for (const auto& address : in.peers) {
        if (!addresses_.contains(address)) {
            add_address(address, now);
        }
    }
    merge_registry_state(in, out, now);
    merge_loads(in, known, now);
    merge_losses(in, out, now);
    merge_part_crashes(in, out, now);
    merge_versions(in, now);
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

void peer_synchronizer::update_routers(time_point now) {
    auto routers = announced_hosts_.value_or(std::set<host_id>{});
    routers.insert(self_.host);
    for (const auto& [host, it] : peers_) {
        if (!it.is_leaving || now - it.last_heard < silence_timeout.for_interval(interval())) {
            routers.insert(host);
        } else {
            routers.erase(host);
        }
    }
    const bool complete =
        announced_hosts_ || (first_round_ && now - *first_round_ >= discovery_timeout.for_interval(interval()));
    dispatch_->set_routers(std::move(routers), complete);
}

void peer_synchronizer::begin_round(time_point now) {
    first_round_ = first_round_.value_or(now);
    last_round_ = now;
    const auto expiry = expiry_timeout.for_interval(interval());
    std::erase_if(peers_, [&](const auto& it) { return now - it.second.last_heard > expiry; });
    std::erase_if(requesting_peers_, [&](const auto& it) { return !peers_.contains(it); });
    std::erase_if(addresses_, [&](const auto& it) { return now - it.second > expiry; });
    update_routers(now);
    choose_round_addresses(now);
    choose_request_target(now); // Rounds of small fleets are so frequent that there is no poll between them.
    const auto uses = dispatch_->take_part_uses();
    for (auto& [host, it] : peers_) {
        it.pending_part_uses.insert(it.pending_part_uses.end(), uses.begin(), uses.end());
        if (it.pending_part_uses.size() > max_pending_part_uses) {
            it.pending_part_uses.erase(it.pending_part_uses.begin(),
                                       it.pending_part_uses.end() - max_pending_part_uses);
        }
    }
}

bool peer_synchronizer::has_urgent_changes(time_point now) const noexcept {
    return part_crashes_->last_urgent_change() >= last_round_ &&
           now - last_round_ >= interval() / early_rounds_per_interval;
}

std::vector<socket_address> peer_synchronizer::addresses() const {
    std::vector<socket_address> out;
    for (const auto& [address, last_heard] : addresses_) {
        out.push_back(address);
    }
    return out;
}

duration peer_synchronizer::interval() const noexcept {
    return std::max(min_interval, interval_per_peer * static_cast<duration::rep>(addresses_.size()));
}

bool peer_synchronizer::is_stalled(const socket_address& to, time_point dialled_at, time_point now) const {
    if (now - dialled_at <= stall_timeout.for_interval(interval())) {
        return false;
    }
    const auto it = std::ranges::find_if(peers_, [&](const auto& item) { return item.second.address == to; });
    return it == peers_.end() || now - it->second.newest_confirmed > confirmation_timeout.for_interval(interval());
}

std::size_t peer_synchronizer::live_peer_count(time_point now) const {
    const auto n = std::ranges::count_if(peers_, [&](const auto& it) {
        return !it.second.is_leaving && now - it.second.last_heard < silence_timeout.for_interval(interval());
    });
    return static_cast<std::size_t>(n);
}

} // namespace dandelionbay
