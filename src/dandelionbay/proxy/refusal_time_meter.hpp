#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Tells how much of the event loop's time goes into calls that are refused.
 *
 * Accepting and reading comes before it is known what becomes of a call, so its time is divided between those that
 * began and those that were refused meanwhile.
 */
class refusal_time_meter {
public:
    /*! @brief Sum of the time that goes into taking in calls; to be added to. */
    [[nodiscard]] duration& admission_time() noexcept { return intake_; }

    /*! @brief Sum of the time that goes into refusing calls that were taken in; to be added to. */
    [[nodiscard]] duration& refusal_time() noexcept { return refusing_; }

    /*! @brief A call began. */
    void note_begun() noexcept { ++begun_; }

    /*! @brief A call was refused, or its caller had left. */
    void note_refused() noexcept { ++refused_; }

    /*! @brief Time that went into refused calls. @return Since the last time this was asked. */
    [[nodiscard]] duration take_refusal_time() noexcept {
        const auto all = static_cast<duration::rep>(begun_ + refused_);
        if (all > 0) {
            refusing_ += std::exchange(intake_, {}) * static_cast<duration::rep>(refused_) / all;
            begun_ = 0;
            refused_ = 0;
        }
        return std::exchange(refusing_, {});
    }

private:
    duration intake_{};
    duration refusing_{};
    std::uint64_t begun_{};
    std::uint64_t refused_{};
};

} // namespace dandelionbay
