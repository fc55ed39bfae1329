#include "dandelionbay/standin/engine_load.hpp"

#include <algorithm>
#include <random>

#include "absl/strings/str_cat.h"
#include "dandelionbay/standin/http_host.hpp"

namespace dandelionbay::internal {

namespace {

// Factor by which a cold engine is slower.
constexpr double cold_slowdown = 4.0;

// Interval at which a run notices that its caller closed the connection.
constexpr duration close_check{20'000};

std::string new_process_name() {
    std::random_device source;
    return absl::StrCat(absl::Hex(source(), absl::kZeroPad8), absl::Hex(source(), absl::kZeroPad8));
}

duration scaled(duration time, double factor) noexcept {
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

} // namespace

engine_load::run::~run() {
    const std::lock_guard lock{load_->mutex_};
    if (ended_ || epoch_ != load_->epoch_) {
        return;
    }
    --load_->running_;
    ++load_->stats_.cancelled;
    load_->record(load_->clock_.now());
}

bool engine_load::run::next_token() {
    for (;;) {
        if (http_host::current_closed()) {
            return false;
        }
        std::unique_lock lock{load_->mutex_};
        if (epoch_ != load_->epoch_ || load_->stopped_) {
            return false;
        }
        const auto now = load_->clock_.now();
        if (now >= next_ && !load_->hanging_) {
            next_ = std::max(next_, now - close_check) + load_->token_interval(now);
            ++load_->stats_.output_tokens;
            return true;
        }
        const auto pause = load_->hanging_ ? close_check : std::min(close_check, next_ - now);
        load_->changed_.wait_for(lock, pause);
    }
}

void engine_load::run::complete() {
    const std::lock_guard lock{load_->mutex_};
    if (!ended_ && epoch_ == load_->epoch_) {
        --load_->running_;
        ++load_->stats_.completed;
        load_->record(load_->clock_.now());
    }
    ended_ = true;
}

engine_load::engine_load(const standin_engine_options& options) : options_{options} {
    start_process(clock_.now(), options_.cold_time);
}

void engine_load::record(time_point now) {
    history_.push_back({now, process_, cold_until_, running_});
    while (history_.size() > 1 && history_[1].at <= now - options_.state_lag) {
        history_.pop_front();
    }
}

void engine_load::start_process(time_point now, std::chrono::milliseconds cold_time) {
    process_ = new_process_name();
    cold_until_ = now + cold_time;
    running_ = 0;
    // The lag is that of the process which answers; a new one can't report the state of its predecessor.
    history_.clear();
    record(now);
}

duration engine_load::first_token_delay(time_point now) const noexcept {
    return scaled(options_.first_token, cold_at(now) ? cold_slowdown : 1.0);
}

duration engine_load::token_interval(time_point now) const noexcept {
    const auto others = static_cast<double>(std::max(running_, 1U) - 1);
    const auto overload = std::max(1.0, static_cast<double>(running_) / static_cast<double>(options_.slots));
    return scaled(options_.token_interval,
                  (1.0 + options_.interval_growth * others) * overload * (cold_at(now) ? cold_slowdown : 1.0));
}

std::shared_ptr<engine_load::run> engine_load::begin() {
    const std::lock_guard lock{mutex_};
    const auto now = clock_.now();
    ++stats_.started;
    if (cold_at(now) && running_ + 1 > options_.cold_slots) {
        ++stats_.cold_violations;
    }
    if (cold_at(now) && running_ + 1 > options_.cold_slots && running_ + 1 >= options_.slots) {
        ++stats_.failed;
        cold_until_ = now + options_.cold_time;
        record(now);
        return nullptr;
    }
    ++running_;
    stats_.max_running = std::max(stats_.max_running, running_);
    record(now);
    return std::make_shared<run>(*this, epoch_, now + first_token_delay(now));
}

void engine_load::crash(std::chrono::milliseconds cold_time) {
    const std::lock_guard lock{mutex_};
    ++epoch_;
    ++stats_.crashes;
    start_process(clock_.now(), cold_time);
    started_at_ = clock_.now() + options_.restart_time;
    changed_.notify_all();
}

bool engine_load::starting() const {
    const std::lock_guard lock{mutex_};
    return clock_.now() < started_at_;
}

void engine_load::stop() {
    const std::lock_guard lock{mutex_};
    stopped_ = true;
    changed_.notify_all();
}

void engine_load::make_cold(duration length) {
    const std::lock_guard lock{mutex_};
    const auto now = clock_.now();
    cold_until_ = now + length;
    record(now);
}

void engine_load::set_hanging(bool hanging) {
    const std::lock_guard lock{mutex_};
    hanging_ = hanging;
    changed_.notify_all();
}

engine_report engine_load::lagging_report() {
    const std::lock_guard lock{mutex_};
    const auto then = clock_.now() - options_.state_lag;
    const auto* seen = &history_.front();
    for (const auto& it : history_) {
        seen = it.at <= then ? &it : seen;
    }
    return {seen->process, std::max(then, seen->at) < seen->cold_until, seen->running};
}

engine_report engine_load::report() const {
    const std::lock_guard lock{mutex_};
    return {process_, cold_at(clock_.now()), running_};
}

engine_stats engine_load::stats() const {
    const std::lock_guard lock{mutex_};
    return stats_;
}

} // namespace dandelionbay::internal
