#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "dandelionbay/base/counters.hpp"
#include "dandelionbay/member/heartbeat_echo.hpp"
#include "dandelionbay/node/fleet_state.hpp"
#include "soak/checker.hpp"
#include "soak/sim_link.hpp"
#include "soak/sim_store.hpp"

namespace dandelionbay::soak {

/*! @brief What the nodes of one run share. */
struct world {
    event_queue& events;
    sim_links& links;
    sim_store& store;
    checker& checks;
    counters& metrics;
};

/*! @brief Does on paused time what node_driver does: reads the store, hears peers and judges its own freshness. */
class sim_driver : public link_user {
    void tick();
    void poll();
    void beat();
    void send_heartbeats();
    void send_heartbeat(const host_id& peer);
    void apply(const fleet_change& change);
    void check_revision(bool fresh);

public:
    sim_driver(world& shared, hello self, std::uint64_t seed);

    [[nodiscard]] hello introduce() const final;
    void link_up(const hello& peer) final;
    void link_down(const host_id& peer) final;
    void receive(const host_id& from, const message& body) final;

    [[nodiscard]] const host_id& host() const noexcept { return self_.host; }
    [[nodiscard]] bool stopping() const noexcept { return stopping_; }
    [[nodiscard]] std::uint64_t majority_revision() const {
        return fleet_->members().majority_revision(fleet_->revision(), shared_->events.now());
    }
    [[nodiscard]] bool hears_majority() const { return fleet_->members().has_majority(shared_->events.now()); }

protected:
    virtual void on_config(const std::shared_ptr<const fleet_config>& config) = 0;
    virtual void on_link_up(const hello& peer) = 0;
    virtual void on_link_down(const host_id& peer) = 0;
    virtual void on_message(const host_id& from, const message& body) = 0;
    virtual void on_tick(bool fresh) = 0;

    /*! @brief Starts the clock of the first process; to be called once, by the derived class's constructor. */
    void begin();
    /*! @brief Forgets all that the process knew. @param incarnation Of the next process. */
    void forget(incarnation_type incarnation);
    void announce_stop();

    [[nodiscard]] world& shared() const noexcept { return *shared_; }
    [[nodiscard]] time_point now() const noexcept { return shared_->events.now(); }
    [[nodiscard]] const fleet_state& fleet() const noexcept { return *fleet_; }
    [[nodiscard]] bool fresh() { return fleet_->fresh(now()); }

private:
    world* shared_;
    hello self_;
    std::mt19937_64 random_;
    std::unique_ptr<fleet_state> fleet_;
    std::map<host_id, heartbeat_echo> linked_;
    bool stopping_{};
};

} // namespace dandelionbay::soak
