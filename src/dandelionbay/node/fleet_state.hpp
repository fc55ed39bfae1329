#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/config/config_adopter.hpp"
#include "dandelionbay/config/freshness.hpp"
#include "dandelionbay/member/membership.hpp"
#include "dandelionbay/node/node_options.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief What follows from an event that concerns the fleet. */
struct fleet_change {
    std::shared_ptr<const fleet_config> config{};        //!< To put in force; null if nothing changes.
    std::vector<std::pair<host_id, message>> messages{}; //!< To send.
    bool handled{true};                                  //!< False if the message is for the decision core.
};

/**
 * @brief What a node of either role knows of the fleet: hosts, configuration and whether that is the newest.
 *
 * Without input or output; used on the driver's thread.
 */
class fleet_state {
    void ask_peers(fleet_change& change, time_point now);

public:
    /*! @brief Starts without a configuration. @param options Settings. @param role Of this host. @param incarnation Of
     *  this process. @param metrics Must outlive the object. @param now Current time. */
    fleet_state(const node_options& options, host_role role, incarnation_type incarnation, counters& metrics,
                time_point now);

    /*! @brief The configuration was read from the store. @param started When the read began. */
    [[nodiscard]] fleet_change store_read(std::uint64_t revision, const std::string& document, time_point started,
                                          time_point now);

    /*! @brief The store still has the revision that this node asked it with. @param revision It. @param started When
     * the read began. */
    [[nodiscard]] fleet_change store_unchanged(std::uint64_t revision, time_point started, time_point now);

    /*! @brief The store has no configuration. */
    [[nodiscard]] fleet_change store_empty(time_point now);

    /*! @brief The store did not answer. */
    [[nodiscard]] fleet_change store_failed(time_point now);

    /*! @brief The host list was read. @param hosts It. */
    void host_list_read(const std::vector<host_entry>& hosts, time_point now);

    /*! @brief A link is ready. @param peer The other side's hello. @return Not handled if it has to be ignored. */
    [[nodiscard]] fleet_change link_up(const hello& peer, time_point now);

    /*! @brief A link is down. @param peer The other side. */
    void link_down(const host_id& peer);

    /**
     * @brief A message arrived.
     * @param from Its sender. @param body It. @param now Current time.
     * @param sent Result of heartbeat_echo::on_heartbeat() for a heartbeat; without it the heartbeat is no evidence.
     * @return With handled false if it is for the decision core.
     */
    [[nodiscard]] fleet_change receive(const host_id& from, const message& body, time_point now,
                                       std::optional<time_point> sent);

    /*! @brief Time passed. */
    [[nodiscard]] fleet_change tick(time_point now);

    /*! @brief Tells whether new work may be admitted; to be asked once for each tick. */
    [[nodiscard]] bool fresh(time_point now);

    /*! @brief Content of the next heartbeats, for heartbeat_echo::stamp(). @param leaving Whether this host leaves. */
    [[nodiscard]] heartbeat make_heartbeat(bool leaving, time_point now) const;

    /*! @brief Hosts to connect to. @return Those of the settings and of the host list, ordered by host. */
    [[nodiscard]] std::vector<host_entry> peers() const;

    /*! @brief Tells whether the host list was ever read. */
    [[nodiscard]] bool listed() const noexcept { return listed_; }

    /*! @brief The hosts and their states. */
    [[nodiscard]] const membership& members() const noexcept { return members_; }

    /*! @brief The configuration in force. @return It, or null. */
    [[nodiscard]] const std::shared_ptr<const fleet_config>& config() const noexcept { return adopter_.config(); }

    /*! @brief Revision in force, or zero. */
    [[nodiscard]] std::uint64_t revision() const noexcept { return adopter_.revision(); }

private:
    std::vector<host_entry> settings_hosts_;
    std::vector<host_entry> listed_hosts_;
    incarnation_type incarnation_;
    membership members_;
    config_adopter adopter_;
    freshness freshness_;
    bool listed_{false};
    bool fresh_{false};
};

} // namespace dandelionbay
