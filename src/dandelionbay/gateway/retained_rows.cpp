#include "dandelionbay/gateway/retained_rows.hpp"

#include <iterator>
#include <utility>

namespace dandelionbay {

retained_rows::batch retained_rows::take(size_type most) {
    auto out = std::exchange(pending_, {});
    while (out.size() > most) {
        pending_.insert(out.extract(std::prev(out.end())));
    }
    return out;
}

void retained_rows::record_accepted(const batch& accepted, time_point now) {
    for (const auto& [key, it] : accepted) {
        accepted_[key] = accepted_write{it, now};
    }
    std::erase_if(accepted_, [&](const auto& it) { return now - it.second.at >= retention_window; });
}

retained_rows::size_type retained_rows::add_lost(const std::set<std::string>& present) {
    size_type n = 0;
    for (const auto& [key, it] : accepted_) {
        const auto& [make_value, is_needed] = it.value;
        const bool is_lost = make_value ? !present.contains(key) && is_needed() : present.contains(key);
        if (is_lost && pending_.try_emplace(key, it.value).second) { // A pending write is newer.
            ++n;
        }
    }
    return n;
}

} // namespace dandelionbay
