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

inline selector parse_selector(const char* text) {
    return selector::parse(text).value();
}

// Runs one agent on a manual clock and records what it sends to each router and to its endpoint.
class agent_harness : public ::testing::Test {
public:
    void perform(agent_core::actions actions) {
        for (auto& it : actions) {
            if (auto* const sent = std::get_if<send_message>(&it)) {
                if (const auto* const issued = std::get_if<grant>(&sent->body)) {
                    for (const auto& id : issued->ids) {
                        held_grants[sent->to].push_back(id);
                        grant_expiry[id] = now + milliseconds{issued->lifetime_ms};
                    }
                }
                if (const auto* const recalled = std::get_if<recall>(&sent->body)) {
                    recalled_grants[sent->to].insert(recalled_grants[sent->to].end(), recalled->ids.begin(),
                                                     recalled->ids.end());
                }
                sent_messages[sent->to].push_back(std::move(sent->body));
            } else if (auto* const start = std::get_if<start_run>(&it)) {
                started_runs.push_back(std::move(start->work));
            } else if (const auto* const end = std::get_if<cancel_run>(&it)) {
                cancelled_runs.push_back(end->id);
            } else {
                ++check_count;
                if (is_endpoint_answering) {
                    perform(core->report(endpoint_state, now));
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
        perform(core->set_fresh(true, now));
    }

    void apply() { perform(core->apply(std::make_shared<const fleet_config>(config), now)); }

    void report(load_report state) {
        endpoint_state = std::move(state);
        perform(core->report(endpoint_state, now));
    }

    void report_warm(const std::string& process = "p1") { report({.process = process}); }

    void return_grants(const std::string& router) {
        receive(router, returned{std::exchange(held_grants[host_id{router}], {})});
    }

    // Reports that nothing waits at any router and returns all grants.
    void withdraw_demand_and_grants() {
        for (const auto& [router, incarnation] : incarnations) {
            send_demand(router, "team", 0);
            return_grants(router);
        }
    }

    // Completes requests in time until the limit reaches all slots.
    void ramp_up_fully(const std::string& process = "p1") {
        report_warm(process);
        withdraw_demand_and_grants();
        for (int i = 0; core->limit() < config.endpoints[0].slots && i < 100; ++i) {
            link("warm-up");
            send_demand("warm-up", "team", 1);
            for (const auto& [router, ids] : std::exchange(recalled_grants, {})) {
                receive(router.value, returned{ids});
            }
            advance(milliseconds{20});
            if (grant_count("warm-up") > 0) {
                complete(submit_one("warm-up"));
            }
            send_demand("warm-up", "team", 0);
            advance(seconds{1});
        }
        perform(core->link_down(host_id{"warm-up"}, now));
    }

    void link(const std::string& router, incarnation_type incarnation = 1, const std::string& region = "west") {
        incarnations[router] = incarnation;
        held_grants[host_id{router}].clear();
        perform(core->link_up(hello{.host = host_id{router},
                                    .region = region_id{region},
                                    .zone = zone_id{"z1"},
                                    .incarnation = incarnation},
                              now));
    }

    void unlink(const std::string& router) {
        perform(core->link_down(host_id{router}, now));
        held_grants[host_id{router}].clear();
    }

    void receive(const std::string& from, message body) { perform(core->receive(host_id{from}, body, now)); }

    void send_demand(const std::string& router, std::vector<team_demand> teams) {
        receive(router, demand{.pool = pool_id{"pool"}, .version = ++version, .teams = std::move(teams)});
    }

    void send_demand(const std::string& router, const std::string& team, std::uint32_t n, double counter = 0) {
        send_demand(router, {team_demand{.team = team_id{team}, .queued = n, .counter = counter, .charged = counter}});
    }

    submit make_submission(const std::string& router, const grant_id& under) {
        submit it{.id = {host_id{router}, incarnations[router], ++sequence},
                  .grant = under,
                  .team = team_id{"team"},
                  .service = service_id{"chat"},
                  .model_call = true,
                  .fingerprint = sequence,
                  .timeout_ms = 60'000};
        return it;
    }

    grant_id take_grant(const std::string& router) {
        EXPECT_GT(grant_count(router), 0) << router << " holds no grant";
        auto& ids = held_grants[host_id{router}];
        if (ids.empty()) {
            return {};
        }
        const auto id = ids.front();
        ids.erase(ids.begin());
        return id;
    }

    request_id submit_one(const std::string& router) {
        auto it = make_submission(router, take_grant(router));
        receive(router, it);
        return it.id;
    }

    void complete(const request_id& id) {
        perform(core->run_head(id, 200, {}, now));
        perform(core->run_data(id, "answer", 1, now));
        perform(core->run_ended(id, run_end::complete, 10, now));
    }

    void advance(duration step) {
        for (const auto end = now + step; now < end;) {
            now = std::min(end, now + milliseconds{20});
            perform(core->tick(now));
            check_limit();
        }
    }

    // The agent may have more runs than its limit only if the limit dropped while they were running.
    void check_limit() const { EXPECT_EQ(metrics.total("invariant_violations_total"), 0); }

    template<typename T>
    std::vector<T> messages(const std::string& to) const {
        std::vector<T> result;
        if (const auto it = sent_messages.find(host_id{to}); it != sent_messages.end()) {
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

    std::size_t grant_count(const std::string& router) {
        auto& ids = held_grants[host_id{router}];
        std::erase_if(ids, [&](const grant_id& id) { return grant_expiry[id] <= now; });
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
    load_report endpoint_state{.process = "p1"}; // The endpoint's answer to check_endpoint.
    bool is_endpoint_answering{true};
    int check_count{};
    std::map<host_id, std::vector<grant_id>> held_grants;
    std::map<grant_id, time_point> grant_expiry;
    std::map<host_id, std::vector<grant_id>> recalled_grants;
    std::map<host_id, std::vector<message>> sent_messages;
    std::map<std::string, incarnation_type> incarnations;
    std::vector<submit> started_runs;
    std::vector<request_id> cancelled_runs;
    std::uint64_t version{};
    std::uint64_t sequence{};
};

} // namespace dandelionbay
