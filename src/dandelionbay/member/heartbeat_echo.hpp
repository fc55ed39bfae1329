#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/**
 * @brief Numbers the heartbeats of one link and bounds the times at which the peer sent its own.
 *
 * A heartbeat names the newest heartbeat that its sender had received, and for how long it had it. It was therefore
 * sent not earlier than the named one plus that time, by this host's clock; how long it travelled does not matter. A
 * new link needs a new object, because the numbers count on one link only.
 */
class heartbeat_echo {
public:
    /**
     * @brief Writes the number and the echo into a heartbeat that is sent now.
     * @param beat The heartbeat; its other members are left as they are.
     * @param now Current time; ages in the heartbeat must be as of now.
     */
    void stamp(heartbeat& beat, time_point now);

    /**
     * @brief A heartbeat of the peer arrived.
     * @param beat It.
     * @param now Current time.
     * @return A time that is not later than its sending, or nothing if it echoes no known heartbeat.
     */
    [[nodiscard]] std::optional<time_point> on_heartbeat(const heartbeat& beat, time_point now);

    /*! @brief Tells whether the peer's first heartbeat arrived and none was sent since; one should be sent at once. */
    [[nodiscard]] bool is_reply_due() const noexcept { return received_.has_value() && !replied_; }

private:
    std::deque<time_point> sent_;            //!< Times of the heartbeats from the last echoed one on.
    std::uint8_t first_{};                   //!< Number of the first of them.
    std::optional<std::uint8_t> received_{}; //!< Number of the peer's last heartbeat.
    time_point received_at_{};               //!< When that number was first received.
    bool replied_{};
};

} // namespace dandelionbay
