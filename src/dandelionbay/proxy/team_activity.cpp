#include "dandelionbay/proxy/team_activity.hpp"

#include <algorithm>
#include <string>

#include "absl/strings/str_format.h"
#include "dandelionbay/base/bounded_log.hpp"

namespace dandelionbay {

namespace {

/*! Returns one entry as "team/service:arrived,arrived_cost,largest_cost,begun,begun_cost,late,unserved,unlogged,cost".
 */
[[nodiscard]] std::string to_text(const team_activity::key& of, const team_activity_entry& it) {
    return absl::StrFormat("%s/%s:%d,%.0f,%.0f,%d,%.0f,%d,%d,%d,%.0f", of.team.value, of.service.value, it.arrived,
                           it.arrived_cost, it.largest_cost, it.begun, it.begun_cost, it.late, it.unserved, it.unlogged,
                           it.unlogged_arrived_cost);
}

} // namespace

team_activity_entry& team_activity_entry::operator+=(const team_activity_entry& other) noexcept {
    arrived += other.arrived;
    arrived_cost += other.arrived_cost;
    largest_cost = std::max(largest_cost, other.largest_cost);
    begun += other.begun;
    begun_cost += other.begun_cost;
    late += other.late;
    unserved += other.unserved;
    unlogged += other.unlogged;
    unlogged_arrived_cost += other.unlogged_arrived_cost;
    return *this;
}

void team_activity::add(const key& of, const team_activity_entry& amount) {
    const bool has_room = entries_.size() < max_entries || entries_.contains(of);
    entries_[has_room ? of : key{}] += amount;
}

void team_activity::log_if_due(bounded_log& log, time_point now) {
    const auto since = logged_at_.value_or(now);
    logged_at_ = since;
    if (now - since < log_interval) {
        return;
    }
    if (!entries_.empty()) {
        std::string teams;
        for (const auto& [of, it] : entries_) {
            teams += (teams.empty() ? "" : " ") + to_text(of, it);
        }
        const auto span_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
        if (!log.write(log_level::info, "team_second",
                       {{"span_ms", std::to_string(span_ms)}, {"teams", std::move(teams)}})) {
            return;
        }
    }
    entries_.clear();
    logged_at_ = now;
}

} // namespace dandelionbay
