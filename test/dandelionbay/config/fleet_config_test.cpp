#include "dandelionbay/config/fleet_config.hpp"

#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace dandelionbay {
namespace {

using nlohmann::json;

json valid_document() {
    return json::parse(R"json({
        "zones": [{"name": "z2", "region": "r1", "labels": {"rack": "a"}}, {"name": "z1", "region": "r1"}],
        "endpoints": [{"name": "e1", "zone": "z1", "labels": {"gpu": "big"}, "slots": 4, "cold_slots": 2},
                      {"name": "e2", "zone": "z2"}],
        "pools": [{"name": "p", "endpoints": "gpu=big"}],
        "services": [{"name": "chat", "kind": "model", "model": "m", "pool": "p"},
                     {"name": "orders", "kind": "plain", "pool": "p", "max_queued": 9,
                      "not_repeatable": [{"method": "POST", "path_prefix": "/orders"}]}],
        "teams": [{"name": "t2", "token": "a", "labels": {"weight": "2.5", "tier": "gold"}},
                  {"name": "t1", "token": "b"}],
        "access": [{"teams": "tier=gold", "endpoints": ""}, {"teams": "name=t1", "endpoints": "zone=z2"}],
        "zones_out": "rack=a",
        "endpoints_leaving": "name in (e2)"
    })json");
}

std::vector<std::string> faults_of(const std::string& text) {
    const auto result = parse_fleet_config(text, 1);
    std::vector<std::string> out;
    std::istringstream lines{std::string{result.status().message()}};
    for (std::string it; std::getline(lines, it);) {
        out.push_back(it);
    }
    return out;
}

// Guards against lookups that miss after the parser reorders objects, and against selectors that ignore implicit
// labels.
TEST(fleet_config, answers_questions_about_a_valid_document) {
    const auto config = parse_fleet_config(valid_document().dump(), 7).value();
    const auto& gold = *config.find(team_id{"t2"});
    const auto& plain = *config.find(team_id{"t1"});
    const auto& e1 = *config.find(endpoint_id{"e1"});
    const auto& e2 = *config.find(endpoint_id{"e2"});
    {
        SCOPED_TRACE("lookups, also in a value that was not built by the parser");
        EXPECT_EQ(config.revision, 7U);
        auto unordered = config;
        unordered.ordered = false;
        unordered.token_order.clear();
        std::swap(unordered.teams[0], unordered.teams[1]);
        for (const auto& it : {config, unordered}) {
            EXPECT_EQ(it.team_by_token("a")->id, team_id{"t2"});
            EXPECT_EQ(it.team_by_token("b")->id, team_id{"t1"});
            EXPECT_EQ(it.team_by_token(""), nullptr);
            EXPECT_EQ(it.find(team_id{"t2"})->weight, 2.5);
            EXPECT_EQ(it.find(team_id{"t3"}), nullptr);
        }
        EXPECT_EQ(config.service_by_model("m")->id, service_id{"chat"});
        EXPECT_EQ(config.service_by_model(""), nullptr);
        EXPECT_EQ(config.find(service_id{"orders"})->not_repeatable.front().path_prefix, "/orders");
    }
    {
        SCOPED_TRACE("selectors");
        EXPECT_TRUE(config.in_pool(e1, config.pools.front()));
        EXPECT_FALSE(config.in_pool(e2, config.pools.front()));
        EXPECT_TRUE(config.may_use(gold, e1));
        EXPECT_FALSE(config.may_use(plain, e1));
        EXPECT_TRUE(config.may_use(plain, e2));
        EXPECT_TRUE(config.zone_out(zone_id{"z2"}));
        EXPECT_FALSE(config.zone_out(zone_id{"z1"}));
        EXPECT_TRUE(config.zone_out(zone_id{"unknown"}));
        EXPECT_TRUE(config.leaving(endpoint_id{"e2"}));
        EXPECT_FALSE(config.leaving(endpoint_id{"e1"}));
        EXPECT_TRUE(config.leaving(endpoint_id{"unknown"}));
    }
    {
        SCOPED_TRACE("defaults: nothing is out, no rule means every team may use every endpoint");
        auto document = valid_document();
        for (const auto* key : {"access", "zones_out", "endpoints_leaving"}) {
            document.erase(key);
        }
        const auto open = parse_fleet_config(document.dump(), 1).value();
        EXPECT_TRUE(open.may_use(plain, e1));
        EXPECT_FALSE(open.zone_out(zone_id{"z2"}));
        EXPECT_FALSE(open.leaving(endpoint_id{"e2"}));
        EXPECT_EQ(parse_fleet_config("{}", 0).value().teams.size(), 0U);
    }
}

