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
#include "dandelionbay/limit/lost_runs.hpp"
#include "dandelionbay/peer/peer_state.hpp"

namespace dandelionbay {

/*! @brief What a message changed. */
struct peer_change {
    bool config_adopted{};
    bool evidence_renewed{};
    bool list_renewed{};
    bool peer_found{};
    std::vector<endpoint_process> endpoints_leaving{}; //!< Those that were not known to leave.
    std::vector<std::uint64_t> calls_refused{};        //!< Fingerprints of those that are refused from now on.

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

/*! @brief A time limit on peers: a fixed time, or several intervals of messages where these are longer. */
struct round_limit {
    duration least{};
    int rounds{};

    /*! @brief The limit. @param interval Of messages to a peer. */
    [[nodiscard]] constexpr duration at(duration interval) const noexcept { return std::max(least, rounds * interval); }

    friend bool operator==(const round_limit&, const round_limit&) = default;
};

/**
 * @brief Decides what a router tells its peers and what it believes of what they tell.
 *
 * A peer's evidence counts from a moment that is not after its reading: the message was sent after the receiver's own
 * stamp, which it echoes, had arrived there. A message that was delayed therefore never makes evidence look newer.
 */
class peer_board {
    struct peer {
        std::uint64_t incarnation{};
        socket_address address{};
        time_point heard{};
        bool leaving{};
        std::int64_t stamp_us{}; //!< Newest stamp of the peer.
        time_point stamp_at{};   //!< When it arrived.
        time_point confirmed{};  //!< Sending of the newest message that the peer says it received.
        std::uint64_t config_version{};
        std::int64_t list_age_us{-1};
        std::vector<part_use> untold{}; //!< Uses of parts that it was not told yet.
    };

    [[nodiscard]] static std::int64_t age_us(const std::optional<duration>& age) noexcept;
    void take_evidence(const peer_state& in, peer_change& out, time_point now);
    void take_loads(const peer_state& in, time_point now);
    void take_losses(const peer_state& in, peer_change& out, time_point now);
    void follow_routers(time_point now);

public:
    /*! @brief Reads the text of a configuration. */
    using config_reader = std::function<absl::StatusOr<route_config>(const std::string&)>;

    /*! @brief Shortest interval of messages to a peer; a prompt takes twice as long to be read. */
    static constexpr duration shortest_interval = std::chrono::milliseconds{40};
    /*! @brief Time that each peer adds to the interval, so that a router's messages do not grow with the fleet. */
    static constexpr duration interval_per_peer = std::chrono::milliseconds{12};
    /*! @brief A peer that was not heard for this time may be gone; it still counts as sending to endpoints. */
    static constexpr round_limit silent_after{std::chrono::seconds{1}, 3};
    /*! @brief Messages that are not confirmed within this time count as lost. The answer to a message comes an interval
     *  later, and is the newest for another one. */
    static constexpr round_limit confirmed_within{std::chrono::milliseconds{1'200}, 4};
    /*! @brief Without the registry, all routers that are there were heard this long after the start. */
    static constexpr round_limit all_heard_after{std::chrono::seconds{2}, 3};
    /*! @brief A peer that was not heard for this time is forgotten. */
    static constexpr round_limit forgotten_after{std::chrono::seconds{20}, 10};
    /*! @brief A connection whose messages are not confirmed is made anew after this time. */
    static constexpr round_limit stuck_after{std::chrono::milliseconds{1'500}, 4};
    /*! @brief A peer whose list of endpoints is older than this gets a newer one. */
    static constexpr duration list_stale = std::chrono::milliseconds{1'200};
    /*! @brief Uses of parts kept for a peer that is not heard. */
    static constexpr std::size_t most_untold = 500;

    /*! @brief Creates it. @param self This router. @param incarnation Of this process. @param address For peers. */
    peer_board(host_id self, std::uint64_t incarnation, socket_address address, registry_view& view,
               dispatcher& dispatch, lost_runs& losses, config_reader reader);

    /*! @brief Takes over which routers announced themselves to the registry. */
    void announced(const std::vector<router_entry>& routers, time_point now);

    /*! @brief Learns of another router's address. */
    void introduce(const socket_address& address, time_point now);

    /*! @brief Keeps the text of the configuration in force, to hand it on. */
    void set_config_text(std::string text) { config_text_ = std::move(text); }

    /*! @brief This process is about to end. */
    void leave() noexcept { leaving_ = true; }

    /*! @brief Composes the message for a peer. @param to Its address. @param now Time. */
    [[nodiscard]] peer_state compose(const socket_address& to, time_point now);

    /*! @brief Takes a message over. @param in The message. @param now Time of its arrival. */
    peer_change receive(const peer_state& in, time_point now);

    /*! @brief Collects what the next messages tell, and forgets peers. To be called before each round of messages. */
    void begin_round(time_point now);

    /*! @brief Addresses of the other routers. */
    [[nodiscard]] std::vector<socket_address> addresses() const;

    /*! @brief Interval of messages to each peer. */
    [[nodiscard]] duration interval() const noexcept;

    /*! @brief Tells whether a connection may have gone silent: its peer has confirmed no message lately.
     *  @param to The peer. @param dialled When the connection was made. */
    [[nodiscard]] bool stuck(const socket_address& to, time_point dialled, time_point now) const;

    /*! @brief Number of peers heard lately. */
    [[nodiscard]] std::size_t live(time_point now) const;

private:
    host_id self_;
    std::uint64_t incarnation_;
    socket_address address_;
    registry_view* view_;
    dispatcher* dispatch_;
    lost_runs* losses_;
    config_reader reader_;
    std::string config_text_{};
    bool leaving_{};
    std::map<host_id, peer> peers_{};
    std::map<socket_address, time_point> introduced_{}; //!< Addresses, and when they were last heard of.
    std::optional<std::set<host_id>> announced_{};      //!< In the registry, as of its last reading.
    std::optional<time_point> first_round_{};
};

} // namespace dandelionbay
