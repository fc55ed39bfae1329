#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "dandelionbay/load/fwd.hpp"

namespace dandelionbay::load {

/*! @brief Lengths that are drawn with equal probability, both ends included. */
struct token_range {
    std::uint32_t min{};
    std::uint32_t max{};

    friend bool operator==(const token_range&, const token_range&) = default;
};

/*! @brief Orders of one team to a plain service. */
struct order_profile {
    std::string service{};
    std::string path{"/"};                          //!< Below the service, with its leading slash.
    double rate{};                                  //!< Orders per second.
    nlohmann::json body = nlohmann::json::object(); //!< Sent as it is, but for id_field.
    std::string id_field{};                         //!< Key of the body that gets the order's id; empty for none.
    std::uint32_t connections{4};                   //!< Orders under way at the same time.

    friend bool operator==(const order_profile&, const order_profile&) = default;
};

/*! @brief Calls of one team. */
struct team_profile {
    std::string name{}; //!< Name in the figures; need not be the fleet's.
    std::string token{};
    std::string model{};
    double rate{}; //!< Chat calls per second.
    token_range prompt_tokens{32, 32};
    token_range output_tokens{16, 48};
    double streamed{1};            //!< Share of the chat calls with "stream": true.
    std::uint32_t connections{32}; //!< Chat calls under way at the same time.
    std::optional<order_profile> orders{};

    friend bool operator==(const team_profile&, const team_profile&) = default;
};

/*! @brief Load of all teams. */
struct load_profile {
    std::vector<team_profile> teams{};

    /*! @brief Planned arrivals per second of all teams, orders included. */
    [[nodiscard]] double rate() const noexcept;

    friend bool operator==(const load_profile&, const load_profile&) = default;
};

/*! @brief Greatest sum of all connections of a profile; each has a thread. */
inline constexpr std::uint32_t max_connections = 1'024;

/**
 * @brief Parses and checks a load profile.
 * @param text JSON text.
 * @return The profile, or InvalidArgument with one line "JSON path: fault" for each fault.
 */
[[nodiscard]] absl::StatusOr<load_profile> check_profile(std::string_view text);

} // namespace dandelionbay::load
