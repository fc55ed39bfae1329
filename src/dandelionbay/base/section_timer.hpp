#pragma once

#include <string_view>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"

namespace dandelionbay {

/**
 * @brief Adds the time that a section of the event loop takes, waits for the processor included, to the counter
 * `loop_us_total`.
 */
class section_timer {
public:
    /*! @brief Starts. @param time Clock; outlives it. @param metrics Outlives it. @param section Name; outlives it.
     *  @param sum Time is added here too, if it is given; outlives it. */
    section_timer(const clock& time, counters& metrics, std::string_view section, duration* sum = nullptr) noexcept
        : time_{&time}, metrics_{&metrics}, section_{section}, sum_{sum}, began_{time.now()} {}
    section_timer(const section_timer&) = delete;
    section_timer(section_timer&&) = delete;
    section_timer& operator=(const section_timer&) = delete;
    section_timer& operator=(section_timer&&) = delete;
    ~section_timer() {
        const auto took = time_->now() - began_;
        metrics_->add("loop_us_total", section_, took.count());
        if (sum_ != nullptr) {
            *sum_ += took;
        }
    }

private:
    const clock* time_;
    counters* metrics_;
    std::string_view section_;
    duration* sum_;
    time_point began_;
};

} // namespace dandelionbay
