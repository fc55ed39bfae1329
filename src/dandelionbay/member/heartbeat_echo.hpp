#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/**
 * @brief Numbers the heartbeats of one link and computes lower bounds of the times at which the peer sent its own.
 *
 * A heartbeat echoes the number of the last heartbeat that its sender received, and the time since its receipt. By the
 * clock of this host, it was therefore not sent before the send time of the echoed heartbeat plus that time, whatever
 * the delay on the link. A new link needs a new object, because numbers are valid on one link only.
 */
class heartbeat_echo {
public:
    /**
     * @brief Sets the number and the echo of a heartbeat that is sent now.
     * @param beat The heartbeat; its other members are not changed.
     * @param now Current time; ages in the heartbeat must be as of this time.
     */
    void stamp(heartbeat& beat, time_point now);

    /**
     * @brief Records a heartbeat of the peer.
     * @param beat The heartbeat.
     * @param now Current time.
     * @return A lower bound of the send time, or nothing if the heartbeat echoes no known heartbeat.
     */
    [[nodiscard]] std::optional<time_point> on_heartbeat(const heartbeat& beat, time_point now);

    /*! @brief Tells whether a heartbeat should be sent at once, because none was sent since the first of the peer. */
    [[nodiscard]] bool is_reply_due() const noexcept { return last_received_.has_value() && !has_replied_; }

private:
    std::deque<time_point> sent_at_;              //!< Send times, beginning with the last echoed heartbeat.
    std::uint8_t first_number_{};                 //!< Number of the heartbeat at the front of sent_at_.
    std::optional<std::uint8_t> last_received_{}; //!< Number of the last heartbeat of the peer.
    time_point received_at_{};                    //!< Time at which that number was first received.
    bool has_replied_{};
};

} // namespace dandelionbay
