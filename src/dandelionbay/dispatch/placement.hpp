#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/ids.hpp"
#include "dandelionbay/dispatch/endpoint_load.hpp"
#include "dandelionbay/dispatch/work.hpp"
#include "dandelionbay/gateway/registry_view.hpp"

namespace dandelionbay {

/**
 * @brief Rates the endpoints for calls, all as of one moment.
 *
 * What is the same for all calls is worked out once for each endpoint, because a round of decisions rates each endpoint
 * for each waiting call.
 */
class placement {
public:
    /*! @brief An endpoint that may be chosen. */
    struct site {
        const registry_view::known_endpoint* known{};
        endpoint_load* load{};
        bool engine{};
        double wait_ms{};     //!< Expected time until it begins with another call.
        double base_ms{};     //!< Part of the score that is the same for all calls.
        double distance_ms{}; //!< Aversion to its place.
        double memory_left{}; //!< Tokens; engines only.
        std::uint32_t calls{};
        std::uint32_t slots{};
        bool open{}; //!< It takes another call, as far as that does not depend on the call.
        bool cold{};
    };

    /*! @brief A rated endpoint. */
    struct candidate {
        site* at{};
        double unread_tokens{};
        double score{};
        bool ready{}; //!< It takes the call now.
    };

    /*! @brief Result for one call. */
    struct choices {
        candidate best{};       //!< The one to wait for, if it is not ready; none if no endpoint may serve the call.
        candidate best_ready{}; //!< The best of those that take the call now; may be none.
        std::optional<time_point> paused_until{}; //!< All that may serve the call asked for a pause; end of the first.
    };

private:
    [[nodiscard]] bool in_regions(const work_item& item, const zone_id& zone) const;
    [[nodiscard]] double distance_ms(const zone_id& zone) const;
    [[nodiscard]] bool pace_allows(const site& it, double calls_per_s) const;
    void rate(site& it) const;
    [[nodiscard]] candidate rate(const work_item& item, site& it, const team_rank& team) const;
    [[nodiscard]] double reading_ahead_ms(const team_rank& team) const noexcept;
    [[nodiscard]] double distance_share(const team_rank& team) const noexcept;

public:
    /**
     * @brief Looks at all endpoints.
     * @param view What is known of the fleet, with a configuration; must outlive it unchanged.
     * @param place Where the router stands.
     * @param limits Limits.
     * @param routers Names of all routers; null while they are not known, which keeps cold endpoints empty.
     * @param loads Loads by endpoint; missing ones are added.
     * @param now Time.
     */
    placement(const registry_view& view, const router_place& place, const dispatch_limits& limits,
              const std::set<host_id>* routers, std::map<endpoint_id, endpoint_load>& loads, time_point now);

    /*! @brief Rates the endpoints for a call. @param item The call. @param team Rank of its team. */
    [[nodiscard]] choices consider(const work_item& item, const team_rank& team);

    /*! @brief A call was sent to an endpoint: works its part out again. */
    void sent(site& it) const { rate(it); }

    /*! @brief Number of endpoints of a service that take work. */
    [[nodiscard]] std::size_t count(const service_id& service) const;

private:
    const registry_view* view_;
    const router_place* place_;
    const dispatch_limits* limits_;
    const std::set<host_id>* routers_;
    time_point now_;
    std::unordered_map<service_id, std::vector<site>> sites_{};
};

} // namespace dandelionbay
