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

#include "board_router.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/peer/peer_links.hpp"
#include "dandelionbay/soak/event_queue.hpp"

namespace dandelionbay {

/*! @brief What a simulated fleet looks like. */
struct board_fleet_options {
    std::size_t routers{103};
    std::size_t endpoints{170};
    std::size_t config_bytes{24'000};
    double link_bytes_per_s{150e6 / 8}; //!< Between the two regions, each way.
    double calls_share{0.4};            //!< Part of that which calls take.
    std::size_t without_store_every{3}; //!< Every n-th router loses the store at the outage.
};

/**
 * @brief Routers in two regions that tell each other what they know, and a store in one of the regions, on a clock of
 * its own. All that crosses the regions shares one link each way, in the order in which it was sent.
 */
class board_fleet {
    /*! A member, and its connections to the others. */
    struct member {
        std::unique_ptr<board_router> router{};
        std::size_t region{};
        bool store_lost{};
        std::map<socket_address, time_point> dialled{};
        std::optional<time_point> knows_leaving{};
        std::map<std::uint64_t, time_point> knows_config{};
    };

public:
    static constexpr time_point start{std::chrono::hours{1}}; // Of the queue of events.
    /*! @brief Intervals and limits of a router's reading, for a bound of 5 s on facts. */
    static constexpr duration list_interval{std::chrono::seconds{1}};
    static constexpr duration watch{std::chrono::seconds{2}};
    static constexpr fact_limits limits{std::chrono::seconds{3}, std::chrono::seconds{2}};
    static constexpr duration answer_limit{std::chrono::milliseconds{900}};
    static constexpr duration retry_pause{std::chrono::milliseconds{250}};
    static constexpr duration store_time{std::chrono::milliseconds{4}};
    static constexpr duration way_in_region{std::chrono::milliseconds{1}};
    static constexpr duration way_between_regions{std::chrono::milliseconds{20}};
    /*! @brief A row of an endpoint as the store gives it, and in a message of a peer, in bytes. */
    static constexpr std::size_t stored_row = 400;
    static constexpr std::size_t told_row = 100;
    static constexpr std::size_t told_loss = 50;
    static constexpr std::size_t usual_message = 2'000;

    explicit board_fleet(board_fleet_options options) : options_{options} {
        for (std::size_t n = 0; n < options_.endpoints; ++n) {
            endpoint_entry it;
            it.id = endpoint_id{concat("e", n)};
            it.row_version = 1;
            list_.entries.push_back(it);
        }
        list_.as_of = 1;
        for (std::size_t n = 0; n < options_.routers; ++n) {
            auto& it = members_.emplace_back();
            it.router = std::make_unique<board_router>(concat("r", n), static_cast<std::uint16_t>(n + 1),
                                                       concat("region-", n % 2), limits);
            it.region = n % 2;
        }
        for (auto& it : members_) {
            std::vector<router_entry> all;
            for (std::size_t n = 0; n < options_.routers; ++n) {
                all.push_back(router_entry{host_id{concat("r", n)}, address_of(n)});
            }
            it.router->board.announced(all, start);
            // Processes do not start at the same moment.
            const duration offset{std::chrono::milliseconds{10} * (&it - members_.data())};
            events_.at(start + offset, [this, &it] { read_list(it); });
            events_.at(start + offset, [this, &it] { read_operators(it); });
            events_.at(start + offset, [this, &it] { round(it); });
            events_.at(start + offset, [this, &it] { tick(it); });
        }
    }

    /*! @brief The store turns some routers away from now on. */
    void lose_store() {
        for (std::size_t n = 0; n < members_.size(); n += options_.without_store_every) {
            members_[n].store_lost = true;
            members_[n].router->view.on_store_failed();
        }
    }

    /*! @brief The store acknowledges that the first endpoint leaves. */
    void endpoint_leaves() {
        list_.entries.front().leaving = true;
        list_.entries.front().row_version = ++version_;
        leaving_at_ = events_.now();
    }

    /*! @brief The store acknowledges a new configuration, and wakes those that watch it. */
    void change_config() {
        ++version_;
        configs_[++config_] = events_.now();
        for (auto& it : members_) {
            if (!it.store_lost) {
                take_operators(it, events_.now() + store_time + way(0, it.region, options_.config_bytes));
            }
        }
    }

    /*! @brief Endpoints end under calls of all routers, each call at one endpoint. */
    void lose_runs(std::size_t calls) {
        for (std::size_t n = 0; n < calls; ++n) {
            const endpoint_process at{list_.entries[n % list_.entries.size()].id, 1};
            auto& losses = members_[n % members_.size()].router->losses;
            losses.record_interrupted_run(n,
                                          lost_run{at, events_.now() - std::chrono::milliseconds{50}, events_.now()});
            losses.record_process_exit(at, events_.now());
        }
    }

    /*! @brief Runs until a moment. */
    void run_until(time_point end) { events_.run_until(end); }

    /*! @brief Longest time until a router knew that the endpoint leaves. @return Nothing if one does not know it. */
    [[nodiscard]] std::optional<duration> last_knew_leaving() const {
        duration out{};
        for (const auto& it : members_) {
            if (!it.knows_leaving) {
                return std::nullopt;
            }
            out = std::max(out, *it.knows_leaving - leaving_at_);
        }
        return out;
    }

    /*! @brief Longest time until a router had a configuration or a later one. @return Nothing if one lacks one. */
    [[nodiscard]] std::optional<duration> last_had_config() const {
        duration out{};
        for (const auto& [version, acknowledged] : configs_) {
            for (const auto& it : members_) {
                const auto known = it.knows_config.lower_bound(version);
                if (known == it.knows_config.end()) {
                    return std::nullopt;
                }
                out = std::max(out, known->second - acknowledged);
            }
        }
        return out;
    }

