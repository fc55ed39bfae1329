#include "dandelionbay/limit/suspect_call_locks.hpp"

namespace dandelionbay {

bool suspect_call_locks::try_acquire(std::uint64_t call, std::uint64_t ticket, time_point now) {
    auto& it = turns_.try_emplace(call, turn{ticket, std::nullopt}).first->second;
    const bool over = it.running_since && now - *it.running_since >= lock_timeout;
    if (it.ticket != ticket && !over) {
        return false;
    }
    it = {ticket, std::nullopt};
    return true;
}

void suspect_call_locks::mark_sent(std::uint64_t call, std::uint64_t ticket, time_point now) {
    if (const auto it = turns_.find(call); it != turns_.end() && it->second.ticket == ticket) {
        it->second.running_since = now;
    }
}

void suspect_call_locks::release(std::uint64_t call, std::uint64_t ticket) {
    if (const auto it = turns_.find(call); it != turns_.end() && it->second.ticket == ticket) {
        turns_.erase(it);
    }
}

} // namespace dandelionbay
