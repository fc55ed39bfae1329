#include "soak/checker.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>
#include <utility>

#include "soak/sim_endpoint.hpp"

namespace dandelionbay::soak {

namespace {

constexpr std::size_t max_crashed_endpoints = 2;
// Links stand again and suspicions are exchanged within this time after a partition.
constexpr duration rejoin_time = std::chrono::seconds{2};

std::string name(const request_id& id) {
    return id.router.value + "/" + std::to_string(id.incarnation) + "/" + std::to_string(id.sequence);
}

} // namespace

void checker::accepted(const request_id& id, const team_id& team, std::string key, std::uint32_t tokens,
                       bool idempotent, time_point now) {
    trace_step(key, id, "accepted");
    request_state state{};
    state.team = team;
    state.key = std::move(key);
    state.tokens = tokens;
    state.idempotent = idempotent;
    state.accepted_at = now;
    if (!requests_.emplace(id, std::move(state)).second) {
        violation("request id " + name(id) + " was used twice");
    }
    fairness_.waiting(team, 1);
}

void checker::stop_waiting(request_state& state) {
    if (std::exchange(state.waiting, false) && !state.suspended) {
        fairness_.waiting(state.team, -1);
    }
}

void checker::trace_step(const std::string& key, const request_id& id, const std::string& step) const {
    if (!trace_.empty() && key == trace_) {
        std::cerr << name(id) << ": " << step << '\n';
    }
}

void checker::abandoned(const request_id& id) {
    if (const auto it = requests_.find(id); it != requests_.end()) {
        it->second.abandoned = true;
        stop_waiting(it->second);
    }
}

void checker::data(const request_id& id, const std::string& bytes) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) {
        violation("answer bytes for the unknown request " + name(id));
        return;
    }
    auto& state = it->second;
    if (state.ended && !state.abandoned) {
        violation("answer bytes after the end of " + name(id));
    }
    state.received += bytes;
    if (!expected_answer(state.key, state.tokens).starts_with(state.received)) {
        violation("wrong answer bytes for " + name(id));
    }
}

void checker::ended(const answer_end& end) {
    const auto it = requests_.find(end.id);
    if (it == requests_.end()) {
        violation("end of the unknown request " + name(end.id));
        return;
    }
    auto& state = it->second;
    if (state.ended) {
        violation("second end of " + name(end.id));
    }
    state.ended = true;
    trace_step(state.key, end.id, "ended: " + std::string{describe(end.code).name});
    stop_waiting(state);
    state.state = end.state;
    state.code = end.code;
    if (end.code == result_code::ok && state.received != expected_answer(state.key, state.tokens)) {
        violation("a shortened answer of " + name(end.id) + " ended as complete");
    }
    if (end.state == executed::no) {
        if (started_.contains(end.id)) {
            violation(name(end.id) + " ended as not run, but an endpoint received it");
        }
    }
}

void checker::submitted(const submit& work) {
    if (const auto it = requests_.find(work.id); it != requests_.end()) {
        stop_waiting(it->second);
    }
}

bool checker::can_know(const endpoint_id& endpoint, const crash_start& it, time_point now) const {
    const bool apart = parted_.contains(endpoint) != parted_.contains(it.endpoint);
    return !apart || it.at < parted_at_ || (rejoined_at_.has_value() && now >= *rejoined_at_ + rejoin_time);
}

void checker::router_paused(const host_id& router, bool paused) {
    for (auto& [id, it] : requests_) {
        if (id.router == router && it.waiting && it.suspended != paused) {
            it.suspended = paused;
            fairness_.waiting(it.team, paused ? -1 : 1);
        }
    }
}

void checker::part(std::set<endpoint_id> inside, time_point now) {
    parted_ = std::move(inside);
    parted_at_ = now;
    rejoined_at_.reset();
}

void checker::engine_started(const submit& work, const endpoint_id& endpoint, time_point now, bool bearable,
                             bool out_too_long) {
    ++starts_;
    std::istringstream body{work.request.body};
    std::string key;
    body >> key;
    trace_step(key, work.id, "started at " + endpoint.value + ", suspicion " + std::to_string(work.suspicion));
    const auto n = ++starts_by_key_[key];
    if (!work.idempotent && n > 1) {
        violation("the non-idempotent request " + key + " ran twice");
    }
    started_.insert(work.id);
    if (const auto it = requests_.find(work.id);
        it != requests_.end() && it->second.ended && it->second.state == executed::no) {
        violation("request " + name(work.id) + " ran after it had ended as not run");
    }
    if (!bearable) {
        violation("endpoint " + endpoint.value + " received more than it bears, request " + key);
    }
    if (out_too_long) {
        violation("endpoint " + endpoint.value + " received new work 5 s after its zone was taken out of service");
    }
    if (key.starts_with("crash")) {
        auto& crashes = crashes_by_key_[key];
        std::set<endpoint_id> known{endpoint};
        for (const auto& it : crashes) {
            if (can_know(endpoint, it, now)) {
                known.insert(it.endpoint);
            }
        }
        crashes.push_back({endpoint, now});
        if (known.size() > max_crashed_endpoints) {
            violation("request " + key + " was sent to a third endpoint after two crashes");
        }
    }
}

void checker::violation(std::string text) {
    if (violations_.size() < 20) {
        violations_.push_back(std::move(text));
    }
}

void checker::finish() {
    for (const auto& [id, state] : requests_) {
        if (!state.ended && !state.abandoned) {
            violation("request " + name(id) + " never ended");
        }
    }
}

checker::size_type checker::complete() const {
    return static_cast<size_type>(std::ranges::count_if(
        requests_, [](const auto& it) { return it.second.ended && it.second.code == result_code::ok; }));
}

checker::size_type checker::with_state(executed state) const {
    return static_cast<size_type>(std::ranges::count_if(
        requests_, [state](const auto& it) { return it.second.ended && it.second.state == state; }));
}

} // namespace dandelionbay::soak
