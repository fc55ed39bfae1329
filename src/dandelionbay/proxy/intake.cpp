#include "dandelionbay/proxy/intake.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace dandelionbay {

std::vector<ticket_id> intake::take_late(const time_check& in_time, time_point now) {
    std::vector<ticket_id> out;
    std::erase_if(calls_, [&](const read_call& it) {
        const bool late = !in_time(now - it.arrived, it.target);
        if (late) {
            out.push_back(it.ticket);
        }
        return late;
    });
    return out;
}

std::vector<ticket_id> intake::take_beyond(double rate, const time_check& in_time, time_point now) {
    std::vector<ticket_id> out;
    std::vector<read_call> kept;
    double before = 0.0;
    for (auto it = calls_.rbegin(); it != calls_.rend(); ++it) {
        const auto wait = from_ms(before / rate * 1e3);
        if (in_time(now + wait - it->arrived, it->target)) {
            before += 1.0;
            kept.push_back(*it);
        } else {
            out.push_back(it->ticket);
        }
    }
    std::ranges::reverse(kept);
    calls_ = std::move(kept);
    return out;
}

void intake::order(const service_of_team& used) {
    std::ranges::sort(calls_, std::greater{}, &read_call::arrived);
    std::map<team_id, double> served;
    std::vector<std::pair<double, read_call>> keyed;
    keyed.reserve(calls_.size());
    for (auto& it : calls_) {
        const auto [team, fresh] = served.try_emplace(it.team, 0.0);
        if (fresh) {
            team->second = used(it.team);
        }
        const double before = team->second;
        team->second += it.cost;
        keyed.emplace_back(before, std::move(it));
    }
    std::ranges::stable_sort(keyed, std::less{}, [](const auto& it) { return it.first; });
    calls_.clear();
    for (auto it = keyed.rbegin(); it != keyed.rend(); ++it) {
        calls_.push_back(std::move(it->second));
    }
}

read_call intake::take_next() {
    auto out = std::move(calls_.back());
    calls_.pop_back();
    return out;
}

} // namespace dandelionbay
