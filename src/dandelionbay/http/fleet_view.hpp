#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/http/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief What a router knows of a host. */
struct node_state {
    host_id host{};
    host_role role{host_role::router};
    zone_id zone{};
    std::string state{}; //!< "live", "suspect", "leaving" or "gone".
    std::uint64_t config_revision{};

    friend bool operator==(const node_state&, const node_state&) = default;
};

/*! @brief What the administration API needs from the router it runs in; safe for use by several threads. */
class fleet_view {
public:
    fleet_view() = default;
    fleet_view(const fleet_view&) = delete;
    fleet_view(fleet_view&&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;
    fleet_view& operator=(fleet_view&&) = delete;
    virtual ~fleet_view() = default;

    /*! @brief All known hosts, this router included. @return Their states, ordered by host. */
    [[nodiscard]] virtual std::vector<node_state> nodes() const = 0;

    /*! @brief Tells whether this router hears more than half of the known hosts, itself included. */
    [[nodiscard]] virtual bool hears_majority() const = 0;

    /*! @brief Puts a configuration that was just stored in force here and announces it to the links. */
    virtual void adopt(std::uint64_t revision, const std::string& document) = 0;

    /**
     * @brief Waits until more than half of the known hosts have a revision or a higher one, this router included.
     * @param revision The revision.
     * @param limit Longest wait.
     * @return False if the time was not enough.
     */
    [[nodiscard]] virtual bool wait_for_majority(std::uint64_t revision, std::chrono::milliseconds limit) const = 0;
};

} // namespace dandelionbay
