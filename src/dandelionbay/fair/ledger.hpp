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

/*! @brief Key of a service counter: a team in a pool. */
struct team_key {
    pool_id pool{};
    team_id team{};

    // clang-tidy mistakes the zero that the compiler generates in a defaulted comparison for a null pointer.
    friend auto operator<=>(const team_key&, const team_key&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const team_key&, const team_key&) = default;
};

/**
 * @brief Replicated service counters of all teams, as one router knows them.
 *
 * Costs are divided by the team's weight before they are charged, so a change of the weight affects later work only.
 * Rows of earlier incarnations of a router are folded into one row with incarnation 0, whose version is the highest
 * incarnation that it covers. Folded rows are merged by maximum, and a row that is covered by a folded row isn't
 * counted in addition to it.
 */
class ledger {
    using row_key = std::pair<host_id, incarnation_type>;

    enum class change_cause : std::uint8_t { peer_row, other };

    struct row_state {
        ledger_row row{};
        time_point updated_at{};
    };

    struct entry {
        team_key key{};
        std::map<row_key, row_state> rows{};
        double lift{};
        double provisional_lift{}; // lift applied before all rows of the peers were known; not sent to other routers
        double floor{};
        double service{};         // sum of charged
        double charged_counter{}; // max(floor, lift + provisional_lift + sum of charged)
        double reserved{};        // sum over rows whose load is current
        std::uint64_t queued{};
        std::uint64_t queued_remote{};
        bool is_changed{};
    };

    using ranking = std::set<std::pair<double, const entry*>>;

    struct pool_index {
        ranking backlogged{};
        ranking backlogged_remote{};
        double service{};     // sum of charged over all rows
        double max_charged{}; // highest charged counter seen; teams restart from it after an idle period of the pool
    };

    // A row, or the lift if the row is null. The pointers are dereferenced only while the item is in
    // peer_feed::pending.
    using item = std::pair<const entry*, const row_state*>;

    struct peer_feed {
        std::deque<item> order{};
        absl::flat_hash_set<item> pending{};
        std::optional<std::pair<team_key, row_key>> repair_position{};
        std::size_t initial_items{}; // items at the front of order that belong to the initial exchange
    };

    [[nodiscard]] entry& find_or_create(const team_key& key);
    [[nodiscard]] row_state& own_row(entry& it);
    [[nodiscard]] bool has_current_load(const row_state& it, time_point now) const;
    void refresh(entry& it, time_point now, change_cause cause = change_cause::other);
    static void consume_provisional(entry& it, double gained) noexcept;
    void enqueue(const item& changed, const host_id& except);
    void update_own_row(entry& it, row_state& own, time_point now);
    void fold(entry& it, const host_id& router, incarnation_type up_to);
    bool merge_row(entry& it, const ledger_row& row, const host_id& from, time_point now);
    bool merge_fold(entry& it, const ledger_row& row, const host_id& from);
    void append_repair_rows(peer_feed& feed, ledger_rows& out, std::size_t count) const;

public:
    using size_type = std::size_t;

    /*! @brief Time after the last update of another router's row from which its reserved and queued count as zero. */
    static constexpr duration remote_load_timeout = std::chrono::seconds{10};

    /*! @brief Interval at which a router refreshes its own rows that have reserved or queued work. */
    static constexpr duration refresh_interval = std::chrono::seconds{3};

    /**
     * @brief Creates an empty ledger.
     * @param self Router that owns this ledger and writes its own rows.
     * @param incarnation Incarnation of that router; not zero.
     */
    ledger(host_id self, incarnation_type incarnation);

    /*! @brief Charges work done. @param key Team. @param cost Cost units per weight, finite and not negative. */
    void charge(const team_key& key, double cost, time_point now);

    /*! @brief Changes the reservation for running work. @param key Team. @param delta Cost units per weight, finite. */
    void reserve(const team_key& key, double delta, time_point now);

