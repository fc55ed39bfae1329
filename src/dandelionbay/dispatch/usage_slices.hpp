#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace dandelionbay {

/*! @brief What a team used and asked for in a slice of the window. */
struct usage_slice {
    double used{};      //!< Cost of the dispatched calls.
    double requested{}; //!< Cost of the dispatched and of the refused calls, except those turned away.

    usage_slice& operator+=(const usage_slice& other) noexcept;

    friend bool operator==(const usage_slice&, const usage_slice&) = default;
};

/*! @brief Number of slices of the window. */
inline constexpr std::size_t slice_count = 8;

/*! @brief Slices that tell what a team asks for now. */
inline constexpr std::size_t recent_slice_count = 2;

/*! @brief The window of a team, newest slice first. */
using usage_slices = std::array<usage_slice, slice_count>;

/*! @brief Adds a multiple of slices to others. @param factor -1 subtracts them. */
void add_slices(usage_slices& to, const usage_slices& it, double factor = 1.0) noexcept;

/*! @brief Factors that extend what a team asked for of late to the whole window. */
struct window_scale {
    double usage{1.0};  //!< Ratio of its shares, if it had always asked as it does now, to its shares in the window.
    double demand{1.0}; //!< The same ratio of what it asked for.

    friend bool operator==(const window_scale&, const window_scale&) = default;
};

/*! @brief Returns the most that each of several teams may use if a total is divided by max-min fairness; infinity if it
 *  suffices for all. @param requests What the teams ask for, in the unit of the total. */
[[nodiscard]] double max_min_share(std::vector<double> requests, double total);

/*! @brief Returns the scales of teams that share the same engines. What they used in each slice, divided by max-min
 *  fairness among what they asked for, gives their shares. @return One for each team, in the same order. */
[[nodiscard]] std::vector<window_scale> window_scales(const std::vector<usage_slices>& teams);

} // namespace dandelionbay
