#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/peer/peer_transport.hpp"
#include "dandelionbay/soak/event_queue.hpp"
#include "simulated_router.hpp"

namespace dandelionbay {

/*! @brief Size and network of a simulated fleet. */
struct peer_fleet_options {
    std::size_t routers{103};
    std::size_t endpoints{170};
    std::size_t config_bytes{24'000};
    double link_bytes_per_s{150e6 / 8}; //!< Between the two regions, each way.
    double call_share{0.4};             //!< Share of that bandwidth which calls use.
    std::size_t store_loss_stride{3};   //!< Every n-th router loses the store at the outage.
};

/**
 * @brief Simulates, on a simulated clock, routers in two regions that synchronize their state, and a store in one of
 * the regions. All traffic between the regions shares one link each way, in sending order.
 */
class peer_fleet_simulation {
    /*! A router, its connections to the others, and when it learned of changes. */
    struct member {
        std::unique_ptr<simulated_router> router{};
        std::size_t region{};
        bool has_lost_store{};
        std::map<socket_address, time_point> dialled_at{};
        std::optional<time_point> leaving_known_at{};
        std::map<std::uint64_t, time_point> config_known_at{};
    };

public:
    static constexpr time_point start{std::chrono::hours{1}}; // Of the event queue.
    /*! @brief Read intervals and limits of a router, for propagation of changes within 5 s. */
    static constexpr duration list_interval{std::chrono::seconds{1}};
    static constexpr duration watch_interval{std::chrono::seconds{2}};
    static constexpr refresh_limits limits{std::chrono::seconds{3}, std::chrono::seconds{2}};
    static constexpr duration store_timeout{std::chrono::milliseconds{900}};
    static constexpr duration retry_interval{std::chrono::milliseconds{250}};
    static constexpr duration store_latency{std::chrono::milliseconds{4}};
    static constexpr duration latency_in_region{std::chrono::milliseconds{1}};
    static constexpr duration latency_between_regions{std::chrono::milliseconds{20}};
    /*! @brief Size of an endpoint's row as read from the store, and in a message. */
    static constexpr std::size_t stored_row_bytes = 400;
    static constexpr std::size_t sent_row_bytes = 100;
    static constexpr std::size_t sent_loss_bytes = 50;
    static constexpr std::size_t base_message_bytes = 2'000;

    explicit peer_fleet_simulation(peer_fleet_options options) : options_{options} {
        for (std::size_t n = 0; n < options_.endpoints; ++n) {
            endpoint_entry it;
            it.id = endpoint_id{concat("e", n)};
            it.row_version = 1;
            list_.entries.push_back(it);
        }
        list_.as_of = 1;
        for (std::size_t n = 0; n < options_.routers; ++n) {
            auto& it = members_.emplace_back();
            it.router = std::make_unique<simulated_router>(concat("r", n), static_cast<std::uint16_t>(n + 1),
                                                           concat("region-", n % 2), limits);
            it.region = n % 2;
        }
        for (auto& it : members_) {
            std::vector<router_entry> all;
            for (std::size_t n = 0; n < options_.routers; ++n) {
                all.push_back(router_entry{host_id{concat("r", n)}, address_of(n)});
            }
            it.router->synchronizer.set_announced_routers(all, start);
            // Processes start at different times.
            const duration offset{std::chrono::milliseconds{10} * (&it - members_.data())};
            events_.at(start + offset, [this, &it] { read_list(it); });
            events_.at(start + offset, [this, &it] { read_operators(it); });
            events_.at(start + offset, [this, &it] { send_round(it); });
            events_.at(start + offset, [this, &it] { poll(it); });
        }
    }

    /*! @brief Makes the store refuse some routers from now on. */
    void lose_store() {
        for (std::size_t n = 0; n < members_.size(); n += options_.store_loss_stride) {
            members_[n].has_lost_store = true;
            members_[n].router->view.on_store_failed();
        }
    }

    /*! @brief Marks the first endpoint as leaving in the store. */
    void begin_endpoint_leaving() {
        list_.entries.front().leaving = true;
        list_.entries.front().row_version = ++version_;
        leaving_at_ = events_.now();
    }

