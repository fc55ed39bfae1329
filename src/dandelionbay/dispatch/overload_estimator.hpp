#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/fwd.hpp"

namespace dandelionbay {

struct dispatch_limits;

/**
 * @brief Estimates from the calls of all routers whether a service's engines are overloaded, and how much work they can
 * take.
 *
 * Unlike a backlog computed from what the routers sent, the delay is observed: it includes whatever other routers sent
 * and prompt parts that were no longer cached. A router's own samples are the newest, so they decide while it has
 * enough. One that refuses most of its calls, or got none of late, would take overloaded engines for idle ones; it uses
 * what its peers told it.
 */
class overload_estimator {
    /*! Samples of one router. */
    struct observation {
        double delay_ms{}; //!< Moving average.
        double samples{};  //!< Weighted number, as of the newest sample.
        time_point newest{};

        [[nodiscard]] double weight(time_point now) const noexcept;
        /*! The average, which decays once there are no samples. */
        [[nodiscard]] double decayed_delay_ms(time_point now) const noexcept;
    };

    /*! Tells whether this router has enough recent samples of its own. */
    [[nodiscard]] bool has_own_samples(time_point now) const noexcept;
    /*! The samples that decide: this router's own, or the mean over all routers. */
    [[nodiscard]] observation deciding(time_point now) const noexcept;

public:
    /*! @brief Weight of the newest sample of the delay: a gateway of a large fleet begins some tens of calls per
     * second. */
    static constexpr double sample_weight = 0.08;
    /*! @brief Time without samples after which the delay decays, because nothing is sent that would correct it. */
    static constexpr duration hold_time = std::chrono::milliseconds{300};
    /*! @brief Time in which the delay then falls to 1/e, and in which the weight of a sample does. */
    static constexpr duration decay_time = std::chrono::milliseconds{900};
    /*! @brief Samples, of the last decay_time or so, that an overload takes: a few late answers may come from endpoints
     *  that ended or went silent. */
    static constexpr double min_samples = 5.0;
    /*! @brief A sample counts up to this many times the delay at which least work is admitted, so that a few slow
     *  engines do not stand for all. */
    static constexpr double max_sample_factor = 1.5;

    /*! @brief Reports that an answer to this router's call started. @param waited_ms Time that the call waited at the
     *  engine before its prompt was prefilled, in ms. */
    void record_wait(double waited_ms, const dispatch_limits& limits, time_point now) noexcept;

    /*! @brief Replaces what a peer observed. */
    void update_peer(const host_id& peer, const service_delay& observed, time_point now);

    /*! @brief Returns what this router observed, without the service's name, to be sent to its peers. */
    [[nodiscard]] service_delay own(time_point now) const;

    /*! @brief Returns the moving average of the time that calls wait at the engines, in ms. */
    [[nodiscard]] double queueing_delay_ms(time_point now) const noexcept;

    /*! @brief Returns the work that the engines can take, as a ratio to the work of the last window; empty if they are
     * not overloaded. */
    [[nodiscard]] std::optional<double> capacity(const dispatch_limits& limits, time_point now) const noexcept;

private:
    observation own_{};
    std::map<host_id, observation> peers_{};
};

} // namespace dandelionbay
