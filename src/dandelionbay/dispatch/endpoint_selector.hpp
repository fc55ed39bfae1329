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
#include "dandelionbay/gateway/stream_version_registry.hpp"

namespace dandelionbay {

/**
 * @brief Scores the endpoints for calls, as of the last update().
 *
 * A round of decisions scores each endpoint for each waiting call, so the values that are the same for all calls are
 * computed once per endpoint and update(). Values that depend only on the fleet are kept between updates.
 */
class endpoint_selector {
public:
    /*! @brief An endpoint that may be selected. */
    struct endpoint_state {
        const registry_view::known_endpoint* known{};
        endpoint_load* load{};
        const endpoint_service* service{}; //!< Null if the configuration does not contain it.
        const region_id* region{};         //!< Null if the endpoint's zone is unknown.
        std::uint64_t hash{};              //!< Hash of the endpoint's id.
        std::size_t cold_share{};          //!< Calls per window that this router may send while the endpoint is cold.
        double distance_ms{};              //!< Penalty for another zone or region.
        std::uint32_t slots{};
        bool is_engine{};

        // Values as of the last update.
        double wait_ms{};     //!< Expected time until the endpoint can start another call.
        double base_ms{};     //!< Part of the score that is the same for all calls.
        double memory_left{}; //!< In tokens; engines only.
        std::uint32_t calls{};
        bool is_open{}; //!< Accepts another call, as far as that does not depend on the call.
        bool is_cold{};
        bool is_ejected{};
        bool is_paused{};
        bool is_stalled{};
        bool is_held{}; //!< No stream may begin yet at its version.
    };

    /*! @brief A scored endpoint. */
    struct candidate {
        endpoint_state* endpoint{}; //!< Null if there is none.
        double unread_tokens{};     //!< Prompt tokens that the endpoint would have to prefill.
        double score{};             //!< Lower is better.
        bool is_ready{};            //!< The endpoint accepts the call now.
    };

    /*! @brief Result for one call. */
    struct selection {
        candidate best{};       //!< The endpoint to wait for if it is not ready; none if none may serve the call.
        candidate best_ready{}; //!< The best endpoint that accepts the call now; may be none.
        std::optional<time_point> paused_until{}; //!< First end of a pause, if all eligible endpoints are paused.
    };

private:
    void rebuild_endpoints();
    [[nodiscard]] std::size_t cold_share(const endpoint_state& it) const;
    [[nodiscard]] double distance_ms(const zone_id& zone) const;
    void update_state(endpoint_state& it) const;
    /*! Tells whether no stream may begin yet at an endpoint's version. */
    [[nodiscard]] bool is_held(const endpoint_entry& it) const;
    [[nodiscard]] candidate score(const work_item& item, endpoint_state& it, const team_rank& team,
                                  std::uint64_t prefix) const;
    [[nodiscard]] double reading_ahead_ms(const team_rank& team) const noexcept;
    [[nodiscard]] double distance_share(const team_rank& team) const noexcept;

public:
    /**
     * @brief Creates a selector without endpoints; update() finds them.
     * @param view View of the fleet; must outlive the selector.
     * @param location Location of this router; must outlive the selector.
     * @param limits Limits; must outlive the selector.
     * @param loads Loads by endpoint; missing ones are added. Loads of endpoints in the view may not be removed.
     */
    endpoint_selector(const registry_view& view, const router_location& location, const dispatch_limits& limits,
                      std::map<endpoint_id, endpoint_load>& loads)
        : view_{&view}, location_{&location}, limits_{&limits}, loads_{&loads} {}
    endpoint_selector(const endpoint_selector&) = delete;
    endpoint_selector(endpoint_selector&&) = delete;
    endpoint_selector& operator=(const endpoint_selector&) = delete;
    endpoint_selector& operator=(endpoint_selector&&) = delete;
    ~endpoint_selector() = default;

    /*! @brief Sets the routers, on which the shares of cold endpoints depend. @param complete False if there may be
     *  others: this router sends nothing to cold endpoints until the list is complete. */
    void set_routers(std::set<host_id> routers, bool complete);

    /*! @brief Sets the versions at which no stream may begin before a time. */
    void set_version_holds(std::map<service_version, time_point> holds) { version_holds_ = std::move(holds); }

    /*! @brief Adds a router. */
    void add_router(const host_id& router);

    /*! @brief Returns all known routers. */
    [[nodiscard]] const std::set<host_id>& routers() const noexcept { return routers_; }

    /*! @brief Updates the state of all endpoints. Must be called before the other functions that use endpoints. The
     * view must have a configuration. */
    void update(time_point now);

    /*! @brief Scores the endpoints for a call and selects the best ones. @param team Rank of the call's team. */
    [[nodiscard]] selection select(const work_item& item, const team_rank& team);

    /*! @brief Tells whether an endpoint may serve a call, now or later. */
    [[nodiscard]] bool has_endpoint_for(const work_item& item) const;

    /*! @brief Updates the state of an endpoint after a call was sent to it. */
    void call_sent(endpoint_state& it) const { update_state(it); }

    /*! @brief Returns the number of a service's endpoints that accept work. */
    [[nodiscard]] std::size_t count(const service_id& service) const;

private:
    const registry_view* view_;
    const router_location* location_;
    const dispatch_limits* limits_;
    std::map<endpoint_id, endpoint_load>* loads_;
    std::set<host_id> routers_{};
    bool has_all_routers_{true};
    std::map<service_version, time_point> version_holds_{};
    time_point now_{};
    std::shared_ptr<const route_config> config_{};      //!< Configuration that endpoints_ was built from.
    std::optional<std::uint64_t> endpoints_revision_{}; //!< View revision of endpoints_; empty if it must be rebuilt.
    std::unordered_map<service_id, std::vector<endpoint_state>> endpoints_{};
};

} // namespace dandelionbay
