#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/agent/agent_core.hpp"
#include "dandelionbay/base/counters.hpp"

namespace dandelionbay {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline selector select(const char* text) {
    return selector::parse(text).value();
}

// One agent on a paused clock, with what it sent to each router and to its endpoint.
class agent_harness : public ::testing::Test {
public:
    void take(agent_core::actions actions) {
        for (auto& it : actions) {
            if (auto* const sent = std::get_if<send_message>(&it)) {
                if (const auto* const leave = std::get_if<grant>(&sent->body)) {
                    for (const auto& id : leave->ids) {
                        held[sent->to].push_back(id);
                        expiry[id] = now + milliseconds{leave->lifetime_ms};
                    }
                }
                if (const auto* const back = std::get_if<recall>(&sent->body)) {
                    recalled[sent->to].insert(recalled[sent->to].end(), back->ids.begin(), back->ids.end());
                }
                sent_to[sent->to].push_back(std::move(sent->body));
            } else if (auto* const start = std::get_if<start_run>(&it)) {
                started.push_back(std::move(start->work));
            } else if (const auto* const end = std::get_if<cancel_run>(&it)) {
                cancelled.push_back(end->id);
            } else {
                ++checks;
                if (endpoint_answers) {
                    take(core->report(present, now));
                }
            }
        }
    }

    void start_agent(incarnation_type incarnation = 1) {
        core = std::make_unique<agent_core>(agent_settings{.host = host_id{"a"},
                                                           .region = region_id{"west"},
                                                           .zone = zone_id{"z1"},
                                                           .endpoint = endpoint_id{"e"},
                                                           .incarnation = incarnation},
                                            metrics);
        apply();
        take(core->set_fresh(true, now));
    }

    void apply() { take(core->apply(std::make_shared<const fleet_config>(config), now)); }

    void report(load_report state) {
        present = std::move(state);
        take(core->report(present, now));
    }

    void warm(const std::string& process = "p1") { report({.process = process}); }

    void give_back(const std::string& router) { receive(router, returned{std::exchange(held[host_id{router}], {})}); }

    // Nothing waits at any router and none holds a grant.
    void calm() {
        for (const auto& [router, incarnation] : incarnations) {
            ask(router, "team", 0);
            give_back(router);
        }
    }

    // Brings the ramp to all slots with answers in time.
    void warm_fully(const std::string& process = "p1") {
        warm(process);
        calm();
        for (int i = 0; core->limit() < config.endpoints[0].slots && i < 100; ++i) {
            link("warm-up");
            ask("warm-up", "team", 1);
            for (const auto& [router, ids] : std::exchange(recalled, {})) {
                receive(router.value, returned{ids});
            }
            advance(milliseconds{20});
            if (grants("warm-up") > 0) {
                complete(submit_one("warm-up"));
            }
            ask("warm-up", "team", 0);
            advance(seconds{1});
        }
        take(core->link_down(host_id{"warm-up"}, now));
    }

    void link(const std::string& router, incarnation_type incarnation = 1, const std::string& region = "west") {
        incarnations[router] = incarnation;
        held[host_id{router}].clear();
        take(core->link_up(hello{.host = host_id{router},
                                 .region = region_id{region},
                                 .zone = zone_id{"z1"},
                                 .incarnation = incarnation},
                           now));
    }

    void unlink(const std::string& router) {
        take(core->link_down(host_id{router}, now));
        held[host_id{router}].clear();
    }

    void receive(const std::string& from, message body) { take(core->receive(host_id{from}, body, now)); }

    void ask(const std::string& router, std::vector<team_demand> teams) {
        receive(router, demand{.pool = pool_id{"pool"}, .version = ++version, .teams = std::move(teams)});
    }

    void ask(const std::string& router, const std::string& team, std::uint32_t n, double counter = 0) {
        ask(router, {team_demand{.team = team_id{team}, .queued = n, .counter = counter, .charged = counter}});
    }

    submit make(const std::string& router, const grant_id& under) {
        submit it{.id = {host_id{router}, incarnations[router], ++sequence},
                  .grant = under,
                  .team = team_id{"team"},
                  .service = service_id{"chat"},
                  .model_call = true,
                  .fingerprint = sequence,
                  .timeout_ms = 60'000};
        return it;
    }

    grant_id pop(const std::string& router) {
        EXPECT_GT(grants(router), 0) << router << " holds no grant";
        auto& ids = held[host_id{router}];
        if (ids.empty()) {
            return {};
        }
        const auto id = ids.front();
        ids.erase(ids.begin());
        return id;
    }

    request_id submit_one(const std::string& router) {
        auto it = make(router, pop(router));
        receive(router, it);
        return it.id;
    }

    void complete(const request_id& id) {
        take(core->run_head(id, 200, {}, now));
        take(core->run_data(id, "answer", 1, now));
        take(core->run_ended(id, run_end::complete, 10, now));
    }

    void advance(duration step) {
        for (const auto end = now + step; now < end;) {
            now = std::min(end, now + milliseconds{20});
            take(core->tick(now));
            check_limit();
        }
    }

    // Running work never exceeds what the endpoint bears, unless the limit fell under running work.
    void check_limit() const { EXPECT_EQ(metrics.total("invariant_violations_total"), 0); }

    template<typename T>
    std::vector<T> messages(const std::string& to) const {
        std::vector<T> result;
        if (const auto it = sent_to.find(host_id{to}); it != sent_to.end()) {
            for (const auto& body : it->second) {
                if (const auto* const one = std::get_if<T>(&body)) {
                    result.push_back(*one);
                }
            }
        }
        return result;
    }

    result_code last_rejection(const std::string& router) const {
        const auto all = messages<rejected>(router);
        return all.empty() ? result_code::ok : all.back().code;
    }

    std::size_t grants(const std::string& router) {
        auto& ids = held[host_id{router}];
        std::erase_if(ids, [&](const grant_id& id) { return expiry[id] <= now; });
        return ids.size();
    }

    void TearDown() override { check_limit(); }

    counters metrics;
    time_point now{seconds{1}};
    fleet_config config{
        .revision = 1,
        .teams = {{.id = team_id{"team"}}, {.id = team_id{"other"}}},
        .services = {{.id = service_id{"chat"}, .pool = pool_id{"pool"}}},
        .pools = {{.id = pool_id{"pool"}}},
        .endpoints = {{.id = endpoint_id{"e"}, .zone = zone_id{"z1"}}},
        .zones = {{.id = zone_id{"z1"}, .region = region_id{"west"}},
                  {.id = zone_id{"z2"}, .region = region_id{"east"}}},
    };
    std::unique_ptr<agent_core> core;
    load_report present{.process = "p1"}; // What the endpoint answers to a check of its state.
    bool endpoint_answers{true};
    int checks{};
    std::map<host_id, std::vector<grant_id>> held;
    std::map<grant_id, time_point> expiry;
    std::map<host_id, std::vector<grant_id>> recalled;
    std::map<host_id, std::vector<message>> sent_to;
    std::map<std::string, incarnation_type> incarnations;
    std::vector<submit> started;
    std::vector<request_id> cancelled;
    std::uint64_t version{};
    std::uint64_t sequence{};
};

} // namespace dandelionbay
