#include "dandelionbay/bench/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace dandelionbay::bench {

namespace {

constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 600'000;
/*! ln(highest / lowest) is 17.9, so that a bin is 1% wide. */
constexpr unsigned bins = 1'800;

} // namespace

latency_histogram::latency_histogram()
    : histogram_{boost::histogram::make_histogram(axis_type{bins, lowest_ms, highest_ms})} {}

void latency_histogram::add(duration value) {
    const auto ms = std::chrono::duration<double, std::milli>{value}.count();
    histogram_(std::clamp(ms, lowest_ms, std::nextafter(highest_ms, 0.0)));
    ++count_;
}

double latency_histogram::quantile_ms(double share) const {
    double sum = 0;
    for (auto&& bin : boost::histogram::indexed(histogram_)) {
        sum += static_cast<double>(*bin);
        if (count_ > 0 && sum >= share * count_) {
            return bin.bin().upper();
        }
    }
    return 0;
}

nlohmann::json latency_histogram::summary() const {
    const auto rounded = [this](double share) { return std::round(quantile_ms(share) * 100) / 100; };
    return {{"count", static_cast<std::uint64_t>(count_)},
            {"p50", rounded(0.5)},
            {"p95", rounded(0.95)},
            {"p99", rounded(0.99)}};
}

} // namespace dandelionbay::bench
