#include "dandelionbay/member/heartbeat_echo.hpp"

#include <algorithm>

namespace dandelionbay {

void heartbeat_echo::stamp(heartbeat& beat, time_point now) {
    // When all numbers are in use, the last one is used again. It keeps the time of its first use, which is a lower
    // bound.
    if (sent_at_.size() < heartbeat_numbers - 1) {
        sent_at_.push_back(now);
    }
    beat.number = static_cast<std::uint8_t>((first_number_ + sent_at_.size() - 1) % heartbeat_numbers);
    beat.echo = last_received_.value_or(no_echo);
    const auto held = last_received_.has_value() ? std::max(duration{}, now - received_at_) : duration{};
    beat.echo_held_ms = static_cast<std::uint32_t>(
        std::min<std::int64_t>(std::chrono::floor<std::chrono::milliseconds>(held).count(), most_echo_held_ms));
    has_replied_ = last_received_.has_value();
}

std::optional<time_point> heartbeat_echo::on_heartbeat(const heartbeat& beat, time_point now) {
    if (last_received_ != beat.number) {
        last_received_ = beat.number;
        received_at_ = now;
    }
    if (beat.echo >= heartbeat_numbers) {
        return std::nullopt;
    }
    // The echoed numbers on a link never decrease, so this is the oldest heartbeat that the number can refer to.
    const std::size_t offset = (beat.echo + heartbeat_numbers - first_number_) % heartbeat_numbers;
    if (offset >= sent_at_.size()) {
        return std::nullopt;
    }
    sent_at_.erase(sent_at_.begin(), sent_at_.begin() + static_cast<std::ptrdiff_t>(offset));
    first_number_ = beat.echo;
    return std::min(now, sent_at_.front() + std::chrono::milliseconds{beat.echo_held_ms});
}

} // namespace dandelionbay
