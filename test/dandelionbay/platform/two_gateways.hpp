#pragma once

#include <memory>
#include <vector>

#include "gateway_fleet.hpp"

namespace dandelionbay::platform {

/*! @brief Two gateways before endpoints that end while they run certain calls. */
class two_gateways : public gateway_fleet {
protected:
    /*! How long gateways may take to learn what has ended their endpoints. */
    static constexpr seconds contact{4};
    /*! Sends that are allowed after that. */
    static constexpr int allowed_later = 3;

    void start_other() {
        other = std::make_unique<running_gateway>("g2", store.address(), gateway_bounds{},
                                                  std::vector<socket_address>{gateway->peer_address()});
    }

    std::unique_ptr<running_gateway> other{};
};

} // namespace dandelionbay::platform
