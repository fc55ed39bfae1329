#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/gateway/route_config.hpp"

namespace dandelionbay {

/*! @brief A zone that operators took out of service. */
struct zone_out {
    zone_id zone{};
    registry_version row_version{}; //!< Version of the registry at which the zone was taken out.

    friend bool operator==(const zone_out&, const zone_out&) = default;
};

/*! @brief State set by operators, except the text of the configuration, at one version of the registry. */
struct operator_state {
    registry_version as_of{};       //!< Version of the registry that the state was read from.
    std::uint64_t config_version{}; //!< Version of the configuration in force at that time.
    std::vector<zone_out> zones_out{};

    friend bool operator==(const operator_state&, const operator_state&) = default;
};

/*! @brief Limits of the time for which data of the registry is trusted. */
struct freshness_limits {
    duration max_key_age{std::chrono::milliseconds{4500}};   //!< Below the time within which withdrawn keys must stop.
    duration expiry_grace{std::chrono::milliseconds{1'900}}; //!< After an outage, expired entries may return.
    duration min_outage{std::chrono::seconds{2}};            //!< Two writes of an entry; none expires in less.
    /*! After the registry was restored from a backup, what was written since is written again. */
    duration rewrite_time{std::chrono::seconds{2}};

    friend bool operator==(const freshness_limits&, const freshness_limits&) = default;
};

/**
 * @brief View that a router has of the configuration, the zones out of service and the endpoints, with the age of each.
 *
 * Data comes from the store or from peers that read it. The version of the registry decides which is newer, so a
 * delayed message never restores older data. After the registry was restored from a backup, its rows may be older than
 * what is known, until they are written again: meanwhile zones stay out of service, endpoints that leave or are cold
 * stay so, and missing ones stay known, while restrictions that the registry shows apply at once.
 */
class registry_view {
public:
    /*! @brief An endpoint with what this router observed of it. */
    struct known_endpoint {
        endpoint_entry entry{};
        time_point cold_until{};                 //!< Computed from the entry when it arrived.
        registry_version min_verified_version{}; //!< The endpoint counts as cold while its entry is older.
        time_point unverified_since{};
        bool is_awaiting_read{}; //!< The next list verifies nothing, because it may predate a restart.
        bool reported_leaving{}; //!< The process said in an answer that it leaves; its entry may not say so yet.
        bool present{true};      //!< The newest list contains the endpoint.
        time_point missing_since{};
    };

    /*! @brief Time for which a reported leaving is kept; longer while the endpoint is known. */
    static constexpr duration leaving_retention = std::chrono::minutes{10};
    /*! @brief Time for which removed endpoints are kept, longer than the age of any backup that is restored. */
    static constexpr duration removed_retention = std::chrono::minutes{1};

private:
    struct leaving_report {
        std::uint64_t started{};
        time_point reported_at{};
    };

    struct removed_endpoint {
        std::uint64_t started{};
        time_point removed_at{};
    };

    [[nodiscard]] bool reported_leaving(const endpoint_entry& entry) const;
    void note_restored_zones(const std::set<zone_id>& next, const registry_version& as_of);

    /*! Records that data of a version was read, which may be the first after the registry was restored. */
    void note_epoch(const registry_version& as_of, time_point now);
    /*! Tells whether rows of this epoch may be older than what was known before. */
    [[nodiscard]] bool is_being_rewritten(time_point now) const;
    /*! Tells whether an entry is that of a process that was removed before the registry was restored. */
    [[nodiscard]] bool was_removed(const endpoint_entry& entry) const;
    /*! Applies an entry that may be older than the known one: what restricts the endpoint counts, from either. */
    void merge_restored_entry(known_endpoint& known, const endpoint_entry& entry, const registry_version& as_of,
                              time_point now);
    /*! Records that the store answered this router or a peer. @param read_at A time not later than the answer. */
    void note_store_answer(time_point read_at);
    [[nodiscard]] bool may_return(const known_endpoint& endpoint, time_point now) const;
    void merge_entries(const endpoint_list& next, time_point now);

public:
    /*! @brief Creates an empty view. @param limits Limits of the time for which data is trusted. */
    explicit registry_view(freshness_limits limits) : limits_{limits} {}

    /**
     * @brief Applies a configuration.
     * @return False if it is null or its version is not above the one in force.
     */
    bool adopt(std::shared_ptr<const route_config> next);

    /**
     * @brief Applies the state set by operators.
     * @param next State that was read.
     * @param read_at A time not later than the read.
     * @param now Current time.
     * @return True if the read renews the age of the state: it is not older than the known one, and the configuration
     * that it names, or a newer one, is in force.
     */
    bool update_operator_state(const operator_state& next, time_point read_at, time_point now);

    /*! @brief The same for a state that was read now. */
    bool update_operator_state(const operator_state& next, time_point read_at) {
        return update_operator_state(next, read_at, read_at);
    }

    /**
     * @brief Applies a list of endpoints.
     * @param next List that was read.
     * @param read_at A time not later than the read.
     * @param now Current time.
     * @return False if the list is older than the known one.
     */
    bool merge_endpoints(const endpoint_list& next, time_point read_at, time_point now);

    /**
     * @brief Records that the store did not answer this router.
     *
     * An outage of the store is only a time in which neither this router nor a peer is known to have had an answer.
     */
    void on_store_failed();

    /*! @brief Records that the store answers this router again. @param now Current time. */
    void on_store_restored(time_point now);

    /*! @brief Removes missing endpoints that are not expected to return. @param now Current time. */
    void expire(time_point now);

    /*! @brief Records that an endpoint refused a connection; it may be restarting and then be cold before its entry
     * says so. */
    void note_refused(const endpoint_id& id, time_point now);

    /*! @brief Records the time for which an endpoint said that it is cold. */
    void note_cold(const endpoint_id& id, duration cold_for, time_point now);

    /**
     * @brief Records that an endpoint said in an answer that it leaves. It gets no new work until a new process of it
     * is registered.
     * @param process The process that leaves.
     * @param now Current time.
     * @return True if that was not known.
     */
    bool note_leaving(const endpoint_process& process, time_point now);

    /*! @brief Tells whether a process is known to have ended: its entry is gone or names a later process. */
    [[nodiscard]] bool has_ended(const endpoint_process& process) const;

    /*! @brief Returns the processes of registered endpoints that said in an answer that they leave. */
    [[nodiscard]] std::vector<endpoint_process> leaving_processes() const;

    /*! @brief Returns the configuration in force, or null. */
    [[nodiscard]] const std::shared_ptr<const route_config>& config() const noexcept { return config_; }

    /*! @brief Tells whether the known API keys may be trusted. @param now Current time. */
    [[nodiscard]] bool are_keys_fresh(time_point now) const noexcept;

    /*! @brief Tells whether a configuration and a list of endpoints are known. */
    [[nodiscard]] bool is_complete() const noexcept { return config_ != nullptr && endpoints_read_at_.has_value(); }

    /*! @brief Age of the state set by operators. @return The age, or nothing before update_operator_state() first
     * returned true. */
    [[nodiscard]] std::optional<duration> operator_state_age(time_point now) const noexcept;

    /*! @brief Age of the list of endpoints. @return The age, or nothing before the first list. */
    [[nodiscard]] std::optional<duration> endpoints_age(time_point now) const noexcept;

    /*! @brief Returns the newest epoch of the registry of which anything is known. */
    [[nodiscard]] std::uint64_t epoch() const noexcept { return std::max(operators_.as_of, list_.as_of).epoch; }

    /*! @brief Returns the newest known state set by operators. */
    [[nodiscard]] const operator_state& known_operator_state() const noexcept { return operators_; }

    /*! @brief Returns the newest list of endpoints, as read. */
    [[nodiscard]] const endpoint_list& list() const noexcept { return list_; }

    /*! @brief Returns all known endpoints by id. */
    [[nodiscard]] const std::map<endpoint_id, known_endpoint>& endpoints() const noexcept { return endpoints_; }

    /*! @brief Number that changes whenever the configuration, the endpoints or their acceptance of new work changes. */
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /*! @brief Tells whether an endpoint may get new work. */
    [[nodiscard]] bool accepts_work(const known_endpoint& endpoint) const;

    /*! @brief Tells whether an endpoint must be treated as cold. @param endpoint The endpoint. @param now Current time.
     */
    [[nodiscard]] bool is_cold(const known_endpoint& endpoint, time_point now) const noexcept;

private:
    freshness_limits limits_;
    std::shared_ptr<const route_config> config_{};
    operator_state operators_{};
    std::set<zone_id> zones_out_{};
    std::set<zone_id> zones_out_before_restore_{};
    endpoint_list list_{};
    std::map<endpoint_id, known_endpoint> endpoints_{};
    std::map<endpoint_id, leaving_report> leaving_reports_{};
    std::map<endpoint_id, removed_endpoint> removed_{}; //!< Recently removed.
    std::optional<time_point> operators_read_at_{};
    std::optional<time_point> endpoints_read_at_{};
    std::optional<time_point> store_answered_at_{}; //!< Last known answer of the store to this router or a peer.
    std::optional<time_point> store_restored_at_{}; //!< First answer to this router after its last failure.
    std::optional<time_point> outage_ended_at_{};   //!< End of the last outage in which entries may have expired.
    std::optional<time_point> restored_at_{}; //!< When the first data of the newest epoch came; empty for the first.
    std::uint64_t revision_{};
    bool has_store_failed_{}; //!< The store failed since its last known answer.
};

} // namespace dandelionbay
