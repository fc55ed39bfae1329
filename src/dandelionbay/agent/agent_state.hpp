#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dandelionbay/agent/admission_history.hpp"
#include "dandelionbay/agent/agent_core.hpp"
#include "dandelionbay/agent/answer_buffer.hpp"
#include "dandelionbay/agent/demand_table.hpp"
#include "dandelionbay/agent/floor_table.hpp"
#include "dandelionbay/agent/grant_table.hpp"
#include "dandelionbay/fair/leading_credit.hpp"
#include "dandelionbay/fair/weighted_round_robin.hpp"
#include "dandelionbay/limit/byte_budget.hpp"
#include "dandelionbay/limit/crash_registry.hpp"
#include "dandelionbay/limit/ramp_limiter.hpp"

namespace dandelionbay {

namespace internal {

/*! @brief Longest one exchange between router and agent takes in normal operation. */
inline constexpr duration max_exchange_duration = std::chrono::milliseconds{100};

/*! @brief A router whose link broke may resume its answers within this time. */
inline constexpr duration resume_window = std::chrono::seconds{5};

/*! @brief How long a finished answer is kept for a router to resume. */
inline constexpr duration answer_retention = std::chrono::seconds{10};

/*! @brief Bytes of finished answers that are kept in total. */
inline constexpr std::size_t max_retained_bytes = 16U << 20U;

/*! @brief After the start, grants wait this long for the endpoint's first load report. */
inline constexpr duration first_report_timeout = std::chrono::seconds{1};

/*! @brief Pause before work is tried at an endpoint that did not answer and sends no reports. */
inline constexpr duration lost_endpoint_backoff = std::chrono::seconds{2};

/*!
 * @brief Time that one request for the endpoint's state may take.
 *
 * A sound endpoint may be silent for about a second, so an endpoint counts as lost only when this time passes twice.
 */
inline constexpr duration report_timeout = std::chrono::seconds{1};

/*! @brief Pause of grants after the endpoint refused a request, so that requests don't circulate. */
inline constexpr duration refusal_backoff = std::chrono::milliseconds{200};

/*!
 * @brief An idle endpoint that was not heard of for this long may be a new and cold process.
 *
 * Shorter than a process takes to end and to listen again, so that work sent within it meets the known process.
 */
inline constexpr duration max_contact_age = std::chrono::milliseconds{50};

/*! @brief Largest number of suspected fingerprints an agent remembers; it knows mostly those of its own endpoint. */
inline constexpr std::size_t max_suspicions = 1'024;

/*! @brief Runs that broke off this shortly before a crash was noticed count as present at the crash. */
inline constexpr duration crash_window = std::chrono::seconds{1};

} // namespace internal

/*! @brief State and decisions of an agent; each event function appends to the actions given to it. */
class agent_core::state {
    struct link_state {
        hello peer{};
        bool up{};
        bool leaving{};
        bool remote{};
        bool other_zone{};
        time_point down_since{};
        std::uint64_t last_grant{};   //!< Position of its last grant in the order of all grants.
        time_point no_spares_until{}; //!< It returned grants unasked and gets none ahead of need until then.
    };

    struct run_state {
        submit work{}; //!< Without the body.
        time_point started{};
        time_point deadline{};
        std::uint64_t request_bytes{};
        std::uint32_t input_tokens{};
        std::uint32_t crashes{};               //!< Highest known suspicion at the start.
        std::vector<crash_id> known_crashes{}; //!< Crashes that counted against it at the start.
        bool remote{};
        double remote_bytes{}; //!< Bytes taken from the budget between regions.
        bool attached{true};   //!< The router's link carries the answer.
        bool abandoned{};      //!< Nobody wants the answer.
        bool has_output{};     //!< The first byte or token came.
        bool is_overdue{};     //!< The late first token was noticed.
        bool has_head{};
        result_code cancel_reason{result_code::ok}; //!< Why it was cancelled.
        head response_head{};
        internal::answer_buffer answer{};
        std::optional<finish> end{}; //!< Set when the run is over.
        bool end_sent{};
        time_point ended{};
    };

    struct team_state {
        bool allowed{};
        double weight{1.0};
    };

    struct candidate {
        host_id router{};
        pool_id pool{};
        team_id team{};
        double counter{};
        bool suspects_only{};
        bool remote{};
        bool other_zone{};
        std::uint64_t last_grant{};
        double share_ahead{};    //!< Share of the weights of teams ahead that only routers without owed teams have.
        bool ahead{};            //!< Chosen for such a team.
        double ahead_position{}; //!< Position of such a team among the others.
    };

