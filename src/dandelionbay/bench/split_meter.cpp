#include "dandelionbay/bench/split_meter.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace dandelionbay::bench {

namespace {

using nlohmann::json;

[[nodiscard]] double seconds(duration it) noexcept {
    return std::chrono::duration<double>{it}.count();
}

[[nodiscard]] json seconds_or_null(const std::optional<duration>& it) {
    return it ? json(seconds(*it)) : json(nullptr);
}

[[nodiscard]] std::string_view name_of(split_part part) noexcept {
    switch (part) {
    case split_part::before:
        return "before";
    case split_part::split:
        return "split";
    case split_part::after:
        return "after";
    }
    return "";
}

[[nodiscard]] std::int64_t tokens_of(const region_sample& it) {
    std::int64_t sum = 0;
    for (const auto& team : it.teams) {
        sum += team.tokens;
    }
    return sum;
}

[[nodiscard]] json refused_between(const region_sample& start, const region_sample& end) {
    auto out = json::object();
    for (const auto& [code, n] : end.refused) {
        const auto it = start.refused.find(code);
        if (const auto more = n - (it != start.refused.end() ? it->second : 0); more > 0) {
            out[code] = more;
        }
    }
    return out;
}

[[nodiscard]] json fairness_of(const fairness_meter& it) {
    return {{"gap_tokens", it.gap()}, {"gap_cost_units", it.cost_gap()}, {"contended_s", seconds(it.contended())}};
}

} // namespace

void split_meter::follow_recovery(const region_list& before, const region_list& now) {
    const auto since = elapsed_ - parts_.back().from;
    for (std::size_t i = 0; i < router_count; ++i) {
        auto& it = recovery_.at(i);
        if (!it.first_token && tokens_of(now.at(i)) > tokens_of(before.at(i))) {
            it.first_token = since;
        }
        if (now.at(i).refused != before.at(i).refused) {
            it.last_refusal = since;
        }
    }
}

void split_meter::add(split_part part, const region_list& now, const fairness_meter::sample& fleet, duration step,
                      double control_bytes) {
    if (parts_.empty() || parts_.back().part != part) {
        parts_.push_back({.part = part,
                          .from = elapsed_,
                          .until = elapsed_,
                          .bytes_before = parts_.empty() ? control_bytes : last_bytes_,
                          .bytes = control_bytes,
                          .start = last_,
                          .end = last_});
    }
    elapsed_ += step;
    auto& current = parts_.back();
    current.until = elapsed_;
    current.bytes = control_bytes;
    current.end = now;
    current.fleet.add(fleet, step);
    for (std::size_t i = 0; i < router_count; ++i) {
        current.regions.at(i).add(now.at(i).teams, step);
    }
    if (part == split_part::after) {
        follow_recovery(last_, now);
    }
    last_ = now;
    last_bytes_ = control_bytes;
}

json split_meter::report(const std::array<std::string, router_count>& names, double nodes) const {
    auto parts = json::array();
    for (const auto& it : parts_) {
        json regions;
        for (std::size_t i = 0; i < router_count; ++i) {
            const auto tokens = tokens_of(it.end.at(i)) - tokens_of(it.start.at(i));
            regions[names.at(i)] = {{"tokens", tokens},
                                    {"refused_by_code", refused_between(it.start.at(i), it.end.at(i))},
                                    {"fairness", fairness_of(it.regions.at(i))}};
        }
        const auto length = seconds(it.until - it.from);
        parts.push_back({{"part", name_of(it.part)},
                         {"from_s", seconds(it.from)},
                         {"until_s", seconds(it.until)},
                         {"fairness", fairness_of(it.fleet)},
                         {"control_bytes_per_node_s",
                          length > 0 ? json((it.bytes - it.bytes_before) / nodes / length) : json(nullptr)},
                         {"regions", std::move(regions)}});
    }
    auto rejoin = json::object();
    for (std::size_t i = 0; i < router_count; ++i) {
        const auto& it = recovery_.at(i);
        const auto back = it.first_token
                              ? std::optional{std::max(*it.first_token, it.last_refusal.value_or(duration{0}))}
                              : std::nullopt;
        rejoin[names.at(i)] = {{"first_token_after_s", seconds_or_null(it.first_token)},
                               {"last_refusal_after_s", seconds_or_null(it.last_refusal)},
                               {"service_back_after_s", seconds_or_null(back)}};
    }
    return {{"parts", std::move(parts)}, {"rejoin", std::move(rejoin)}};
}

} // namespace dandelionbay::bench
