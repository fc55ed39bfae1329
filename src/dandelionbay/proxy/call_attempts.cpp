#include "dandelionbay/proxy/call_attempts.hpp"

#include <algorithm>

namespace dandelionbay {

void call_attempts::sent(ticket_id it, const silence_limits& limits, time_point now) {
    open_.push_back(open_attempt{it, limits, now, false});
}

void call_attempts::heard(ticket_id it, time_point now) {
    if (const auto at = std::ranges::find(open_, it, &open_attempt::ticket); at != open_.end()) {
        at->heard_at = now;
    }
}

call_attempts::change call_attempts::went_on(ticket_id it, time_point now) {
    const auto at = std::ranges::find(open_, it, &open_attempt::ticket);
    if (at == open_.end()) {
        return {};
    }
    at->heard_at = now;
    at->begun = true;
    change out;
    out.taken_over = at != open_.begin();
    for (const auto& other : open_) {
        if (other.ticket != it) {
            out.obsolete.push_back(other.ticket);
        }
    }
    std::erase_if(open_, [&](const auto& other) { return other.ticket != it; });
    return out;
}

void call_attempts::ended(ticket_id it) {
    std::erase_if(open_, [&](const auto& open) { return open.ticket == it; });
}

time_point call_attempts::heard_at(ticket_id it) const {
    const auto at = std::ranges::find(open_, it, &open_attempt::ticket);
    return at == open_.end() ? time_point{} : at->heard_at;
}

bool call_attempts::silent(ticket_id it, time_point listening_since, time_point now) const {
    const auto at = std::ranges::find(open_, it, &open_attempt::ticket);
    if (at == open_.end()) {
        return false;
    }
    const auto limit = at->limits.usual + (at->begun ? duration{} : at->limits.before_first);
    return now - std::max(at->heard_at, listening_since) > limit;
}

std::optional<ticket_id> call_attempts::holder() const {
    return open_.empty() ? std::nullopt : std::optional{open_.front().ticket};
}

} // namespace dandelionbay
