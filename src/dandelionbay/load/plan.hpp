#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/load/fwd.hpp"

namespace dandelionbay::load {

/*! @brief One planned call. */
struct planned_call {
    duration at{};                 //!< Since the start of the load.
    std::uint32_t prompt_tokens{}; //!< Zero for an order.
    std::uint32_t output_tokens{}; //!< Zero for an order.
    bool streamed{};

    [[nodiscard]] bool is_order() const noexcept { return output_tokens == 0; }

    friend bool operator==(const planned_call&, const planned_call&) = default;
};

/*! @brief Calls of one kind of one team, which share their connections. */
struct lane_plan {
    std::size_t team{}; //!< Index in the profile.
    std::uint32_t connections{};
    std::vector<planned_call> calls{}; //!< Ordered by time.

    friend bool operator==(const lane_plan&, const lane_plan&) = default;
};

/**
 * @brief Draws the calls of a run; each kind of call of each team is a Poisson process.
 * @param profile The profile.
 * @param length Length of the load.
 * @param seed Equal seeds give equal plans.
 * @return One lane for each team's chat calls and one for each team's orders.
 */
[[nodiscard]] std::vector<lane_plan> plan_calls(const load_profile& profile, std::chrono::seconds length,
                                                std::uint64_t seed);

/*! @brief Text of a prompt. @param id Its start. @param tokens Its length, 4 bytes each, which may cut the id. */
[[nodiscard]] std::string prompt_text(const std::string& id, std::uint32_t tokens);

} // namespace dandelionbay::load
