#include "dandelionbay/member/heartbeat_echo.hpp"

#include <algorithm>

namespace dandelionbay {

void heartbeat_echo::stamp(heartbeat& beat, time_point now) {
    // With all numbers in use the last one is used again. Its time stays that of the first use, which is the safe side.
    if (sent_.size() < heartbeat_numbers - 1) {
        sent_.push_back(now);
    }
    beat.number = static_cast<std::uint8_t>((first_ + sent_.size() - 1) % heartbeat_numbers);
    beat.echo = received_.value_or(no_echo);
    const auto held = received_.has_value() ? std::max(duration{}, now - received_at_) : duration{};
    beat.echo_held_ms = static_cast<std::uint32_t>(
        std::min<std::int64_t>(std::chrono::floor<std::chrono::milliseconds>(held).count(), most_echo_held_ms));
    replied_ = received_.has_value();
}

std::optional<time_point> heartbeat_echo::on_heartbeat(const heartbeat& beat, time_point now) {
    if (received_ != beat.number) {
        received_ = beat.number;
        received_at_ = now;
    }
    if (beat.echo >= heartbeat_numbers) {
        return std::nullopt;
    }
    // Echoes on a link never go back, so this is the oldest heartbeat that can be meant.
    const std::size_t n = (beat.echo + heartbeat_numbers - first_) % heartbeat_numbers;
    if (n >= sent_.size()) {
        return std::nullopt;
    }
    sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(n));
    first_ = beat.echo;
    return std::min(now, sent_.front() + std::chrono::milliseconds{beat.echo_held_ms});
}

} // namespace dandelionbay
