#pragma once

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"

namespace dandelionbay::bench {

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

private:
    histogram_type histogram_;
    double count_{0};
};

} // namespace dandelionbay::bench
