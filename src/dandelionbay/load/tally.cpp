#include "dandelionbay/load/tally.hpp"

#include <utility>

namespace dandelionbay::load {

using bench::ending;
using nlohmann::json;

tally::tally(std::vector<std::string> names, time_point start, std::size_t seconds)
    : names_{std::move(names)}, start_{start}, seconds_(seconds), teams_(names_.size()) {}

bench::second_of_service* tally::second_at(time_point now) {
    const auto n = std::chrono::floor<std::chrono::seconds>(now - start_).count();
    return n >= 0 && std::cmp_less(n, seconds_.size()) ? &seconds_[static_cast<std::size_t>(n)] : nullptr;
}

void tally::offer(std::size_t team, std::uint64_t calls) {
    const std::lock_guard lock{mutex_};
    change(team, [&](figures& it) { it.offered += calls; });
}

void tally::found_no_thread(std::size_t team) {
    const std::lock_guard lock{mutex_};
    change(team, [](figures& it) { ++it.no_free_thread; });
}

void tally::first_token(std::size_t team, duration latency) {
    const std::lock_guard lock{mutex_};
    change(team, [&](figures& it) { it.ttft.add(latency); });
}

void tally::next_token(std::size_t team, duration gap) {
    const std::lock_guard lock{mutex_};
    change(team, [&](figures& it) { it.inter_token.add(gap); });
}

void tally::count_tokens(std::size_t team, std::uint32_t tokens, time_point now) {
    const std::lock_guard lock{mutex_};
    if (auto* const second = second_at(now); second != nullptr) {
        second->tokens += tokens;
        change(team, [&](figures& it) { it.tokens_in_time += tokens; });
    }
}

void tally::complete(std::size_t team, duration latency, time_point now) {
    const std::lock_guard lock{mutex_};
    auto* const second = second_at(now);
    if (second != nullptr) {
        ++second->complete;
    }
    change(team, [&](figures& it) {
        ++it.complete;
        it.complete_in_time += second != nullptr ? 1 : 0;
        it.latency.add(latency);
    });
}

void tally::fail(std::size_t team, ending how) {
    const std::lock_guard lock{mutex_};
    change(team, [&](figures& it) { ++it.endings[how]; });
}

void tally::refuse(std::size_t team, const std::string& code) {
    const std::lock_guard lock{mutex_};
    change(team, [&](figures& it) { ++it.refused[code]; });
}

bench::second_of_service tally::second(std::size_t n) const {
    const std::lock_guard lock{mutex_};
    return seconds_.at(n);
}

json tally::report_of(const figures& from) const {
    const auto count = [&](ending how) {
        const auto it = from.endings.find(how);
        return it != from.endings.end() ? it->second : 0;
    };
    const auto length = static_cast<double>(seconds_.size());
    return {{"offered", from.offered},
            {"complete", from.complete},
            {"refused_by_code", from.refused},
            {"cut", count(ending::cut)},
            {"lost", count(ending::lost)},
            {"unsent", count(ending::unsent)},
            {"no_free_thread", from.no_free_thread},
            {"requests_per_s", static_cast<double>(from.complete_in_time) / length},
            {"tokens_per_s", static_cast<double>(from.tokens_in_time) / length},
            {"latency_ms", from.latency.summary()},
            {"ttft_ms", from.ttft.summary()},
            {"inter_token_ms", from.inter_token.summary()}};
}

json tally::report() const {
    const std::lock_guard lock{mutex_};
    auto out = report_of(all_);
    auto teams = json::object();
    for (std::size_t i = 0; i < names_.size(); ++i) {
        teams[names_[i]] = report_of(teams_[i]);
    }
    auto by_second = json::array();
    for (const auto& it : seconds_) {
        by_second.push_back({{"complete", it.complete}, {"tokens", it.tokens}});
    }
    out["teams"] = std::move(teams);
    out["service_by_second"] = std::move(by_second);
    return out;
}

} // namespace dandelionbay::load
