#include <gtest/gtest.h>

#include "platform/call_headers.hpp"
#include "platform/documents.hpp"
#include "platform/rows.hpp"

namespace dandelionbay::platform {
namespace {

constexpr auto* document = R"({"version": 12,
  "routes": [
    {"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 5000,
     "target_latency_ms": 600, "traffic_split": [{"service": "m1", "weight": 90}, {"service": "m2", "weight": 10}],
     "max_attempts": 2, "public": false, "resumable": true, "allowed_regions": ["north"], "new_field": {}},
    {"name": "book", "host": "a.example", "prefix": "/book/", "kind": "unsafe", "service": "desk", "public": true}],
  "services": [
    {"name": "m1", "max_conns": 360, "cold_per_s": 13.0,
     "engine": {"slots": 64, "kv_capacity": 273387, "stride": 4}},
    {"name": "desk", "engine": null}],
  "limits": {"max_header_bytes": 1000, "max_body_bytes": 2000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
             "tokens_per_s": 240000},
  "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "allowed_regions": []}]})";

/*! What an answer with this status and header says. */
[[nodiscard]] response_metadata read(int status, field_list fields) {
    response_head head;
    head.status = status;
    head.fields = std::move(fields);
    return make_call_protocol()->read_response(head);
}

// Guards against routes that are read with other limits than the operator wrote.
TEST(read_config, a_configuration_is_read_into_typed_values) {
    const auto config = read_config(document);
    ASSERT_TRUE(config.ok()) << config.status();
    EXPECT_EQ(config->version, 12);
    const auto* const chat = config->find_route("a.example", "/chat/x");
    ASSERT_NE(chat, nullptr);
    EXPECT_EQ(chat->kind, call_kind::streaming);
    EXPECT_TRUE(chat->idempotent());
    EXPECT_EQ(chat->time_limit, std::chrono::seconds{5});
    EXPECT_EQ(chat->services.size(), 2);
    EXPECT_EQ(chat->services[0].weight, 90.0);
    EXPECT_EQ(chat->home_regions, std::vector{region_id{"north"}});
    const auto* const book = config->find_route("a.example", "/book/x");
    ASSERT_NE(book, nullptr);
    EXPECT_FALSE(book->idempotent());
    EXPECT_TRUE(book->is_public);
    EXPECT_EQ(config->find_service(service_id{"m1"})->engine->memory_tokens, 273'387);
    EXPECT_FALSE(config->find_service(service_id{"desk"})->engine.has_value());
    EXPECT_EQ(config->find_team("k2")->id, team_id{"t"});
    EXPECT_EQ(config->limits.idle_timeout, std::chrono::seconds{15});
}

// Guards against a broken document that replaces the last good one, or is refused without the place of the fault.
TEST(read_config, faults_are_reported_with_their_place) {
    for (
        const auto& [text, place] : std::vector<std::pair<std::string, std::string>>{
            {"{", "$"},
            {R"({"version": 1, "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "odd", "service": "s"}], "services": []})",
             "$.routes[0].kind"},
            {R"({"version": 1, "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe"}], "services": []})",
             "$.routes[0].service"},
            {R"({"version": "1", "routes": [], "services": []})", "$.version"}}) {
        const auto config = read_config(text);
        ASSERT_FALSE(config.ok()) << text;
        EXPECT_NE(std::string{config.status().message()}.find(place), std::string::npos) << config.status();
    }
}

