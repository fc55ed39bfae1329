#pragma once

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

/*! @brief A zone that is out of service. */
struct zone_out {
    zone_id zone{};
    std::uint64_t row_version{}; //!< Version of the registry at which it was taken out.

    friend bool operator==(const zone_out&, const zone_out&) = default;
};

/*! @brief What operators want as of one moment, besides the configuration's text. */
struct operator_state {
    std::uint64_t as_of{};          //!< Version of the registry that was read.
    std::uint64_t config_version{}; //!< Version of the configuration then in force.
    std::vector<zone_out> zones_out{};

    friend bool operator==(const operator_state&, const operator_state&) = default;
};

/*! @brief How long a router trusts what it read. */
struct freshness_limits {
    duration max_key_age{
        std::chrono::milliseconds{4500}}; //!< API keys; below the time in which a withdrawn key must stop.
    duration expiry_grace{
        std::chrono::milliseconds{1'900}};        //!< After an outage of the store, lost entries may come back.
    duration min_outage{std::chrono::seconds{2}}; //!< In a shorter one no entry lapses: two of its writings.

    friend bool operator==(const freshness_limits&, const freshness_limits&) = default;
};

/**
 * @brief The configuration, the zones out of service and the endpoints that a router believes in, and how old that is.
 *
 * Facts come from the store or from peers that read it; newer ones win by the registry's version, so a late message
 * never brings an older fact back.
 */
class registry_view {
public:
    /*! @brief An endpoint and what this router noted about it. */
    struct known_endpoint {
        endpoint_entry entry{};
        time_point cold_until{};              //!< From the entry, counted from its arrival.
        std::uint64_t min_verified_version{}; //!< Counts as cold until an entry of at least this version comes.
        time_point unverified_since{};
        bool
            is_awaiting_read{}; //!< The next list may still hold an entry from before a restart; only later ones count.
        bool reported_leaving{}; //!< This process said so in an answer; its entry may not yet.
        bool present{true};      //!< Still registered at the last read.
        time_point missing_since{};
    };

    /*! @brief What endpoints said in answers is remembered this long after their entries are gone. */
    static constexpr duration leaving_retention = std::chrono::minutes{10};

private:
    struct remembered_leaving {
        std::uint64_t started{};
        time_point noted{};
    };

    [[nodiscard]] bool reported_leaving(const endpoint_entry& it) const;
    void note_returned_zones(const operator_state& next);
    /*! The store answered this router or a peer. @param read_at A moment not after that. */
    void note_answer(time_point read_at);
    [[nodiscard]] bool may_come_back(const known_endpoint& it, time_point now) const;
    void merge_entries(const endpoint_list& next, time_point now);

public:
    /*! @brief Creates an empty view. @param limits How long facts are trusted. */
    explicit registry_view(freshness_limits limits) : limits_{limits} {}

    /**
     * @brief Takes a configuration over.
     * @return False if its version is not above the one in force.
     */
    bool adopt(std::shared_ptr<const route_config> next);

    /**
     * @brief Takes over what operators want.
     * @param next What was read.
     * @param read_at A moment not after the reading.
     * @return True if it counts as evidence: it is not older than what is known and its configuration is in force.
     */
    bool update_operator_state(const operator_state& next, time_point read_at);

    /**
     * @brief Takes over a list of endpoints.
     * @param next What was read.
     * @param read_at A moment not after the reading.
     * @param now Time.
     * @return False if it is older than what is known.
     */
    bool merge_endpoints(const endpoint_list& next, time_point read_at, time_point now);

    /*! @brief The store did not answer this router. An outage is only what nobody is known to have been answered in. */
    void on_store_failed();

    /*! @brief The store answers this router again. @param now Time. */
    void on_store_restored(time_point now);

    /*! @brief Drops endpoints that have been missing for too long. @param now Time. */
    void expire(time_point now);

    /*! @brief An endpoint refused a connection: it may be restarting, cold, without having said so yet. */
    void note_refused(const endpoint_id& id, time_point now);

    /*! @brief An endpoint said itself how long it is cold. */
    void note_cold(const endpoint_id& id, duration cold_for, time_point now);

    /**
     * @brief An endpoint said in an answer that it leaves: it gets no new work until it is back as a new process.
     * @param it The process that said so.
     * @param now Time.
     * @return True if that was not known.
     */
    bool note_leaving(const endpoint_process& it, time_point now);

    /*! @brief Tells whether a process is known to have ended: its entry is gone or names a later one. */
    [[nodiscard]] bool has_ended(const endpoint_process& it) const;

    /*! @brief Registered endpoints that said in an answer that they leave. */
    [[nodiscard]] std::vector<endpoint_process> leaving_processes() const;

    /*! @brief The configuration in force, or null. */
    [[nodiscard]] const std::shared_ptr<const route_config>& config() const noexcept { return config_; }

    /*! @brief Tells whether API keys may be trusted. @param now Time. */
    [[nodiscard]] bool are_keys_fresh(time_point now) const noexcept;

    /*! @brief Tells whether a configuration and a list of endpoints are known. */
    [[nodiscard]] bool is_complete() const noexcept { return config_ != nullptr && endpoints_read_.has_value(); }

    /*! @brief Age of the newest confirmation. @return Nothing before the first. */
    [[nodiscard]] std::optional<duration> operator_state_age(time_point now) const noexcept;

    /*! @brief Age of the list of endpoints. @return Nothing before the first. */
    [[nodiscard]] std::optional<duration> endpoints_age(time_point now) const noexcept;

    /*! @brief What operators want, as known. */
    [[nodiscard]] const operator_state& known_operator_state() const noexcept { return operators_; }

    /*! @brief The newest list of endpoints, as read. */
    [[nodiscard]] const endpoint_list& list() const noexcept { return list_; }

    /*! @brief All known endpoints by name. */
    [[nodiscard]] const std::map<endpoint_id, known_endpoint>& endpoints() const noexcept { return endpoints_; }

    /*! @brief Changes whenever the configuration, the endpoints or which of them may get new work changes. */
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /*! @brief Tells whether an endpoint may get new work. @param it The endpoint. */
    [[nodiscard]] bool accepts_work(const known_endpoint& it) const;

    /*! @brief Tells whether an endpoint must be treated as cold. @param it The endpoint. @param now Time. */
    [[nodiscard]] bool is_cold(const known_endpoint& it, time_point now) const noexcept;

private:
    freshness_limits limits_;
    std::shared_ptr<const route_config> config_{};
    operator_state operators_{};
    std::set<zone_id> zones_out_{};
    endpoint_list list_{};
    std::map<endpoint_id, known_endpoint> endpoints_{};
    std::map<endpoint_id, remembered_leaving> leaving_{};
    std::optional<time_point> operators_read_{};
    std::optional<time_point> endpoints_read_{};
    std::optional<time_point> answered_{};       //!< When the store is known to have answered anybody last.
    std::optional<time_point> store_returned_{}; //!< To this router, after its newest failure.
    std::optional<time_point> outage_ended_{};   //!< Of the newest one in which entries may have lapsed.
    std::uint64_t revision_{};
    bool store_failed_{}; //!< Since it answered anybody.
};

} // namespace dandelionbay
