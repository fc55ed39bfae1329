#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/socket_address.hpp"

namespace dandelionbay {

/*! @brief An endpoint as it registered itself. */
struct endpoint_entry {
    endpoint_id id{}; //!< Name of one life of the endpoint; mostly a new one after a restart.
    service_id service{};
    zone_id zone{};
    socket_address address{};
    std::uint32_t slots{};       //!< Calls that it runs at once.
    bool leaving{};              //!< It takes no new work.
    duration cold_for{};         //!< How much longer it is cold, as of the entry's writing.
    std::uint64_t started{};     //!< Start of its process in Unix milliseconds; 0 if unknown.
    std::uint64_t row_version{}; //!< Version of the entry; grows with every write of any entry.

    friend bool operator==(const endpoint_entry&, const endpoint_entry&) = default;
};

/*! @brief One process of an endpoint; another one may follow under the same name. */
struct endpoint_process {
    endpoint_id id{};
    std::uint64_t started{}; //!< As in its entry.

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const endpoint_process&, const endpoint_process&) = default;
    friend bool operator==(const endpoint_process&, const endpoint_process&) = default;
};

/*! @brief All endpoints as of one moment. */
struct endpoint_list {
    std::uint64_t as_of{}; //!< Version of the registry that was read.
    std::vector<endpoint_entry> entries{};

    friend bool operator==(const endpoint_list&, const endpoint_list&) = default;
};

} // namespace dandelionbay
