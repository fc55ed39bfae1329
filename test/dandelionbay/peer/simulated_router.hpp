#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include "dandelionbay/dispatch/dispatcher.hpp"
#include "dandelionbay/peer/peer_synchronizer.hpp"

namespace dandelionbay {

/*! @brief A router's state and its synchronizer, without a network. */
struct simulated_router {
    class null_listener final : public dispatch_listener {
    public:
        void placed(ticket_id /*ticket*/, const endpoint_choice& /*choice*/) override {}
        void refused(ticket_id /*ticket*/, const refusal& /*why*/) override {}
    };

    simulated_router(const std::string& name, std::uint16_t port, const std::string& region = {},
                     const refresh_limits& limits = {})
        : dispatch{view, router_location{host_id{name}, {}, {}, {}}, {}, listener, 1},
          synchronizer{router_identity{host_id{name}, 1, {"127.0.0.1", port}, region_id{region}},
                       limits,
                       view,
                       dispatch,
                       losses,
                       part_crashes,
                       streams,
                       read_config} {}

    /*! @brief Parses "version N"; ignores what follows. */
    [[nodiscard]] static absl::StatusOr<route_config> read_config(const std::string& text) {
        route_config it;
        it.version = std::stoull(text.substr(text.find(' ') + 1));
        return make_route_config(std::move(it));
    }

    /*! @brief Adopts a configuration read from the store. @param bytes Minimum length of its text. */
    void adopt_config(std::uint64_t version, std::size_t bytes = 0) {
        auto text = "version " + std::to_string(version) + " ";
        text.resize(std::max(bytes, text.size()), '.');
        if (view.adopt(std::make_shared<const route_config>(*read_config(text)))) {
            synchronizer.set_config_text(std::move(text));
        }
    }

    /*! @brief Loads a configuration, an operator state and a list of one endpoint, as read from the store. */
    void load_from_store(std::uint64_t as_of, std::uint64_t version, time_point at) {
        adopt_config(version);
        view.update_operator_state(operator_state{as_of, version, {}}, at);
        view.merge_endpoints(
            endpoint_list{
                as_of, {endpoint_entry{endpoint_id{"e" + std::to_string(as_of)}, {}, {}, {}, 1, false, {}, 0, as_of}}},
            at, at);
    }

    null_listener listener{};
    registry_view view{{}};
    dispatcher dispatch;
    lost_run_registry losses{};
    part_crash_registry part_crashes{};
    stream_version_registry streams{view};
    peer_synchronizer synchronizer;
};

} // namespace dandelionbay
