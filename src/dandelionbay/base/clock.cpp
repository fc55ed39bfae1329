#include "dandelionbay/base/clock.hpp"

#include <cassert>
#include <ctime>

namespace dandelionbay {

time_point monotonic_clock::now() const noexcept {
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

time_point boot_clock::now() const noexcept {
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    const auto whole = std::chrono::seconds{it.tv_sec} + std::chrono::nanoseconds{it.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(whole)};
}

time_point manual_clock::now() const noexcept {
    return time_point{duration{ticks_.load()}};
}

void manual_clock::advance(duration step) noexcept {
    assert(step >= duration::zero() && "a clock does not run backwards");
    ticks_.fetch_add(step.count());
}

} // namespace dandelionbay
