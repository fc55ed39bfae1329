#include "dandelionbay/dispatch/usage_slices.hpp"

#include <algorithm>
#include <limits>

namespace dandelionbay {

namespace {

/*! Cost of a slice below which nobody asked for anything: sums have rounding errors. */
constexpr double min_slice_cost = 1.0;

/*! Least ratio of a comparable usage to the usage: a team that pauses between bursts does not count as a newcomer. */
constexpr double min_usage_scale = 0.5;

/*! A team's share of what all teams used in some time, and what it asked for. */
struct team_share {
    double share{};
    double requested{};
};

/*! Divides what all teams used in the slices from first to last, as one time. */
[[nodiscard]] std::vector<team_share> shares_of(const std::vector<usage_slices>& teams, std::size_t first,
                                                std::size_t last) {
    std::vector<double> requests;
    requests.reserve(teams.size());
    double used = 0.0;
    for (const auto& slices : teams) {
        usage_slice sum;
        for (auto n = first; n < last; ++n) {
            sum += slices[n];
        }
        requests.push_back(sum.requested);
        used += sum.used;
    }
    const double most = max_min_share(requests, used);
    std::vector<team_share> out;
    out.reserve(teams.size());
    for (const double it : requests) {
        out.push_back({std::min(it, most), it});
    }
    return out;
}

/*! Returns the number of slices since the first call of the window, at least 1. */
[[nodiscard]] std::size_t count_observed(const std::vector<usage_slices>& teams) {
    auto out = slice_count;
    const auto is_empty = [&](const auto& it) { return it[out - 1].requested < min_slice_cost; };
    while (out > 1 && std::ranges::all_of(teams, is_empty)) {
        --out;
    }
    return out;
}

} // namespace

usage_slice& usage_slice::operator+=(const usage_slice& other) noexcept {
    used += other.used;
    requested += other.requested;
    return *this;
}

void add_slices(usage_slices& to, const usage_slices& it, double factor) noexcept {
    for (std::size_t n = 0; n < slice_count; ++n) {
        to[n] += {factor * it[n].used, factor * it[n].requested};
    }
}

double max_min_share(std::vector<double> requests, double total) {
    std::ranges::sort(requests);
    auto teams_left = static_cast<double>(requests.size());
    for (const double it : requests) {
        const double even_share = total / teams_left;
        if (it > even_share) { // This team and all that asked for more get the same.
            return even_share;
        }
        total -= it;
        teams_left -= 1.0;
    }
    return std::numeric_limits<double>::infinity();
}

std::vector<window_scale> window_scales(const std::vector<usage_slices>& teams) {
    const auto observed = count_observed(teams);
    std::vector<team_share> in_window(teams.size());
    for (std::size_t n = 0; n < observed; ++n) {
        const auto in_slice = shares_of(teams, n, n + 1);
        for (std::size_t team = 0; team < teams.size(); ++team) {
            in_window[team].share += in_slice[team].share;
            in_window[team].requested += in_slice[team].requested;
        }
    }
    const auto recent = std::min(recent_slice_count, observed);
    const auto now = shares_of(teams, 0, recent);
    const double windows = static_cast<double>(observed) / static_cast<double>(recent);
    const auto ratio = [&](double in_recent, double in_whole) {
        return in_whole >= min_slice_cost ? in_recent * windows / in_whole : 1.0;
    };
    std::vector<window_scale> out;
    out.reserve(teams.size());
    for (std::size_t team = 0; team < teams.size(); ++team) {
        out.push_back({std::max(min_usage_scale, ratio(now[team].share, in_window[team].share)),
                       ratio(now[team].requested, in_window[team].requested)});
    }
    return out;
}

} // namespace dandelionbay
