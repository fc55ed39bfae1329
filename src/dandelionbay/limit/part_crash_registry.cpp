#include "dandelionbay/limit/part_crash_registry.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>
#include <utility>

namespace dandelionbay {

namespace {

/*! Number of faults among exits in the order of time. */
[[nodiscard]] std::size_t count_faults(const std::vector<time_point>& exits) {
    std::size_t n = 0;
    std::optional<time_point> last;
    for (const auto it : exits) {
        if (!last || it >= *last + part_crash_registry::same_fault_window) {
            last = it;
            ++n;
        }
    }
    return n;
}

} // namespace

/*! A part and the losses that it may have caused, by their positions in the order of time. */
struct part_crash_registry::candidate {
    struct suspicion {
        std::size_t loss{};
        time_point ended{};
        std::vector<std::uint64_t> calls{}; //!< Calls with the part that were interrupted.
        time_point last_sent{};             //!< When the latest of their runs was sent; the exit if that is unknown.
    };

    service_part part{};
    std::size_t position{}; //!< In the prompt; fewer calls share a later part.
    bool was_served{};      //!< Answers proved the part before.
    bool is_local{};        //!< This router lost a run with the part itself.
    std::vector<suspicion> suspicions{};

    [[nodiscard]] bool explains(std::size_t loss) const {
        return std::ranges::binary_search(suspicions, loss, {}, &suspicion::loss);
    }

    /*! Number of faults for which the interrupted calls can count. */
    [[nodiscard]] std::size_t max_fault_count() const {
        std::set<std::uint64_t> calls;
        for (const auto& it : suspicions) {
            calls.insert(it.calls.begin(), it.calls.end());
        }
        return max_faults_per_call * calls.size();
    }

    /*! Number of faults in which calls with the part were interrupted. */
    [[nodiscard]] std::size_t fault_count() const {
        std::vector<time_point> exits;
        for (const auto& it : suspicions) {
            exits.push_back(it.ended);
        }
        return std::min(count_faults(exits), max_fault_count());
    }

    /*! Number of these faults whose runs were sent one after the exit of the other. */
    [[nodiscard]] std::size_t independent_fault_count() const {
        std::size_t n = 0;
        std::optional<time_point> last;
        for (const auto& it : suspicions) { // Selecting by earliest end yields the largest set.
            if (!last || (it.last_sent >= *last && it.ended >= *last + same_fault_window)) {
                last = it.ended;
                ++n;
            }
        }
        return std::min(n, max_fault_count());
    }

    [[nodiscard]] bool has_faults(std::size_t needed) const {
        return suspicions.size() >= needed &&
               (independent_fault_count() >= needed || fault_count() >= needed + extra_faults_at_once);
    }

    /*! Tells whether another part comes before this one in all prompts: if it is the cause, blocking this one refuses
     *  none of its calls in vain. */
    [[nodiscard]] bool follows(const candidate& other) const {
        return other.position < position && std::ranges::all_of(suspicions, [&](const suspicion& it) {
                   const auto same = std::ranges::find(other.suspicions, it.loss, &suspicion::loss);
                   return same != other.suspicions.end() && std::ranges::all_of(it.calls, [&](std::uint64_t call) {
                              return std::ranges::find(same->calls, call) != same->calls.end();
                          });
               });
    }

