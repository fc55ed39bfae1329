#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/gateway/registry.hpp"
#include "dandelionbay/gateway/registry_view.hpp"
#include "dandelionbay/node/fwd.hpp"
#include "dandelionbay/node/gateway_options.hpp"
#include "dandelionbay/node/thread_time.hpp"
#include "dandelionbay/peer/peer_synchronizer.hpp"
#include "dandelionbay/peer/peer_transport.hpp"
#include "dandelionbay/proxy/proxy.hpp"
#include "dandelionbay/proxy/status_server.hpp"

namespace dandelionbay {

/*! @brief Makes the parts that depend on the platform. */
struct platform_binding {
    using registry_maker = std::function<std::unique_ptr<registry>(
        boost::asio::io_context&, const clock&, bounded_log&, counters&, const registry_options&, registry_listener&)>;

    std::shared_ptr<const call_protocol> protocol{};
    registry_maker make_registry{};
    peer_synchronizer::config_parser read_config{};
};

/**
 * @brief One gateway: the data path, the registry, the peers and the status pages on one event loop.
 */
class gateway_node final : public registry_listener {
    [[nodiscard]] status_server::page page_of(std::string_view path);
    [[nodiscard]] std::string render_metrics();
    void begin_stop();
    void continue_stop(time_point since);
    void end();
    void await_last_writes(time_point since);
    void run_loop();
    void wait_for_signal();
    void reload();
    void watch_settings();
    void log_facts();
    void log_leaving(std::string_view from);
    void peers_changed(const peer_change& change);
    void keep_refusal(std::uint64_t call);
    void keep_blocked_part(const service_part& part);
    void remove_blocked_part(const service_part& part);

    /*! Takes note of the versions of the registered endpoints; writes them if they changed. */
    void update_versions(time_point now);
    /*! Updates the versions again at a time, when one comes into use. */
    void update_versions_at(time_point at);

public:
    /*! @brief Time after the start of a stop for which idle connections stay open: the balancer needs it to notice. */
    static constexpr duration balancer_delay = std::chrono::milliseconds{3'200};
    /*! @brief Time after the start of a stop from which calls are expected at other routers. */
    static constexpr duration late_after = std::chrono::milliseconds{2'800};
    /*! @brief Interval of looking whether a stop is complete. */
    static constexpr std::chrono::milliseconds stop_interval{50};

    /*! @brief Interval of looking whether the settings changed without a signal. */
    static constexpr std::chrono::seconds settings_interval{5};

    /*! @brief Interval of the log lines that tell how old the facts are and what the ways that bring them carry. */
    static constexpr std::chrono::seconds facts_interval{2};

    /*! @brief Reads the settings again. */
    using settings_reader = std::function<absl::StatusOr<gateway_options>()>;

    /*! @brief Creates it. @param options Settings. @param platform The platform's parts. @param log Log, or null.
     *  @param reader Reads the settings again; may be empty. */
    gateway_node(gateway_options options, platform_binding platform, std::shared_ptr<event_log> log,
                 settings_reader reader = {});

    /*! @brief Serves until SIGTERM or SIGINT. @param started Called once it listens. @return An error if it can't. */
    [[nodiscard]] absl::Status run(const std::function<void()>& started);

    /*! @brief Asks it to stop; to be called on its event loop. */
    void stop() { begin_stop(); }

    /*! @brief Its event loop. */
    [[nodiscard]] boost::asio::io_context& loop() noexcept { return loop_; }

    /*! @brief Tells whether new callers should come here. */
    [[nodiscard]] bool ready() const noexcept {
        return view_.is_complete() && !proxy_.draining() && !proxy_.is_overloaded();
    }

    void on_config(std::shared_ptr<const route_config> config, std::string text) override;
    void on_operator_state(const operator_state& state, time_point read_at) override;
    void on_endpoints(const endpoint_list& list, time_point read_at) override;
    void on_routers(const std::vector<router_entry>& routers) override;
    void on_losses(const std::vector<call_losses>& losses) override;
    void on_blocked_parts(const std::vector<part_status>& parts) override;
    void on_versions(const std::map<service_id, std::set<version_id>>& versions) override;
    void on_registry_failed(std::string_view call, std::string_view reason) override;
    void on_registry_restored() override;
    [[nodiscard]] bool needs_losses(std::uint64_t call) const override;
    [[nodiscard]] bool needs_blocked_part(const service_part& part) const override;

private:
    gateway_options options_;
    platform_binding platform_;
    boot_clock clock_{};
    thread_time busy_{};
    boost::asio::io_context loop_{1};
    bounded_log log_;
    counters metrics_{};
    registry_view view_;
    proxy proxy_;
    peer_synchronizer synchronizer_;
    peer_transport transport_;
    std::unique_ptr<registry> registry_;
    status_server ready_;
    status_server status_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer stop_timer_;
    boost::asio::steady_timer settings_timer_;
    boost::asio::steady_timer facts_timer_;
    boost::asio::steady_timer versions_timer_; //!< Runs while a version is held back.
    settings_reader reader_;
    std::set<endpoint_id> leaving_{};                                //!< By the newest list.
    std::map<service_id, std::set<version_id>> retained_versions_{}; //!< As last written by some router.
    std::set<service_part> retained_parts_{}; //!< Blocked parts whose rows this router wrote or read.
    bool registry_failed_{};
};

} // namespace dandelionbay
