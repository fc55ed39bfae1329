#include "dandelionbay/base/bounded_log.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace dandelionbay {

namespace {

/*! One part in this many of the burst is for warnings and errors only. */
constexpr double reserved_parts = 5.0;

[[nodiscard]] std::string name_of(log_subject subject) {
    return subject == log_subject::calls ? "calls" : "facts";
}

} // namespace

bounded_log::bounded_log(std::shared_ptr<event_log> log, const clock& time) : log_{std::move(log)}, clock_{&time} {
    for (std::size_t n = 0; n < allowances_.size(); ++n) {
        allowances_.at(n).tokens = burst.at(n);
    }
}

bool bounded_log::takes(log_subject subject, log_level level) {
    if (log_ == nullptr) {
        return false;
    }
    auto& it = of(subject);
    const double most = burst.at(static_cast<std::size_t>(subject));
    const auto now = clock_->now();
    const double passed = std::chrono::duration<double>{now - it.filled}.count();
    it.filled = now;
    it.tokens = std::min(most, it.tokens + std::max(0.0, passed) * lines_per_s.at(static_cast<std::size_t>(subject)));
    const bool urgent = level == log_level::warn || level == log_level::error;
    if (it.tokens < 1.0 || (!urgent && it.tokens < most / reserved_parts)) {
        ++it.left_out;
        return false;
    }
    return true;
}

void bounded_log::emit(log_subject subject, log_level level, std::string_view event, const event_log::fields& values) {
    auto& it = of(subject);
    it.tokens -= 1.0;
    if (it.left_out > it.reported && it.filled - it.reported_at >= report_interval) {
        it.tokens -= 1.0;
        it.reported_at = it.filled;
        log_->write(log_level::warn, "log_lines_left_out",
                    {{"subject", name_of(subject)}, {"lines", std::to_string(it.left_out - it.reported)}});
        it.reported = it.left_out;
    }
    log_->write(level, event, values);
}

bool bounded_log::write(log_level level, std::string_view event, const event_log::fields& values) {
    const bool is_written = takes(log_subject::facts, level);
    if (is_written) {
        emit(log_subject::facts, level, event, values);
    }
    return is_written;
}

std::uint64_t bounded_log::left_out() const noexcept {
    std::uint64_t out = 0;
    for (const auto& it : allowances_) {
        out += it.left_out;
    }
    return out;
}

} // namespace dandelionbay
