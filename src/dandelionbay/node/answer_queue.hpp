#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

#include "dandelionbay/http/caller_gate.hpp"

namespace dandelionbay {

/*! @brief Parts of one answer on their way from the driver's thread to the thread of the caller's connection. */
class answer_queue final : public answer_source {
public:
    /*! @brief Creates an empty queue. @param max_bytes Bytes it may hold. @param cancelled Called by cancel(). */
    answer_queue(std::size_t max_bytes, std::function<void()> cancelled)
        : max_bytes_{max_bytes}, cancelled_{std::move(cancelled)} {}

    /*! @brief Adds a part. @param event The part. @return False if the caller reads too slowly. */
    [[nodiscard]] bool push(answer_event event) {
        const std::lock_guard lock{mutex_};
        if (const auto* data = std::get_if<answer_data>(&event)) {
            if (bytes_ + data->data.size() > max_bytes_) {
                return false;
            }
            bytes_ += data->data.size();
        }
        events_.push_back(std::move(event));
        changed_.notify_one();
        return true;
    }

    [[nodiscard]] std::optional<answer_event> next(std::chrono::milliseconds wait) override {
        std::unique_lock lock{mutex_};
        if (!changed_.wait_for(lock, wait, [this] { return !events_.empty(); })) {
            return std::nullopt;
        }
        auto event = std::move(events_.front());
        events_.pop_front();
        if (const auto* data = std::get_if<answer_data>(&event)) {
            bytes_ -= data->data.size();
        }
        return event;
    }

    void cancel() noexcept override { cancelled_(); }

private:
    std::size_t max_bytes_;
    std::function<void()> cancelled_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<answer_event> events_;
    std::size_t bytes_{};
};

} // namespace dandelionbay
