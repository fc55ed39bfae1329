#include "dandelionbay/base/bounded_log.hpp"

#include <algorithm>
#include <string>

namespace dandelionbay {

namespace {

/*! Part of the burst that only warnings and errors may use. */
constexpr double reserved = bounded_log::burst / 5.0;

} // namespace

bool bounded_log::take() {
    const auto now = clock_->now();
    const double passed = std::chrono::duration<double>{now - filled_}.count();
    filled_ = now;
    tokens_ = std::min(burst, tokens_ + std::max(0.0, passed) * lines_per_s);
    return tokens_ >= 1.0;
}

void bounded_log::write(log_level level, std::string_view event, const event_log::fields& values) {
    if (log_ == nullptr) {
        return;
    }
    const bool allowed = take();
    const bool urgent = level == log_level::warn || level == log_level::error;
    if (!allowed || (!urgent && tokens_ < reserved)) {
        ++left_out_;
        return;
    }
    tokens_ -= 1.0;
    if (left_out_ > reported_ && filled_ - reported_at_ >= report_interval) {
        tokens_ -= 1.0;
        reported_at_ = filled_;
        log_->write(log_level::warn, "log_lines_left_out", {{"lines", std::to_string(left_out_ - reported_)}});
        reported_ = left_out_;
    }
    log_->write(level, event, values);
}

} // namespace dandelionbay
