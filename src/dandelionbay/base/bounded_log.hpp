#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/event_log.hpp"

namespace dandelionbay {

/*! @brief Log whose volume is bounded: lines over the rate are left out and their number is logged later. */
class bounded_log {
    [[nodiscard]] bool take();

public:
    /*! @brief Lines for each second; a line costs about 20 us, so all together 0.5% of a core. */
    static constexpr double lines_per_s = 250.0;
    /*! @brief Lines that may come at once after a quiet time. */
    static constexpr double burst = 500.0;

    /*! @brief The number of lines left out is logged this often. */
    static constexpr duration report_interval = std::chrono::seconds{1};

    /*! @brief Wraps a log. @param log The log; null drops all. @param time Clock; must outlive it. */
    bounded_log(std::shared_ptr<event_log> log, const clock& time) : log_{std::move(log)}, clock_{&time} {}

    /*! @brief Writes a line if the rate allows it. Warnings and errors may use the last fifth of the burst alone. */
    void write(log_level level, std::string_view event, const event_log::fields& values = {});

    /*! @brief Lines left out so far. */
    [[nodiscard]] std::uint64_t left_out() const noexcept { return left_out_; }

private:
    std::shared_ptr<event_log> log_;
    const clock* clock_;
    double tokens_{burst};
    time_point filled_{};
    std::uint64_t left_out_{};
    std::uint64_t reported_{};
    time_point reported_at_{};
};

} // namespace dandelionbay
