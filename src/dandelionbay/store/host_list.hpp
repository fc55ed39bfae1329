#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/base/socket_address.hpp"
#include "dandelionbay/store/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Host as the platform lists it; may be out of date. */
struct host_entry {
    host_id host{};
    host_role role{host_role::router};
    region_id region{};
    zone_id zone{};
    socket_address peer{}; //!< Where it takes links from other hosts.
    bool leaving{};

    friend bool operator==(const host_entry&, const host_entry&) = default;
};

/*! @brief The platform's list of live and leaving hosts. */
class host_list {
public:
    host_list() = default;
    host_list(const host_list&) = delete;
    host_list(host_list&&) = delete;
    host_list& operator=(const host_list&) = delete;
    host_list& operator=(host_list&&) = delete;
    virtual ~host_list() = default;

    /*! @brief Reads the list. @return The hosts, or Unavailable or DeadlineExceeded. */
    [[nodiscard]] virtual absl::StatusOr<std::vector<host_entry>> read() = 0;
};

} // namespace dandelionbay
