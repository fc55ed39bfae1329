#include "dandelionbay/limit/lost_run_registry.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

std::size_t lost_run_registry::count(std::vector<entry> runs, duration apart) {
    std::ranges::sort(runs, {}, [](const entry& it) { return it.run.ended; });
    size_type n = 0;
    std::optional<time_point> last;
    for (const auto& it : runs) { // Taking the one that ended first gives the longest row without overlap.
        if (!last || (it.run.started >= *last && it.run.ended >= *last + apart)) {
            last = it.run.ended;
            ++n;
        }
    }
    return n;
}

std::size_t lost_run_registry::loss_count(const record& in) {
    auto runs = in.runs;
    std::erase_if(runs, [](const entry& it) { return !it.counts; });
    return count(std::move(runs), same_fault_window);
}

std::size_t lost_run_registry::lost_endpoint_count(const record& in) {
    return static_cast<size_type>(std::ranges::count(in.runs, true, &entry::counts));
}

call_losses lost_run_registry::message_of(std::uint64_t call, const record& in, bool own) {
    call_losses out{call, {}, in.answered};
    for (const auto& it : in.runs) {
        if (it.counts && (it.here || !own)) {
            out.runs.push_back(it.run);
        }
    }
    return out;
}

bool lost_run_registry::add(record& to, const entry& lost) {
    if (to.answered && lost.run.ended <= *to.answered) {
        return false;
    }
    const auto it = std::ranges::find(to.runs, lost.run.process, [](const entry& known) { return known.run.process; });
    if (it != to.runs.end()) {
        if (it->counts) {
            return false;
        }
        *it = lost;
        return true;
    }
    if (to.runs.size() >= max_runs_per_call) {
        const auto unconfirmed = std::ranges::find(to.runs, false, &entry::counts);
        if (unconfirmed == to.runs.end()) {
            return false;
        }
        to.runs.erase(unconfirmed);
    }
    to.runs.push_back(lost);
    return true;
}

bool lost_run_registry::clear(record& in, time_point answered, bool here) {
    if (in.answered && answered <= *in.answered) {
        return false;
    }
    in.answered = answered;
    in.answered_here = here;
    std::erase_if(in.runs, [&](const entry& it) { return it.run.ended <= answered; });
    return true;
}

lost_run_registry::record& lost_run_registry::find_or_make(std::uint64_t call) {
    if (records_.size() >= capacity_ && !records_.contains(call)) {
        records_.erase(std::ranges::min_element(records_, {}, [](const auto& it) {
            return std::pair{loss_count(it.second) >= min_losses_to_refuse, it.second.changed};
        }));
    }
    return records_[call];
}

const lost_run_registry::record& lost_run_registry::find(std::uint64_t call) const {
    static const record unknown{};
    const auto it = records_.find(call);
    return it != records_.end() ? it->second : unknown;
}

bool lost_run_registry::record_interrupted_run(std::uint64_t call, const lost_run& run) {
    const bool counts = ended_.contains(run.process);
    if (!counts) {
        broken_[run.process] = run.ended;
    }
    auto& it = find_or_make(call);
    if (!add(it, entry{run, counts, true})) {
        return false;
    }
    it.changed = run.ended;
    return counts;
}

std::vector<std::uint64_t> lost_run_registry::record_process_exit(const endpoint_process& it, time_point now) {
    ended_[it] = now;
    broken_.erase(it);
    std::vector<std::uint64_t> out;
    for (auto& [call, known] : records_) {
        for (auto& lost : known.runs) {
            if (lost.run.process == it && !lost.counts) {
                lost.counts = true;
                known.changed = now;
                out.push_back(call);
            }
        }
    }
    return out;
}

void lost_run_registry::record_process_alive(const endpoint_process& it) {
    broken_.erase(it);
    for (auto& [call, known] : records_) {
        std::erase_if(known.runs, [&](const entry& lost) { return lost.run.process == it && !lost.counts; });
    }
}

void lost_run_registry::record_answer(std::uint64_t call, time_point now) {
    const auto it = records_.find(call);
    if (it == records_.end()) {
        return;
    }
    if (!it->second.answered && std::ranges::none_of(it->second.runs, &entry::counts)) {
        records_.erase(it); // Nobody else knows of it.
    } else if (clear(it->second, now, true)) {
        it->second.changed = now;
    }
}

bool lost_run_registry::merge(const call_losses& in, time_point now) {
    if (in.runs.empty() && !in.answered) {
        return false;
    }
    auto& it = find_or_make(in.call);
    bool changed = in.answered && clear(it, *in.answered, false);
    for (const auto& run : in.runs) {
        changed = add(it, entry{run, true, false}) || changed;
    }
    if (changed) {
        it.changed = now;
    }
    return changed;
}

std::size_t lost_run_registry::loss_count(std::uint64_t call) const {
    return loss_count(find(call));
}

bool lost_run_registry::is_suspected(std::uint64_t call) const {
    return !find(call).runs.empty();
}

std::size_t lost_run_registry::lost_endpoint_count(std::uint64_t call) const {
    return lost_endpoint_count(find(call));
}

bool lost_run_registry::is_recently_lost(std::uint64_t call, time_point now) const {
    return std::ranges::any_of(find(call).runs,
                               [&](const entry& it) { return now - it.run.ended < same_fault_window; });
}

bool lost_run_registry::has_local_loss(std::uint64_t call) const {
    return std::ranges::any_of(find(call).runs, &entry::here);
}

bool lost_run_registry::should_not_retry(std::uint64_t call) const {
    return count(find(call).runs, duration{}) >= min_losses_to_stop_retries;
}

call_losses lost_run_registry::losses_of(std::uint64_t call) const {
    return message_of(call, find(call), false);
}

std::vector<endpoint_process> lost_run_registry::unconfirmed_processes() const {
    std::vector<endpoint_process> out;
    out.reserve(broken_.size());
    for (const auto& [process, at] : broken_) {
        out.push_back(process);
    }
    return out;
}

std::vector<call_losses> lost_run_registry::changed_since(time_point since) const {
    std::vector<call_losses> out;
    for (const auto& [call, it] : records_) {
        if (it.changed < since) {
            continue;
        }
        auto told = message_of(call, it, lost_endpoint_count(it) < min_endpoints_to_relay);
        if (!it.answered_here) {
            told.answered.reset(); // Its time is later at each router that tells it on.
        }
        if (!told.runs.empty() || told.answered) {
            out.push_back(std::move(told));
        }
    }
    return out;
}

void lost_run_registry::expire(time_point now) {
    const auto old = [&](const auto& it) { return now - it.second >= confirmation_timeout; };
    std::erase_if(broken_, old);
    std::erase_if(ended_, old);
    for (auto& [call, it] : records_) {
        std::erase_if(it.runs, [&](const entry& known) {
            return !known.counts && now - known.run.ended >= confirmation_timeout;
        });
    }
    std::erase_if(records_, [&](const auto& it) {
        return now - it.second.changed >= retention_window || (it.second.runs.empty() && !it.second.answered);
    });
}

} // namespace dandelionbay
