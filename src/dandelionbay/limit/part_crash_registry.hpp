#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/gateway/endpoint_entry.hpp"
#include "dandelionbay/limit/fwd.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"

namespace dandelionbay {

/*! @brief A prompt part at the endpoints of one service. */
struct service_part {
    std::uint64_t service{}; //!< Fingerprint of the service's name.
    std::uint64_t id{};      //!< Id of the part; equal ids mean equal text.

    /*! @brief Returns a hash of both. */
    [[nodiscard]] std::uint64_t hash() const noexcept { return service ^ id; }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
    friend auto operator<=>(const service_part&, const service_part&) = default;
    friend bool operator==(const service_part&, const service_part&) = default;
};

/*! @brief A run whose answer had not proved its parts when its endpoint's process exited. */
struct unproven_run {
    std::uint64_t call{};              //!< Fingerprint of the call.
    std::vector<service_part> parts{}; //!< Parts of its prompt that other calls may share.
    std::optional<time_point> sent{};  //!< When the call was sent to the endpoint; empty if the reporter doesn't tell.

    friend bool operator==(const unproven_run&, const unproven_run&) = default;
};

/*! @brief The exit of a process and the runs of one router that it interrupted before their answers proved their parts.
 */
struct process_loss {
    endpoint_process process{};
    time_point ended{};
    std::vector<unproven_run> runs{};

    friend bool operator==(const process_loss&, const process_loss&) = default;
};

/*! @brief What is known of one part. */
struct part_status {
    service_part part{};
    std::optional<time_point> cleared{}; //!< Losses up to this time don't count: an answer proved the part then.
    std::optional<time_point> blocked{}; //!< Since when calls with the part are refused.

    friend bool operator==(const part_status&, const part_status&) = default;
};

/*! @brief Evidence that routers exchange as messages; merged by union, so it may be lost, repeated and reordered. */
struct part_evidence {
    std::vector<process_loss> losses{};
    std::vector<part_status> parts{};

    [[nodiscard]] bool empty() const noexcept { return losses.empty() && parts.empty(); }
    friend bool operator==(const part_evidence&, const part_evidence&) = default;
};

/*! @brief Parts that a peer's message blocked and unblocked. */
struct part_changes {
    std::vector<service_part> blocked{};
    std::vector<service_part> unblocked{};

    [[nodiscard]] bool empty() const noexcept { return blocked.empty() && unblocked.empty(); }
    friend bool operator==(const part_changes&, const part_changes&) = default;
};

/**
 * @brief Registry of prompt parts that crash the endpoints that begin an answer to them.
 *
 * An exited process has one cause among the runs there, at whichever router, whose answers had not proved their parts:
 * all these parts are suspects. An answer proves its parts sound when it is complete or has gone on for
 * proof_time: its first event doesn't, because the endpoint may exit on the next one. Of the remaining suspects, the
 * smallest set of parts that explains all losses is blocked: first the part that explains the most losses, of several
 * calls, unless another part explains the same ones. A loss that a blocked part explains says nothing about the others.
 * Losses are independent if the later run was sent after the earlier process exited: unrelated exits that follow each
 * other closely hit runs that were under way together, of a sound part too.
 */
class part_crash_registry {
    struct run_entry {
        unproven_run run{};
        bool is_local{}; //!< Observed by this router rather than reported by a peer.
    };
    struct loss {
        time_point ended{};
        bool is_confirmed{}; //!< The exit of the process is known.
        bool is_explained{}; //!< A blocked part may have caused it.
        std::vector<run_entry> runs{};
        time_point changed_at{};
    };
    struct record {
        std::optional<time_point> cleared{};
        std::optional<time_point> blocked{};
        std::optional<time_point> last_loss{};
        bool is_clearance_local{};
        time_point changed_at{};
    };
    struct candidate;
    struct unexplained_losses;
    struct part_hash {
        [[nodiscard]] std::size_t operator()(const service_part& it) const noexcept { return it.hash(); }
    };

    void note_suspects(const unproven_run& run, time_point ended, time_point now);
    [[nodiscard]] bool clear(record& in, time_point at, bool is_local, time_point now);
    /*! Tells whether a run's part is suspected of a loss at this time, or was cleared since. */
    [[nodiscard]] bool is_suspect(const service_part& part, time_point ended) const;
    [[nodiscard]] bool is_learning(time_point now) const;
    [[nodiscard]] bool has_blocked_suspect(const loss& it) const;
    void mark_explained();
    void block(const service_part& part, time_point at, time_point now);

    /*! Returns the processes whose exits a part may have caused. */
    [[nodiscard]] std::set<endpoint_process> losses_with(const service_part& part) const;

    /*! Unblocks the parts that are not needed as a cause because this one explains all their losses and more. */
    std::vector<service_part> unblock_explained_by(const service_part& cause, time_point now);
    void on_unblocked();

    /*! Returns the confirmed losses that no blocked part explains, and their suspects. */
    [[nodiscard]] unexplained_losses find_unexplained() const;
    /*! Returns the part that explains the most faults, if the evidence against it suffices. */
    [[nodiscard]] std::optional<service_part> find_cause(duration report_delay, time_point now);
    void limit_losses();

public:
    using size_type = std::size_t;

