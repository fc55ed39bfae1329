#pragma once

#include <cstdint>
#include <limits>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/config/fwd.hpp"
#include "dandelionbay/node/node_options.hpp"

namespace dandelionbay {

/**
 * @brief Decides whether the configuration in force may be trusted to be the newest one.
 *
 * Evidence is an own read of the store, counted from the start of the read, or a message of a peer, counted from its
 * own evidence. A node that hears a majority of the hosts counts that as evidence too: a change can only be accepted by
 * a router that hears a majority, the two majorities share a host, and that host's heartbeats carry the revision.
 */
class freshness {
    void renew(time_point at);

public:
    /*! @brief Evidence older than this does not count. Zone moves have to take effect within 5 s. */
    static constexpr duration limit = std::chrono::seconds{4};

    /*! @brief Age on heartbeats of a node without evidence. */
    static constexpr std::uint32_t no_evidence = std::numeric_limits<std::uint32_t>::max();

    /*! @brief Starts without evidence. @param policy What to do without it. @param metrics Must outlive the object. */
    freshness(isolated_policy policy, counters& metrics);

    /**
     * @brief The configuration row was read from the store, and what it held is in force.
     * @param started When the read began; the row may have changed since.
     */
    void store_read(time_point started);

    /**
     * @brief A peer told the age of its evidence, and its revision is not higher than the own one.
     * @param age_ms Age in ms, or no_evidence.
     * @param sent A time not later than the sending, so that a message that was held up counts with its delay.
     */
    void peer_evidence(std::uint32_t age_ms, time_point sent);

    /*! @brief A majority of the hosts is heard. @param since Result of membership::majority_heard(). */
    void majority_heard(std::optional<time_point> since);

    /*! @brief Age to be put on heartbeats. @param now Current time. @return The age in ms, or no_evidence. */
    [[nodiscard]] std::uint32_t evidence_age_ms(time_point now) const noexcept;

    /*! @brief Tells whether there is evidence within the limit. @param now Current time. */
    [[nodiscard]] bool has_evidence(time_point now) const noexcept;

    /**
     * @brief Tells whether new work may be admitted; to be asked at each tick, because it also counts the changes.
     * @param now Current time.
     * @return True with evidence, or with the policy "serve".
     */
    [[nodiscard]] bool fresh(time_point now);

    /*! @brief When has_evidence() becomes false if nothing is heard. @return The time, or nothing without evidence. */
    [[nodiscard]] std::optional<time_point> expires() const noexcept;

private:
    isolated_policy policy_;
    counters& metrics_;
    std::optional<time_point> evidence_{};
    bool isolated_{};
};

} // namespace dandelionbay
