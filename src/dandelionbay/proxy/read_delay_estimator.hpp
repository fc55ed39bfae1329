#pragma once

#include <algorithm>
#include <utility>

#include "dandelionbay/base/clock.hpp"

namespace dandelionbay {

/**
 * @brief Tells for how long bytes that are read now may have waited in the system.
 *
 * A busy event loop takes the sockets that are ready in turns of limited size, so bytes may wait for many turns. While
 * anything is read, a mark of the loop's own goes through the same queue of ready sockets, behind all that is ready.
 * When it is read, so is all that came before it was sent.
 */
class read_delay_estimator {
public:
    /*! @brief Creates it. @param now Time. */
    explicit read_delay_estimator(time_point now) noexcept : since_{now}, sent_at_{now} {}

    /*! @brief Something was read, or is about to be. @param now Time. @return True if a mark is to be sent now. */
    [[nodiscard]] bool note_reading(time_point now) noexcept {
        if (on_its_way_) {
            read_since_ = true;
            return false;
        }
        since_ = std::max(since_, sent_at_);
        send(now);
        return true;
    }

    /*! @brief The mark was read. @param now Time. @return True if the next one is to be sent now. */
    [[nodiscard]] bool note_probe_read(time_point now) noexcept {
        since_ = sent_at_;
        on_its_way_ = false;
        if (!std::exchange(read_since_, false)) {
            return false;
        }
        send(now);
        return true;
    }

    /*! @brief The mark could not be sent. */
    void note_probe_lost() noexcept { on_its_way_ = false; }

    /*! @brief Longest time for which bytes that are read now may have waited. @param now Time. @return Zero while
     *  nothing is being read: then they came after the last turn. */
    [[nodiscard]] duration delay(time_point now) const noexcept { return on_its_way_ ? now - since_ : duration{}; }

private:
    void send(time_point now) noexcept {
        sent_at_ = now;
        on_its_way_ = true;
    }

    time_point since_; //!< What came before was read.
    time_point sent_at_;
    bool on_its_way_{};
    bool read_since_{}; //!< Something was read after the mark was sent.
};

} // namespace dandelionbay
