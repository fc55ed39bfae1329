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
 * @brief Names one crash of an endpoint. Every host that sees the crash computes the same name.
 * @param agent Agent of the endpoint.
 * @param incarnation Incarnation of the agent.
 * @param sequence Crashes the agent has seen in this incarnation, from 1; 0 for the loss of the agent itself.
 * @return Hash of agent and incarnation in the upper 48 bits, sequence in the lower 16.
 */
[[nodiscard]] crash_id make_crash_id(const host_id& agent, incarnation_type incarnation, std::uint16_t sequence);

/*! @brief Tells whether two crashes were at the same incarnation of an agent. */
[[nodiscard]] bool is_same_agent_incarnation(crash_id a, crash_id b) noexcept;

/**
 * @brief Requests that were running when an endpoint crashed, by fingerprint; used by routers and agents.
 *
 * Known and cleared crashes are sets of ids that are merged by union. Messages may therefore be lost, repeated and
 * reordered, crashes at the same moment all count, and a late message does not bring a cleared crash back.
 */
class crash_registry {
    struct crash {
        crash_id id{};
        bool cleared{};
    };

    struct record {
        std::vector<crash> crashes{}; // oldest first
        time_point changed{};
    };

    [[nodiscard]] static std::uint32_t count(const record& in) noexcept;
    [[nodiscard]] static suspicion message_of(std::uint64_t fingerprint, const record& in);
    [[nodiscard]] static bool add(record& to, crash_id id, bool cleared);

public:
    using size_type = std::size_t;

    /*! @brief Time after the last change at which a record is forgotten. */
    static constexpr duration retention_window = std::chrono::minutes{10};

    /*! @brief Crashes from which on a request is refused. */
    static constexpr std::uint32_t min_crashes_to_refuse = 2;

    /**
     * @brief Largest number of crashes kept for a request.
     *
     * When it is reached the oldest cleared crash makes room. Without a cleared one the request is refused anyway.
     */
    static constexpr size_type max_crashes = 8;

    /**
     * @brief Largest number of records by default; the least recently changed one makes room.
     *
     * A failed zone with 100 endpoints and 100 requests on each needs 10,000.
     */
    static constexpr size_type default_capacity = 16'384;

    /*! @brief Creates an empty register. @param capacity Largest number of records. */
    explicit crash_registry(size_type capacity = default_capacity) noexcept : capacity_{capacity} {}

    /*! @brief Counts a crash. @param fingerprint Request that was running. @return True if it was not known yet. */
    bool record_crash(std::uint64_t fingerprint, crash_id id, time_point now);

    /*! @brief Merges a message. @return True if it changed the register and is worth passing on. */
    bool merge(const suspicion& in, time_point now);

    /**
     * @brief The request finished normally.
     * @param fingerprint The request.
     * @param covered Crashes that were known when the run started; others are not cleared.
     * @return True if it changed the register.
     */
    bool record_completion(std::uint64_t fingerprint, std::span<const crash_id> covered, time_point now);

    /*! @brief Crashes that count against a request. */
    [[nodiscard]] std::uint32_t crash_count(std::uint64_t fingerprint) const;

    /*! @brief Tells whether a request is refused. */
    [[nodiscard]] bool is_refused(std::uint64_t fingerprint) const {
        return crash_count(fingerprint) >= min_crashes_to_refuse;
    }

    /*! @brief Message with all that is known of a request. */
    [[nodiscard]] suspicion suspicion_of(std::uint64_t fingerprint) const;

    /*! @brief Forgets old records; to be called from time to time. */
    void expire(time_point now);

    /*! @brief Messages that tell a new peer everything. */
    [[nodiscard]] std::vector<suspicion> all_suspicions() const;

    /*! @brief Messages that tell a new peer of the refused requests only. */
    [[nodiscard]] std::vector<suspicion> refused_suspicions() const;

    /*! @brief Number of records. */
    [[nodiscard]] size_type size() const noexcept { return records_.size(); }

private:
    size_type capacity_;
    std::map<std::uint64_t, record> records_{};
};

} // namespace dandelionbay