    /*! @brief Oldest evidence of what operators want, at any router. @return Nothing if one has none. */
    [[nodiscard]] std::optional<duration> oldest_evidence() const {
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

    /*! @brief Connections that were made anew. */
    [[nodiscard]] std::size_t redials() const noexcept { return redials_; }
    /*! @brief Lists and texts of configurations in messages of peers. */
    [[nodiscard]] std::size_t lists_sent() const noexcept { return lists_sent_; }
    [[nodiscard]] std::size_t configs_sent() const noexcept { return configs_sent_; }
    /*! @brief Calls with lost runs in messages of peers. */
    [[nodiscard]] std::size_t losses_sent() const noexcept { return losses_sent_; }
    /*! @brief Routers that know of the lost run of a call. */
    [[nodiscard]] std::size_t routers_that_know(std::uint64_t call) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            members_, [&](const member& it) { return it.router->losses.lost_endpoint_count(call) == 1; }));
    }
    /*! @brief Longest time that something waited before the link between the regions. */
    [[nodiscard]] duration longest_wait() const noexcept { return longest_wait_; }
    [[nodiscard]] time_point now() const noexcept { return events_.now(); }

private:
    [[nodiscard]] static socket_address address_of(std::size_t n) {
        return {"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
    }

    /*! Time that bytes need from one region to another, those before them on the link included. */
    [[nodiscard]] duration way(std::size_t from, std::size_t to, std::size_t bytes) {
        if (from == to) {
            return way_in_region;
        }
        auto& free = link_free_[from];
        const double rate = options_.link_bytes_per_s * (1.0 - options_.calls_share);
        const auto wait = std::max(duration{}, free - events_.now());
        longest_wait_ = std::max(longest_wait_, wait);
        const auto lasts =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{static_cast<double>(bytes) / rate});
        free = events_.now() + wait + lasts;
        return wait + lasts + way_between_regions;
    }

    void read_list(member& it) {
        if (it.store_lost) {
            events_.after(retry_pause, [this, &it] { read_list(it); });
            return;
        }
        const auto sent = events_.now();
        auto list = list_;
        list.as_of = version_;
        const auto took = store_time + way(0, it.region, stored_row * list.entries.size());
        if (took > answer_limit) { // The bytes take their time on the link all the same.
            events_.after(answer_limit + retry_pause, [this, &it] { read_list(it); });
            return;
        }
        events_.after(took, [this, &it, sent, list] {
            it.router->view.merge_endpoints(list, sent, events_.now());
            note(it);
            events_.after(list_interval, [this, &it] { read_list(it); });
        });
    }

    void take_operators(member& it, time_point when) {
        const auto sent = events_.now();
        events_.at(when, [this, &it, sent, version = version_, config = config_] {
            if (it.store_lost) {
                return;
            }
            it.router->adopt(config, options_.config_bytes);
            it.router->view.update_operator_state(operator_state{version, config, {}}, sent);
            note(it);
        });
    }

    void read_operators(member& it) {
        if (!it.store_lost) {
            take_operators(it, events_.now() + store_time + way(0, it.region, 0));
        }
        events_.after(watch, [this, &it] { read_operators(it); });
    }

    void round(member& it) {
        auto& board = it.router->board;
        board.begin_round(events_.now());
        const auto addresses = board.addresses();
        for (const auto& to : addresses) {
            send(it, to);
        }
        events_.after(board.interval(), [this, &it] { round(it); });
    }

    void tick(member& it) {
        send_due(it);
        events_.after(peer_links::due_interval, [this, &it] { tick(it); });
    }

    void send_due(member& it) {
        for (const auto& to : it.router->board.due(events_.now())) {
            send(it, to);
        }
    }

    void send(member& from, const socket_address& address) {
        auto& to = members_[address.port - 1U];
        const auto [dialled, added] = from.dialled.try_emplace(address, events_.now());
        if (added) {
            return;
        }
        if (from.router->board.stuck(address, dialled->second, events_.now())) {
            ++redials_;
            dialled->second = events_.now();
            return;
        }
        const auto state = std::make_shared<peer_state>(from.router->board.compose(address, events_.now()));
        lists_sent_ += state->list ? 1 : 0;
        configs_sent_ += state->config_text.empty() ? 0 : 1;
        losses_sent_ += state->losses.size();
        const auto bytes = usual_message + told_loss * state->losses.size() + state->config_text.size() +
                           (state->list ? told_row * state->list->entries.size() : 0);
        events_.after(way(from.region, to.region, bytes), [this, &to, state] {
            to.router->board.receive(*state, events_.now());
            note(to);
            if (to.router->board.asked()) {
                send_due(to);
            }
        });
    }

    void note(member& it) {
        const auto& view = it.router->view;
        const auto first = view.endpoints().find(list_.entries.front().id);
        if (!it.knows_leaving && first != view.endpoints().end() && !view.accepts_work(first->second)) {
            it.knows_leaving = events_.now();
        }
        if (view.config() != nullptr) {
            it.knows_config.try_emplace(view.config()->version, events_.now());
        }
    }

    board_fleet_options options_;
    std::vector<member> members_{};
    soak::event_queue events_{};
    endpoint_list list_{};
    std::uint64_t version_{1};
    std::uint64_t config_{1};
    std::map<std::uint64_t, time_point> configs_{};
    time_point leaving_at_{};
    std::array<time_point, 2> link_free_{};
    duration longest_wait_{};
    std::size_t redials_{};
    std::size_t lists_sent_{};
    std::size_t configs_sent_{};
    std::size_t losses_sent_{};
};

} // namespace dandelionbay
