#pragma once

#include <cstdint>
#include <map>
#include <memory>
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
 * for each waiting call. What only changes with the fleet is kept from one moment to the next.
 */
class endpoint_selector {
public:
    /*! @brief An endpoint that may be chosen. */
    struct endpoint_state {
        const registry_view::known_endpoint* known{};
        endpoint_load* load{};
        const endpoint_service* service{}; //!< Null if the configuration does not name it.
        const region_id* region{};         //!< Null if its zone is not known.
        std::uint64_t hash{};              //!< Of its name.
        std::size_t cold_share{};          //!< Calls in a window that this router may send while it is cold.
        double distance_ms{};              //!< Aversion to its place.
        std::uint32_t slots{};
        bool engine{};

        // As of the moment.
        double wait_ms{};     //!< Expected time until it begins with another call.
        double base_ms{};     //!< Part of the score that is the same for all calls.
        double memory_left{}; //!< Tokens; engines only.
        std::uint32_t calls{};
        bool open{}; //!< It takes another call, as far as that does not depend on the call.
        bool cold{};
        bool ejected{};
        bool paused{};
        bool stalled{};
    };

    /*! @brief A rated endpoint. */
    struct candidate {
        endpoint_state* at{};
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
    void find_endpoints();
    [[nodiscard]] std::size_t cold_share(const endpoint_state& it) const;
    [[nodiscard]] double distance_ms(const zone_id& zone) const;
    void rate(endpoint_state& it) const;
    [[nodiscard]] candidate rate(const work_item& item, endpoint_state& it, const team_rank& team,
                                 std::uint64_t subject) const;
    [[nodiscard]] double reading_ahead_ms(const team_rank& team) const noexcept;
    [[nodiscard]] double distance_share(const team_rank& team) const noexcept;

public:
    /**
     * @brief Creates it without endpoints; update() finds them.
     * @param view What is known of the fleet; must outlive it.
     * @param place Where the router stands; must outlive it.
     * @param limits Limits; must outlive them.
     * @param loads Loads by endpoint; missing ones are added. Those of endpoints in the view may not be removed.
     */
    endpoint_selector(const registry_view& view, const router_location& place, const dispatch_limits& limits,
                      std::map<endpoint_id, endpoint_load>& loads)
        : view_{&view}, place_{&place}, limits_{&limits}, loads_{&loads} {}
    endpoint_selector(const endpoint_selector&) = delete;
    endpoint_selector(endpoint_selector&&) = delete;
    endpoint_selector& operator=(const endpoint_selector&) = delete;
    endpoint_selector& operator=(endpoint_selector&&) = delete;
    ~endpoint_selector() = default;

    /*! @brief Names all routers, on which shares of cold endpoints depend. @param complete False if there may be
     * others: cold endpoints stay empty until that is known. */
    void set_routers(std::set<host_id> routers, bool complete);

    /*! @brief One more router. */
    void add_router(const host_id& router);

    /*! @brief All routers that are known. */
    [[nodiscard]] const std::set<host_id>& routers() const noexcept { return routers_; }

    /*! @brief Looks at all endpoints. To be called first, with a configuration in the view. @param now Time. */
    void update(time_point now);

    /*! @brief Rates the endpoints for a call. @param item The call. @param team Rank of its team. */
    [[nodiscard]] choices select(const work_item& item, const team_rank& team);

    /*! @brief Tells whether an endpoint may serve a call, now or later. @param item The call. */
    [[nodiscard]] bool has_endpoint_for(const work_item& item) const;

    /*! @brief A call was sent to an endpoint: works its part out again. */
    void sent(endpoint_state& it) const { rate(it); }

    /*! @brief Number of endpoints of a service that take work. */
    [[nodiscard]] std::size_t count(const service_id& service) const;

private:
    const registry_view* view_;
    const router_location* place_;
    const dispatch_limits* limits_;
    std::map<endpoint_id, endpoint_load>* loads_;
    std::set<host_id> routers_{};
    bool routers_complete_{true};
    time_point now_{};
    std::shared_ptr<const route_config> config_{}; //!< Configuration that endpoints_ was built from.
    std::optional<std::uint64_t> found_at_{};      //!< Revision of the view then; nothing if they have to be found.
    std::unordered_map<service_id, std::vector<endpoint_state>> endpoints_{};
};

} // namespace dandelionbay
