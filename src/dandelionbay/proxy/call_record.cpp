#include "dandelionbay/proxy/call_record.hpp"

#include "absl/strings/str_format.h"
#include "dandelionbay/base/fingerprint.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/limit/lost_run_registry.hpp"
#include "dandelionbay/limit/part_crash_registry.hpp"

namespace dandelionbay {

namespace {

[[nodiscard]] std::string to_text(duration it) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(it).count());
}

[[nodiscard]] std::string to_text(const std::optional<duration>& it) {
    return it ? to_text(*it) : std::string{};
}

[[nodiscard]] std::string to_text(double ms) {
    return std::to_string(static_cast<std::int64_t>(ms));
}

/*! Returns the ids of the parts that other calls may share. */
[[nodiscard]] std::string shared_parts_text(const std::vector<prompt_part>& parts) {
    std::string out;
    for (const auto& it : shared_parts(parts)) {
        out += concat(out.empty() ? "" : ",", absl::Hex(it.id));
    }
    return out;
}

} // namespace

void log_attempt_failed(bounded_log& log, const call_record& it, std::string_view reason) {
    log.write_call(log_level::warn, "attempt_failed", [&] {
        return event_log::fields{{"request", it.request},
                                 {"call", fingerprint_text(it.call)},
                                 {"endpoint", it.choice.endpoint.value},
                                 {"endpoint_started", std::to_string(it.choice.process_started)},
                                 {"reason", std::string{reason}},
                                 {"parts", shared_parts_text(it.parts)},
                                 {"begun", it.has_begun ? "yes" : "no"},
                                 {"proven", it.has_proven_parts ? "yes" : "no"},
                                 {"waited_ms", to_text(it.waited)},
                                 {"list_age_ms", to_text(it.list_age)},
                                 {"may_have_run", std::to_string(it.runs)},
                                 {"after_ms", to_text(it.total)}};
    });
}

void log_endpoint_silent(bounded_log& log, const call_record& it, const silence_record& silence) {
    log.write_call(log_level::info, "endpoint_silent", [&] {
        return event_log::fields{{"request", it.request},
                                 {"call", fingerprint_text(it.call)},
                                 {"endpoint", it.choice.endpoint.value},
                                 {"silent_ms", to_text(silence.silence)},
                                 {"loop_late_ms", to_text(silence.loop_lateness)},
                                 {"stalled", silence.stalled ? "yes" : "no"},
                                 {"asked", silence.hedged_at.value},
                                 {"after_ms", to_text(it.total)}};
    });
}

void log_silence_ended(bounded_log& log, const call_record& it, bool taken_over) {
    log.write_call(log_level::info, "silence_ended", [&] {
        return event_log::fields{{"request", it.request},
                                 {"call", fingerprint_text(it.call)},
                                 {"endpoint", it.choice.endpoint.value},
                                 {"taken_over", taken_over ? "yes" : "no"},
                                 {"after_ms", to_text(it.total)}};
    });
}

bool log_call_ended(bounded_log& log, record_maker make, std::string_view outcome, int status) {
    return log.write_call(log_level::info, "call_ended", [&] {
        const auto it = make();
        return event_log::fields{{"request", it.request},
                                 {"call", fingerprint_text(it.call)},
                                 {"outcome", std::string{outcome}},
                                 {"parts", shared_parts_text(it.parts)},
                                 {"status", std::to_string(status)},
                                 {"route", it.route},
                                 {"team", it.team.value},
                                 {"service", it.service.value},
                                 {"endpoint", it.choice.endpoint.value},
                                 {"version", it.choice.version.value},
                                 {"sends", std::to_string(it.sends)},
                                 {"may_have_run", std::to_string(it.runs)},
                                 {"waited_ms", to_text(it.waited)},
                                 {"backlog_ms", to_text(it.choice.backlog_ms)},
                                 {"unread_tokens", to_text(it.choice.unread_tokens)},
                                 {"cold", it.choice.cold ? "yes" : "no"},
                                 {"list_age_ms", to_text(it.list_age)},
                                 {"first_ms", to_text(it.first)},
                                 {"total_ms", to_text(it.total)},
                                 {"cost", to_text(it.cost)},
                                 {"target_ms", to_text(it.target)},
                                 {"read_late_ms", to_text(it.read_delay)},
                                 {"contended", it.rank ? (it.rank->contended ? "yes" : "no") : ""},
                                 {"team_excess", it.rank ? absl::StrFormat("%.2f", it.rank->excess) : std::string{}},
                                 {"ahead_ms", to_text(it.ahead_ms)},
                                 {"admitted_share", absl::StrFormat("%.2f", it.admitted.share)},
                                 {"queueing_delay_ms", to_text(it.admitted.queueing_delay_ms)},
                                 {"waiting_calls", std::to_string(it.waiting_calls)},
                                 {"caller_end", it.caller_end},
                                 {"config", it.config_version == 0 ? std::string{} : std::to_string(it.config_version)},
                                 {"config_age_ms", to_text(it.config_age)}};
    });
}

void log_copy_waits(bounded_log& log, std::string_view request, std::uint64_t call, const lost_run_registry& losses) {
    log.write_call(log_level::info, "copy_waits", [&] {
        return event_log::fields{{"request", std::string{request}},
                                 {"call", fingerprint_text(call)},
                                 {"losses", std::to_string(losses.loss_count(call))}};
    });
}

void log_call_lost_again(bounded_log& log, std::uint64_t call, const lost_run_registry& losses, std::string_view from) {
    log.write_call(log_level::warn, "call_lost_again", [&] {
        return event_log::fields{{"call", fingerprint_text(call)},
                                 {"losses", std::to_string(losses.loss_count(call))},
                                 {"refused", losses.is_refused(call) ? "yes" : "no"},
                                 {"from", std::string{from}}};
    });
}

void log_part_blocked(bounded_log& log, const service_part& part, const part_crash_registry& evidence,
                      std::string_view from) {
    log.write(log_level::warn, "part_blocked",
              {{"part", concat(absl::Hex(part.id))},
               {"service", fingerprint_text(part.service)},
               {"faults", std::to_string(evidence.fault_count(part))},
               {"served_before", evidence.status_of(part).cleared ? "yes" : "no"},
               {"from", std::string{from}}});
}

void log_part_unblocked(bounded_log& log, const service_part& part, std::string_view from) {
    log.write(log_level::info, "part_unblocked",
              {{"part", concat(absl::Hex(part.id))},
               {"service", fingerprint_text(part.service)},
               {"from", std::string{from}}});
}

} // namespace dandelionbay
