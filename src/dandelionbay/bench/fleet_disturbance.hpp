#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "dandelionbay/app/dev_fleet.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/bench/fwd.hpp"
#include "dandelionbay/bench/queue_model.hpp"
#include "dandelionbay/bench/recorder.hpp"
#include "dandelionbay/bench/scenario.hpp"
#include "dandelionbay/bench/split_meter.hpp"

namespace dandelionbay::bench {

/*! @brief What happens to a fleet during a load, on a thread of its caller. */
class fleet_disturbance {
    [[nodiscard]] time_point at(double share) const;
    [[nodiscard]] std::uint64_t started_in_zone() const;
    [[nodiscard]] std::uint64_t cold_violations() const;
    [[nodiscard]] absl::Status edit_zone(bool out) const;
    void move_zone();
    void restart_engine();
    void stop_store();
    void split_regions();
    void restart_hosts();
    template<typename Node, typename Restart>
    void restart_each(const std::vector<std::unique_ptr<Node>>& nodes, std::string_view kind,
                      std::vector<std::unique_ptr<Node>>& replaced, Restart restart);

public:
    using printer = std::function<void(std::string_view)>;

    /**
     * @brief Prepares; changes nothing yet.
     * @param fleet A running fleet; must outlive the object.
     * @param kind What happens.
     * @param start Start of the load.
     * @param length Length of the load.
     * @param print Takes a line for each step.
     */
    fleet_disturbance(app::dev_fleet& fleet, disturbance kind, time_point start, std::chrono::seconds length,
                      printer print);

    /*! @brief Waits for each step's time and takes it; returns after the last one. */
    void run();

    /*! @brief The first error of run(). */
    [[nodiscard]] const absl::Status& status() const noexcept { return status_; }

    /*! @brief Agents that were replaced; stopped. */
    [[nodiscard]] const std::vector<std::unique_ptr<agent_node>>& replaced() const noexcept { return replaced_; }

    /*! @brief Routers that were replaced; stopped. */
    [[nodiscard]] const std::vector<std::unique_ptr<router_node>>& replaced_routers() const noexcept {
        return replaced_routers_;
    }

    /*! @brief Part of the run for a split of the regions; may be called during run(). */
    [[nodiscard]] split_part part() const noexcept { return part_; }

    /*! @brief Processor time of the replaced nodes' control work before they were stopped. */
    [[nodiscard]] duration replaced_cpu_time() const noexcept { return replaced_cpu_; }

    /*! @brief The time in which engines start no work, for the baselines. */
    [[nodiscard]] std::optional<engine_outage> outage() const;

    /*! @brief Adds the figures of the disturbance. @param out Report. @param seconds Service of the run. */
    void add_figures(nlohmann::json& out, const std::vector<second_of_service>& seconds) const;

private:
    app::dev_fleet* fleet_;
    disturbance kind_;
    time_point start_;
    duration length_;
    printer print_;
    absl::Status status_;
    std::uint64_t violations_before_;
    std::optional<time_point> began_;
    std::optional<std::uint64_t> late_grants_;
    duration late_window_{0};
    std::vector<std::unique_ptr<agent_node>> replaced_;
    std::vector<std::unique_ptr<router_node>> replaced_routers_;
    duration replaced_cpu_{0};
    std::atomic<split_part> part_{split_part::before};
};

} // namespace dandelionbay::bench