    /*! @brief Time from the first event after which an answer that goes on proves its parts. */
    static constexpr duration proof_time = std::chrono::milliseconds{500};
    /*! @brief Number of independent faults that block a part that no answer is known to have proved. */
    static constexpr size_type min_faults = 3;
    /*! @brief The same for a part that answers proved before: two causes that come with it explain as few as four. */
    static constexpr size_type min_faults_if_served = 5;
    /*! @brief Faults of other causes within other_faults_window that raise these numbers by one; twice as many raise
     * them by two, and so on: among many losses some parts meet by chance. */
    static constexpr size_type other_faults_per_step = 4;
    static constexpr duration other_faults_window = std::chrono::seconds{30};
    /*! @brief Mean number of suspects without a known answer in a loss that raises these numbers by one, too. */
    static constexpr size_type many_unserved_suspects = 5;
    /*! @brief Time after the first answer until which it says little that no answer to a part is known: two more faults
     * are needed, and a run of this router's own. */
    static constexpr duration learning_time = std::chrono::seconds{3};
    static constexpr size_type extra_faults_while_learning = 2;
    /*! @brief Faults for which one call counts at most, since it may itself be the cause. */
    static constexpr size_type max_faults_per_call = 2;
    /*! @brief Additional faults from which a part is blocked at once, even if others explain them as well, or if the
     * runs were under way together. */
    static constexpr size_type extra_faults_at_once = 2;
    /*! @brief Processes that exit within this time count as one fault. */
    static constexpr duration same_fault_window = lost_run_registry::same_fault_window;
    /*! @brief A suspect part runs in one call at a time, unless an answer proved it within this time before the
     *  loss. */
    static constexpr duration clearance_validity = std::chrono::seconds{10};
    /*! @brief Time for which losses, clearances and blocks are kept. */
    static constexpr duration retention_window = lost_run_registry::retention_window;
    /*! @brief A process counts as alive if its exit isn't confirmed within this time after an interrupted run. */
    static constexpr duration confirmation_timeout = lost_run_registry::confirmation_timeout;
    /*! @brief Limits of the number of losses, of the runs of each, and of the parts with a known proof. */
    static constexpr size_type max_losses = 64;
    static constexpr size_type max_runs_per_loss = 128;
    static constexpr size_type max_proven_parts = 16'384;

    /*! @brief Records that an answer proved its parts. @return Parts that were blocked until now. */
    std::vector<service_part> record_proof(const std::vector<service_part>& parts, time_point now);

    /*! @brief Records a run that was interrupted before its answer proved its parts. */
    void record_interrupted_run(const endpoint_process& process, const unproven_run& run, time_point now);

    /*! @brief Records that a process exited; its interrupted runs count from now on. */
    void record_process_exit(const endpoint_process& process, time_point now);

    /*! @brief Records that a process with interrupted runs is still alive. */
    void record_process_alive(const endpoint_process& process);

    /*! @brief Merges a peer's message, its times converted to this router's clock. */
    part_changes merge(const part_evidence& in, time_point now);

    /**
     * @brief Blocks parts by the evidence so far.
     * @param report_delay Time within which all routers have reported their runs of a loss.
     * @param now Current time.
     * @return Parts that are blocked from now on, and those that turned out to be sound.
     */
    part_changes review(duration report_delay, time_point now);

    /*! @brief Tells whether any part of a prompt is blocked. */
    [[nodiscard]] bool is_blocked(const std::vector<service_part>& parts) const;

    /*! @brief Returns the time of the last loss of a part that should run in one call at a time; else nothing. */
    [[nodiscard]] std::optional<time_point> suspected_since(const service_part& part) const;

    /*! @brief Returns the status of a part. */
    [[nodiscard]] part_status status_of(const service_part& part) const;

    /*! @brief Returns the number of faults that a part may have caused. */
    [[nodiscard]] size_type fault_count(const service_part& part) const;

    /*! @brief Returns what this router reports to peers and that changed at a time or later. */
    [[nodiscard]] part_evidence changed_since(time_point since) const;

    /*! @brief Returns the time of the last loss or block of this router. */
    [[nodiscard]] time_point last_urgent_change() const noexcept { return last_urgent_change_; }

    /*! @brief Drops old evidence; to be called periodically. */
    void expire(time_point now);

    /*! @brief Tells whether no process exited and no part is blocked. */
    [[nodiscard]] bool empty() const noexcept { return losses_.empty() && records_.empty(); }

private:
    std::map<endpoint_process, loss> losses_{};
    std::map<service_part, record> records_{}; //!< Parts of interrupted runs and blocked parts.
    size_type blocked_parts_{};
    std::optional<time_point> first_proof_{};
    time_point last_urgent_change_{};
    bool needs_review_{};
    std::optional<time_point> next_review_{}; //!< When a loss will have been reported by all routers.
    std::unordered_map<service_part, time_point, part_hash> proven_{}; //!< Last proof at this router.
};

} // namespace dandelionbay
