#include <algorithm>

#include "dandelionbay/agent/agent_state.hpp"

namespace dandelionbay {

void agent_core::state::abandon_runs(const host_id& router, actions& out) {
    for (auto& [id, run] : runs_) {
        if (id.router == router) {
            run.attached = false;
            run.abandoned = true;
            if (run.work.idempotent) {
                request_cancel(run, result_code::caller_gone, out);
            }
        }
    }
    std::vector<request_id> unwanted;
    for (const auto& [id, run] : ended_) {
        if (id.router == router) {
            unwanted.push_back(id);
        }
    }
    for (const auto& id : unwanted) {
        drop_answer(id);
    }
}

void agent_core::state::link_up(const hello& peer, time_point now, actions& out) {
    if (peer.role != host_role::router) {
        return;
    }
    const auto old = links_.find(peer.host);
    if (old != links_.end()) {
        if (peer.incarnation < old->second.peer.incarnation) {
            metrics_.add("old_incarnation_total");
            return;
        }
        link_down(peer.host, now, out);
        if (peer.incarnation > old->second.peer.incarnation) {
            abandon_runs(peer.host, out);
        }
    }
    floors_.forget_router(peer.host);
    links_.insert_or_assign(peer.host, link_state{.peer = peer,
                                                  .up = true,
                                                  .remote = peer.region != settings_.region,
                                                  .other_zone = peer.zone != settings_.zone});
    suspicions_.expire(now);
    for (const auto& it : suspicions_.all_suspicions()) {
        out.emplace_back(send_message{peer.host, it});
    }
}

void agent_core::state::link_down(const host_id& peer, time_point now, actions& /*out*/) {
    const auto it = links_.find(peer);
    if (it == links_.end() || !it->second.up) {
        return;
    }
    it->second.up = false;
    it->second.down_since = now;
    demands_.erase(peer);
    // A submission under these grants can't arrive any more, because the router drops them with the link too.
    refund_unused(grants_.take_all(peer), now);
    for (auto& [id, run] : runs_) {
        if (id.router == peer) {
            run.attached = false;
        }
    }
}

void agent_core::state::on_message(const host_id& from, const heartbeat& it, time_point /*now*/, actions& /*out*/) {
    if (auto& link = links_.at(from); it.incarnation == link.peer.incarnation) {
        link.leaving = it.leaving;
    }
}

void agent_core::state::on_message(const host_id& from, const demand& it, time_point now, actions& /*out*/) {
    if (!demands_.update(from, it, now)) {
        metrics_.add("late_messages_total", "demand");
        return;
    }
    std::uint32_t waiting = 0;
    for (const auto& team : it.teams) {
        floors_.merge(it.pool, team);
        waiting += team.queued;
    }
    // Grants for which the router has no work left count as grants ahead of need and can be recalled for others.
    for (auto& held : grants_.all()) {
        if (held.router == from && held.pool == it.pool && !held.spare) {
            if (waiting > 0) {
                --waiting;
            } else {
                held.spare = true;
                held.suspects_only = false;
                held.team = team_id{};
            }
        }
    }
}

void agent_core::state::on_message(const host_id& from, const returned& it, time_point now, actions& /*out*/) {
    bool unasked = false;
    for (const auto& id : it.ids) {
        if (const auto held = grants_.take(id, from); held.has_value()) {
            unasked = unasked || !held->recalled;
            if (!held->recalled && !held->spare) {
                demands_.clear(from, held->pool);
            }
            refund_unused({*held}, now);
        }
    }
    if (unasked) {
        links_.at(from).no_spares_until = now + internal::grant_table::lifetime;
    }
}

void agent_core::state::on_message(const host_id& from, const submit& it, time_point now, actions& out) {
    on_submit(from, it, now, out);
}

void agent_core::state::on_message(const host_id& from, const cancel& it, time_point now, actions& out) {
    if (cancel_deferred(from, it.id, now)) {
        return;
    }
    auto* const run = it.id.router == from ? find_run(it.id) : nullptr;
    if (run == nullptr) {
        metrics_.add("late_messages_total", "cancel");
    } else if (run->end.has_value()) {
        drop_answer(it.id);
    } else {
        request_cancel(*run, result_code::caller_gone, out);
    }
}

void agent_core::state::on_message(const host_id& from, const resume& it, time_point /*now*/, actions& out) {
    resume_answer(from, it, out);
}

void agent_core::state::on_message(const host_id& /*from*/, const suspicion& it, time_point now, actions& /*out*/) {
    suspicions_.merge(it, now);
}

void agent_core::state::receive(const host_id& from, const message& body, time_point now, actions& out) {
    if (!is_linked(from)) {
        metrics_.add("late_messages_total", "no_link");
        return;
    }
    std::visit(
        [&](const auto& it) {
            if constexpr (requires { on_message(from, it, now, out); }) {
                on_message(from, it, now, out);
            } else {
                metrics_.add("unexpected_messages_total");
            }
        },
        body);
}

} // namespace dandelionbay
