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

/*! @brief Changes that a received message made to this router's state. */
struct peer_change {
    bool config_adopted{};
    bool operators_refreshed{};
    bool list_refreshed{};
    bool peer_found{};
    std::vector<endpoint_process> endpoints_leaving{}; //!< Endpoints that were not known to be leaving.
    std::vector<std::uint64_t> newly_refused_calls{};  //!< Fingerprints of calls that are refused from now on.
    part_changes parts{};                              //!< Prompt parts that were blocked or unblocked.

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

/*! @brief The local router process. */
struct router_identity {
    host_id host{};
    std::uint64_t incarnation{};
    socket_address address{}; //!< Address on which the router listens for peers.
    region_id region{};

    friend bool operator==(const router_identity&, const router_identity&) = default;
};

/*! @brief Ages beyond which a router requests newer state from a peer. */
struct refresh_limits {
    duration max_operators_age{std::chrono::milliseconds{1'500}}; //!< Of the operator state.
    duration max_list_age{std::chrono::milliseconds{1'000}};      //!< Of the endpoint list.

    friend bool operator==(const refresh_limits&, const refresh_limits&) = default;
};

/*! @brief A timeout that grows with the message interval: the larger of a fixed time and a number of intervals. */
struct scaled_timeout {
    duration minimum{};
    int intervals{};

    /*! @brief Returns the timeout. @param interval Interval between messages to a peer. */
    [[nodiscard]] constexpr duration for_interval(duration interval) const noexcept {
        return std::max(minimum, intervals * interval);
    }

    friend bool operator==(const scaled_timeout&, const scaled_timeout&) = default;
};

/**
 * @brief Composes the messages to a router's peers and merges the messages received from them.
 *
 * Every message carries the small state. The endpoint list and the configuration text are large, so a router that
 * lacks them requests them from one peer at a time: the traffic grows with the number of routers that lack them and not
 * with the number of router pairs.
 *
 * A received state is dated no later than the peer's reading of it. A message was sent after the receiver's timestamp
 * that it echoes had arrived at the peer, so the age is counted from that timestamp; a delayed message never makes
 * state look newer than it is.
 */
class peer_synchronizer {
    struct peer {
        std::uint64_t incarnation{};
        socket_address address{};
        region_id region{};
        time_point last_heard{};
        bool is_leaving{};
        std::int64_t timestamp_us{};                   //!< Send time of the peer's newest message, by the peer's clock.
        time_point timestamp_received{};               //!< When that message arrived.
        time_point newest_confirmed{};                 //!< Send time of the newest message that the peer confirmed.
        std::optional<time_point> first_losses_sent{}; //!< Send time of the first message with losses and parts.
        time_point losses_confirmed{};                 //!< Time up to which the peer has them.
        std::uint64_t config_version{};
        std::int64_t operators_age_us{-1};
        std::int64_t list_age_us{-1};
        refresh_request request{};                   //!< What the peer requested and was not sent yet.
        bool has_all_addresses{};                    //!< Whether the peer was sent the addresses of all peers.
        std::vector<endpoint_id> loaded_endpoints{}; //!< Endpoints at which the peer has calls, sorted.
        stream_version_registry::sequence_type streams_told{}; //!< Up to which the peer has this router's streams.
        std::vector<part_use> pending_part_uses{};             //!< Uses of prompt parts not yet sent to the peer.
    };

    [[nodiscard]] static std::int64_t age_us(const std::optional<duration>& age) noexcept;
    void merge_registry_state(const peer_message& in, peer_change& out, time_point now);
    void merge_loads(const peer_message& in, peer& from, time_point now);
    void merge_losses(const peer_message& in, peer_change& out, time_point now);
    void merge_versions(const peer_message& in, time_point now);
    void merge_part_crashes(const peer_message& in, peer_change& out, time_point now);

    /*! Bounds of what to add to the sender's times to convert them to the local clock. */
    struct clock_offset {
        duration min{};
        duration max{};
    };
    [[nodiscard]] static clock_offset offset_of(const peer_message& in, time_point now);
    void update_routers(time_point now);
    void record_peer(const peer_message& in, peer& from, bool is_new, time_point now);
    [[nodiscard]] refresh_request missing_state(time_point now) const;
    [[nodiscard]] int answerable_parts(const peer& it, const refresh_request& wanted) const;
    void choose_request_target(time_point now);
    [[nodiscard]] std::vector<socket_address> live_addresses(time_point now) const;
    void choose_round_addresses(time_point now);
    void add_requested_state(const peer& to, peer_message& out) const;

public:
    /*! @brief Parses a configuration text. */
    using config_parser = std::function<absl::StatusOr<route_config>(const std::string&)>;

    /*! @brief Shortest interval between messages to a peer; the prefill of a prompt takes twice as long. */
    static constexpr duration min_interval = std::chrono::milliseconds{40};
    /*! @brief Added to the interval for each peer, so that a router's message rate does not grow with the fleet. */
    static constexpr duration interval_per_peer = std::chrono::milliseconds{12};
    /*! @brief Rounds in an interval while there are urgent changes; bounds what a storm of them costs. */
    static constexpr int early_rounds_per_interval = 3;
    /*! @brief Time of a message between regions. */
    static constexpr duration max_latency = std::chrono::milliseconds{40};
    /*! @brief A peer that sent no message for this time may be gone, but still counts as a sender to endpoints. */
    static constexpr scaled_timeout silence_timeout{std::chrono::seconds{1}, 3};
    /*! @brief Messages not confirmed within this time count as lost. A confirmation is sent up to one interval after
     * the message arrived, and stays the newest one for another interval. */
    static constexpr scaled_timeout confirmation_timeout{std::chrono::milliseconds{1'200}, 4};
    /*! @brief Without the registry, the set of routers counts as complete this long after the first round. */
    static constexpr scaled_timeout discovery_timeout{std::chrono::seconds{2}, 3};
    /*! @brief A peer that sent no message for this time is removed. */
    static constexpr scaled_timeout expiry_timeout{std::chrono::seconds{20}, 10};
    /*! @brief A connection is replaced no earlier than this after it was made, if its messages are not confirmed. */
    static constexpr scaled_timeout stall_timeout{std::chrono::milliseconds{1'500}, 4};
    /*! @brief Time between requests to peers: several round trips between regions. */
    static constexpr duration request_interval = std::chrono::milliseconds{400};
    /*! @brief Delay before a newer configuration is requested from a peer; the registry mostly delivers it sooner. */
    static constexpr duration config_request_delay = std::chrono::milliseconds{200};
    /*! @brief Peer addresses in one message; the next round sends the following ones. A new process is sent all. */
    static constexpr std::size_t max_addresses_per_message = 8;
    /*! @brief Uses of prompt parts kept for a peer between two messages to it; the oldest are dropped. */
    static constexpr std::size_t max_pending_part_uses = 500;

    /**
     * @brief Creates a synchronizer without peers.
     *
     * @param self The local router.
     * @param limits Ages beyond which newer state is requested.
     * @param view,dispatch,losses,part_crashes,streams State of the local router, which must outlive the synchronizer.
     * @param parser Parses configuration texts of peers.
     */
    peer_synchronizer(router_identity self, const refresh_limits& limits, registry_view& view, dispatcher& dispatch,
                      lost_run_registry& losses, part_crash_registry& part_crashes, stream_version_registry& streams,
                      config_parser parser);

    /*! @brief Replaces the set of routers that are announced in the registry. */
    void set_announced_routers(const std::vector<router_entry>& routers, time_point now);

    /*! @brief Adds another router's address, or renews it. */
    void add_address(const socket_address& address, time_point now);

    /*! @brief Sets the text of the configuration in force, which peers may request. */
    void set_config_text(std::string text) { config_text_ = std::move(text); }

    /*! @brief Announces in all further messages that this process is about to end. */
    void set_leaving() noexcept { is_leaving_ = true; }

    /*! @brief Composes the next message for a peer. @param to The peer's address. @param now Time of sending.
     *  Fulfils the peer's request and takes the uses of prompt parts that are pending for it. */
    [[nodiscard]] peer_message make_message(const socket_address& to, time_point now);

    /*! @brief Merges a message. @param in The message. @param now Arrival time. @return What it changed. */
    peer_change receive(const peer_message& in, time_point now);

    /*! @brief Addresses of peers to send to before the next round: those that sent a request, and one to request from.
     */
    [[nodiscard]] std::vector<socket_address> pending_recipients(time_point now);

    /*! @brief Checks whether a request of a peer is unanswered. */
    [[nodiscard]] bool has_pending_requests() const noexcept { return !requesting_peers_.empty(); }

    /*! @brief Prepares the next round of messages and removes expired peers. Must be called before each round. */
    void begin_round(time_point now);

    /*! @brief Checks whether the next round should begin early, because this router lost runs or blocked a prompt part.
     */
    [[nodiscard]] bool has_urgent_changes(time_point now) const noexcept;

    /*! @brief Returns the time within which peers are told of urgent changes. @param poll Interval of checks for them.
     */
    [[nodiscard]] duration urgent_delay(duration poll) const noexcept {
        return interval() / early_rounds_per_interval + poll + max_latency;
    }

    /*! @brief Returns the addresses of the other routers. */
    [[nodiscard]] std::vector<socket_address> addresses() const;

    /*! @brief Returns the interval between messages to each peer. */
    [[nodiscard]] duration interval() const noexcept;

    /*! @brief Checks whether a connection may have stalled: the peer has confirmed no recent message.
     *  @param to The peer's address. @param dialled_at When the connection was begun. @param now Time. */
    [[nodiscard]] bool is_stalled(const socket_address& to, time_point dialled_at, time_point now) const;

    /*! @brief Returns the number of peers that sent a message within silence_timeout and are not leaving. */
    [[nodiscard]] std::size_t live_peer_count(time_point now) const;

private:
    router_identity self_;
    refresh_limits limits_;
    registry_view* view_;
    dispatcher* dispatch_;
    lost_run_registry* losses_;
    part_crash_registry* part_crashes_;
    stream_version_registry* streams_;
    config_parser parser_;
    std::string config_text_{};
    bool is_leaving_{};
    std::map<host_id, peer> peers_{};
    std::map<socket_address, time_point> addresses_{};   //!< Addresses and when each was last renewed.
    std::optional<std::set<host_id>> announced_hosts_{}; //!< Routers in the registry, as last read.
    std::optional<time_point> first_round_{};
    time_point last_round_{};
    std::set<host_id> requesting_peers_{};            //!< Peers with unanswered requests.
    std::vector<socket_address> round_addresses_{};   //!< Addresses in the messages of this round.
    std::size_t next_address_{};                      //!< Index of the next round's first address.
    std::uint64_t newest_config_version_{};           //!< Newest version that any peer has had.
    std::optional<time_point> newest_config_heard_{}; //!< When that version was first received.
    std::optional<host_id> request_target_{};         //!< The next message to this peer carries a request.
    std::optional<time_point> last_request_{};        //!< When a request target was last chosen.
    std::uint64_t request_count_{};                   //!< Number of request targets chosen so far.
};

} // namespace dandelionbay
