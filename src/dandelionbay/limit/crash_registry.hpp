#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/limit/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/**
 * @brief Computes the id of an endpoint crash. Every host that observes the crash computes the same id.
 * @param agent Agent of the endpoint.
 * @param incarnation Incarnation of the agent.
 * @param sequence Number of the crash in this incarnation of the agent, from 1; 0 for the loss of the agent itself.
 * @return Hash of agent and incarnation in the upper 48 bits, sequence in the lower 16 bits.
 */
[[nodiscard]] crash_id make_crash_id(const host_id& agent, incarnation_type incarnation, std::uint16_t sequence);

/*! @brief Tells whether two crashes happened in the same incarnation of the same agent. */
[[nodiscard]] bool is_same_agent_incarnation(crash_id a, crash_id b) noexcept;

/**
 * @brief Registry of requests that were running when an endpoint crashed, by fingerprint; used by routers and agents.
 *
 * Known and cleared crashes are sets of ids that are merged by union. Therefore messages may be lost, repeated and
 * reordered, simultaneous crashes are all counted, and a late message doesn't restore a cleared crash.
 */
class crash_registry {
    struct crash {
        crash_id id{};
        bool cleared{};
    };

    struct record {
        std::vector<crash> crashes{}; // oldest first
        time_point changed_at{};
    };

    [[nodiscard]] static std::uint32_t count(const record& in) noexcept;
    [[nodiscard]] static suspicion message_of(std::uint64_t fingerprint, const record& in);
    [[nodiscard]] static bool add(record& to, crash_id id, bool cleared);

public:
    using size_type = std::size_t;

    /*! @brief Time after its last change for which a record is kept. */
    static constexpr duration retention_window = std::chrono::minutes{10};

    /*! @brief Number of crashes from which a request is refused. */
    static constexpr std::uint32_t min_crashes_to_refuse = 2;

    /**
     * @brief Largest number of crashes kept for a request.
     *
     * When the limit is reached, the oldest cleared crash is dropped. If none is cleared, further crashes are ignored,
     * because the request is refused anyway.
     */
    static constexpr size_type max_crashes = 8;

    /**
     * @brief Default limit of the number of records; beyond it the least recently changed record is dropped.
     *
     * A failed zone with 100 endpoints and 100 requests on each needs 10,000 records.
     */
    static constexpr size_type default_capacity = 16'384;

    /*! @brief Creates an empty registry. @param capacity Largest number of records, greater than 0. */
    explicit crash_registry(size_type capacity = default_capacity) noexcept : capacity_{capacity} {}

    /**
     * @brief Records a crash.
     * @param fingerprint Request that was running.
     * @return True if the crash was not known yet.
     */
    bool record_crash(std::uint64_t fingerprint, crash_id id, time_point now);

    /*! @brief Merges a message. @return True if it changed the registry and should be forwarded. */
    bool merge(const suspicion& in, time_point now);

    /**
     * @brief Records that a request finished normally, which clears earlier crashes.
     * @param fingerprint The request.
     * @param covered Crashes that were known when the run started; other crashes are not cleared.
     * @param now Current time.
     * @return True if it changed the registry.
     */
    bool record_completion(std::uint64_t fingerprint, std::span<const crash_id> covered, time_point now);

    /*! @brief Returns the number of crashes of a request that are not cleared. */
    [[nodiscard]] std::uint32_t crash_count(std::uint64_t fingerprint) const;

    /*! @brief Tells whether a request is refused. */
    [[nodiscard]] bool is_refused(std::uint64_t fingerprint) const {
        return crash_count(fingerprint) >= min_crashes_to_refuse;
    }

    /*! @brief Returns a message with all known and cleared crashes of a request. */
    [[nodiscard]] suspicion suspicion_of(std::uint64_t fingerprint) const;

    /*! @brief Drops old records; to be called periodically. */
    void expire(time_point now);

    /*! @brief Returns messages for all records, to be sent to a new peer. */
    [[nodiscard]] std::vector<suspicion> all_suspicions() const;

    /*! @brief Returns messages for the records of refused requests, to be sent to a new peer. */
    [[nodiscard]] std::vector<suspicion> refused_suspicions() const;

    /*! @brief Returns the number of records. */
    [[nodiscard]] size_type size() const noexcept { return records_.size(); }

private:
    size_type capacity_;
    std::map<std::uint64_t, record> records_{};
};

} // namespace dandelionbay
