#include "dandelionbay/limit/suspect_call_locks.hpp"

namespace dandelionbay {

bool suspect_call_locks::try_acquire(std::uint64_t call, std::uint64_t holder, time_point now) {
    auto& it = locks_.try_emplace(call, lock{holder, std::nullopt}).first->second;
    const bool expired = it.running_since && now - *it.running_since >= lock_timeout;
    if (it.holder != holder && !expired) {
        return false;
    }
    it = {holder, std::nullopt};
    return true;
}

void suspect_call_locks::mark_sent(std::uint64_t call, std::uint64_t holder, time_point now) {
    if (const auto it = locks_.find(call); it != locks_.end() && it->second.holder == holder) {
        it->second.running_since = now;
    }
}

void suspect_call_locks::release(std::uint64_t call, std::uint64_t holder) {
    if (const auto it = locks_.find(call); it != locks_.end() && it->second.holder == holder) {
        locks_.erase(it);
    }
}

} // namespace dandelionbay