    /*! @brief Stores a new configuration and notifies the routers that watch it. */
    void change_config() {
        ++version_;
        configs_[++config_] = events_.now();
        for (auto& it : members_) {
            if (!it.has_lost_store) {
                deliver_operators(it,
                                  events_.now() + store_latency + transfer_time(0, it.region, options_.config_bytes));
            }
        }
    }

    /*! @brief Ends endpoints during runs, one run for each call; the calls are spread over all routers. */
    void lose_runs(std::size_t calls) {
        for (std::size_t n = 0; n < calls; ++n) {
            const endpoint_process at{list_.entries[n % list_.entries.size()].id, 1};
            auto& losses = members_[n % members_.size()].router->losses;
            losses.record_interrupted_run(n,
                                          lost_run{at, events_.now() - std::chrono::milliseconds{50}, events_.now()});
            losses.record_process_exit(at, events_.now());
        }
    }

    /*! @brief Runs the simulation until a time. */
    void run_until(time_point end) { events_.run_until(end); }

    /*! @brief Longest time until a router knew that the endpoint is leaving. @return Nothing if a router doesn't know.
     */
    [[nodiscard]] std::optional<duration> leaving_propagation_time() const {
        duration out{};
        for (const auto& it : members_) {
            if (!it.leaving_known_at) {
                return std::nullopt;
            }
            out = std::max(out, *it.leaving_known_at - leaving_at_);
        }
        return out;
    }

    /*! @brief Longest time until a router had a configuration or a later one. @return Nothing if a router lacks one. */
    [[nodiscard]] std::optional<duration> config_propagation_time() const {
        duration out{};
        for (const auto& [version, acknowledged] : configs_) {
            for (const auto& it : members_) {
                const auto known = it.config_known_at.lower_bound(version);
                if (known == it.config_known_at.end()) {
                    return std::nullopt;
                }
                out = std::max(out, known->second - acknowledged);
            }
        }
        return out;
    }

    /*! @brief Greatest age of the operator state at any router. @return Nothing if a router has none. */
    [[nodiscard]] std::optional<duration> oldest_operators_age() const {
        duration out{};
        for (const auto& it : members_) {
            const auto age = it.router->view.operator_state_age(events_.now());
            if (!age) {
                return std::nullopt;
            }
            out = std::max(out, *age);
        }
        return out;
    }

    /*! @brief Number of connections that were replaced. */
    [[nodiscard]] std::size_t redials() const noexcept { return redials_; }
    /*! @brief Numbers of endpoint lists and of configuration texts in messages. */
    [[nodiscard]] std::size_t lists_sent() const noexcept { return lists_sent_; }
    [[nodiscard]] std::size_t configs_sent() const noexcept { return configs_sent_; }
    /*! @brief Number of calls with lost runs in messages, summed over all messages. */
    [[nodiscard]] std::size_t losses_sent() const noexcept { return losses_sent_; }
    /*! @brief Number of routers that know the lost run of a call. */
    [[nodiscard]] std::size_t count_routers_knowing(std::uint64_t call) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            members_, [&](const member& it) { return it.router->losses.lost_endpoint_count(call) == 1; }));
    }
    /*! @brief Longest time that anything was queued for a link between the regions. */
    [[nodiscard]] duration max_link_wait() const noexcept { return max_link_wait_; }
    [[nodiscard]] time_point now() const noexcept { return events_.now(); }

