#pragma once

#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/net/fwd.hpp"
#include "dandelionbay/wire/message.hpp"

namespace dandelionbay {

/*! @brief Receives what happens on the links; called on the event loop's thread and must not block. */
class link_events {
public:
    link_events() = default;
    link_events(const link_events&) = delete;
    link_events(link_events&&) = delete;
    link_events& operator=(const link_events&) = delete;
    link_events& operator=(link_events&&) = delete;
    virtual ~link_events() = default;

    /*! @brief A link is ready. @param peer The other side's first message. */
    virtual void link_up(const hello& peer) = 0;

    /*! @brief A link broke, went silent or was replaced. @param peer The other side. */
    virtual void link_down(const host_id& peer) = 0;

    /**
     * @brief A message other than hello arrived on a ready link.
     * @param from Its sender.
     * @param body The message.
     * @param sent Heartbeats only: a time not later than its sending, if one is known.
     */
    virtual void message_received(const host_id& from, message body, std::optional<time_point> sent) = 0;
};

} // namespace dandelionbay