    /*! Tells whether another part, no more proven than this one, may have caused all these losses, too. */
    [[nodiscard]] bool has_rival(const std::vector<candidate>& all) const {
        return std::ranges::any_of(all, [&](const candidate& other) {
            return other.part != part && (was_served || !other.was_served) &&
                   std::ranges::all_of(suspicions, [&](const suspicion& it) { return other.explains(it.loss); }) &&
                   !follows(other);
        });
    }
};

void part_crash_registry::note_suspects(const unproven_run& run, time_point ended, time_point now) {
    for (const auto& part : run.parts) {
        auto& it = records_[part];
        it.last_loss = std::max(it.last_loss.value_or(ended), ended);
        const auto proven = proven_.find(part);
        if (proven == proven_.end() || now - proven->second >= retention_window) {
            continue;
        }
        // Peers with a proof of their own need not all tell.
        if (!it.cleared || proven->second >= ended || proven->second > *it.cleared + clearance_validity / 2) {
            static_cast<void>(clear(it, proven->second, true, now));
        }
    }
}

bool part_crash_registry::clear(record& in, time_point at, bool is_local, time_point now) {
    if (in.cleared && at <= *in.cleared) {
        return false;
    }
    in.cleared = at;
    in.is_clearance_local = is_local;
    in.changed_at = now;
    if (!in.blocked || *in.blocked > at) {
        return false;
    }
    in.blocked.reset();
    on_unblocked();
    return true;
}

void part_crash_registry::block(const service_part& part, time_point at, time_point now) {
    auto& it = records_[part];
    it.blocked = at;
    it.changed_at = now;
    ++blocked_parts_;
}

void part_crash_registry::on_unblocked() {
    --blocked_parts_;
    needs_review_ = true;
    for (auto& [process, it] : losses_) {
        it.is_explained = false;
    }
}

bool part_crash_registry::is_suspect(const service_part& part, time_point ended) const {
    const auto it = records_.find(part);
    return it == records_.end() || !it->second.cleared || ended > *it->second.cleared;
}

bool part_crash_registry::is_learning(time_point now) const {
    return !first_proof_ || now - *first_proof_ < learning_time;
}

bool part_crash_registry::has_blocked_suspect(const loss& it) const {
    return std::ranges::any_of(it.runs, [&](const run_entry& entry) {
        return std::ranges::any_of(entry.run.parts, [&](const service_part& part) {
            return status_of(part).blocked && is_suspect(part, it.ended);
        });
    });
}

void part_crash_registry::mark_explained() {
    if (blocked_parts_ == 0) {
        return;
    }
    for (auto& [process, it] : losses_) {
        it.is_explained = it.is_explained || has_blocked_suspect(it);
    }
}

/*! Confirmed losses that no blocked part explains, and the parts that may have caused them. */
struct part_crash_registry::unexplained_losses {
    std::vector<time_point> exits{};
    std::vector<candidate> suspects{};

    /*! Number of recent faults that a part can't have caused. */
    [[nodiscard]] std::size_t count_others(const candidate& it, time_point now) const {
        std::vector<time_point> others;
        for (std::size_t n = 0; n < exits.size(); ++n) {
            if (now - exits[n] < other_faults_window && !it.explains(n)) {
                others.push_back(exits[n]);
            }
        }
        return count_faults(others);
    }

