#pragma once

#include <string>
#include <string_view>

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/*! @brief Distribution of times from 10 us to 10 min with a resolution of 1%; not safe for use by several threads. */
class latency_histogram {
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

public:
    latency_histogram();

    /*! @brief Adds a time. @param value Times outside the range count as its nearest end. */
    void add(duration value);

    /*! @brief Reads a quantile. @param share From 0 to 1. @return Upper bound of its bin in ms; zero if empty. */
    [[nodiscard]] double quantile_ms(double share) const;

    /*! @brief Summarises. @return Object with count, p50, p95 and p99 in ms. */
    [[nodiscard]] nlohmann::json summary() const;

    /*! @brief Writes it in the text exposition format. @param name Metric name. @return Lines; times in seconds. */
    [[nodiscard]] std::string render(std::string_view name) const;

private:
    histogram_type histogram_;
    double count_{0};
    double sum_ms_{0};
};

} // namespace dandelionbay
