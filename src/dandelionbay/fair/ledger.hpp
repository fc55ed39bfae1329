#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/fair/fwd.hpp"
#include "dandelionbay/fair/ledger_row.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Names a team's counter. */
struct team_key {
    pool_id pool{};
    team_id team{};

    // clang-tidy takes the zero that the compiler generates in a defaulted comparison for a null pointer.
    friend auto operator<=>(const team_key&, const team_key&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const team_key&, const team_key&) = default;
};

/**
 * @brief Service counters of all teams as one router knows them.
 *
 * Costs are divided by the team's weight before they are entered, so a change of weight affects later work only. Rows
 * of earlier incarnations of a router are folded into one row with incarnation 0, whose version is the highest
 * incarnation it covers; a fold is merged by maximum and never counted beside a row that it covers.
 */
class ledger {
    using row_key = std::pair<host_id, incarnation_type>;

    enum class change : std::uint8_t { by_peer, other };

    struct row_state {
        ledger_row row{};
        time_point heard{};
    };

    struct entry {
        team_key key{};
        std::map<row_key, row_state> rows{};
        double lift{};
        double provisional{}; // lift given before all rows of the peers were known; not sent to other routers
        double floor{};
        double service{};  // sum of charged
        double base{};     // max(floor, lift + provisional + sum of charged)
        double reserved{}; // sum over routers that are not gone
        std::uint64_t queued{};
        std::uint64_t queued_elsewhere{};
        bool touched{};
    };

    using ranking = std::set<std::pair<double, const entry*>>;

    struct pool_index {
        ranking backlogged{};
        ranking backlogged_elsewhere{};
        double service{}; // sum of charged over all rows
        double highest{}; // highest charged counter seen; a busy period that ends leaves all teams equal there
    };

    // A row, or a lift if row is null. Pointers are only followed while they are in the peer's set.
    using item = std::pair<const entry*, const row_state*>;

    struct peer_feed {
        std::deque<item> order{};
        absl::flat_hash_set<item> pending{};
        std::optional<std::pair<team_key, row_key>> sweep{};
        std::size_t initial{}; // items at the front that belong to the first full exchange
    };

    [[nodiscard]] entry& at(const team_key& key);
    [[nodiscard]] row_state& own_row(entry& it);
    [[nodiscard]] bool counts(const row_state& it, time_point now) const;
    void refresh(entry& it, time_point now, change cause = change::other);
    static void consume_provisional(entry& it, double gained) noexcept;
    void mark(const item& changed, const host_id& except);
    void own_changed(entry& it, row_state& own, time_point now);
    void fold(entry& it, const host_id& router, incarnation_type up_to);
    bool merge_row(entry& it, const ledger_row& row, const host_id& from, time_point now);
    bool merge_fold(entry& it, const ledger_row& row, const host_id& from);
    void sweep(peer_feed& feed, ledger_rows& out, std::size_t count) const;

public:
    using size_type = std::size_t;

    /*! @brief Age after which reserved and queued of a row that is not refreshed count as zero. */
    static constexpr duration remote_load_timeout = std::chrono::seconds{10};

    /*! @brief Interval at which the writer refreshes rows with reserved or queued work. */
    static constexpr duration refresh_interval = std::chrono::seconds{3};

    /**
     * @brief Creates an empty ledger.
     * @param self Router whose rows this ledger writes.
     * @param incarnation Life of that router; not zero.
     */
    ledger(host_id self, incarnation_type incarnation);

    /*! @brief Enters work done. @param key Team. @param cost Cost units per weight, not negative. */
    void charge(const team_key& key, double cost, time_point now);

    /*! @brief Changes the estimate of running work. @param key Team. @param delta Cost units per weight. */
    void reserve(const team_key& key, double delta, time_point now);

    /**
     * @brief Sets the number of requests waiting here.
     *
     * A team that no router had backlogged is lifted to the lowest backlogged counter of the pool, or to the highest
     * charged one if no team is backlogged.
     */
    void set_queued(const team_key& key, std::uint32_t queued, time_point now);

    /**
     * @brief Merges rows and lifts of another router.
     * @param from Router that sent them; they are not sent back to it.
     * @param in Rows and lifts, in any order and any number of times.
     * @param now Current time.
     * @return Number of entries that were refused because they are not finite, negative or falling.
     */
    size_type merge(const host_id& from, const ledger_rows& in, time_point now);

    /*! @brief Merges a floor heard from an agent. @param in The floor. @param now Current time. */
    void merge_floor(const team_floor& in, time_point now);

    /*! @brief Refreshes own rows and lets rows of gone routers expire; to be called about once a second. */
    void tick(time_point now);

    /*! @brief Starts to record changes for a peer, beginning with everything. @param peer The peer. */
    void add_peer(const host_id& peer);

    /*! @brief Ends recording for a peer. @param peer The peer. */
    void remove_peer(const host_id& peer);

    /**
     * @brief Takes the changes a peer has not been sent, those waiting longest first.
     *
     * A row that changes while it waits keeps its place, so frequent changes do not delay it. A few unchanged rows are
     * appended in turn, which repairs losses.
     * @param peer The peer.
     * @param limit Largest number of rows and lifts.
     * @param repair Number of unchanged rows to append.
     * @return Rows and lifts.
     */
    [[nodiscard]] ledger_rows take_changes(const host_id& peer, size_type limit, size_type repair);

    /*! @brief Tells whether a peer has been sent all rows that were known when it was added. */
    [[nodiscard]] bool has_sent_initial_rows(const host_id& peer) const;

    /**
     * @brief Tells the ledger whether it holds the rows of all its peers.
     *
     * Until then a lift is provisional: it is kept here and shrinks by what arrives from other routers, because a
     * restarted router that lifted a team without knowing its service would count that service twice as soon as the
     * rows arrive, and the team would get nothing until all others have caught up.
     * @param synced True when every reachable peer has sent all its rows.
     * @param now Current time.
     */
    void set_synced(bool synced, time_point now);

    /*! @brief Tells whether a peer has changes to be sent. */
    [[nodiscard]] bool has_changes(const host_id& peer) const;

    /*! @brief Virtual counter with reservations. @return Cost units per weight. */
    [[nodiscard]] double counter(const team_key& key) const;

    /*! @brief Virtual counter without reservations. @return Cost units per weight; never falls. */
    [[nodiscard]] double charged(const team_key& key) const;

    /*! @brief Work done for all teams of a pool. @return Cost units per weight. */
    [[nodiscard]] double service(const pool_id& pool) const;

    /*! @brief Requests waiting at all routers. */
    [[nodiscard]] std::uint64_t queued(const team_key& key) const;

    /*! @brief Lowest counter of a team that another router has backlogged. */
    [[nodiscard]] std::optional<std::pair<double, team_id>> lowest_remote(const pool_id& pool) const;

    /*! @brief Teams whose counter changed since the last call. */
    [[nodiscard]] std::vector<team_key> take_changed_teams();

    /*! @brief Number of rows held. */
    [[nodiscard]] size_type rows() const noexcept;

private:
    host_id self_;
    incarnation_type incarnation_;
    std::map<team_key, entry> entries_;
    std::map<pool_id, pool_index> pools_;
    std::map<host_id, peer_feed> peers_;
    std::vector<entry*> touched_;
    bool synced_{};
    std::set<entry*> expiring_; // entries with reserved or queued work at another router
    std::set<entry*> own_load_; // entries with reserved or queued work here
};

} // namespace dandelionbay