    /*! Tells whether many suspects of each loss were never served, as when all routers have just started. */
    [[nodiscard]] bool has_many_unserved() const {
        size_type unserved = 0;
        for (const auto& it : suspects) {
            unserved += it.was_served ? 0 : it.suspicions.size();
        }
        return unserved >= many_unserved_suspects * exits.size();
    }
};

part_crash_registry::unexplained_losses part_crash_registry::find_unexplained() const {
    std::vector<const loss*> confirmed;
    for (const auto& [process, it] : losses_) {
        if (it.is_confirmed && !it.is_explained) {
            confirmed.push_back(&it);
        }
    }
    std::ranges::sort(confirmed, {}, [](const loss* it) { return it->ended; });
    unexplained_losses out;
    std::map<service_part, candidate> found;
    for (std::size_t n = 0; n < confirmed.size(); ++n) {
        const auto ended = confirmed[n]->ended;
        out.exits.push_back(ended);
        for (const auto& entry : confirmed[n]->runs) {
            for (std::size_t position = 0; position < entry.run.parts.size(); ++position) {
                const auto& part = entry.run.parts[position];
                if (!is_suspect(part, ended)) {
                    continue;
                }
                auto& it = found[part];
                it.part = part;
                it.position = position;
                it.was_served = status_of(part).cleared.has_value();
                it.is_local = it.is_local || entry.is_local;
                if (it.suspicions.empty() || it.suspicions.back().loss != n) {
                    it.suspicions.push_back({n, ended, {}, {}});
                }
                auto& suspicion = it.suspicions.back();
                suspicion.calls.push_back(entry.run.call);
                suspicion.last_sent = std::max(suspicion.last_sent, entry.run.sent.value_or(ended));
            }
        }
    }
    out.suspects.reserve(found.size());
    for (auto& [part, it] : found) {
        out.suspects.push_back(std::move(it));
    }
    return out;
}

std::vector<service_part> part_crash_registry::record_proof(const std::vector<service_part>& parts, time_point now) {
    first_proof_ = first_proof_.value_or(now);
    std::vector<service_part> unblocked;
    for (const auto& part : parts) {
        if (proven_.size() >= max_proven_parts && !proven_.contains(part)) {
            std::erase_if(proven_, [&](const auto& it) { return now - it.second >= clearance_validity; });
        }
        if (proven_.size() < max_proven_parts || proven_.contains(part)) {
            proven_[part] = now;
        }
        const auto known = records_.find(part);
        if (known == records_.end()) {
            continue;
        }
        auto& it = known->second;
        const bool has_uncleared_loss = it.last_loss && (!it.cleared || *it.last_loss > *it.cleared);
        if ((has_uncleared_loss || it.blocked) && clear(it, now, true, now)) {
            unblocked.push_back(part);
        }
    }
    return unblocked;
}

void part_crash_registry::limit_losses() {
    while (losses_.size() > max_losses) {
        losses_.erase(std::ranges::min_element(losses_, {}, [](const auto& it) { return it.second.ended; }));
    }
}

void part_crash_registry::record_interrupted_run(const endpoint_process& process, const unproven_run& run,
                                                 time_point now) {
    auto& it = losses_.try_emplace(process, loss{now, false, false, {}, now}).first->second;
    if (it.runs.size() >= max_runs_per_loss) {
        return;
    }
    it.runs.push_back(run_entry{run, true});
    it.changed_at = now;
    note_suspects(run, it.ended, now);
    if (it.is_confirmed) {
        needs_review_ = true;
        last_urgent_change_ = now;
    }
    limit_losses();
}

void part_crash_registry::record_process_exit(const endpoint_process& process, time_point now) {
    auto& it =
        losses_.try_emplace(process, loss{now, false, false, {}, now}).first->second; // Further runs may break later.
    if (it.is_confirmed) {
        return;
    }
    it.is_confirmed = true;
    it.changed_at = now;
    if (!it.runs.empty()) {
        needs_review_ = true;
        last_urgent_change_ = now;
    }
    limit_losses();
}

void part_crash_registry::record_process_alive(const endpoint_process& process) {
    const auto it = losses_.find(process);
    if (it == losses_.end() || it->second.is_confirmed) {
        return;
    }
    losses_.erase(it);
    for (auto& [part, known] : records_) {
        known.last_loss.reset();
    }
    for (const auto& [other, lost] : losses_) {
        for (const auto& entry : lost.runs) {
            for (const auto& part : entry.run.parts) {
                auto& last = records_[part].last_loss;
                last = std::max(last.value_or(lost.ended), lost.ended);
            }
        }
    }
}

part_changes part_crash_registry::merge(const part_evidence& in, time_point now) {
    part_changes out;
    for (const auto& reported : in.losses) {
        auto& it = losses_.try_emplace(reported.process, loss{reported.ended, true, false, {}, now}).first->second;
        if (!it.is_confirmed) {
            it.is_confirmed = true;
            it.changed_at = now;
            needs_review_ = true;
        }
        for (const auto& run : reported.runs) {
            const auto is_known = [&](const run_entry& entry) { return entry.run.call == run.call; };
            if (it.runs.size() < max_runs_per_loss && std::ranges::none_of(it.runs, is_known)) {
                it.runs.push_back(run_entry{run, false});
                note_suspects(run, it.ended, now);
                needs_review_ = true;
            }
        }
    }
    limit_losses();
    for (const auto& reported : in.parts) {
        auto& it = records_[reported.part];
        if (reported.cleared && clear(it, *reported.cleared, false, now)) {
            out.unblocked.push_back(reported.part);
        }
        const auto proven = proven_.find(reported.part);
        if (reported.blocked && proven != proven_.end() && proven->second > *reported.blocked) {
            static_cast<void>(clear(it, proven->second, true, now)); // The peer learns of this answer.
        }
        if (reported.blocked && !it.blocked && (!it.cleared || *reported.blocked > *it.cleared)) {
            block(reported.part, *reported.blocked, now);
            out.blocked.push_back(reported.part);
        }
    }
    return out;
}

std::optional<service_part> part_crash_registry::find_cause(duration report_delay, time_point now) {
    const auto losses = find_unexplained();
    const bool learning = is_learning(now);
    const auto extra_faults = (losses.has_many_unserved() ? 1 : 0) + (learning ? extra_faults_while_learning : 0);
    const candidate* best = nullptr;
    size_type most_faults = 0;
    for (const auto& it : losses.suspects) {
        const auto needed =
            (it.was_served ? min_faults_if_served : min_faults) + extra_faults +
            static_cast<size_type>(std::bit_width(losses.count_others(it, now) / other_faults_per_step));
        if (!it.has_faults(needed)) { // Most suspects; the rest costs more.
            continue;
        }
        const auto faults = it.independent_fault_count();
        const bool is_better = best == nullptr || std::tuple{best->was_served, faults, it.position} >
                                                      std::tuple{it.was_served, most_faults, best->position};
        // The peers that lost the runs know which parts were answered since; this router may not know it yet.
        const bool is_left_to_peers = learning && !it.is_local;
        if (!is_better || is_left_to_peers) {
            continue;
        }
        if (faults < needed + extra_faults_at_once) {
            auto reported = it;
            std::erase_if(reported.suspicions, [&](const candidate::suspicion& lost) {
                const auto reported_at = lost.ended + report_delay;
                if (now < reported_at) {
                    next_review_ = std::min(next_review_.value_or(reported_at), reported_at);
                }
                return now < reported_at;
            });
            if (!reported.has_faults(needed) || reported.has_rival(losses.suspects)) {
                continue;
            }
        }
        best = &it;
        most_faults = faults;
    }
    return best != nullptr ? std::optional{best->part} : std::nullopt;
}

std::set<endpoint_process> part_crash_registry::losses_with(const service_part& part) const {
    std::set<endpoint_process> out;
    for (const auto& [process, it] : losses_) {
        const auto has_part = [&](const run_entry& entry) {
            return std::ranges::find(entry.run.parts, part) != entry.run.parts.end();
        };
        if (it.is_confirmed && is_suspect(part, it.ended) && std::ranges::any_of(it.runs, has_part)) {
            out.insert(process);
        }
    }
    return out;
}

std::vector<service_part> part_crash_registry::unblock_explained_by(const service_part& cause, time_point now) {
    std::vector<service_part> out;
    const auto explained = losses_with(cause);
    for (auto& [part, it] : records_) {
        if (part == cause || !it.blocked) {
            continue;
        }
        const auto losses = losses_with(part);
        if (!losses.empty() && losses.size() < explained.size() && std::ranges::includes(explained, losses)) {
            static_cast<void>(clear(it, now, true, now));
            out.push_back(part);
        }
    }
    return out;
}

part_changes part_crash_registry::review(duration report_delay, time_point now) {
    part_changes out;
    if (!std::exchange(needs_review_, false) && !(next_review_ && now >= *next_review_)) {
        return out;
    }
    next_review_.reset();
    if (first_proof_ && is_learning(now)) {
        next_review_ = *first_proof_ + learning_time;
    }
    mark_explained();
    while (const auto cause = find_cause(report_delay, now)) {
        block(*cause, now, now);
        last_urgent_change_ = now;
        out.blocked.push_back(*cause);
        for (const auto& it : unblock_explained_by(*cause, now)) {
            out.unblocked.push_back(it);
        }
        mark_explained();
    }
    return out;
}

bool part_crash_registry::is_blocked(const std::vector<service_part>& parts) const {
    return blocked_parts_ > 0 &&
           std::ranges::any_of(parts, [&](const service_part& it) { return status_of(it).blocked.has_value(); });
}

std::optional<time_point> part_crash_registry::suspected_since(const service_part& part) const {
    const auto known = records_.find(part);
    if (known == records_.end() || !known->second.last_loss) {
        return std::nullopt;
    }
    const auto& it = known->second;
    return it.cleared && *it.cleared + clearance_validity > *it.last_loss ? std::nullopt : it.last_loss;
}

part_status part_crash_registry::status_of(const service_part& part) const {
    const auto it = records_.find(part);
    return it == records_.end() ? part_status{part, {}, {}} : part_status{part, it->second.cleared, it->second.blocked};
}

part_crash_registry::size_type part_crash_registry::fault_count(const service_part& part) const {
    std::vector<time_point> exits;
    for (const auto& it : losses_with(part)) {
        exits.push_back(losses_.at(it).ended);
    }
    std::ranges::sort(exits);
    return count_faults(exits);
}

part_evidence part_crash_registry::changed_since(time_point since) const {
    part_evidence out;
    for (const auto& [process, it] : losses_) {
        if (!it.is_confirmed || it.changed_at < since) {
            continue;
        }
        process_loss reported{process, it.ended, {}};
        for (const auto& entry : it.runs) {
            if (entry.is_local) {
                reported.runs.push_back(entry.run);
            }
        }
        if (!reported.runs.empty()) {
            out.losses.push_back(std::move(reported));
        }
    }
    for (const auto& [part, it] : records_) {
        // Each router that relays a clearance would report a later time.
        const auto cleared = it.is_clearance_local ? it.cleared : std::nullopt;
        if (it.changed_at >= since && (cleared || it.blocked)) {
            out.parts.push_back(part_status{part, cleared, it.blocked});
        }
    }
    return out;
}

void part_crash_registry::expire(time_point now) {
    std::erase_if(losses_, [&](const auto& it) {
        return now - it.second.ended >= (it.second.is_confirmed ? retention_window : confirmation_timeout);
    });
    const auto is_old = [&](const std::optional<time_point>& it) { return !it || now - *it >= retention_window; };
    for (auto& [part, it] : records_) {
        if (it.blocked && is_old(it.blocked)) {
            it.blocked.reset();
            on_unblocked();
        }
    }
    std::erase_if(records_, [&](const auto& it) {
        return !it.second.blocked && is_old(it.second.last_loss) && is_old(it.second.cleared);
    });
}

} // namespace dandelionbay
