#include "dandelionbay/proxy/call_attempts.hpp"

#include <algorithm>

namespace dandelionbay {

void call_attempts::add(ticket_id ticket, const silence_timeouts& timeouts, time_point now) {
    open_.push_back(open_attempt{ticket, timeouts, now, false});
}

void call_attempts::record_activity(ticket_id ticket, time_point now) {
    if (const auto at = std::ranges::find(open_, ticket, &open_attempt::ticket); at != open_.end()) {
        at->last_activity_at = now;
    }
}

call_attempts::progress_result call_attempts::record_progress(ticket_id ticket, time_point now) {
    const auto at = std::ranges::find(open_, ticket, &open_attempt::ticket);
    if (at == open_.end()) {
        return {};
    }
    at->last_activity_at = now;
    at->has_progress = true;
    progress_result out;
    out.taken_over = at != open_.begin();
    for (const auto& other : open_) {
        if (other.ticket != ticket) {
            out.obsolete.push_back(other.ticket);
        }
    }
    std::erase_if(open_, [&](const auto& other) { return other.ticket != ticket; });
    return out;
}

void call_attempts::remove(ticket_id ticket) {
    std::erase_if(open_, [&](const auto& open) { return open.ticket == ticket; });
}

time_point call_attempts::last_activity(ticket_id ticket) const {
    const auto at = std::ranges::find(open_, ticket, &open_attempt::ticket);
    return at == open_.end() ? time_point{} : at->last_activity_at;
}

bool call_attempts::is_silent(ticket_id ticket, time_point listening_since, time_point now) const {
    const auto at = std::ranges::find(open_, ticket, &open_attempt::ticket);
    if (at == open_.end()) {
        return false;
    }
    const auto limit = at->timeouts.between_events + (at->has_progress ? duration{} : at->timeouts.extra_for_first);
    return now - std::max(at->last_activity_at, listening_since) > limit;
}

std::optional<ticket_id> call_attempts::primary() const {
    return open_.empty() ? std::nullopt : std::optional{open_.front().ticket};
}

} // namespace dandelionbay
