#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/claim/fwd.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Table that holds the leases. */
inline constexpr std::string_view leases_table = "leases";

/*! @brief Name, holder and length of a lease. */
struct lease_settings {
    std::string name{};                        //!< Row key; what the lease protects.
    std::string holder{};                      //!< Unique to one life of a process.
    duration length{std::chrono::seconds{10}}; //!< Validity after each acquisition or renewal.
    duration margin{std::chrono::seconds{1}};  //!< Others wait this much longer, for clocks that run unevenly.

    friend bool operator==(const lease_settings&, const lease_settings&) = default;
};

/**
 * @brief Acquires, renews and gives up one lease in the table service.
 *
 * Every acquisition raises the fencing token. Times are never compared between hosts: the holder counts its lease
 * from before it sent the write, and others take the lease over after its row has stood unchanged for the length and
 * the margin on their own clock. Counters: lease_events_total by event. Not safe for use by several threads at once.
 */
class lease_holder {
    struct row_content {
        std::string holder{};
        std::string change_id{};
        std::uint64_t token{};
    };

    [[nodiscard]] static std::string encode(const row_content& content);
    [[nodiscard]] static std::optional<row_content> decode(std::string_view value);
    [[nodiscard]] absl::Status write(const std::string& holder, std::uint64_t token, std::uint64_t expected_version);
    [[nodiscard]] absl::Status take_over(const absl::StatusOr<table_row>& row, time_point now);
    void lapse();

public:
    /**
     * @brief Creates a holder without the lease.
     * @param settings Name, holder and length. @param store Table service. @param time Clock. @param metrics Counters.
     */
    lease_holder(lease_settings settings, table_store& store, const clock& time, counters& metrics);

    /**
     * @brief Acquires the lease if it is free, or renews it; to be called at least 3 times per length.
     * @return Ok if the lease is held; FailedPrecondition while another holds it; Unavailable or DeadlineExceeded
     *         without an answer of the store.
     */
    [[nodiscard]] absl::Status tick();

    /**
     * @brief The fencing token, checked against the clock; to be called before each action under the lease.
     * @return The token; none if the lease is not held or has lapsed, for example while the process was paused.
     */
    [[nodiscard]] std::optional<std::uint64_t> token();

    /*! @brief Gives the lease up, so that another may take it at once. @return Error without an answer of the store. */
    [[nodiscard]] absl::Status release();

private:
    lease_settings settings_;
    table_store* store_;
    const clock* time_;
    counters* metrics_;
    std::uint64_t writes_{0};
    std::uint64_t token_{0};   // Zero while the lease is not held.
    std::uint64_t version_{0}; // Version of the own row.
    time_point valid_until_{};
    std::uint64_t seen_version_{0}; // Row of another holder, and since when it stands unchanged.
    time_point seen_since_{};
};

/**
 * @brief Refuses commands with old fencing tokens on behalf of engines that ignore tokens.
 *
 * Safe for use by several threads.
 */
class fencing_gate {
public:
    /**
     * @brief Checks a command before it goes to the engine.
     * @param name Name of the lease. @param token Token of the command.
     * @return Ok; FailedPrecondition if a higher token was seen, InvalidArgument for token zero.
     */
    [[nodiscard]] absl::Status admit(std::string_view name, std::uint64_t token);

    /**
     * @brief Learns the tokens in the store, so that a restarted agent does not accept older ones.
     * @param name Name of the lease. @param store Table service.
     * @return Error without an answer of the store; commands should wait until it succeeds.
     */
    [[nodiscard]] absl::Status learn(std::string_view name, table_store& store);

private:
    std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> highest_;
};

} // namespace dandelionbay
