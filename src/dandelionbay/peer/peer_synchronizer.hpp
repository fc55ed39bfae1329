#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/gateway/registry.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"
#include "dandelionbay/peer/peer_message.hpp"

namespace dandelionbay {

/*! @brief What a message changed. */
struct peer_change {
    bool config_adopted{};
    bool operators_refreshed{};
    bool list_refreshed{};
    bool peer_found{};
    std::vector<endpoint_process> endpoints_leaving{}; //!< Those that were not known to leave.
    std::vector<std::uint64_t> newly_refused_calls{};  //!< Fingerprints of those that are refused from now on.

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

/*! @brief The process that a board speaks for. */
struct router_identity {
    host_id host{};
    std::uint64_t incarnation{};
    socket_address address{}; //!< Where it listens for its peers.
    region_id region{};

    friend bool operator==(const router_identity&, const router_identity&) = default;
};

/*! @brief Ages beyond which a router asks a peer for newer facts. */
struct refresh_limits {
    duration max_operators_age{std::chrono::milliseconds{1'500}}; //!< What operators want.
    duration max_list_age{std::chrono::milliseconds{1'000}};      //!< The endpoints.

    friend bool operator==(const refresh_limits&, const refresh_limits&) = default;
};

/*! @brief A time limit on peers: a fixed time, or several intervals of messages where these are longer. */
struct scaled_timeout {
    duration minimum{};
    int intervals{};

    /*! @brief The limit. @param interval Of messages to a peer. */
    [[nodiscard]] constexpr duration for_interval(duration interval) const noexcept {
        return std::max(minimum, intervals * interval);
    }

    friend bool operator==(const scaled_timeout&, const scaled_timeout&) = default;
};

/**
 * @brief Decides what a router tells its peers and what it believes of what they tell.
 *
 * Each message has what is small. The endpoints and the text of a configuration are large: a router that lacks them
 * asks one peer at a time, so what they take grows with the routers that lack them and not with the pairs of routers.
 *
 * A peer's evidence counts from a moment that is not after its reading: the message was sent after the receiver's own
 * stamp, which it echoes, had arrived there. A message that was delayed therefore never makes evidence look newer.
 */
class peer_synchronizer {
    struct peer {
        std::uint64_t incarnation{};
        socket_address address{};
        region_id region{};
        time_point heard{};
        bool leaving{};
        std::int64_t stamp_us{}; //!< Newest stamp of the peer.
        time_point stamp_at{};   //!< When it arrived.
        time_point confirmed{};  //!< Sending of the newest message that the peer says it received.
        std::uint64_t config_version{};
        std::int64_t operators_age_us{-1};
        std::int64_t list_age_us{-1};
        refresh_request request{};         //!< Not answered yet.
        bool greeted{};                    //!< It was told of all peers.
        std::vector<endpoint_id> loaded{}; //!< Endpoints at which it has calls, in order.
        std::vector<part_use> untold{};    //!< Uses of parts that it was not told yet.
    };

    [[nodiscard]] static std::int64_t age_us(const std::optional<duration>& age) noexcept;
    void take_evidence(const peer_message& in, peer_change& out, time_point now);
    void take_loads(const peer_message& in, peer& from, time_point now);
    void take_losses(const peer_message& in, peer_change& out, time_point now);
    void follow_routers(time_point now);
    void note_facts(const peer_message& in, peer& from, bool found, time_point now);
    [[nodiscard]] refresh_request missing(time_point now) const;
    [[nodiscard]] int can_tell(const peer& it, const refresh_request& wanted) const;
    void choose_peer_to_ask(time_point now);
    [[nodiscard]] std::vector<socket_address> live_addresses(time_point now) const;
    void choose_peers_to_tell(time_point now);
    void answer(const peer& to, peer_message& out) const;

public:
    /*! @brief Reads the text of a configuration. */
    using config_parser = std::function<absl::StatusOr<route_config>(const std::string&)>;

    /*! @brief Shortest interval of messages to a peer; a prompt takes twice as long to be read. */
    static constexpr duration min_interval = std::chrono::milliseconds{40};
    /*! @brief Time that each peer adds to the interval, so that a router's messages do not grow with the fleet. */
    static constexpr duration interval_per_peer = std::chrono::milliseconds{12};
    /*! @brief A peer that was not heard for this time may be gone; it still counts as sending to endpoints. */
    static constexpr scaled_timeout silence_timeout{std::chrono::seconds{1}, 3};
    /*! @brief Messages that are not confirmed within this time count as lost. The answer to a message comes an interval
     *  later, and is the newest for another one. */
    static constexpr scaled_timeout confirmation_timeout{std::chrono::milliseconds{1'200}, 4};
    /*! @brief Without the registry, all routers that are there were heard this long after the start. */
    static constexpr scaled_timeout discovery_timeout{std::chrono::seconds{2}, 3};
    /*! @brief A peer that was not heard for this time is forgotten. */
    static constexpr scaled_timeout expiry_timeout{std::chrono::seconds{20}, 10};
    /*! @brief A connection whose messages are not confirmed is made anew after this time. */
    static constexpr scaled_timeout stall_timeout{std::chrono::milliseconds{1'500}, 4};
    /*! @brief Another peer is asked after this time: several round trips between regions. */
    static constexpr duration request_interval = std::chrono::milliseconds{400};
    /*! @brief A newer configuration that a peer has is asked for after this time; the registry mostly tells it sooner.
     */
    static constexpr duration config_request_delay = std::chrono::milliseconds{200};
    /*! @brief Addresses of peers in one message; the next ones follow in the next round. A new process gets all. */
    static constexpr std::size_t max_addresses_per_message = 8;
    /*! @brief Uses of parts kept for a peer that is not heard. */
    static constexpr std::size_t max_pending_part_uses = 500;

    /*! @brief Creates it. @param self This process. @param limits Ages of facts. @param reader Of configurations. */
    peer_synchronizer(router_identity self, const refresh_limits& limits, registry_view& view, dispatcher& dispatch,
                      lost_run_registry& losses, config_parser reader);

    /*! @brief Takes over which routers announced themselves to the registry. */
    void set_announced_routers(const std::vector<router_entry>& routers, time_point now);

    /*! @brief Learns of another router's address. */
    void add_address(const socket_address& address, time_point now);

    /*! @brief Keeps the text of the configuration in force, to hand it on. */
    void set_config_text(std::string text) { config_text_ = std::move(text); }

    /*! @brief This process is about to end. */
    void set_leaving() noexcept { leaving_ = true; }

    /*! @brief Composes the message for a peer. @param to Its address. @param now Time. */
    [[nodiscard]] peer_message make_message(const socket_address& to, time_point now);

    /*! @brief Takes a message over. @param in The message. @param now Time of its arrival. */
    peer_change receive(const peer_message& in, time_point now);

    /*! @brief Peers that get a message out of turn: those that asked for something, and one to ask. */
    [[nodiscard]] std::vector<socket_address> pending_recipients(time_point now);

    /*! @brief Tells whether a peer waits for an answer. */
    [[nodiscard]] bool has_pending_requests() const noexcept { return !asking_.empty(); }

    /*! @brief Collects what the next messages tell and ask, and forgets peers. To be called before each round. */
    void begin_round(time_point now);

    /*! @brief Addresses of the other routers. */
    [[nodiscard]] std::vector<socket_address> addresses() const;

    /*! @brief Interval of messages to each peer. */
    [[nodiscard]] duration interval() const noexcept;

    /*! @brief Tells whether a connection may have gone silent: its peer has confirmed no message lately.
     *  @param to The peer. @param dialled When the connection was made. */
    [[nodiscard]] bool is_stalled(const socket_address& to, time_point dialled, time_point now) const;

    /*! @brief Number of peers heard lately. */
    [[nodiscard]] std::size_t live_peer_count(time_point now) const;

private:
    router_identity self_;
    refresh_limits limits_;
    registry_view* view_;
    dispatcher* dispatch_;
    lost_run_registry* losses_;
    config_parser reader_;
    std::string config_text_{};
    bool leaving_{};
    std::map<host_id, peer> peers_{};
    std::map<socket_address, time_point> introduced_{}; //!< Addresses, and when they were last heard of.
    std::optional<std::set<host_id>> announced_{};      //!< In the registry, as of its last reading.
    std::optional<time_point> first_round_{};
    std::set<host_id> asking_{};               //!< Peers that were not answered yet.
    std::vector<socket_address> told_peers_{}; //!< In the messages of this round.
    std::size_t next_told_{};                  //!< Position of the first of the next round.
    std::uint64_t newest_config_{};            //!< Of those that peers have.
    std::optional<time_point> config_heard_{}; //!< When that was first heard.
    std::optional<host_id> to_ask_{};          //!< The next message to this peer asks it.
    std::optional<time_point> asked_at_{};     //!< When a peer was last chosen.
    std::uint64_t asks_{};                     //!< Peers chosen so far.
};

} // namespace dandelionbay
