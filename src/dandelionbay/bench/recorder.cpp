#include "dandelionbay/bench/recorder.hpp"

#include <algorithm>

namespace dandelionbay::bench {

namespace {

/*! A call without a first token after this time waits in a queue: five times the first-token time of a warm engine. */
constexpr std::chrono::milliseconds backlog_age{250};

} // namespace

nlohmann::json worst_second(const std::vector<second_of_service>& seconds, std::size_t event) {
    if (event >= seconds.size()) {
        return nullptr;
    }
    const auto first = seconds.begin() + static_cast<std::ptrdiff_t>(event);
    const auto worst = std::ranges::min_element(first, seconds.end(), {}, &second_of_service::complete);
    nlohmann::json out{{"second", worst - seconds.begin() + 1}, {"complete", worst->complete}};
    out["mean_before"] = nullptr;
    out["ratio"] = nullptr;
    if (event > 1) {
        double sum = 0;
        std::for_each(seconds.begin() + 1, first, [&](const auto& it) { sum += static_cast<double>(it.complete); });
        const auto mean = sum / static_cast<double>(event - 1);
        out["mean_before"] = mean;
        out["ratio"] = mean > 0 ? nlohmann::json(static_cast<double>(worst->complete) / mean) : nullptr;
    }
    return out;
}

recorder::recorder(std::size_t seconds) {
    for (auto& it : routers_) {
        it.seconds.resize(seconds);
    }
}

void recorder::begin(time_point start) {
    const std::lock_guard lock{mutex_};
    start_ = start;
}

second_of_service* recorder::second_at(std::size_t router, time_point now) {
    auto& seconds = routers_.at(router).seconds;
    const auto n = static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(now - start_).count());
    return n < seconds.size() ? &seconds[n] : nullptr;
}

std::vector<second_of_service> recorder::all_seconds() const {
    auto out = routers_.front().seconds;
    for (std::size_t router = 1; router < router_count; ++router) {
        for (std::size_t i = 0; i < out.size(); ++i) {
            const auto& it = routers_.at(router).seconds[i];
            out[i].complete += it.complete;
            out[i].tokens += it.tokens;
            out[i].refused += it.refused;
        }
    }
    return out;
}

void recorder::sent(std::size_t router, std::size_t team, time_point now) {
    const std::lock_guard lock{mutex_};
    routers_.at(router).teams.at(team).waiting.insert(now);
}

void recorder::answered(std::size_t router, std::size_t team, time_point sent) {
    const std::lock_guard lock{mutex_};
    auto& waiting = routers_.at(router).teams.at(team).waiting;
    if (const auto it = waiting.find(sent); it != waiting.end()) {
        waiting.erase(it);
    }
}

void recorder::first_token(std::size_t router, time_point planned, time_point now) {
    const std::lock_guard lock{mutex_};
    routers_.at(router).ttft.add(now - planned);
    ttft_.add(now - planned);
}

void recorder::next_token(duration gap) {
    const std::lock_guard lock{mutex_};
    inter_token_.add(gap);
}

void recorder::first_token_added(duration added) {
    const std::lock_guard lock{mutex_};
    ttft_added_.add(added);
}

void recorder::next_token_added(duration added) {
    const std::lock_guard lock{mutex_};
    inter_token_added_.add(added);
}

void recorder::count_input(std::size_t router, std::size_t team, std::uint32_t input) {
    const std::lock_guard lock{mutex_};
    routers_.at(router).teams.at(team).input += input;
}

void recorder::count_token(std::size_t router, std::size_t team, time_point now) {
    const std::lock_guard lock{mutex_};
    ++routers_.at(router).teams.at(team).tokens;
    if (auto* const it = second_at(router, now); it != nullptr) {
        ++it->tokens;
    }
}

void recorder::end(std::size_t router, ending how, time_point now) {
    const std::lock_guard lock{mutex_};
    ++endings_[how];
    if (auto* const it = second_at(router, now); it != nullptr && how == ending::complete) {
        ++it->complete;
    }
}

void recorder::refuse(std::size_t router, const std::string& code, bool not_run, time_point now) {
    const std::lock_guard lock{mutex_};
    ++routers_.at(router).refused[code];
    refused_not_run_ += not_run ? 1 : 0;
    if (auto* const it = second_at(router, now); it != nullptr) {
        ++it->refused;
    }
}

void recorder::end_order(const std::string& outcome) {
    const std::lock_guard lock{mutex_};
    ++orders_[outcome];
}

fairness_meter::sample recorder::sample(time_point now) const {
    auto out = sample(0, now);
    for (std::size_t router = 1; router < router_count; ++router) {
        const auto more = sample(router, now);
        for (std::size_t i = 0; i < team_count; ++i) {
            out.at(i).tokens += more.at(i).tokens;
            out.at(i).cost += more.at(i).cost;
            out.at(i).backlogged = out.at(i).backlogged || more.at(i).backlogged;
        }
    }
    return out;
}

fairness_meter::sample recorder::sample(std::size_t router, time_point now) const {
    const std::lock_guard lock{mutex_};
    fairness_meter::sample out;
    for (std::size_t i = 0; i < team_count; ++i) {
        const auto& team = routers_.at(router).teams.at(i);
        out.at(i) = {team.tokens, !team.waiting.empty() && now - *team.waiting.begin() > backlog_age,
                     team.input + 2 * team.tokens};
    }
    return out;
}

std::map<std::string, std::uint64_t> recorder::refused(std::size_t router) const {
    const std::lock_guard lock{mutex_};
    return routers_.at(router).refused;
}

std::vector<second_of_service> recorder::seconds() const {
    const std::lock_guard lock{mutex_};
    return all_seconds();
}

std::vector<second_of_service> recorder::seconds(std::size_t router) const {
    const std::lock_guard lock{mutex_};
    return routers_.at(router).seconds;
}

nlohmann::json recorder::report() const {
    const std::lock_guard lock{mutex_};
    const auto count = [this](ending how) {
        const auto it = endings_.find(how);
        return it != endings_.end() ? it->second : 0;
    };
    std::uint64_t in_time = 0;
    auto by_second = nlohmann::json::array();
    const auto seconds = all_seconds();
    for (const auto& it : seconds) {
        in_time += it.complete;
        by_second.push_back({{"complete", it.complete}, {"tokens", it.tokens}});
    }
    std::array<std::int64_t, team_count> tokens{};
    std::map<std::string, std::uint64_t> refused;
    auto ttft_by_router = nlohmann::json::array();
    for (const auto& it : routers_) {
        ttft_by_router.push_back(it.ttft.summary());
        for (std::size_t i = 0; i < team_count; ++i) {
            tokens.at(i) += it.teams.at(i).tokens;
        }
        for (const auto& [code, n] : it.refused) {
            refused[code] += n;
        }
    }
    return {{"requests_per_s", static_cast<double>(in_time) / static_cast<double>(seconds.size())},
            {"complete", count(ending::complete)},
            {"refused_by_code", refused},
            {"refused_not_run", refused_not_run_},
            {"orders_by_outcome", orders_},
            {"cut", count(ending::cut)},
            {"lost", count(ending::lost)},
            {"wrong", count(ending::wrong)},
            {"unsent", count(ending::unsent)},
            {"ttft_ms", ttft_.summary()},
            {"ttft_by_router_ms", std::move(ttft_by_router)},
            {"inter_token_ms", inter_token_.summary()},
            {"ttft_added_ms", ttft_added_.summary()},
            {"inter_token_added_ms", inter_token_added_.summary()},
            {"tokens_by_team", tokens},
            {"service_by_second", std::move(by_second)}};
}

} // namespace dandelionbay::bench
