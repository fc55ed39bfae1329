#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/limit/fwd.hpp"

namespace dandelionbay {

/*! @brief A run that got no whole answer. */
struct lost_run {
    endpoint_process process{};
    time_point started{};
    time_point ended{};

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

/*! @brief The lost runs of one call that count against it. */
struct call_losses {
    std::uint64_t call{}; //!< Fingerprint.
    std::vector<lost_run> runs{};
    std::optional<time_point> answered{}; //!< When an endpoint last answered it; earlier losses don't count.

    friend bool operator==(const call_losses&, const call_losses&) = default;
};

/**
 * @brief Calls whose runs ended with the processes of their endpoints, by fingerprint.
 *
 * A run that broke off counts once its endpoint's process is known to have ended: a connection may break for other
 * reasons. Of runs that overlapped, or ended at nearly the same time, only one counts, since one fault may end many
 * endpoints, and an answered run clears all losses before it. Both keep calls that only happened to run there from
 * being refused. What routers tell each other is merged by union, so messages may be lost, repeated and reordered.
 */
class lost_run_registry {
    struct entry {
        lost_run run{};
        bool counts{};
        bool here{}; //!< It was lost at this router, which others do not tell.
    };
    struct record {
        std::vector<entry> runs{};
        std::optional<time_point> answered{};
        bool answered_here{}; //!< At this router, which others do not tell.
        time_point changed{};
    };

    [[nodiscard]] static std::size_t count(std::vector<entry> runs, duration apart);
    [[nodiscard]] static std::size_t loss_count(const record& in);
    [[nodiscard]] static std::size_t lost_endpoint_count(const record& in);
    [[nodiscard]] static call_losses message_of(std::uint64_t call, const record& in, bool own);
    [[nodiscard]] static bool add(record& to, const entry& lost);
    static bool clear(record& in, time_point answered, bool here);
    [[nodiscard]] record& find_or_make(std::uint64_t call);
    [[nodiscard]] const record& find(std::uint64_t call) const; // An empty one if the call is unknown.

public:
    using size_type = std::size_t;

    /*! @brief Losses from which on a call is refused. */
    static constexpr size_type min_losses_to_refuse = 3;
    /*! @brief Lost runs, counted or not, after which a router does not send a call on by itself. */
    static constexpr size_type min_losses_to_stop_retries = 2;
    /*! @brief Endpoints that end within this time are taken for one fault: twice a round trip between regions. */
    static constexpr duration same_fault_window = std::chrono::milliseconds{100};
    /*! @brief Time after the last change at which a call is forgotten. */
    static constexpr duration retention_window = std::chrono::minutes{10};
    /*! @brief A process that is not known to have ended within this time after a run broke off counts as alive. */
    static constexpr duration confirmation_timeout = std::chrono::seconds{10};
    /*! @brief Endpoints from which on all routers tell a peer of a call's losses, in case those that lost them are
     * gone. Below it each one tells of its own: a fault that ends many endpoints ends them under many calls. */
    static constexpr size_type min_endpoints_to_relay = 2;
    /*! @brief Largest number of runs kept for a call. */
    static constexpr size_type max_runs_per_call = 8;
    /*! @brief Largest number of calls by default: 64 calls at each of 64 endpoints that fail together. */
    static constexpr size_type default_capacity = 4'096;

    /*! @brief Creates an empty record. @param capacity Largest number of calls. */
    explicit lost_run_registry(size_type capacity = default_capacity) noexcept : capacity_{capacity} {}

    /**
     * @brief A run broke off or went silent.
     * @param call Fingerprint.
     * @return True if it counts already, because its process is known to have ended.
     */
    bool record_interrupted_run(std::uint64_t call, const lost_run& run);

    /*! @brief A process is known to have ended. @return Calls that have a loss more now. */
    std::vector<std::uint64_t> record_process_exit(const endpoint_process& it, time_point now);

    /*! @brief A process at which runs broke off is known to go on. */
    void record_process_alive(const endpoint_process& it);

    /*! @brief An endpoint answered a call with success. @param call Fingerprint. @param now Time. */
    void record_answer(std::uint64_t call, time_point now);

    /*! @brief Takes over what a peer tells, in this router's time. @return True if it was not known. */
    bool merge(const call_losses& in, time_point now);

    /*! @brief Losses of a call by different faults, one after the other. @param call Fingerprint. */
    [[nodiscard]] size_type loss_count(std::uint64_t call) const;

    /*! @brief Tells whether a call is refused. @param call Fingerprint. */
    [[nodiscard]] bool is_refused(std::uint64_t call) const { return loss_count(call) >= min_losses_to_refuse; }

    /*! @brief Tells whether a run of a call was lost, counted or not. @param call Fingerprint. */
    [[nodiscard]] bool is_suspected(std::uint64_t call) const;

    /*! @brief Endpoints that ended under a call, also those that count as one loss together. @param call Fingerprint.
     */
    [[nodiscard]] size_type lost_endpoint_count(std::uint64_t call) const;

    /*! @brief Tells whether a run that is lost now may still be taken for the same fault as an earlier one. */
    [[nodiscard]] bool is_recently_lost(std::uint64_t call, time_point now) const;

    /*! @brief Tells whether a loss of a call was at this router. @param call Fingerprint. */
    [[nodiscard]] bool has_local_loss(std::uint64_t call) const;

    /*! @brief Tells whether a call should run again only if its caller wants it to. @param call Fingerprint. */
    [[nodiscard]] bool should_not_retry(std::uint64_t call) const;

    /*! @brief What counts against a call. @param call Fingerprint. */
    [[nodiscard]] call_losses losses_of(std::uint64_t call) const;

    /*! @brief Processes at which a run broke off and which may have ended. */
    [[nodiscard]] std::vector<endpoint_process> unconfirmed_processes() const;

    /*! @brief What counts and changed at this time or later, as far as this router is to tell its peers. */
    [[nodiscard]] std::vector<call_losses> changed_since(time_point since) const;

    /*! @brief Forgets what is old; to be called from time to time. */
    void expire(time_point now);

    /*! @brief Number of calls that are kept. */
    [[nodiscard]] size_type size() const noexcept { return records_.size(); }

    /*! @brief Tells whether no call is kept. */
    [[nodiscard]] bool empty() const noexcept { return records_.empty(); }

private:
    size_type capacity_;
    std::map<std::uint64_t, record> records_{};
    std::map<endpoint_process, time_point> broken_{}; //!< When a run last broke off there, until it is confirmed.
    std::map<endpoint_process, time_point> ended_{};  //!< Connections of an ended process break one after the other.
};

} // namespace dandelionbay
