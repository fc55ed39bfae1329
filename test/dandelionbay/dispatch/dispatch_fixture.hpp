#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dandelionbay/dispatch/dispatcher.hpp"

namespace dandelionbay {

/*! @brief Records the decisions of a dispatcher. */
class decision_log final : public dispatch_listener {
public:
    void placed(ticket_id ticket, const endpoint_choice& choice) override {
        placements[ticket] = choice.endpoint.value;
        admissions[ticket] = choice.admitted;
    }
    void refused(ticket_id ticket, const refusal& why) override { refusals[ticket] = why; }

    std::map<ticket_id, std::string> placements{};
    std::map<ticket_id, admission> admissions{}; //!< Of the placed calls.
    std::map<ticket_id, refusal> refusals{};
};

/*! @brief A fleet of engines in two regions, known to one router; its clock advances only when the test moves it. */
struct dispatch_fixture {
    static constexpr time_point start{std::chrono::seconds{1'000}};

    explicit dispatch_fixture(int engines = 4, const dispatch_limits& limits = {})
        : router{view, location(), limits, log, 1} {
        route_config config;
        config.version = 1;
        endpoint_service model;
        model.id = service_id{"model"};
        model.max_cold_calls_per_s = 4.0;
        model.engine = engine_profile{64, 200'000, 4};
        endpoint_service plain;
        plain.id = service_id{"orders"};
        config.services = {model, plain};
        view.adopt(std::make_shared<const route_config>(make_route_config(std::move(config))));
        for (int n = 0; n < engines; ++n) {
            list.entries.push_back(engine("e" + std::to_string(n), "zone-1"));
        }
        publish();
    }

    [[nodiscard]] static router_location location() {
        return {host_id{"r1"},
                zone_id{"zone-1"},
                region_id{"here"},
                {{zone_id{"zone-1"}, region_id{"here"}}, {zone_id{"zone-2"}, region_id{"there"}}}};
    }

    [[nodiscard]] static endpoint_entry engine(const std::string& id, const std::string& zone) {
        endpoint_entry it;
        it.id = endpoint_id{id};
        it.service = service_id{"model"};
        it.zone = zone_id{zone};
        it.slots = 64;
        it.row_version = 1;
        return it;
    }

    void publish() {
        list.as_of = list.as_of.next();
        view.merge_endpoints(list, now, now);
        router.refresh(now);
    }

    /*! @brief Creates a call whose prompt has a shared part and a part of its own. @param prefix Id of the shared part.
     *  @param shared Tokens of the shared part. @param own Tokens of the own part. */
    [[nodiscard]] work_item call(const std::string& team, std::uint64_t prefix, std::uint32_t shared,
                                 std::uint32_t own) {
        work_item it;
        it.ticket = ++last_ticket;
        it.team = team_id{team};
        it.service = service_id{"model"};
        it.parts = {{prefix, shared}, {1'000'000 + it.ticket, own}};
        it.prompt_tokens = shared + own;
        it.output_tokens = 50;
        it.target = std::chrono::milliseconds{600};
        it.arrived = now;
        return it;
    }

    /*! @brief Submits a call. @return Its ticket. */
    ticket_id send(work_item it) {
        const auto ticket = it.ticket;
        router.submit(std::move(it), now);
        return ticket;
    }

    /*! @brief Answers all placed calls. */
    void answer_all() {
        for (ticket_id ticket = 1; ticket <= last_ticket; ++ticket) {
            if (const auto it = log.placements.find(ticket); it != log.placements.end()) {
                router.data_received(endpoint_id{it->second}, now);
            }
            router.started(ticket, now);
            router.ended(ticket, call_outcome::answered, now);
        }
        router.refresh(now);
    }

    void advance(duration step) {
        now += step;
        router.process_waiting(now);
    }

    time_point now{start};
    registry_view view{{}};
    decision_log log{};
    dispatcher router;
    endpoint_list list{};
    ticket_id last_ticket{};
};

} // namespace dandelionbay