private:
    [[nodiscard]] static socket_address address_of(std::size_t n) {
        return {"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
    }

    /*! Time to transfer bytes between regions, including the time queued for the link. */
    [[nodiscard]] duration transfer_time(std::size_t from, std::size_t to, std::size_t bytes) {
        if (from == to) {
            return latency_in_region;
        }
        auto& free_at = link_free_at_[from];
        const double rate = options_.link_bytes_per_s * (1.0 - options_.call_share);
        const auto wait = std::max(duration{}, free_at - events_.now());
        max_link_wait_ = std::max(max_link_wait_, wait);
        const auto transmission_time =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{static_cast<double>(bytes) / rate});
        free_at = events_.now() + wait + transmission_time;
        return wait + transmission_time + latency_between_regions;
    }

    void read_list(member& it) {
        if (it.has_lost_store) {
            events_.after(retry_interval, [this, &it] { read_list(it); });
            return;
        }
        const auto sent = events_.now();
        auto list = list_;
        list.as_of = version_;
        const auto took = store_latency + transfer_time(0, it.region, stored_row_bytes * list.entries.size());
        if (took > store_timeout) { // The bytes occupy the link all the same.
            events_.after(store_timeout + retry_interval, [this, &it] { read_list(it); });
            return;
        }
        events_.after(took, [this, &it, sent, list] {
            it.router->view.merge_endpoints(list, sent, events_.now());
            record_known_state(it);
            events_.after(list_interval, [this, &it] { read_list(it); });
        });
    }

    void deliver_operators(member& it, time_point when) {
        const auto sent = events_.now();
        events_.at(when, [this, &it, sent, version = version_, config = config_] {
            if (it.has_lost_store) {
                return;
            }
            it.router->adopt_config(config, options_.config_bytes);
            it.router->view.update_operator_state(operator_state{version, config, {}}, sent);
            record_known_state(it);
        });
    }

    void read_operators(member& it) {
        if (!it.has_lost_store) {
            deliver_operators(it, events_.now() + store_latency + transfer_time(0, it.region, 0));
        }
        events_.after(watch_interval, [this, &it] { read_operators(it); });
    }

    void send_round(member& it) {
        auto& synchronizer = it.router->synchronizer;
        synchronizer.begin_round(events_.now());
        const auto addresses = synchronizer.addresses();
        for (const auto& to : addresses) {
            send(it, to);
        }
        events_.after(synchronizer.interval(), [this, &it] { send_round(it); });
    }

    void poll(member& it) {
        send_pending(it);
        events_.after(peer_transport::max_poll_interval, [this, &it] { poll(it); });
    }

    void send_pending(member& it) {
        for (const auto& to : it.router->synchronizer.pending_recipients(events_.now())) {
            send(it, to);
        }
    }

    void send(member& from, const socket_address& address) {
        auto& to = members_[address.port - 1U];
        const auto [dialled_at, added] = from.dialled_at.try_emplace(address, events_.now());
        if (added) {
            return;
        }
        if (from.router->synchronizer.is_stalled(address, dialled_at->second, events_.now())) {
            ++redials_;
            dialled_at->second = events_.now();
            return;
        }
        const auto state =
            std::make_shared<peer_message>(from.router->synchronizer.make_message(address, events_.now()));
        lists_sent_ += state->list ? 1 : 0;
        configs_sent_ += state->config_text.empty() ? 0 : 1;
        losses_sent_ += state->losses.size();
        const auto bytes = base_message_bytes + sent_loss_bytes * state->losses.size() + state->config_text.size() +
                           (state->list ? sent_row_bytes * state->list->entries.size() : 0);
        events_.after(transfer_time(from.region, to.region, bytes), [this, &to, state] {
            to.router->synchronizer.receive(*state, events_.now());
            record_known_state(to);
            if (to.router->synchronizer.has_pending_requests()) {
                send_pending(to);
            }
        });
    }

    void record_known_state(member& it) {
        const auto& view = it.router->view;
        const auto first = view.endpoints().find(list_.entries.front().id);
        if (!it.leaving_known_at && first != view.endpoints().end() && !view.accepts_work(first->second)) {
            it.leaving_known_at = events_.now();
        }
        if (view.config() != nullptr) {
            it.config_known_at.try_emplace(view.config()->version, events_.now());
        }
    }

    peer_fleet_options options_;
    std::vector<member> members_{};
    soak::event_queue events_{};
    endpoint_list list_{};
    std::uint64_t version_{1};
    std::uint64_t config_{1};
    std::map<std::uint64_t, time_point> configs_{};
    time_point leaving_at_{};
    std::array<time_point, 2> link_free_at_{};
    duration max_link_wait_{};
    std::size_t redials_{};
    std::size_t lists_sent_{};
    std::size_t configs_sent_{};
    std::size_t losses_sent_{};
};

} // namespace dandelionbay
