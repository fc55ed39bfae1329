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

/*! @brief A run of a call that ended without a complete answer. */
struct lost_run {
    endpoint_process process{};
    time_point started{};
    time_point ended{};

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

/*! @brief The confirmed lost runs of a call; routers exchange these as messages. */
struct call_losses {
    std::uint64_t call{}; //!< Fingerprint of the call.
    std::vector<lost_run> runs{};
    std::optional<time_point> answered{}; //!< Time of the last successful answer; earlier losses don't count.

    friend bool operator==(const call_losses&, const call_losses&) = default;
};

/**
 * @brief Registry of calls whose runs were lost because the process of their endpoint exited, by fingerprint.
 *
 * An interrupted run counts once its endpoint's process is known to have exited, because connections break for other
 * reasons too. Of runs that overlap, or end at nearly the same time, only one counts, because one fault may end many
 * endpoints; a successful answer clears all earlier losses. Both keep calls from being refused that only happened to
 * run on these endpoints. Messages between routers are merged by union, so they may be lost, repeated and reordered.
 */
class lost_run_registry {
    struct entry {
        lost_run run{};
        bool is_confirmed{}; //!< The exit of the endpoint's process is known.
        bool is_local{};     //!< The run was lost at this router rather than reported by a peer.
    };
    struct record {
        std::vector<entry> runs{};
        std::optional<time_point> answered{};
        bool is_answer_local{}; //!< The answer was seen by this router rather than reported by a peer.
        time_point changed_at{};
    };

    [[nodiscard]] static std::size_t count_disjoint(std::vector<entry> runs, duration min_distance);
    [[nodiscard]] static std::size_t loss_count(const record& in);
    [[nodiscard]] static std::size_t lost_endpoint_count(const record& in);
    [[nodiscard]] static call_losses message_of(std::uint64_t call, const record& in, bool local_only);
    [[nodiscard]] static bool add(record& to, const entry& lost);
    static bool clear(record& in, time_point answered, bool is_local);
    [[nodiscard]] record& find_or_create(std::uint64_t call);
    [[nodiscard]] const record& find(std::uint64_t call) const; // Returns an empty record if the call is unknown.

public:
    using size_type = std::size_t;

    /*! @brief Number of counted losses from which a call is refused. */
    static constexpr size_type min_losses_to_refuse = 3;
    /*! @brief Number of lost runs, confirmed or not, from which a router doesn't retry a call by itself. */
    static constexpr size_type min_losses_to_stop_retries = 2;
    /*! @brief Endpoints that exit within this time count as one fault: twice the round-trip time between regions. */
    static constexpr duration same_fault_window = std::chrono::milliseconds{100};
    /*! @brief Time after its last change for which the record of a call is kept. */
    static constexpr duration retention_window = std::chrono::minutes{10};
    /*! @brief A process counts as alive if its exit isn't confirmed within this time after an interrupted run. */
    static constexpr duration confirmation_timeout = std::chrono::seconds{10};
    /*! @brief Number of lost endpoints from which routers also relay losses of a call that peers reported, in case the
     * routers that observed them are gone. Below it each router reports only its own losses, because a fault that ends
     * many endpoints interrupts many calls. */
    static constexpr size_type min_endpoints_to_relay = 2;
    /*! @brief Largest number of lost runs kept for a call. */
    static constexpr size_type max_runs_per_call = 8;
    /*! @brief Default limit of the number of calls: 64 calls on each of 64 endpoints that fail together. */
    static constexpr size_type default_capacity = 4'096;

    /*! @brief Creates an empty registry. @param capacity Largest number of calls, greater than 0. */
    explicit lost_run_registry(size_type capacity = default_capacity) noexcept : capacity_{capacity} {}

    /**
     * @brief Records a run whose connection broke or that stopped responding.
     * @param call Fingerprint of the call.
     * @param run The run.
     * @return True if the run counts at once because its process is known to have exited.
     */
    bool record_interrupted_run(std::uint64_t call, const lost_run& run);

    /*! @brief Records that a process exited. @return Fingerprints of the calls whose lost runs count from now on. */
    std::vector<std::uint64_t> record_process_exit(const endpoint_process& it, time_point now);

    /*! @brief Records that a process with interrupted runs is still alive. */
    void record_process_alive(const endpoint_process& it);

    /*! @brief Records a successful answer. @param call Fingerprint of the call. @param now Current time. */
    void record_answer(std::uint64_t call, time_point now);

    /*! @brief Merges a peer's message, its times converted to this router's clock. @return True if it was new. */
    bool merge(const call_losses& in, time_point now);

    /*! @brief Returns the number of a call's losses that count as separate faults. @param call Fingerprint. */
    [[nodiscard]] size_type loss_count(std::uint64_t call) const;

    /*! @brief Tells whether a call is refused. @param call Fingerprint. */
    [[nodiscard]] bool is_refused(std::uint64_t call) const { return loss_count(call) >= min_losses_to_refuse; }

    /*! @brief Tells whether a run of a call was lost, confirmed or not. @param call Fingerprint. */
    [[nodiscard]] bool is_suspected(std::uint64_t call) const;

    /**
     * @brief Returns the number of endpoints that exited while running a call, including those that count as one loss.
     * @param call Fingerprint.
     */
    [[nodiscard]] size_type lost_endpoint_count(std::uint64_t call) const;

    /*! @brief Tells whether a run lost now would count as the same fault as an earlier one. */
    [[nodiscard]] bool is_recently_lost(std::uint64_t call, time_point now) const;

    /*! @brief Tells whether this router lost a run of a call. @param call Fingerprint. */
    [[nodiscard]] bool has_local_loss(std::uint64_t call) const;

    /*! @brief Tells whether a retry of a call should be left to its caller. @param call Fingerprint. */
    [[nodiscard]] bool should_not_retry(std::uint64_t call) const;

    /*! @brief Returns the confirmed losses of a call. @param call Fingerprint. */
    [[nodiscard]] call_losses losses_of(std::uint64_t call) const;

    /*! @brief Returns the processes with interrupted runs whose exit is not confirmed yet. */
    [[nodiscard]] std::vector<endpoint_process> unconfirmed_processes() const;

    /**
     * @brief Returns the losses that this router reports to peers and that changed at a time or later.
     * @param since The time.
     */
    [[nodiscard]] std::vector<call_losses> changed_since(time_point since) const;

    /*! @brief Drops old records; to be called periodically. */
    void expire(time_point now);

    /*! @brief Returns the number of calls with a record. */
    [[nodiscard]] size_type size() const noexcept { return records_.size(); }

    /*! @brief Tells whether no call has a record. */
    [[nodiscard]] bool empty() const noexcept { return records_.empty(); }

private:
    size_type capacity_;
    std::map<std::uint64_t, record> records_{};
    std::map<endpoint_process, time_point> interrupted_{}; //!< Last interrupted run of each unconfirmed process.
    std::map<endpoint_process, time_point> exited_{};      //!< Kept because further connections may break later.
};

} // namespace dandelionbay
