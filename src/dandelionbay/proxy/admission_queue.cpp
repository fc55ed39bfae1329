#include "dandelionbay/proxy/admission_queue.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace dandelionbay {

std::vector<ticket_id> admission_queue::take_expired(const start_check& in_time, time_point now) {
    std::vector<ticket_id> out;
    std::erase_if(calls_, [&](const pending_call& it) {
        const bool late = !in_time(now - it.arrived, it.target);
        if (late) {
            out.push_back(it.ticket);
        }
        return late;
    });
    return out;
}

std::vector<ticket_id> admission_queue::take_excess(double rate, const start_check& in_time, time_point now) {
    std::vector<ticket_id> out;
    std::vector<pending_call> kept;
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

void admission_queue::order(const team_service_function& used) {
    std::ranges::sort(calls_, std::greater{}, &pending_call::arrived);
    std::map<team_id, double> served;
    std::vector<std::pair<double, pending_call>> keyed;
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

pending_call admission_queue::take_next() {
    auto out = std::move(calls_.back());
    calls_.pop_back();
    return out;
}

} // namespace dandelionbay
