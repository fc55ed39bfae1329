#include "dandelionbay/proxy/call_attempts.hpp"

#include <algorithm>

namespace dandelionbay {

std::vector<call_attempts::open_attempt>::const_iterator call_attempts::find(ticket_id it) const {
    return std::ranges::find(open_, it, &open_attempt::ticket);
}

void call_attempts::sent(ticket_id it, const silence_limits& limits, time_point now) {
    open_.push_back(open_attempt{it, limits, now, false});
}

call_attempts::change call_attempts::went_on(ticket_id it, time_point now) {
    const auto at = std::ranges::find(open_, it, &open_attempt::ticket);
    if (at == open_.end()) {
        return {};
    }
    at->heard_at = now;
    at->begun = true;
    if (open_.size() == 1) {
        return {};
    }
    const bool taken_over = at != open_.begin();
    const auto other = taken_over ? open_.front().ticket : open_.back().ticket;
    ended(other);
    return {other, taken_over};
}

void call_attempts::ended(ticket_id it) {
    std::erase_if(open_, [&](const auto& open) { return open.ticket == it; });
}

duration call_attempts::silence(ticket_id it, time_point since, time_point now) const {
    const auto at = find(it);
    return at == open_.end() ? duration{} : now - std::max(at->heard_at, since);
}

bool call_attempts::silent(ticket_id it, const silence_evidence& evidence, time_point now) const {
    const auto at = find(it);
    if (at == open_.end() || evidence.unread) {
        return false;
    }
    const auto limit = at->limits.usual + (at->begun ? duration{} : at->limits.before_first);
    const auto silence = now - std::max(at->heard_at, evidence.listening_since);
    return silence > limit || (evidence.stalled && silence > endpoint_load::silence_limit);
}

std::optional<ticket_id> call_attempts::holder() const {
    return open_.empty() ? std::nullopt : std::optional{open_.front().ticket};
}

} // namespace dandelionbay
