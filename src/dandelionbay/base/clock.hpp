#pragma once

#include <atomic>
#include <chrono>

#include "dandelionbay/base/fwd.hpp"

namespace dandelionbay {

/*! @brief Resolution of all times in the decision cores. */
using duration = std::chrono::microseconds;

/*! @brief Monotonic time since an arbitrary start; not comparable between hosts. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/*! @brief Converts to milliseconds with their fraction. */
[[nodiscard]] constexpr double to_ms(duration it) noexcept {
    return std::chrono::duration<double, std::milli>{it}.count();
}

/*! @brief Converts milliseconds, cut to whole microseconds. */
[[nodiscard]] constexpr duration from_ms(double ms) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

/*! @brief Source of monotonic time. */
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(const clock&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    /*! @brief Reads the clock. @return The current time; never less than an earlier result. */
    [[nodiscard]] virtual time_point now() const noexcept = 0;
};

/*! @brief The machine's monotonic clock. */
class monotonic_clock final : public clock {
public:
    [[nodiscard]] time_point now() const noexcept override;
};

/*! @brief The machine's clock since its start, which also counts the time for which the machine was suspended. */
class boot_clock final : public clock {
public:
    [[nodiscard]] time_point now() const noexcept override;
};

/*! @brief Clock that stands still until it is advanced. */
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const noexcept override;

    /*! @brief Moves the clock forward. @param step Time to add; not negative. */
    void advance(duration step) noexcept;

private:
    std::atomic<duration::rep> ticks_{0};
};

} // namespace dandelionbay