    /**
     * @brief Sets the number of requests of a team that wait at this router.
     *
     * The counter of a team that had no requests waiting at any router is lifted to the lowest counter of a backlogged
     * team in the pool, or to the highest charged counter if no team is backlogged.
     */
    void set_queued(const team_key& key, std::uint32_t queued, time_point now);

    /**
     * @brief Merges rows and lifts of another router.
     * @param from Router that sent them; they are not sent back to it.
     * @param in Rows and lifts, in any order and with any repetition.
     * @param now Current time.
     * @return Number of rows and lifts that were rejected: values that are negative or not finite, or version 0.
     */
    size_type merge(const host_id& from, const ledger_rows& in, time_point now);

    /**
     * @brief Raises a team's counter to a lower bound reported by an agent.
     * @param in The bound.
     * @param now Current time.
     */
    void merge_floor(const team_floor& in, time_point now);

    /*! @brief Refreshes own rows and expires the load of silent routers; to be called about once per second. */
    void tick(time_point now);

    /*! @brief Starts to queue changes for a peer, beginning with all rows and lifts. @param peer The peer. */
    void add_peer(const host_id& peer);

    /*! @brief Stops queueing changes for a peer. @param peer The peer. */
    void remove_peer(const host_id& peer);

    /**
     * @brief Takes the changes that have not been sent to a peer, oldest first.
     *
     * A row that changes while it is queued keeps its place, so frequent changes don't delay it. Rows are also appended
     * cyclically whether they changed or not, which repairs the loss of messages.
     * @param peer The peer.
     * @param limit Largest number of changed rows and lifts.
     * @param repair Number of rows to append for repair.
     * @return Rows and lifts.
     */
    [[nodiscard]] ledger_rows take_changes(const host_id& peer, size_type limit, size_type repair);

    /*! @brief Tells whether all rows that were known when a peer was added have been taken for it. */
    [[nodiscard]] bool has_sent_initial_rows(const host_id& peer) const;

    /**
     * @brief Sets whether the ledger holds the rows of all its peers.
     *
     * Until then a lift is provisional: it stays at this router and is reduced by the service that peers report. If a
     * restarted router lifted a team before it knows the team's service, that service would be counted twice once the
     * rows arrive, and the team would not be served until all others have caught up.
     * @param synced True if every reachable peer has sent all its rows.
     * @param now Current time.
     */
    void set_synced(bool synced, time_point now);

    /*! @brief Tells whether changes are queued for a peer. */
    [[nodiscard]] bool has_changes(const host_id& peer) const;

    /*! @brief Returns a team's counter including reservations. @return Cost units per weight. */
    [[nodiscard]] double counter(const team_key& key) const;

    /**
     * @brief Returns a team's counter without reservations.
     * @return Cost units per weight; never decreases once the ledger is synced.
     */
    [[nodiscard]] double charged(const team_key& key) const;

    /*! @brief Returns the service given to all teams of a pool. @return Cost units per weight. */
    [[nodiscard]] double service(const pool_id& pool) const;

    /*! @brief Returns the number of a team's requests that wait at all routers. */
    [[nodiscard]] std::uint64_t queued(const team_key& key) const;

    /*! @brief Returns the lowest counter among the teams backlogged at other routers, and its team. */
    [[nodiscard]] std::optional<std::pair<double, team_id>> lowest_remote(const pool_id& pool) const;

    /*! @brief Returns the teams whose counter or queue may have changed since the last call. */
    [[nodiscard]] std::vector<team_key> take_changed_teams();

    /*! @brief Returns the number of rows. */
    [[nodiscard]] size_type row_count() const noexcept;

private:
    host_id self_;
    incarnation_type incarnation_;
    std::map<team_key, entry> entries_;
    std::map<pool_id, pool_index> pools_;
    std::map<host_id, peer_feed> peers_;
    std::vector<entry*> changed_;
    bool synced_{};
    std::set<entry*> remote_load_; // entries with reserved or queued work at another router
    std::set<entry*> own_load_;    // entries with reserved or queued work here
};

} // namespace dandelionbay
