#pragma once

#include <cstdint>
#include <string_view>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/node/fwd.hpp"

namespace dandelionbay {

/*! @brief How far a node that starts has come. */
enum class start_state : std::uint8_t {
    waiting,
    in_force,         //!< A configuration is in force.
    store_empty,      //!< The store has none yet; an operator has to write it through a router.
    store_unanswered, //!< The store did not answer and no peer had a configuration.
    config_unusable   //!< The store answered, but with nothing that can be put in force.
};

/*! @brief Name of a state. @param state It. @return Text for log and counters. */
[[nodiscard]] std::string_view to_string(start_state state) noexcept;

/**
 * @brief Decides when a node that starts is ready.
 *
 * It is ready when a configuration is in force. Without one it is ready when the store is empty, or when the store and
 * the peers had their time, so that a node can start while the store is down.
 */
class start_watch {
    [[nodiscard]] start_state state(time_point now) const;

public:
    /*! @brief One read of the store, the adopter's wait for the peers, and a margin for the driver's ticks. */
    static constexpr duration limit = std::chrono::milliseconds{6'500};

    /*! @brief Starts to watch. @param metrics Of the node; must outlive the object. @param now When the node started.
     */
    start_watch(counters& metrics, time_point now) noexcept : metrics_{&metrics}, started_{now} {}

    /**
     * @brief Looks at the node; to be called until the state isn't "waiting".
     * @param now Current time.
     * @return The state; each but "waiting" and "in_force" counts in started_without_config_total.
     */
    [[nodiscard]] start_state check(time_point now);

private:
    counters* metrics_;
    time_point started_;
};

} // namespace dandelionbay
