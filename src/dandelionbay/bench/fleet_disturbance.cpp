#include "dandelionbay/bench/fleet_disturbance.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include "dandelionbay/app/admin_client.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/config/document_edit.hpp"

namespace dandelionbay::bench {

namespace {

using nlohmann::json;

/*! Requirement R4. */
constexpr std::chrono::seconds zone_limit{5};
constexpr std::string_view moved_zone = "west-1";
/*! Shares of the run at which the zone is taken out and back. */
constexpr double out_share = 0.15;
constexpr double back_share = 0.85;
/*! Shares of the run at which the engine restarts, and the store goes and comes back. */
constexpr double restart_share = 0.3;
constexpr double store_back_share = 0.7;
/*! Shares of the run at which the regions lose each other and rejoin. */
constexpr double split_share = 0.15;
constexpr double rejoin_share = 0.6;
/*! Cold time of the restarted engine: four of the load reports that the agent sees. */
constexpr std::chrono::seconds cold_time{2};

[[nodiscard]] time_point now() noexcept {
    return monotonic_clock{}.now();
}

} // namespace

fleet_disturbance::fleet_disturbance(app::dev_fleet& fleet, disturbance kind, time_point start,
                                     std::chrono::seconds length, printer print)
    : fleet_{&fleet}, kind_{kind}, start_{start}, length_{length}, print_{std::move(print)}, violations_before_{
                                                                                                 cold_violations()} {}

time_point fleet_disturbance::at(double share) const {
    return start_ + std::chrono::duration_cast<duration>(length_ * share);
}

std::uint64_t fleet_disturbance::started_in_zone() const {
    std::uint64_t sum = 0;
    for (const auto* it : fleet_->engines_in(moved_zone)) {
        sum += it->stats().started;
    }
    return sum;
}

std::uint64_t fleet_disturbance::cold_violations() const {
    std::uint64_t sum = 0;
    for (const auto& it : fleet_->engines()) {
        sum += it->stats().cold_violations;
    }
    return sum;
}

absl::Status fleet_disturbance::edit_zone(bool out) const {
    const app::admin_client operators{{"127.0.0.1", fleet_->routers().front()->admin_port()},
                                      app::dev_options{}.admin_token};
    auto config = operators.get("config");
    if (!config.ok()) {
        return absl::UnavailableError(concat("reading the configuration failed: ", config.body.dump()));
    }
    if (auto status = set_zone_out(config.body, moved_zone, out); !status.ok()) {
        return status;
    }
    const auto changed = operators.send("PUT", "config", config.etag, config.body.dump());
    return changed.ok() ? absl::OkStatus() : absl::UnavailableError(concat("the edit failed: ", changed.body.dump()));
}

void fleet_disturbance::move_zone() {
    std::this_thread::sleep_until(at(out_share));
    status_ = edit_zone(true);
    const auto out_at = now();
    if (!status_.ok()) {
        return;
    }
    began_ = out_at;
    print_(concat("zone ", moved_zone, " out of service"));
    std::this_thread::sleep_until(out_at + zone_limit);
    const auto before = started_in_zone();
    std::this_thread::sleep_until(at(back_share));
    late_grants_ = started_in_zone() - before;
    late_window_ = now() - (out_at + zone_limit);
    status_ = edit_zone(false);
    print_(concat("zone ", moved_zone, " back in service"));
}

void fleet_disturbance::restart_engine() {
    std::this_thread::sleep_until(at(restart_share));
    began_ = now();
    auto& engine = *fleet_->engines().front();
    engine.crash(cold_time);
    print_("an engine restarted cold");
    std::this_thread::sleep_for(cold_time);
}

void fleet_disturbance::stop_store() {
    std::this_thread::sleep_until(at(restart_share));
    began_ = now();
    auto faults = fleet_->platform().faults();
    faults.down = true;
    fleet_->platform().set_faults(faults);
    print_("the store is down");
    std::this_thread::sleep_until(at(store_back_share));
    faults.down = false;
    fleet_->platform().set_faults(faults);
    print_("the store is up");
}

template<typename Node, typename Restart>
void fleet_disturbance::restart_each(const std::vector<std::unique_ptr<Node>>& nodes, std::string_view kind,
                                     std::vector<std::unique_ptr<Node>>& replaced, Restart restart) {
    for (std::size_t i = 0; status_.ok() && i < nodes.size(); ++i) {
        const auto cpu = nodes[i]->control_cpu_time();
        auto old = restart(i);
        if (!old.ok()) {
            status_ = old.status();
            return;
        }
        replaced_cpu_ += cpu;
        replaced.push_back(std::move(*old));
        print_(concat(kind, " ", i + 1, " restarted"));
    }
}

void fleet_disturbance::restart_hosts() {
    std::this_thread::sleep_until(at(out_share));
    began_ = now();
    restart_each(fleet_->agents(), "agent", replaced_, [this](std::size_t i) { return fleet_->restart_agent(i); });
    restart_each(fleet_->routers(), "router", replaced_routers_,
                 [this](std::size_t i) { return fleet_->restart_router(i); });
}

void fleet_disturbance::split_regions() {
    std::this_thread::sleep_until(at(split_share));
    began_ = now();
    fleet_->split_regions(true);
    part_ = split_part::split;
    print_("the regions lost each other");
    std::this_thread::sleep_until(at(rejoin_share));
    fleet_->split_regions(false);
    part_ = split_part::after;
    print_("the regions rejoined");
}

void fleet_disturbance::run() {
    switch (kind_) {
    case disturbance::none:
        break;
    case disturbance::zone_move:
        move_zone();
        break;
    case disturbance::engine_restart:
        restart_engine();
        break;
    case disturbance::store_outage:
        stop_store();
        break;
    case disturbance::region_split:
        split_regions();
        break;
    case disturbance::host_restarts:
        restart_hosts();
        break;
    }
}

std::optional<engine_outage> fleet_disturbance::outage() const {
    if (kind_ != disturbance::zone_move) {
        return std::nullopt;
    }
    engine_outage out{at(out_share) - start_, at(back_share) - start_, {}};
    const auto moved = fleet_->engines_in(moved_zone);
    for (std::size_t i = 0; i < fleet_->engines().size(); ++i) {
        if (std::ranges::find(moved, fleet_->engines()[i].get()) != moved.end()) {
            out.engines.push_back(i);
        }
    }
    return out;
}

void fleet_disturbance::add_figures(json& out, const std::vector<second_of_service>& seconds) const {
    out["late_grants_after_5s"] = late_grants_ ? json(*late_grants_) : json(nullptr);
    out["late_grants_window_s"] = std::chrono::duration<double>{late_window_}.count();
    out["cold_violations"] = cold_violations() - violations_before_;
    out["agents_restarted"] = replaced_.size();
    out["routers_restarted"] = replaced_routers_.size();
    out["worst_second"] = nullptr;
    if (began_) {
        const auto second = std::chrono::floor<std::chrono::seconds>(*began_ - start_).count();
        out["worst_second"] = worst_second(seconds, static_cast<std::size_t>(second));
    }
}

} // namespace dandelionbay::bench
