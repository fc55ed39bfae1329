#include "dandelionbay/node/mailbox.hpp"

#include <future>
#include <memory>
#include <random>
#include <utility>

namespace dandelionbay {

namespace {

constexpr std::chrono::seconds call_limit{2};

} // namespace

mailbox::mailbox(std::chrono::milliseconds interval, task tick) : interval_{interval}, tick_{std::move(tick)} {}

mailbox::~mailbox() {
    stop();
}

void mailbox::start() {
    thread_ = std::thread{[this] { run(); }};
}

void mailbox::stop() noexcept {
    {
        const std::lock_guard lock{mutex_};
        ended_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void mailbox::post(task it) {
    const std::lock_guard lock{mutex_};
    if (!ended_) {
        tasks_.push_back(std::move(it));
        changed_.notify_one();
    }
}

bool mailbox::call(task it) {
    auto done = std::make_shared<std::promise<void>>();
    auto ready = done->get_future();
    post([done, it = std::move(it)] {
        it();
        done->set_value();
    });
    return ready.wait_for(call_limit) == std::future_status::ready;
}

void mailbox::run() {
    cpu_.note_current_thread();
    std::vector<task> batch;
    auto next_tick = std::chrono::steady_clock::now();
    for (;;) {
        {
            std::unique_lock lock{mutex_};
            changed_.wait_until(lock, next_tick, [this] { return ended_ || !tasks_.empty(); });
            batch.swap(tasks_);
            if (ended_ && batch.empty()) {
                return;
            }
        }
        for (auto& it : batch) {
            it();
        }
        batch.clear();
        if (std::chrono::steady_clock::now() >= next_tick) {
            tick_();
            next_tick = std::chrono::steady_clock::now() + interval_;
        }
    }
}

repeater::repeater(std::chrono::milliseconds interval, double jitter, std::function<void()> work)
    : interval_{interval}, jitter_{jitter}, work_{std::move(work)} {}

repeater::~repeater() {
    stop();
}

void repeater::start(std::uint64_t seed) {
    thread_ = std::thread{[this, seed] { run(seed); }};
}

void repeater::wake() {
    {
        const std::lock_guard lock{mutex_};
        woken_ = true;
    }
    changed_.notify_all();
}

void repeater::stop() noexcept {
    {
        const std::lock_guard lock{mutex_};
        ended_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void repeater::run(std::uint64_t seed) {
    cpu_.note_current_thread();
    std::mt19937_64 random{seed};
    std::uniform_real_distribution<double> factor{1.0 - jitter_, 1.0 + jitter_};
    std::unique_lock lock{mutex_};
    while (!ended_) {
        woken_ = false;
        lock.unlock();
        work_();
        lock.lock();
        const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(interval_ * factor(random));
        changed_.wait_for(lock, wait, [this] { return ended_ || woken_; });
    }
}

} // namespace dandelionbay
