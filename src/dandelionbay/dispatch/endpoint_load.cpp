#include "dandelionbay/dispatch/endpoint_load.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

namespace {

/*! Shorter readings tell little about the rate: the fixed part of the first event's time dominates. */
constexpr double learning_tokens = 4'000.0;
constexpr double slowest_rate = 4.0;
constexpr double quickest_rate = 200.0;
/*! Answers that take this many times the endpoint's usual time are no sign that it stalls. */
constexpr double usual_times = 2.0;

} // namespace

const endpoint_work& endpoint_load::peers_work(time_point now) const {
    if (now < peers_sum_until_) {
        return peers_sum_;
    }
    peers_sum_ = {};
    peers_sum_until_ = time_point::max();
    for (const auto& [peer, it] : peers_) {
        if (now - it.at < peer_report_timeout) {
            peers_sum_.unread_tokens += it.work.unread_tokens;
            peers_sum_.calls += it.work.calls;
            peers_sum_.memory_tokens += it.work.memory_tokens;
            peers_sum_until_ = std::min(peers_sum_until_, it.at + peer_report_timeout);
        }
    }
    return peers_sum_;
}

double endpoint_load::own_unread_tokens(time_point now) const {
    // The endpoint has been reading the oldest prompt since it finished the one before.
    const double progress = unread_ > 0.0 ? std::min(unread_, to_ms(now - reading_since_) * rate_ / 2.0) : 0.0;
    return unread_ - progress;
}

double endpoint_load::unread_tokens(time_point now) const {
    return own_unread_tokens(now) + peers_work(now).unread_tokens;
}

void endpoint_load::learn(const running_call& call, time_point now) {
    const double took = std::max(1.0, to_ms(now - call.sent_at) - first_event_overhead_ms);
    const double tokens = call.ahead_ms * rate_;
    if (tokens >= learning_tokens) {
        const double sample = std::clamp(tokens / took, rate_ / 2.0, rate_ * 2.0);
        rate_ = std::clamp(rate_ + sample_weight * (sample - rate_), slowest_rate, quickest_rate);
    }
    excess_ms_ += sample_weight * (std::max(0.0, took - call.ahead_ms * 1.5) - excess_ms_);
}

void endpoint_load::sent(ticket_id ticket, const call_load& load, time_point now) {
    const double ahead = backlog_ms(now) + prefill_ms(load.unread_tokens);
    if (unread_ <= 0.0) {
        reading_since_ = now;
    }
    running_[ticket] = running_call{load, now, ahead, false};
    unread_ += load.unread_tokens;
    memory_ += load.memory_tokens;
}

void endpoint_load::started(ticket_id ticket, time_point now) {
    const auto it = running_.find(ticket);
    if (it == running_.end() || it->second.started) {
        return;
    }
    it->second.started = true;
    unread_ = std::max(0.0, unread_ - it->second.load.unread_tokens);
    reading_since_ = now;
    learn(it->second, now);
    failures_ = 0;
    failure_rate_ -= sample_weight * failure_rate_;
}

void endpoint_load::ended(ticket_id ticket, bool failed, time_point now) {
    const auto it = running_.find(ticket);
    if (it == running_.end()) {
        return;
    }
    if (!it->second.started) {
        unread_ = std::max(0.0, unread_ - it->second.load.unread_tokens);
        reading_since_ = now;
    }
    memory_ = std::max(0.0, memory_ - it->second.load.memory_tokens);
    running_.erase(it);
    if (running_.empty()) {
        unread_ = 0.0; // Rounding must not add up.
        memory_ = 0.0;
    }
    if (failed) {
        failure_rate_ += sample_weight * (1.0 - failure_rate_);
    }
}

void endpoint_load::data_received(time_point now) noexcept {
    heard_ = now;
    silent_since_ = now;
}

void endpoint_load::unreachable(time_point now) noexcept {
    failed_at_ = now;
    if (ejected(now)) {
        return;
    }
    const auto pause = initial_ejection * (1U << std::min(failures_, 4U));
    ejected_until_ = now + std::min(max_ejection, duration{pause});
    ++failures_;
}

bool endpoint_load::has_sent_probe() const {
    return std::ranges::any_of(running_, [&](const auto& it) { return it.second.sent_at > failed_at_; });
}

void endpoint_load::pause(time_point until) noexcept {
    paused_until_ = std::max(paused_until_, until);
}

void endpoint_load::follow_process(std::uint64_t started) {
    if (std::exchange(process_started_, started) != started) {
        cache_.clear();
    }
}

void endpoint_load::update_peer(const host_id& peer, const endpoint_work& work, time_point now) {
    const auto known = peers_.find(peer);
    if (now < peers_sum_until_) { // The sum holds and is changed with the report: adding up all of them takes long.
        if (known != peers_.end() && now - known->second.at < peer_report_timeout) {
            const auto& old = known->second.work;
            peers_sum_.unread_tokens = std::max(0.0, peers_sum_.unread_tokens - old.unread_tokens);
            peers_sum_.calls -= old.calls;
            peers_sum_.memory_tokens = std::max(0.0, peers_sum_.memory_tokens - old.memory_tokens);
        }
        peers_sum_.unread_tokens += work.unread_tokens;
        peers_sum_.calls += work.calls;
        peers_sum_.memory_tokens += work.memory_tokens;
        peers_sum_until_ = std::min(peers_sum_until_, now + peer_report_timeout);
    }
    if (work != endpoint_work{}) {
        peers_.insert_or_assign(peer, peer_work{work, now});
    } else if (known != peers_.end()) {
        peers_.erase(known);
    }
}

endpoint_work endpoint_load::own(time_point now) const {
    return endpoint_work{own_unread_tokens(now), static_cast<std::uint32_t>(running_.size()), memory_};
}

double endpoint_load::backlog_ms(time_point now) const {
    return unread_tokens(now) / rate_;
}

std::uint32_t endpoint_load::calls(time_point now) const {
    return static_cast<std::uint32_t>(running_.size()) + peers_work(now).calls;
}

double endpoint_load::memory_tokens(time_point now) const {
    return memory_ + peers_work(now).memory_tokens;
}

bool endpoint_load::stalled(time_point now) const {
    if (running_.empty()) {
        return false;
    }
    time_point oldest = time_point::max();
    const auto usual_ms = to_ms(std::max(duration{}, usual_answer_time() - silence_timeout));
    double expected_ms = 0.0;
    for (const auto& [ticket, it] : running_) {
        oldest = std::min(oldest, it.sent_at);
        if (!it.started) {
            const bool tokens = it.load.memory_tokens > 0.0;
            expected_ms = std::max(expected_ms, it.ahead_ms + (tokens ? 0.0 : usual_ms));
        }
    }
    return now - std::max(oldest, silent_since_) > silence_timeout + from_ms(expected_ms);
}

duration endpoint_load::usual_answer_time() const noexcept {
    return std::min(max_usual_answer_time, from_ms((first_event_overhead_ms + excess_ms_) * usual_times));
}

} // namespace dandelionbay
