#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay::soak {

/*! @brief Events on paused time; events of the same time run in the order in which they were added. */
class event_queue {
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
    };

    struct later {
        bool operator()(const event& a, const event& b) const {
            return std::pair{a.at, a.order} > std::pair{b.at, b.order};
        }
    };

public:
    [[nodiscard]] time_point now() const noexcept { return now_; }

    void at(time_point when, std::function<void()> run) {
        events_.push({std::max(when, now_), ++order_, std::move(run)});
    }

    void after(duration delay, std::function<void()> run) { at(now_ + delay, std::move(run)); }

    void run_until(time_point end) {
        while (!events_.empty() && events_.top().at <= end) {
            auto run = events_.top().run;
            now_ = events_.top().at;
            events_.pop();
            run();
        }
        now_ = end;
    }

private:
    std::priority_queue<event, std::vector<event>, later> events_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t order_{};
};

} // namespace dandelionbay::soak
