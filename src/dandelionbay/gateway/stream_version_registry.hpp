#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/gateway/registry_view.hpp"

namespace dandelionbay {

/*! @brief A version of the software of a service's endpoints. */
struct service_version {
    service_id service{};
    version_id version{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const service_version&, const service_version&) = default;
    friend bool operator==(const service_version&, const service_version&) = default;
};

/*! @brief A version that serves, or did of late. */
struct recent_version {
    service_version origin{};
    duration age{}; //!< Time since the version was last registered.

    friend bool operator==(const recent_version&, const recent_version&) = default;
};

/*! @brief The version that wrote the first event of a stream. */
struct stream_origin {
    std::uint64_t stream{}; //!< Hash of the caller's id of the attempt.
    service_version origin{};

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/*! @brief What a router tells its peers about versions and streams. */
struct version_report {
    std::vector<recent_version> recent{};
    bool is_complete{};                   //!< No other version served within the retention time.
    std::vector<stream_origin> streams{}; //!< Streams that began at the sender, unless the receiver has them.

    friend bool operator==(const version_report&, const version_report&) = default;
};

/**
 * @brief Versions that served of late, and the version at which each recent stream began.
 *
 * Versions of an endpoint's software do not continue each other's streams. A caller that resumes a stream names the
 * attempt that brought its first event. Routers tell each other where streams began while a service has several
 * versions. A stream of which nothing is known may be resumed only if a single version has served for as long as a
 * stream can last; after a restart that follows from a row of the registry, or from a peer.
 *
 * A router that is cut off, or stands still, does not learn of a new version. It trusts what it knows for
 * max_evidence_age, counted from the moment as of which it knows it, and no router begins a stream at a new version
 * earlier than that after the version was registered.
 */
class stream_version_registry {
    struct known_stream {
        service_version origin{};
        time_point at{};
    };
    struct recorded_stream {
        std::uint64_t stream{};
        time_point at{};
    };

    void expire(time_point now);
    /*! Tells whether a version can't have come into service unnoticed. */
    [[nodiscard]] bool is_up_to_date(time_point now) const;

public:
    using sequence_type = std::uint64_t;

    /*! @brief Added to the longest time limit of a stream: clocks, and the time until a list is read. */
    static constexpr duration retention_margin = std::chrono::seconds{3};
    /*! @brief Without a newer list, read by this router or by a peer, other routers may use versions that are not known
     *  after this time. */
    static constexpr duration max_evidence_age = std::chrono::seconds{4};
    /*! @brief Time from the registration of a new version until streams begin at it. Exceeds max_evidence_age, so that
     *  the version is written to the registry before its first stream. */
    static constexpr duration use_delay = max_evidence_age + std::chrono::milliseconds{250};
    /*! @brief Most streams that are kept, about 80 bytes each; the oldest are dropped. */
    static constexpr std::size_t max_streams = 100'000;

    /*! @brief Creates an empty registry. @param view View of the fleet; must outlive the registry. */
    explicit stream_version_registry(const registry_view& view) : view_{&view} {}

    /*! @brief Takes note of the versions of the registered endpoints; to be called after each change of the list. */
    void update_versions(time_point now);

    /*! @brief Records that a version was registered. @param at When; later than now counts as now. */
    void note_version(const service_version& it, time_point at, time_point now);

    /*! @brief Records that routers may have begun streams at a version, so that it is not held back. */
    void note_in_use(const service_version& it) { first_seen_[it] = time_point::min(); }

    /*! @brief Returns the versions that are held back: no stream may begin there until the returned time. */
    [[nodiscard]] std::map<service_version, time_point> holds(time_point now) const;

    /*! @brief Returns the recent versions of a service without those that have been known for less than
     *  max_evidence_age beside another. */
    [[nodiscard]] std::set<version_id> versions_in_use(const service_id& service, time_point now) const;

    /*! @brief Records that all versions that served within the retention time are known. */
    void set_complete() noexcept { is_complete_ = true; }

    /*! @brief Tells whether all versions that served within the retention time are known. */
    [[nodiscard]] bool is_complete() const noexcept { return is_complete_; }

    /*! @brief Returns the versions of a service that serve or did within the retention time. */
    [[nodiscard]] std::set<version_id> recent_versions(const service_id& service, time_point now) const;

    /*! @brief Tells whether several versions of a service served within the retention time. */
    [[nodiscard]] bool is_mixed(const service_id& service, time_point now) const {
        return recent_versions(service, now).size() > 1;
    }

    /*! @brief Records the version that wrote the first event of a stream, for which this router was the sender.
     *  @param stream The caller's id of the attempt that brought the event. */
    void record_stream(std::string_view stream, const service_version& origin, time_point now);

    /*! @brief Returns the service at which a stream began. @param stream The caller's id of the attempt that brought
     *  the first event. @return The service, or nothing if it is not known. */
    [[nodiscard]] std::optional<service_id> find_service(std::string_view stream, time_point now);

    /*! @brief Returns the version that may continue a stream. @param stream The caller's id of the attempt that brought
     *  the first event; empty if it is not known. @return The version, or nothing if it can't be known. */
    [[nodiscard]] std::optional<version_id> find_version(std::string_view stream, const service_id& service,
                                                         time_point now);

    /*! @brief Returns what a peer is to be told. @param told Sequence number up to which it has the streams, which is
     *  advanced. */
    [[nodiscard]] version_report make_report(sequence_type& told, time_point now);

    /*! @brief Merges a peer's report.
     *  @param sent_at A time not later than its sending.
     *  @param as_of A time not later than the reading of the list that the peer knows; empty if that is not known. */
    void merge(const version_report& report, time_point sent_at, const std::optional<time_point>& as_of,
               time_point now);

    /*! @brief Returns the time for which versions and streams are kept. */
    [[nodiscard]] duration retention() const;

private:
    const registry_view* view_;
    std::set<service_version> registered_{};             //!< As of the last update.
    std::map<service_version, time_point> last_seen_{};  //!< Of versions that are no longer registered, too.
    std::map<service_version, time_point> first_seen_{}; //!< The minimum for those that were in use before.
    std::unordered_map<std::uint64_t, known_stream> streams_{};
    std::deque<recorded_stream> all_{};                    //!< Streams in order of their records.
    std::deque<recorded_stream> own_{};                    //!< Those that began at this router.
    sequence_type first_own_{};                            //!< Sequence number of the first one.
    mutable std::shared_ptr<const route_config> config_{}; //!< Configuration that longest_stream_ belongs to.
    mutable duration longest_stream_{};
    std::optional<time_point> peers_as_of_{}; //!< Newest time as of which a peer knew all versions.
    bool is_complete_{};
};

} // namespace dandelionbay
