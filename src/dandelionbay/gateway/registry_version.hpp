#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace dandelionbay {

/**
 * @brief Version of the registry or of one of its rows.
 *
 * A registry that is restored from a backup has an older state and counts on from there, so that numbers are given out
 * again. Its epoch then rises, and any version of a later epoch is later than all of an earlier one.
 */
struct registry_version {
    std::uint64_t epoch{};  //!< Number of the backup that the registry was restored from; 0 if it doesn't tell.
    std::uint64_t number{}; //!< Rises with each write within an epoch.

    constexpr registry_version() = default;
    /*! @brief Implicit, because the versions of a registry without epochs are plain numbers. */
    constexpr registry_version(std::uint64_t in_first_epoch) noexcept : number{in_first_epoch} {}
    constexpr registry_version(std::uint64_t in_epoch, std::uint64_t of_write) noexcept
        : epoch{in_epoch}, number{of_write} {}

    /*! @brief Returns the version of the next write in the same epoch. */
    [[nodiscard]] constexpr registry_version next() const noexcept { return {epoch, number + 1}; }

    /*! @brief Returns a version that is later than any of a registry. */
    [[nodiscard]] static constexpr registry_version max() noexcept {
        return {std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::uint64_t>::max()};
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend constexpr auto operator<=>(const registry_version&, const registry_version&) = default;
    friend constexpr bool operator==(const registry_version&, const registry_version&) = default;
};

} // namespace dandelionbay