// Guards against a fault that is accepted, reported without its place, or hides the other faults.
TEST(fleet_config, reports_each_fault_by_its_path) {
    struct fault_case {
        const char* pointer;
        json value;
        const char* fault;
    };
    const std::vector<fault_case> cases{
        {"/colour", "red", "$.colour: unknown key"},
        {"/teams/0/colour", 1, "$.teams[0].colour: unknown key"},
        {"/teams/0/token", "", "$.teams[0].token: the token is empty"},
        {"/teams/0/token", "a b", "$.teams[0].token: expected at most"},
        {"/teams/0/token", 5, "$.teams[0].token: expected a string, found number"},
        {"/teams/1/token", "a", "$.teams[1].token: duplicate of $.teams[0].token"},
        {"/teams/1/name", "t2", "$.teams[1].name: duplicate of $.teams[0].name"},
        {"/teams/1/name", "a/b", "$.teams[1].name: expected 1 to 100"},
        {"/teams/0/labels/weight", "0", "$.teams[0].labels.weight: expected a number"},
        {"/teams/0/labels/weight", "1001", "$.teams[0].labels.weight: expected a number"},
        {"/teams/0/labels/weight", "nan", "$.teams[0].labels.weight: expected a number"},
        {"/teams/0/labels/weight", 2, "$.teams[0].labels.weight: expected a string"},
        {"/teams/0/labels/name", "x", "$.teams[0].labels.name: this label is implicit"},
        {"/teams/0/labels/tier", "a b", "$.teams[0].labels.tier: expected 1 to 100"},
        {"/teams/0/labels", 1, "$.teams[0].labels: expected an object"},
        {"/teams", 1, "$.teams: expected an array, found number"},
        {"/teams/1", "t", "$.teams[1]: expected an object, found string"},
        {"/services/0/kind", "other", "$.services[0].kind: expected \"model\" or \"plain\""},
        {"/services/0/model", "", "$.services[0].model: the model name is empty"},
        {"/services/1/model", "m", "$.services[1].model: a plain service has no model"},
        {"/services/0/pool", "q", "$.services[0].pool: no pool is named \"q\""},
        {"/services/1/not_repeatable/0/method", "post", "$.services[1].not_repeatable[0].method: expected"},
        {"/services/1/not_repeatable/0/path_prefix", "x", "$.services[1].not_repeatable[0].path_prefix: expected"},
        {"/services/1/max_queued", 0, "$.services[1].max_queued: expected 1 to 1000000, found 0"},
        {"/services/1/max_queued", -1, "$.services[1].max_queued: expected 1 to 1000000, found -1"},
        {"/services/1/max_queued", 1.5, "$.services[1].max_queued: expected an integer, found a fraction"},
        {"/services/1/max_body_bytes", 18'446'744'073'709'551'615ULL, "$.services[1].max_body_bytes: expected 1 to"},
        {"/endpoints/0/zone", "z9", "$.endpoints[0].zone: no zone is named \"z9\""},
        {"/endpoints/0/cold_slots", 5, "$.endpoints[0].cold_slots: expected at most the slots, 4"},
        {"/pools/0/endpoints", "a=", "$.pools[0].endpoints: selector, position 3"},
        {"/access/0/teams", "(", "$.access[0].teams: selector, position 1"},
        {"/zones/0/region", "", "$.zones[0].region: expected 1 to 100"},
        {"/zones_out", "", "$.zones_out: an empty selector selects everything"},
        {"/endpoints_leaving", " ", "$.endpoints_leaving: an empty selector selects everything"},
    };
    json all = valid_document();
    for (const auto& it : cases) {
        auto document = valid_document();
        document[json::json_pointer{it.pointer}] = it.value;
        const auto faults = faults_of(document.dump());
        ASSERT_EQ(faults.size(), 1U) << it.fault << "; first found: " << (faults.empty() ? "none" : faults.front());
        EXPECT_TRUE(faults.front().starts_with(it.fault)) << faults.front() << " instead of " << it.fault;
    }
    {
        SCOPED_TRACE("missing keys");
        for (const auto* pointer :
             {"/teams/0/token", "/teams/0/name", "/services/0/kind", "/services/0/model", "/services/0/pool",
              "/pools/0/endpoints", "/endpoints/0/zone", "/zones/0/region", "/access/0/teams"}) {
            auto document = valid_document();
            const json::json_pointer at{pointer};
            document[at.parent_pointer()].erase(at.back());
            const auto faults = faults_of(document.dump());
            ASSERT_GE(faults.size(), 1U) << pointer;
            EXPECT_TRUE(faults.front().ends_with(at.back() + ": is missing")) << faults.front();
        }
    }
    {
        SCOPED_TRACE("two services with one model");
        auto document = valid_document();
        document["services"].push_back({{"name", "chat2"}, {"kind", "model"}, {"model", "m"}, {"pool", "p"}});
        EXPECT_EQ(faults_of(document.dump()),
                  std::vector<std::string>{"$.services[2].model: duplicate of $.services[0].model"});
    }
    {
        SCOPED_TRACE("several faults at once");
        auto document = valid_document();
        document["teams"][0]["token"] = "";
        document["zones"][1]["region"] = 1;
        document["x"] = 1;
        EXPECT_EQ(faults_of(document.dump()).size(), 3U);
    }
    {
        SCOPED_TRACE("text that is not one JSON object, and keys that occur twice");
        EXPECT_EQ(faults_of("{").size(), 1U);
        EXPECT_EQ(faults_of("[]"), std::vector<std::string>{"$: expected an object, found array"});
        EXPECT_EQ(faults_of(R"({"zones": [{"name": "z", "region": "r", "name": "y"}]})"),
                  std::vector<std::string>{"$.zones[0].name: the key occurs twice"});
        EXPECT_EQ(faults_of(std::string((4U << 20U) + 1, ' ')).size(), 1U);
        EXPECT_EQ(faults_of(std::string(100'000, '[')).size(), 1U);
    }
}

} // namespace
} // namespace dandelionbay
