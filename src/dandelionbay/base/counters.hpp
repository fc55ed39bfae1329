#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dandelionbay/base/fwd.hpp"

namespace dandelionbay {

/*! @brief Named counters and gauges of one process; safe for use by several threads. */
class counters {
    using key_type = std::pair<std::string, std::string>;

public:
    using value_type = std::int64_t;

    /**
     * @brief Adds to a counter.
     * @param name Metric name without prefix, such as "refused_total".
     * @param reason Value of the metric's "reason" label; empty for a metric without label.
     * @param n Amount to add.
     */
    void add(std::string_view name, std::string_view reason = {}, value_type n = 1);

    /**
     * @brief Sets a gauge.
     * @param name Metric name without prefix.
     * @param value New value.
     */
    void set(std::string_view name, value_type value);

    /**
     * @brief Reads a counter or gauge.
     * @param name Metric name without prefix.
     * @param reason Value of the "reason" label.
     * @return Its value; zero if it was never touched.
     */
    [[nodiscard]] value_type get(std::string_view name, std::string_view reason = {}) const;

    /*! @brief Sums a metric over all its reasons. @param name Metric name. @return The sum. */
    [[nodiscard]] value_type total(std::string_view name) const;

    /*! @brief Reads a metric with all its reasons. @param name Metric name. @return Reason and value of each. */
    [[nodiscard]] std::vector<std::pair<std::string, value_type>> values(std::string_view name) const;

    /*! @brief Writes all values in the text exposition format. @return Lines of "name{reason=...} value". */
    [[nodiscard]] std::string render() const;

private:
    mutable std::mutex mutex_;
    std::map<key_type, value_type> values_;
};

} // namespace dandelionbay