// Guards against one odd row of another writer that makes all others unreadable, or takes megabytes at each reading.
TEST(read_rows, a_row_with_an_odd_value_leaves_the_others_readable) {
    const std::string deep = std::string(30'000, '[') + std::string(30'000, ']');
    for (const std::string odd : {"1e400", "-1e999", "99999999999999999999999", "1e30", "null", "[]"}) {
        const auto rows = read_rows(R"({"ver": 7, "rows": [{"key": "a", "ver": )" + odd +
                                    R"(}, {"key": "1e400", "ver": 6, "value": "MWU0MDA="}]})");
        ASSERT_TRUE(rows) << odd;
        ASSERT_EQ(rows->rows.size(), 1) << odd;
        EXPECT_EQ(rows->rows[0].key, "1e400") << "texts stay as they are";
        EXPECT_EQ(rows->rows[0].value, "1e400");
        EXPECT_EQ(rows->refused, 1);
    }
    EXPECT_FALSE(read_rows(R"({"ver": 7, "rows": )" + deep + "}"));
    const auto nested = read_endpoint("i-1", deep, 1);
    ASSERT_FALSE(nested.ok());
    EXPECT_NE(std::string{nested.status().message()}.find("nested"), std::string::npos) << nested.status();
    EXPECT_FALSE(read_router(R"({"peer": "10.0.0.1:80", "more": )" + deep + "}"));
    EXPECT_FALSE(read_losses("0000000000000001", deep, {}));
}

// Guards against entries whose names or addresses are no such, which would end up in header fields or connections.
TEST(read_endpoint, names_and_ports_are_taken_literally) {
    const auto entry = [](const std::string& id, const std::string& address) {
        return read_endpoint(
            id, R"({"service": "m", "address": ")" + address + R"(", "zone": "z", "slots": 1, "state": "ready"})", 1);
    };
    EXPECT_TRUE(entry("i-1", "10.0.0.1:80").ok());
    EXPECT_TRUE(entry(std::string(200, 'k'), "10.0.0.1:65535").ok());
    for (const std::string port : {"+80", " 80", "80 ", "0x50", "0", "65536", "-1", "12345678901", "", "8 0"}) {
        EXPECT_FALSE(entry("i-1", "10.0.0.1:" + port).ok()) << "\"" << port << "\"";
    }
    for (const auto& id : std::vector<std::string>{std::string{"a\r\nX: 1"}, std::string{"a\0b", 3}, std::string{"a b"},
                                                   std::string{"a\x7f"}, std::string{}}) {
        EXPECT_FALSE(entry(id, "10.0.0.1:80").ok()) << id;
    }
}

// Guards against entries of other writers that count as endpoints, and against a draining endpoint that gets work.
TEST(read_endpoint, entries_that_cannot_be_read_name_no_endpoint) {
    const auto good = read_endpoint(
        "i-1", R"({"service": "m", "address": "10.0.0.1:80", "zone": "z", "slots": 64, "state": "draining",
                   "cold_remaining_ms": 1500, "seq": 4, "born": 1700000000000})",
        9);
    ASSERT_TRUE(good.ok()) << good.status();
    EXPECT_TRUE(good->leaving);
    EXPECT_EQ(good->cold_for, std::chrono::milliseconds{1'500});
    EXPECT_EQ(good->address, (socket_address{"10.0.0.1", 80}));
    EXPECT_EQ(good->row_version, 9);
    for (const std::string text :
         {"", "[]", R"({"service": "m"})",
          R"({"service": "m", "address": "host:80", "zone": "z", "slots": 64, "state": "ready"})",
          R"({"service": "m", "address": "10.0.0.1:80", "zone": "z", "slots": "64", "state": "ready"})",
          R"({"service": "m", "address": "10.0.0.1:80", "zone": "z", "slots": 64, "state": "odd"})"}) {
        EXPECT_FALSE(read_endpoint("i-1", text, 1).ok()) << text;
    }
}

// Guards against callers that set what only the router may set, and against keys that reach an endpoint.
TEST(call_headers, what_callers_may_not_set_is_replaced) {
    const auto protocol = make_call_protocol();
    field_list fields{{"Authorization", "Token secret"},
                      {"Dandelionbay-Request-Id", "abc"},
                      {"dandelionbay-tenant", "forged"},
                      {"Dandelionbay-Hold", "1"},
                      {"Dandelionbay-Pin-Ms", "1"},
                      {"Dandelionbay-Kv-Backup", "1"},
                      {"Kv-From", "1"},
                      {"Kv-Fetch", "1"},
                      {"Dandelionbay-Expect-Instance", "forged"},
                      {"Dandelionbay-Deadline-Ms", "5000"},
                      {"Last-Event-Id", "4"},
                      {"Dandelionbay-Token-Count", "1460,80"},
                      {"Dandelionbay-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"}};
    const auto terms = protocol->read_call(fields);
    EXPECT_EQ(terms.id, "abc");
    EXPECT_EQ(terms.key, "secret");
    EXPECT_EQ(terms.time_left, std::chrono::seconds{5});
    EXPECT_EQ(terms.resume_after, 4);
    EXPECT_EQ(terms.prompt_tokens, 1'460);
    EXPECT_EQ(terms.output_tokens, 80);
    EXPECT_EQ(terms.parts, (std::vector<prompt_part>{{0x5c1e07a2, 800}, {0x91bd3f06, 410}}));
    protocol->write_call(fields,
                         forwarding_metadata{endpoint_id{"i-1"}, team_id{"t"}, std::chrono::milliseconds{1'234}, 9});
    EXPECT_EQ(fields, (field_list{{"Dandelionbay-Request-Id", "abc"},
                                  {"Dandelionbay-Token-Count", "1460,80"},
                                  {"Dandelionbay-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                                  {"Dandelionbay-Deadline-Ms", "1234"},
                                  {"Dandelionbay-Expect-Instance", "i-1"},
                                  {"Dandelionbay-Tenant", "t"},
                                  {"Last-Event-Id", "9"}}));
}

// Guards against a refusal that is taken for "not run" although the endpoint did not say so.
TEST(call_headers, only_the_endpoint_says_that_it_did_not_run_a_call) {
    EXPECT_FALSE(read(503, {}).not_run);
    EXPECT_TRUE(read(503, {{"dandelionbay-not-executed", "1"}}).not_run);
    EXPECT_TRUE(read(421, {}).not_run);
    EXPECT_TRUE(read(421, {}).wrong_endpoint);
    EXPECT_TRUE(read(200, {{"Dandelionbay-Response-Seal", "x"}}).has_signature);
    EXPECT_EQ(read(200, {{"Keep-Alive", "timeout=5, max=3"}}).idle_timeout, std::chrono::seconds{5});
}

// Guards against endpoints that are not heard when they say that they leave or that they want no calls for some time,
// and against values that would keep an endpoint idle for ever.
TEST(call_headers, endpoints_say_that_they_leave_and_for_how_long_they_want_no_calls) {
    {
        SCOPED_TRACE("leaving: on any answer, but not on one of another endpoint at this address");
        for (const int status : {200, 404, 429, 500, 503}) {
            EXPECT_TRUE(read(status, {{"server-leaving", "1"}}).leaving) << status;
        }
        EXPECT_FALSE(read(421, {{"Server-Leaving", "1"}}).leaving);
        EXPECT_FALSE(read(200, {}).leaving);
        EXPECT_FALSE(read(200, {{"Server-Leaving", "0"}}).leaving);
        EXPECT_FALSE(read(200, {{"Server-Leaving", "soon"}}).leaving);
        EXPECT_TRUE(read(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).leaving);
    }
    {
        SCOPED_TRACE("a pause: seconds on a 503 and on nothing else");
        const auto pause = [&](const std::string& text) { return read(503, {{"retry-after", text}}).pause; };
        EXPECT_EQ(pause("3"), std::chrono::seconds{3});
        EXPECT_EQ(pause("0.25"), std::chrono::milliseconds{250});
        EXPECT_EQ(pause("0"), duration{});
        EXPECT_EQ(read(429, {{"Retry-After", "3"}}).pause, duration{});
        EXPECT_EQ(read(200, {{"Retry-After", "3"}}).pause, duration{});
        for (const auto* const text :
             {"", "-3", "+3", "nan", "inf", "1e3", "3s", "3,4", "1.2.3", ".", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
            EXPECT_EQ(pause(text), duration{}) << text;
        }
        EXPECT_EQ(pause("99999999999999999999999999"), std::chrono::hours{1});
        EXPECT_EQ(read(503, {{"Retry-After", "2"}, {"Retry-After", "soon"}, {"Retry-After", "4"}}).pause,
                  std::chrono::seconds{4});
    }
}

// Guards against refused calls that are taken for others, or for recent ones, when they are read back by a router with
// another clock, and against rows that others wrote.
TEST(losses, are_read_back_in_the_readers_time) {
    using std::chrono::hours;
    using std::chrono::seconds;
    const time_point ended{seconds{5'000}};
    const call_losses it{42, {lost_run{{endpoint_id{"e"}, 99}, ended - seconds{1}, ended}}, std::nullopt};
    const auto text = write_losses(it, hours{3});
    const auto read = read_losses("000000000000002a", text, hours{2});
    ASSERT_TRUE(read);
    auto moved = it;
    moved.runs[0].started += hours{1};
    moved.runs[0].ended += hours{1};
    EXPECT_EQ(*read, moved);
    EXPECT_FALSE(read_losses("no fingerprint", text, {}));
    for (const auto* const bad : {"", "{", "[]", "{}", R"({"runs": []})", R"({"runs": [{"endpoint": 1}]})",
                                  R"({"runs": [{"endpoint": "e", "started": 1, "began_ms": 9e99, "ended_ms": 1}]})"}) {
        EXPECT_FALSE(read_losses("000000000000002a", bad, {})) << bad;
    }
}

// Guards against blocked prompt parts that are taken for others, or for recent ones, when they are read back by a
// router with another clock, and against rows that others wrote.
TEST(blocked_parts, are_read_back_in_the_readers_time) {
    using std::chrono::hours;
    const time_point blocked{std::chrono::seconds{5'000}};
    const part_status it{{42, 43}, std::nullopt, blocked};
    const auto text = write_blocked_part(it, hours{3});
    EXPECT_EQ(key_of(it.part), "000000000000002a-000000000000002b");
    EXPECT_EQ(read_blocked_part(key_of(it.part), text, hours{2}),
              (part_status{it.part, std::nullopt, blocked + hours{1}}));
    for (const auto* const key : {"", "-", "000000000000002a", "000000000000002a-", "000000000000002a-2b"}) {
        EXPECT_FALSE(read_blocked_part(key, text, {})) << key;
    }
    for (const auto* const bad : {"", "{", "[]", "{}", R"({"blocked_ms": "1"})", R"({"blocked_ms": 9e99})"}) {
        EXPECT_FALSE(read_blocked_part(key_of(it.part), bad, {})) << bad;
    }
}

} // namespace
} // namespace dandelionbay::platform
