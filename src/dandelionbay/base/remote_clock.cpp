#include "dandelionbay/base/remote_clock.hpp"

namespace dandelionbay {

void remote_clock::observe(time_point sent, duration remote) {
    const auto most_ahead = remote - sent.time_since_epoch() + allowance;
    while (!bounds_.empty() && bounds_.back().most_ahead >= most_ahead) {
        bounds_.pop_back();
    }
    bounds_.push_back(bound{most_ahead, sent});
    while (sent - bounds_.front().at >= kept) {
        bounds_.pop_front();
    }
}

time_point remote_clock::earliest(duration remote) const noexcept {
    return bounds_.empty() ? time_point::min() : time_point{remote - bounds_.front().most_ahead};
}

} // namespace dandelionbay
