#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Measures how much of the event loop's time is spent on refused calls.
 *
 * A call is accepted and read before its outcome is known, so that time is divided between the calls that began and
 * those that were refused in the same period, in proportion to their numbers.
 */
class refusal_time_meter {
public:
    /*! @brief Accumulated time for accepting and reading calls; callers add to it. */
    [[nodiscard]] duration& admission_time() noexcept { return admission_time_; }

    /*! @brief Accumulated time for refusing calls after they were accepted; callers add to it. */
    [[nodiscard]] duration& refusal_time() noexcept { return refusal_time_; }

    /*! @brief Counts a call that began. */
    void note_begun() noexcept { ++begun_; }

    /*! @brief Counts a call that was refused, or whose caller had disconnected. */
    void note_refused() noexcept { ++refused_; }

    /*! @brief Takes the time spent on refused calls since the last call of this function. */
    [[nodiscard]] duration take_refusal_time() noexcept {
        const auto decided = static_cast<duration::rep>(begun_ + refused_);
        if (decided > 0) {
            refusal_time_ += std::exchange(admission_time_, {}) * static_cast<duration::rep>(refused_) / decided;
            begun_ = 0;
            refused_ = 0;
        }
        return std::exchange(refusal_time_, {});
    }

private:
    duration admission_time_{};
    duration refusal_time_{};
    std::uint64_t begun_{};
    std::uint64_t refused_{};
};

} // namespace dandelionbay
