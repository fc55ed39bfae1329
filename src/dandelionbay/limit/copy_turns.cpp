#include "dandelionbay/limit/copy_turns.hpp"

namespace dandelionbay {

bool copy_turns::take(std::uint64_t call, std::uint64_t ticket, time_point now) {
    auto& it = turns_.try_emplace(call, turn{ticket, std::nullopt}).first->second;
    const bool over = it.running_since && now - *it.running_since >= longest_turn;
    if (it.ticket != ticket && !over) {
        return false;
    }
    it = {ticket, std::nullopt};
    return true;
}

void copy_turns::sent(std::uint64_t call, std::uint64_t ticket, time_point now) {
    if (const auto it = turns_.find(call); it != turns_.end() && it->second.ticket == ticket) {
        it->second.running_since = now;
    }
}

void copy_turns::ended(std::uint64_t call, std::uint64_t ticket) {
    if (const auto it = turns_.find(call); it != turns_.end() && it->second.ticket == ticket) {
        turns_.erase(it);
    }
}

} // namespace dandelionbay
