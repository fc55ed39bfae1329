#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/config/fleet_config.hpp"
#include "dandelionbay/config/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/**
 * @brief Decides which configuration a node puts in force.
 *
 * Only a higher revision replaces the one in force. A node that starts takes what the store has; if the store is down,
 * it waits a moment for its peers and takes the highest revision that any of them announced, because the first peer
 * that answers may be behind and the node may have had more before it restarted.
 */
class config_adopter {
    struct query {
        host_id peer{};
        std::uint64_t revision{}; //!< Revision that was wanted.
        time_point sent{};
    };

    struct document {
        std::uint64_t revision{};
        std::string text{};
        std::shared_ptr<const fleet_config> config{};
    };

    using result = std::shared_ptr<const fleet_config>;

    [[nodiscard]] result consider(std::uint64_t revision, const std::string& text);
    [[nodiscard]] result adopt(document it);

public:
    /*! @brief After the store failed at the start, peers may announce their revisions for this long. */
    static constexpr duration peer_wait = std::chrono::seconds{1};

    /*! @brief A node that starts puts the best it got in force after this, even if a peer announced more. */
    static constexpr duration start_limit = std::chrono::seconds{5};

    /*! @brief A higher revision that can't be fetched for this long makes the one in force untrustworthy. */
    static constexpr duration behind_limit = std::chrono::seconds{1};

    /*! @brief A peer that did not answer a query for this long is not asked again at once; another is. */
    static constexpr duration query_limit = std::chrono::milliseconds{500};

    /*! @brief Starts without a configuration. @param metrics Counters; must outlive the object. */
    explicit config_adopter(counters& metrics);

    /**
     * @brief The configuration row was read from the store.
     * @param revision Its revision.
     * @param text Its document.
     * @param now Current time.
     * @return The configuration to put in force, or null if nothing changes.
     */
    [[nodiscard]] result from_store(std::uint64_t revision, const std::string& text, time_point now);

    /*! @brief The store has no configuration yet. @param now Current time. */
    void store_empty(time_point now);

    /*! @brief The store did not answer. @param now Current time. */
    void store_failed(time_point now);

    /*! @brief A peer sent its configuration. @param from The peer. @param it Its configuration. @return As above. */
    [[nodiscard]] result from_peer(const host_id& from, const config_document& it, time_point now);

    /*! @brief A hello or heartbeat carried a revision. @param peer Its sender. @param revision The revision. */
    void announced(const host_id& peer, std::uint64_t revision);

    /*! @brief A peer is not reachable any more. @param peer The peer. */
    void peer_lost(const host_id& peer);

    /**
     * @brief Tells which peer to ask now; to be called after each of the events above and at each tick.
     * @param now Current time.
     * @return The peer and the message for it, or nothing.
     */
    [[nodiscard]] std::optional<std::pair<host_id, config_query>> next_query(time_point now);

    /*! @brief Time passed. @param now Current time. @return As from_store(). */
    [[nodiscard]] result tick(time_point now);

    /**
     * @brief Tells whether a higher revision has been known for behind_limit and is still not in force; no new work may
     * be admitted then, whatever the evidence. To be asked after tick().
     * @param now Current time.
     */
    [[nodiscard]] bool behind(time_point now) const;

    /*! @brief Tells whether a reachable peer announced a higher revision than the one in force. */
    [[nodiscard]] bool knows_higher() const noexcept { return highest_announced_ > current_.revision; }

    /*! @brief Answers a peer's query. @param it The query. @return The document, if it is higher than the peer's. */
    [[nodiscard]] std::optional<config_document> answer(const config_query& it) const;

    /*! @brief Revision in force, or zero. */
    [[nodiscard]] std::uint64_t revision() const noexcept { return current_.revision; }

    /*! @brief Document in force, or empty. */
    [[nodiscard]] const std::string& text() const noexcept { return current_.text; }

    /*! @brief Configuration in force, or null. */
    [[nodiscard]] const std::shared_ptr<const fleet_config>& config() const noexcept { return current_.config; }

private:
    counters& metrics_;
    document current_{};
    document candidate_{}; //!< Best document of a peer while the start is undecided.
    bool decided_{};       //!< The start is over.
    bool store_answered_{};
    std::optional<time_point> first_answer_{}; //!< When the store first answered or failed.
    std::optional<time_point> behind_since_{}; //!< Since when a higher revision is known.

    std::uint64_t unusable_{}; //!< Highest revision whose document could not be parsed.
    std::map<host_id, std::uint64_t> announced_{};
    std::uint64_t highest_announced_{}; //!< Largest value of announced_, or zero.
    std::map<host_id, time_point> asked_{};
    std::optional<query> open_{};
};

} // namespace dandelionbay
