#include "dandelionbay/plot/figures_page.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/plot/page.hpp"

namespace dandelionbay::plot {

namespace {

using nlohmann::json;

constexpr std::array quantile_charts{std::pair{"latency_ms", "Latency of complete calls"},
                                     std::pair{"ttft_ms", "Time to first token"},
                                     std::pair{"inter_token_ms", "Time between tokens"}};
constexpr std::array quantiles{"p50", "p95", "p99"};
constexpr std::array failures{"cut", "lost", "wrong", "unsent"};
constexpr double percent = 100;

void add_scalars(page& out, const json& figures) {
    std::vector<std::pair<std::string, std::string>> rows;
    for (const auto& [name, value] : figures.items()) {
        if (value.is_number() || value.is_string()) {
            rows.emplace_back(name, value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    out.add_table(rows);
}

void add_quantiles(page& out, const json& figures) {
    for (const auto& [key, title] : quantile_charts) {
        if (!figures.contains(key)) {
            continue;
        }
        std::vector<bar> bars;
        bars.reserve(quantiles.size());
        for (const auto* name : quantiles) {
            bars.push_back({name, figures[key].value(name, 0.0)});
        }
        out.add_bars(title, "ms", bars);
    }
}

void add_seconds(page& out, const json& figures) {
    std::vector<double> complete;
    const auto seconds = figures.value("service_by_second", json::array());
    for (const auto& it : seconds) {
        complete.push_back(it.value("complete", 0.0));
    }
    out.add_line("Completed by second", "calls", complete);
}

/*! Output tokens by team, which load reports by name and bench in an array. */
[[nodiscard]] std::vector<bar> tokens_by_team(const json& figures) {
    std::vector<bar> out;
    const auto teams = figures.value("teams", json::object());
    for (const auto& [name, team] : teams.items()) {
        out.push_back({name, team.value("tokens_per_s", 0.0)});
    }
    const auto tokens = figures.value("tokens_by_team", json::array());
    for (const auto& it : tokens) {
        out.push_back({concat("team ", out.size() + 1), it.get<double>()});
    }
    return out;
}

void add_shares(page& out, const json& figures) {
    auto bars = tokens_by_team(figures);
    double sum = 0;
    for (const auto& it : bars) {
        sum += it.value;
    }
    for (auto& it : bars) {
        it.value = sum > 0 ? it.value / sum * percent : 0;
    }
    std::ranges::stable_sort(bars, std::ranges::greater{}, &bar::value);
    out.add_bars("Share of the output tokens by team", "%", bars);
}

void add_refusals(page& out, const json& figures) {
    std::vector<bar> bars;
    const auto refused = figures.value("refused_by_code", json::object());
    for (const auto& [code, n] : refused.items()) {
        bars.push_back({code, n.get<double>()});
    }
    for (const auto* key : failures) {
        if (const auto n = figures.value(key, 0.0); n > 0) {
            bars.push_back({key, n});
        }
    }
    out.add_bars("Refusals by code, and calls that failed", "calls", bars);
}

} // namespace

std::string figures_page(std::string_view title, const json& figures) {
    page out{title};
    add_scalars(out, figures);
    add_quantiles(out, figures);
    add_seconds(out, figures);
    add_shares(out, figures);
    add_refusals(out, figures);
    return out.text();
}

} // namespace dandelionbay::plot