    struct broken_run {
        std::uint64_t fingerprint{};
        time_point ended{};
    };

    /*! @brief A submission that waits until the endpoint's state is known. */
    struct deferred_submission {
        host_id router{};
        submit work{};
        time_point since{};
    };

    using run_map = std::map<request_id, run_state>;

    // agent_state.cpp: configuration and state of the endpoint.
    void configure(time_point now);
    void mark_endpoint_lost(time_point now, actions& out);
    [[nodiscard]] bool clear_silence() noexcept;
    [[nodiscard]] bool record_contact(time_point now) noexcept;
    void apply_leaving(bool was_leaving, actions& out);
    [[nodiscard]] std::optional<result_code> refusal_reason(time_point now) const;
    [[nodiscard]] bool can_grant(time_point now) const;
    [[nodiscard]] std::uint32_t used_slots() const noexcept;
    void record_violation(std::string_view reason);

    // agent_grants.cpp: grants.
    [[nodiscard]] std::optional<candidate> choose_candidate(time_point now) const;
    [[nodiscard]] candidate limit_catch_up(candidate first, time_point now) const;
    [[nodiscard]] bool is_reachable(const host_id& router, const internal::waiting_work& work, time_point now) const;
    void consider_router(const internal::demand_table::key_type& key, const internal::waiting_work& work,
                         time_point now,
                         std::map<pool_id, std::pair<std::optional<candidate>, std::optional<candidate>>>& best) const;
    [[nodiscard]] std::uint32_t unmet_demand(const host_id& router, const pool_id& pool,
                                             const internal::waiting_work& work, bool suspects_allowed) const;
    [[nodiscard]] double effective_counter(const pool_id& pool, const internal::waiting_team& team) const;
    [[nodiscard]] bool is_allowed(const team_id& team) const;
    [[nodiscard]] double team_weight(const team_id& team) const;
    [[nodiscard]] bool has_suspect() const;
    [[nodiscard]] std::optional<candidate> choose_spare(time_point now) const;
    void issue(const candidate& to, bool spare, time_point now);
    void refund_unused(const std::vector<internal::outstanding_grant>& unused, time_point now);
    void send_grants(actions& out);
    void recall_all(std::string_view reason, actions& out);
    void recall_for_demand(time_point now, actions& out);
    void recall_excess(actions& out);
    void recall_grants(const std::set<grant_id>& ids, std::string_view reason, actions& out);
    void check_idle_slots(time_point now);

    // agent_admission.cpp: submissions.
    [[nodiscard]] result_code check_submission(const submit& it, const std::optional<internal::outstanding_grant>& held,
                                               std::uint32_t crashes, time_point now) const;
    void reject(const host_id& to, const submit& it, result_code code, actions& out);
    void on_submit(const host_id& from, const submit& it, time_point now, actions& out);
    [[nodiscard]] bool must_check_endpoint(time_point now) const;
    void defer_submission(const host_id& from, const submit& it, time_point now, actions& out);
    void process_deferred(time_point now, actions& out);
    [[nodiscard]] bool cancel_deferred(const host_id& from, const request_id& id, time_point now);

    // agent_runs.cpp: runs and answers.
    void end_run(run_map::iterator it, result_code code, executed outcome, time_point now, actions& out);
    [[nodiscard]] run_state* find_run(const request_id& id);
    void end_unstarted(run_map::iterator it, time_point now, actions& out);
    void handle_crash(time_point now, actions& out);
    void record_suspect(std::uint64_t fingerprint, crash_id id, time_point now, actions& out);
    void request_cancel(run_state& run, result_code why, actions& out);
    void resume_answer(const host_id& from, const resume& it, actions& out);
    void check_runs(time_point now, actions& out);
    void expire_answers(time_point now);
    void drop_answer(const request_id& id);
    void broadcast(const message& body, actions& out) const;
    [[nodiscard]] bool is_linked(const host_id& router) const;

    // agent_links.cpp: links and messages.
    void on_message(const host_id& from, const heartbeat& it, time_point now, actions& out);
    void on_message(const host_id& from, const demand& it, time_point now, actions& out);
    void on_message(const host_id& from, const returned& it, time_point now, actions& out);
    void on_message(const host_id& from, const submit& it, time_point now, actions& out);
    void on_message(const host_id& from, const cancel& it, time_point now, actions& out);
    void on_message(const host_id& from, const resume& it, time_point now, actions& out);
    void on_message(const host_id& from, const suspicion& it, time_point now, actions& out);
    void abandon_runs(const host_id& router, actions& out);

public:
    state(agent_settings settings, counters& metrics);

