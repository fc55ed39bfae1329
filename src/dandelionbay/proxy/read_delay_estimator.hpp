#pragma once

#include <algorithm>
#include <utility>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Estimates for how long bytes that are read now may have waited in the operating system.
 *
 * A busy event loop processes the ready sockets in turns of limited size, so bytes may wait for many turns. While
 * anything is read, a probe passes through the same queue of ready sockets, behind all that are ready. When the probe
 * is read, everything that arrived before it was sent has been read too.
 */
class read_delay_estimator {
public:
    /*! @brief Creates an estimator. @param now Current time. */
    explicit read_delay_estimator(time_point now) noexcept : read_up_to_{now}, probe_sent_at_{now} {}

    /*! @brief Records that bytes were read or are about to be. @param now Current time. @return True if the caller must
     *  send a probe now. */
    [[nodiscard]] bool note_reading(time_point now) noexcept {
        if (is_probe_pending_) {
            has_read_since_probe_ = true;
            return false;
        }
        read_up_to_ = std::max(read_up_to_, probe_sent_at_);
        note_probe_sent(now);
        return true;
    }

    /*! @brief Records that the probe was read. @param now Current time. @return True if the caller must send the next
     *  probe now. */
    [[nodiscard]] bool note_probe_read(time_point now) noexcept {
        read_up_to_ = probe_sent_at_;
        is_probe_pending_ = false;
        if (!std::exchange(has_read_since_probe_, false)) {
            return false;
        }
        note_probe_sent(now);
        return true;
    }

    /*! @brief Records that the probe could not be sent. */
    void note_probe_lost() noexcept { is_probe_pending_ = false; }

    /*! @brief Returns the maximum time for which bytes that are read now may have waited. @param now Current time.
     *  @return Zero while no probe is pending: then the bytes arrived after the last turn. */
    [[nodiscard]] duration delay(time_point now) const noexcept {
        return is_probe_pending_ ? now - read_up_to_ : duration{};
    }

private:
    void note_probe_sent(time_point now) noexcept {
        probe_sent_at_ = now;
        is_probe_pending_ = true;
    }

    time_point read_up_to_; //!< Everything that arrived before this time has been read.
    time_point probe_sent_at_;
    bool is_probe_pending_{};
    bool has_read_since_probe_{};
};

} // namespace dandelionbay
