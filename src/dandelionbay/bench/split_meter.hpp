#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fairness_meter.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/scenario.hpp"

namespace dandelionbay::bench {

/*! @brief Parts of a run in which the regions lose each other. */
enum class split_part { before, split, after };

/*! @brief What the callers of each region got up to a moment. */
struct region_sample {
    fairness_meter::sample teams{};
    std::map<std::string, std::uint64_t> refused{}; //!< By code.

    friend bool operator==(const region_sample&, const region_sample&) = default;
};

/*! @brief Fairness, refusals and control bytes of each part of a split, and the time until service is back. */
class split_meter {
    using region_list = std::array<region_sample, router_count>;

    struct part_state {
        split_part part{};
        duration from{};
        duration until{};
        double bytes_before{};
        double bytes{};
        region_list start{};
        region_list end{};
        fairness_meter fleet{};
        std::array<fairness_meter, router_count> regions{};
    };

    struct recovery {
        std::optional<duration> first_token{};
        std::optional<duration> last_refusal{};
    };

    void follow_recovery(const region_list& before, const region_list& now);

public:
    /**
     * @brief Adds a sample.
     * @param part Part of the run to which the time since the last sample belongs.
     * @param now What the callers of each region have got.
     * @param fleet What the teams have got in both regions.
     * @param step Time since the last sample.
     * @param control_bytes Control bytes that all nodes have sent.
     */
    void add(split_part part, const region_list& now, const fairness_meter::sample& fleet, duration step,
             double control_bytes);

    /**
     * @brief The figures of all parts and of each region's return.
     * @param names Of the regions, in the order of the routers. @param nodes Number of nodes.
     * @return Object with parts and rejoin.
     */
    [[nodiscard]] nlohmann::json report(const std::array<std::string, router_count>& names, double nodes) const;

private:
    std::vector<part_state> parts_;
    std::array<recovery, router_count> recovery_;
    region_list last_;
    double last_bytes_{};
    duration elapsed_{0};
};

} // namespace dandelionbay::bench
