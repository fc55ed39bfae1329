#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/socket_address.hpp"
#include "dandelionbay/gateway/registry_version.hpp"

namespace dandelionbay {

/*! @brief Registration of an endpoint, as the endpoint wrote it. */
struct endpoint_entry {
    endpoint_id id{}; //!< Usually, but not always, a new one after a restart.
    service_id service{};
    zone_id zone{};
    socket_address address{};
    std::uint32_t slots{};          //!< Maximum number of concurrent calls.
    bool leaving{};                 //!< The endpoint is shutting down and accepts no new work.
    duration cold_for{};            //!< Remaining time that the endpoint is cold, as of the writing of the entry.
    std::uint64_t started{};        //!< Start time of the process in Unix milliseconds; 0 if unknown.
    registry_version row_version{}; //!< Version of the entry; increases with every write of any entry.
    version_id version{};           //!< Version of its software, which alone can continue its streams.

    friend bool operator==(const endpoint_entry&, const endpoint_entry&) = default;
};

/*! @brief Identifies one process of an endpoint; a later process may have the same endpoint id. */
struct endpoint_process {
    endpoint_id id{};
    std::uint64_t started{}; //!< Start time of the process in Unix milliseconds; 0 if unknown.

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const endpoint_process&, const endpoint_process&) = default;
    friend bool operator==(const endpoint_process&, const endpoint_process&) = default;
};

/*! @brief All registered endpoints at one version of the registry. */
struct endpoint_list {
    registry_version as_of{}; //!< Version of the registry that the list was read from.
    std::vector<endpoint_entry> entries{};

    friend bool operator==(const endpoint_list&, const endpoint_list&) = default;
};

} // namespace dandelionbay
