#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/base/event_log.hpp"
#include "dandelionbay/http/fleet_view.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/net/link_server.hpp"
#include "dandelionbay/node/fleet_state.hpp"
#include "dandelionbay/node/mailbox.hpp"
#include "dandelionbay/node/node_options.hpp"
#include "dandelionbay/store/host_list.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief Numbers the lives of a process. @return Microseconds since 1970; a later life has a higher number. */
[[nodiscard]] incarnation_type new_incarnation();

/**
 * @brief Thread around a decision core, with links and the polling of the platform.
 *
 * Everything that happens is put into one mailbox, so that the core and the fleet's state need no locks.
 */
class node_driver : public service, public link_events, public fleet_view {
    void apply(const fleet_change& change, time_point now);
    void tick();
    void poll_config();
    void poll_hosts();
    void publish(time_point now);
    void refresh_peers();
    void note(log_level level, std::string_view event, const event_log::fields& values);

protected:
    /*! @brief A configuration came into force. */
    virtual void on_config(const std::shared_ptr<const fleet_config>& config, time_point now) = 0;

    /*! @brief The host list was read. @param leaving Whether it says that this host is leaving. */
    virtual void on_host_list(bool leaving, time_point now) = 0;

    /*! @brief A link is ready. */
    virtual void on_link_up(const hello& peer, time_point now) = 0;

    /*! @brief A link is down. */
    virtual void on_link_down(const host_id& peer, time_point now) = 0;

    /*! @brief A message for the core arrived. */
    virtual void on_message(const host_id& from, const message& body, time_point now) = 0;

    /*! @brief Whether new work may be admitted has changed; false until the first call. @param fresh The new value. */
    virtual void on_fresh(bool fresh, time_point now) = 0;

    /*! @brief Time passed; called after on_fresh(). */
    virtual void on_tick(time_point now) = 0;

    /*! @brief Begins the core's graceful stop. */
    virtual void on_begin_stop(time_point now) = 0;

    /*! @brief Sends a message. @param to Receiver. @param body The message. */
    void send(const host_id& to, message body) { links_->send(to, std::move(body)); }

    [[nodiscard]] mailbox& tasks() noexcept { return tasks_; }
    [[nodiscard]] const clock& time() const noexcept { return *clock_; }
    [[nodiscard]] counters& metrics() noexcept { return *counters_; }
    [[nodiscard]] const fleet_state& fleet() const noexcept { return fleet_; }
    /*! @brief Judges whether new work may be admitted; calls on_fresh() on a change. @param now Current time. */
    void update_freshness(time_point now);

    /*! @brief What on_fresh() was told last, or is being told; may be called from any thread. */
    [[nodiscard]] bool told_fresh() const noexcept { return fresh_; }
    [[nodiscard]] const node_options& options() const noexcept { return options_; }

public:
    /**
     * @brief Creates a driver; it works after start().
     * @param options Settings. @param role Of this host. @param endpoint Agents only. @param time Clock.
     * @param metrics Counters. @param store Table service. @param hosts Host list. The last four outlive the driver.
     */
    node_driver(node_options options, host_role role, endpoint_id endpoint, const clock& time, counters& metrics,
                table_store& store, host_list& hosts);
    node_driver(const node_driver&) = delete;
    node_driver(node_driver&&) = delete;
    node_driver& operator=(const node_driver&) = delete;
    node_driver& operator=(node_driver&&) = delete;
    ~node_driver() override;

    /*! @brief Starts the driver's thread. The links and the polling are services of their own. */
    [[nodiscard]] absl::Status start(kernel& host) override;
    void stop() noexcept override;

    /*! @brief The links; started and stopped after and before the driver. */
    [[nodiscard]] link_server& links() noexcept { return *links_; }

    /*! @brief Sets the log; before start(). @param log It, or null. */
    void set_log(std::shared_ptr<event_log> log) { log_ = std::move(log); }

    /*! @brief Starts to poll the platform. */
    void start_polling();

    /*! @brief Ends the polling. */
    void stop_polling() noexcept;

    /*! @brief Begins the graceful stop: this host announces that it is leaving. */
    void begin_stop();

    /*! @brief Number of this life of the process. */
    [[nodiscard]] incarnation_type life() const noexcept { return incarnation_; }

    /*! @brief Tells whether the graceful stop has begun. */
    [[nodiscard]] bool is_stopping() const noexcept { return stopping_; }

    /**
     * @brief Processor time of the threads of the core, the links and the polling.
     * @return Microseconds, token forwarding included; zero for a thread that does not run. The links count from the
     *         first link on.
     */
    [[nodiscard]] duration control_cpu_time() const noexcept;

    /*! @brief Tells whether one life of a host may still be running; for claims. */
    [[nodiscard]] bool may_be_alive(const host_id& host, incarnation_type life) const;

    [[nodiscard]] std::vector<node_state> nodes() const override;
    [[nodiscard]] bool hears_majority() const override;
    void adopt(std::uint64_t revision, const std::string& document) override;
    [[nodiscard]] bool wait_for_majority(std::uint64_t revision, std::chrono::milliseconds limit) const override;

    void link_up(const hello& peer) override;
    void link_down(const host_id& peer) override;
    void message_received(const host_id& from, message body, std::optional<time_point> sent) override;

private:
    struct snapshot {
        std::vector<member> members{};
        bool majority{};
        bool listed{};
        std::uint64_t majority_revision{};
    };

    node_options options_;
    host_role role_;
    incarnation_type incarnation_;
    const clock* clock_;
    counters* counters_;
    table_store* store_;
    host_list* hosts_;
    fleet_state fleet_;
    std::atomic<bool> fresh_{false}; //!< What on_fresh() was told last.
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> revision_{0}; //!< In force; read by the thread that polls.
    time_point next_publish_{};
    mutable std::mutex snapshot_mutex_;
    snapshot snapshot_;
    std::vector<host_entry> dialled_;
    std::shared_ptr<event_log> log_;
    std::unique_ptr<link_server> links_;
    thread_time link_time_;
    repeater config_poller_;
    repeater host_poller_;
    mailbox tasks_;
};

/*! @brief Polling of the platform as a service of its own, so that it ends before the links. */
class polling_service final : public service {
public:
    /*! @brief Forwards to a driver. @param it It; must outlive the kernel. */
    explicit polling_service(node_driver& it) : it_{&it} {}

    [[nodiscard]] absl::Status start(kernel& /*host*/) override {
        it_->start_polling();
        return absl::OkStatus();
    }
    void stop() noexcept override { it_->stop_polling(); }

private:
    node_driver* it_;
};

} // namespace dandelionbay