    void apply(std::shared_ptr<const fleet_config> config, time_point now, actions& out);
    void set_fresh(bool fresh, time_point now, actions& out);
    void set_host_leaving(bool leaving, time_point now, actions& out);
    void link_up(const hello& peer, time_point now, actions& out);
    void link_down(const host_id& peer, time_point now, actions& out);
    void receive(const host_id& from, const message& body, time_point now, actions& out);
    void run_head(const request_id& id, std::int32_t status, std::vector<header_field> headers, time_point now,
                  actions& out);
    /*! @brief As agent_core::run_data. @return True if update_grants() has to follow. */
    [[nodiscard]] bool run_data(const request_id& id, std::string data, std::uint32_t tokens, time_point now,
                                actions& out);
    void run_broke(const request_id& id);
    void run_ended(const request_id& id, run_end end, std::uint32_t input_tokens, time_point now, actions& out);
    void report(const load_report& report, time_point now, actions& out);
    void endpoint_lost(time_point now, actions& out);
    void report_timed_out(time_point now, actions& out);
    void tick(time_point now, actions& out);
    void begin_stop(time_point now, actions& out);

    /*! @brief Issues and recalls grants after an event; to be called once after each. */
    void update_grants(time_point now, actions& out);

    [[nodiscard]] bool idle() const noexcept;
    [[nodiscard]] std::uint32_t limit() const noexcept { return ramp_.limit(); }
    [[nodiscard]] std::uint32_t running() const noexcept { return static_cast<std::uint32_t>(runs_.size()); }
    [[nodiscard]] time_point next_deadline() const noexcept;

private:
    agent_settings settings_;
    counters& metrics_;

    std::shared_ptr<const fleet_config> config_{};
    std::set<pool_id> pools_{}; //!< Pools this endpoint belongs to.
    std::map<team_id, team_state> teams_{};
    bool is_zone_out_{true};
    bool is_endpoint_leaving_{true};
    bool is_host_leaving_{};
    bool is_configuration_fresh_{}; //!< Initially as in the driver, which reports changes only.
    bool is_stopping_{};

    ramp_limiter ramp_{};
    std::string process_{}; //!< Identity of the endpoint's process; empty before the first report.
    std::optional<time_point> first_report_wait_start_{}; //!< When the wait for the first report began.
    bool is_first_report_wait_over_{};                    //!< A report came, or the wait for it is over.
    std::uint32_t orphaned_runs_{};            //!< Runs at the endpoint that an earlier life of this agent started.
    std::uint32_t max_running_since_report_{}; //!< Most own runs since the last report.
    std::optional<time_point> paused_until_{}; //!< The endpoint did not answer or refused work.
    bool is_endpoint_lost_{};
    std::optional<time_point>
        silent_since_{}; //!< First late report since the endpoint was heard of; is_endpoint_lost_ is then set.
    std::string crashed_process_{}; //!< Late reports of this process don't end the loss.
    time_point last_event_{};       //!< Time of the last event.

    std::map<host_id, link_state> links_{};
    internal::demand_table demands_{};
    internal::floor_table floors_{};
    internal::grant_table grants_;
    std::map<pool_id, std::uint64_t>
        last_pool_grant_{}; //!< Position of each pool's last grant in the order of all grants.
    std::map<pool_id, leading_credit> credit_ahead_{};
    std::map<pool_id, weighted_round_robin> ahead_turns_{};
    std::uint64_t grant_sequence_{};
    std::map<std::pair<host_id, std::pair<pool_id, bool>>, grant> unsent_grants_{}; //!< To be sent after the event.
    byte_budget remote_budget_;
    double mean_cost_{1.0};       //!< Moving average of a request's cost, in cost units.
    double mean_bytes_{16'384.0}; //!< Moving average of a request's bytes in both directions.
    std::optional<time_point> idle_since_{};

    std::optional<time_point> last_contact_{};    //!< The endpoint's present process was last heard of.
    bool has_unexplained_break_{};                //!< A call broke and the endpoint was not heard of since.
    std::vector<deferred_submission> deferred_{}; //!< Wait for the answer to check_endpoint.
    internal::admission_history admitted_{};
    run_map runs_{};  //!< Runs at the endpoint.
    run_map ended_{}; //!< Ended runs whose answer is kept.
    std::set<std::pair<time_point, request_id>> ended_by_time_{};
    std::size_t ended_bytes_{};
    crash_registry suspicions_{internal::max_suspicions};
    std::uint16_t crash_sequence_{}; //!< Crashes of the endpoint that this incarnation has seen.
    std::deque<broken_run> broken_runs_{};
};

} // namespace dandelionbay
