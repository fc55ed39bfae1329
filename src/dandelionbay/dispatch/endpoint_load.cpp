#include "dandelionbay/dispatch/endpoint_load.hpp"

#include <algorithm>
#include <utility>

namespace dandelionbay {

namespace {

/*! Shorter prefills say little about the rate, because the fixed overhead of the first event dominates. */
constexpr double min_sample_tokens = 4'000.0;
constexpr double min_prefill_tokens_per_ms = 4.0;
constexpr double max_prefill_tokens_per_ms = 200.0;
/*! An endpoint does not count as stalled before an answer takes this many times the mean answer time. */
constexpr double usual_answer_factor = 2.0;

} // namespace

const endpoint_work& endpoint_load::peers_work(time_point now) const {
    if (now < peers_sum_until_) {
        return peers_sum_;
    }
    peers_sum_ = {};
    peers_sum_until_ = time_point::max();
    for (const auto& [peer, it] : peers_) {
        if (now - it.reported_at < peer_report_timeout) {
            peers_sum_.unread_tokens += it.work.unread_tokens;
            peers_sum_.calls += it.work.calls;
            peers_sum_.memory_tokens += it.work.memory_tokens;
            peers_sum_until_ = std::min(peers_sum_until_, it.reported_at + peer_report_timeout);
        }
    }
    return peers_sum_;
}

double endpoint_load::own_unread_tokens(time_point now) const {
    // The endpoint has been prefilling the oldest prompt since it finished the previous one.
    const double progress = unread_tokens_ > 0.0
                                ? std::min(unread_tokens_, to_ms(now - prefill_since_) * prefill_tokens_per_ms_ / 2.0)
                                : 0.0;
    return unread_tokens_ - progress;
}

double endpoint_load::unread_tokens(time_point now) const {
    return own_unread_tokens(now) + peers_work(now).unread_tokens;
}

double endpoint_load::time_before_first_event_ms(const running_call& call, time_point now) noexcept {
    return std::max(1.0, to_ms(now - call.sent_at) - first_event_overhead_ms);
}

void endpoint_load::update_estimates(const running_call& call, time_point now) {
    const double prefill_time_ms = time_before_first_event_ms(call, now);
    const double tokens = call.ahead_ms * prefill_tokens_per_ms_;
    if (tokens >= min_sample_tokens) {
        const double sample =
            std::clamp(tokens / prefill_time_ms, prefill_tokens_per_ms_ / 2.0, prefill_tokens_per_ms_ * 2.0);
        prefill_tokens_per_ms_ = std::clamp(prefill_tokens_per_ms_ + sample_weight * (sample - prefill_tokens_per_ms_),
                                            min_prefill_tokens_per_ms, max_prefill_tokens_per_ms);
    }
    excess_ms_ += sample_weight * (std::max(0.0, prefill_time_ms - call.ahead_ms * 1.5) - excess_ms_);
}

void endpoint_load::sent(ticket_id ticket, const call_load& load, time_point now) {
    const double prefill_ahead_ms = backlog_ms(now) + prefill_ms(load.unread_tokens);
    if (unread_tokens_ <= 0.0) {
        prefill_since_ = now;
    }
    running_[ticket] = running_call{load, now, prefill_ahead_ms, false};
    unread_tokens_ += load.unread_tokens;
    memory_tokens_ += load.memory_tokens;
}

std::optional<double> endpoint_load::started(ticket_id ticket, time_point now) {
    const auto it = running_.find(ticket);
    if (it == running_.end() || it->second.is_started) {
        return std::nullopt;
    }
    it->second.is_started = true;
    unread_tokens_ = std::max(0.0, unread_tokens_ - it->second.load.unread_tokens);
    prefill_since_ = now;
    update_estimates(it->second, now);
    failures_ = 0;
    failure_rate_ -= sample_weight * failure_rate_;
    return std::max(0.0, time_before_first_event_ms(it->second, now) - prefill_ms(it->second.load.unread_tokens));
}

void endpoint_load::ended(ticket_id ticket, bool failed, time_point now) {
    const auto it = running_.find(ticket);
    if (it == running_.end()) {
        return;
    }
    if (!it->second.is_started) {
        unread_tokens_ = std::max(0.0, unread_tokens_ - it->second.load.unread_tokens);
        prefill_since_ = now;
    }
    memory_tokens_ = std::max(0.0, memory_tokens_ - it->second.load.memory_tokens);
    running_.erase(it);
    if (running_.empty()) {
        unread_tokens_ = 0.0; // Drops accumulated rounding errors.
        memory_tokens_ = 0.0;
    }
    if (failed) {
        failure_rate_ += sample_weight * (1.0 - failure_rate_);
    }
}

void endpoint_load::data_received(time_point now) noexcept {
    last_data_at_ = now;
    silent_since_ = now;
}

void endpoint_load::unreachable(time_point now) noexcept {
    last_failure_at_ = now;
    if (is_ejected(now)) {
        return;
    }
    const auto pause = initial_ejection * (1U << std::min(failures_, 4U));
    ejected_until_ = now + std::min(max_ejection, duration{pause});
    ++failures_;
}

bool endpoint_load::has_sent_probe() const {
    return std::ranges::any_of(running_, [&](const auto& it) { return it.second.sent_at > last_failure_at_; });
}

void endpoint_load::pause(time_point until) noexcept {
    paused_until_ = std::max(paused_until_, until);
}

void endpoint_load::set_process_start(std::uint64_t started) {
    if (std::exchange(process_started_, started) != started) {
        cache_.clear();
    }
}

void endpoint_load::update_peer(const host_id& peer, const endpoint_work& work, time_point now) {
    const auto previous = peers_.find(peer);
    if (now < peers_sum_until_) { // Updates the valid sum incrementally, because adding up all reports is slow.
        if (previous != peers_.end() && now - previous->second.reported_at < peer_report_timeout) {
            const auto& previous_work = previous->second.work;
            peers_sum_.unread_tokens = std::max(0.0, peers_sum_.unread_tokens - previous_work.unread_tokens);
            peers_sum_.calls -= previous_work.calls;
            peers_sum_.memory_tokens = std::max(0.0, peers_sum_.memory_tokens - previous_work.memory_tokens);
        }
        peers_sum_.unread_tokens += work.unread_tokens;
        peers_sum_.calls += work.calls;
        peers_sum_.memory_tokens += work.memory_tokens;
        peers_sum_until_ = std::min(peers_sum_until_, now + peer_report_timeout);
    }
    if (work != endpoint_work{}) {
        peers_.insert_or_assign(peer, peer_work{work, now});
    } else if (previous != peers_.end()) {
        peers_.erase(previous);
    }
}

endpoint_work endpoint_load::own(time_point now) const {
    return endpoint_work{own_unread_tokens(now), static_cast<std::uint32_t>(running_.size()), memory_tokens_};
}

double endpoint_load::backlog_ms(time_point now) const {
    return unread_tokens(now) / prefill_tokens_per_ms_;
}

std::uint32_t endpoint_load::calls(time_point now) const {
    return static_cast<std::uint32_t>(running_.size()) + peers_work(now).calls;
}

double endpoint_load::memory_tokens(time_point now) const {
    return memory_tokens_ + peers_work(now).memory_tokens;
}

bool endpoint_load::is_stalled(time_point now) const {
    if (running_.empty()) {
        return false;
    }
    time_point oldest = time_point::max();
    const auto usual_ms = to_ms(std::max(duration{}, usual_answer_time() - silence_timeout));
    double expected_ms = 0.0;
    for (const auto& [ticket, it] : running_) {
        oldest = std::min(oldest, it.sent_at);
        if (!it.is_started) {
            const bool has_tokens = it.load.memory_tokens > 0.0;
            expected_ms = std::max(expected_ms, it.ahead_ms + (has_tokens ? 0.0 : usual_ms));
        }
    }
    return now - std::max(oldest, silent_since_) > silence_timeout + from_ms(expected_ms);
}

duration endpoint_load::usual_answer_time() const noexcept {
    return std::min(max_usual_answer_time, from_ms((first_event_overhead_ms + excess_ms_) * usual_answer_factor));
}

} // namespace dandelionbay
