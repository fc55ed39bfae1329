#include "dandelionbay/base/latency_histogram.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "dandelionbay/base/text.hpp"

namespace dandelionbay {

namespace {

constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 600'000;
/*! ln(highest / lowest) is 17.9, so that a bin is 1% wide. */
constexpr unsigned bins = 1'800;
/*! Upper bounds that a scrape shows: the usual targets lie between 0.1 and 1 s. */
constexpr std::array bounds_ms{10.0,  25.0,   50.0,   100.0,  200.0,   300.0,  400.0,
                               600.0, 1000.0, 2000.0, 5000.0, 10000.0, 30000.0};

} // namespace

latency_histogram::latency_histogram()
    : histogram_{boost::histogram::make_histogram(axis_type{bins, lowest_ms, highest_ms})} {}

void latency_histogram::add(duration value) {
    const auto ms = to_ms(value);
    histogram_(std::clamp(ms, lowest_ms, std::nextafter(highest_ms, 0.0)));
    ++count_;
    sum_ms_ += ms;
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

std::string latency_histogram::render(std::string_view name) const {
    std::array<double, bounds_ms.size()> below{};
    for (auto&& bin : boost::histogram::indexed(histogram_)) {
        for (std::size_t n = 0; n < bounds_ms.size(); ++n) {
            below.at(n) += bin.bin().upper() <= bounds_ms.at(n) * 1.005 ? static_cast<double>(*bin) : 0.0;
        }
    }
    std::string out;
    for (std::size_t n = 0; n < bounds_ms.size(); ++n) {
        out += concat(name, "_bucket{le=\"", bounds_ms.at(n) / 1000.0, "\"} ", below.at(n), "\n");
    }
    out += concat(name, "_bucket{le=\"+Inf\"} ", count_, "\n", name, "_sum ", sum_ms_ / 1000.0, "\n", name, "_count ",
                  count_, "\n");
    return out;
}

} // namespace dandelionbay
