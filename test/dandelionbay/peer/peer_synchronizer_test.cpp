#include <set>

#include <gtest/gtest.h>

#include "simulated_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{500}};

using router = simulated_router;

const socket_address first_address{"127.0.0.1", 1};
const socket_address second_address{"127.0.0.1", 2};

// Guards against a router without the store that refuses all calls or goes on accepting withdrawn keys: it takes its
// state from a peer that reads the store, and dates it no later than that peer's reading.
TEST(peer_synchronizer, a_router_without_the_store_learns_from_its_peer) {
    router with_store{"a", 1};
    router without{"b", 2};
    const auto skew = seconds{77'000}; // The clocks of the two routers are unrelated.
    with_store.load_from_store(10, 3, start);
    // The first message carries no echo: such a message delivers the configuration but does not refresh the operator
    // state.
    with_store.synchronizer.receive(without.synchronizer.make_message(first_address, start + skew),
                                    start + milliseconds{1});
    const auto first =
        without.synchronizer.receive(with_store.synchronizer.make_message(second_address, start + milliseconds{50}),
                                     start + skew + milliseconds{51});
    EXPECT_TRUE(first.config_adopted);
    EXPECT_EQ(without.view.config()->version, 3);
    EXPECT_TRUE(first.operators_refreshed);
    const auto age = without.view.operator_state_age(start + skew + milliseconds{51});
    ASSERT_TRUE(age);
    EXPECT_GE(*age, milliseconds{51}) << "the reading is 51 ms old; the round trip is counted in full";
    EXPECT_LE(*age, milliseconds{102});
    EXPECT_EQ(without.view.endpoints().size(), 1) << "the endpoint list was sent too";
    {
        SCOPED_TRACE("a message delayed by 4 s does not look fresh");
        without.synchronizer.receive(with_store.synchronizer.make_message(second_address, start + milliseconds{100}),
                                     start + skew + milliseconds{4'100});
        EXPECT_GE(*without.view.operator_state_age(start + skew + milliseconds{4'100}), milliseconds{4'050});
    }
}

// Guards against a peer's older configuration replacing a newer one, and against messages of an ended process.
TEST(peer_synchronizer, old_configurations_and_messages_of_earlier_processes_change_nothing) {
    router ahead{"a", 1};
    router behind{"b", 2};
    ahead.load_from_store(20, 9, start);
    behind.load_from_store(10, 8, start);
    const auto old = behind.synchronizer.make_message(first_address, start);
    auto change = ahead.synchronizer.receive(old, start);
    EXPECT_FALSE(change.config_adopted);
    EXPECT_EQ(ahead.view.config()->version, 9);
    EXPECT_FALSE(ahead.synchronizer.make_message(second_address, start).config_text.empty())
        << "the peer needs the newer one";
    auto restarted = old;
    restarted.incarnation = 5;
    EXPECT_TRUE(ahead.synchronizer.receive(restarted, start).peer_found);
    EXPECT_EQ(ahead.synchronizer.receive(old, start), peer_change{});
}

// Guards against shares of cold endpoints that don't count a router which is only disconnected from this one.
TEST(peer_synchronizer, a_silent_peer_counts_as_a_sender_until_it_announces_leaving) {
    router self{"a", 1};
    router other{"b", 2};
    self.synchronizer.receive(other.synchronizer.make_message(first_address, start), start);
    EXPECT_EQ(self.dispatch.router_count(), 2);
    self.synchronizer.begin_round(start + seconds{5});
    EXPECT_EQ(self.dispatch.router_count(), 2);
    EXPECT_EQ(self.synchronizer.live_peer_count(start + seconds{5}), 0);
    other.synchronizer.set_leaving();
    self.synchronizer.receive(other.synchronizer.make_message(first_address, start + seconds{6}), start + seconds{6});
    self.synchronizer.begin_round(start + seconds{8});
    EXPECT_EQ(self.dispatch.router_count(), 1);
}

// Guards against crashes of cold endpoints when all routers start at once: each one that has received no message yet
// would send the rate that an endpoint can take from all of them together.
TEST(peer_synchronizer, a_new_router_knows_its_share_before_it_uses_cold_endpoints) {
    constexpr double max_cold_calls_per_s = 10.0;
    const auto placed_of_20 = [](router& it, time_point now) {
        route_config config;
        config.version = 1;
        config.services = {endpoint_service{service_id{"model"}, max_cold_calls_per_s, engine_profile{64, 200'000, 4}}};
        it.view.adopt(std::make_shared<const route_config>(make_route_config(std::move(config))));
        endpoint_entry cold;
        cold.id = endpoint_id{"cold"};
        cold.service = service_id{"model"};
        cold.slots = 64;
        cold.cold_for = seconds{10};
        cold.row_version = 1;
        it.view.merge_endpoints(endpoint_list{1, {cold}}, now, now);
        for (ticket_id n = 1; n <= 20; ++n) {
            work_item call;
            call.ticket = n;
            call.service = service_id{"model"};
            call.prompt_tokens = 10.0;
            call.target = seconds{1};
            call.arrived = now;
            it.dispatch.submit(call, now);
            it.dispatch.process_waiting(now);
        }
        return it.dispatch.load(endpoint_id{"cold"}).own(now).calls;
    };
    {
        SCOPED_TRACE("the router knows no other router");
        router self{"a", 1};
        EXPECT_EQ(placed_of_20(self, start), 0);
        self.synchronizer.begin_round(start);
        EXPECT_EQ(placed_of_20(self, start + milliseconds{100}), 0);
    }
    {
        SCOPED_TRACE("20 announced routers are known, of which half send one call a second each");
        router self{"a", 1};
        std::vector<router_entry> all;
        for (std::uint16_t n = 0; n < 20; ++n) {
            all.push_back(router_entry{host_id{n == 0 ? "a" : "r" + std::to_string(n)}, {"127.0.0.1", n}});
        }
        self.synchronizer.set_announced_routers(all, start);
        EXPECT_EQ(self.dispatch.router_count(), 20);
        EXPECT_LE(placed_of_20(self, start), 1);
    }
    {
        SCOPED_TRACE("the registry does not answer: the router counts as the only one after the discovery timeout");
        router self{"a", 1};
        self.synchronizer.begin_round(start);
        const auto later = start + peer_synchronizer::discovery_timeout.minimum;
        self.synchronizer.begin_round(later);
        EXPECT_EQ(placed_of_20(self, later), 10);
    }
}

// Guards against lists and configurations saturating the links between regions because every router that has them sends
// them to every router whose own look old, all at the same time.
TEST(peer_synchronizer, missing_state_is_requested_from_one_peer_at_a_time) {
    router self{"self", 1, "west"};
    router near{"near", 2, "west"};
    router far{"far", 3, "east"};
    const socket_address third_address{"127.0.0.1", 3};
    const auto all = {&self, &near, &far};
    const auto greet = [&](time_point now) {
        for (auto* const from : all) {
            for (auto* const to : all) {
                const auto port = static_cast<std::uint16_t>(to == &self ? 1 : to == &near ? 2 : 3);
                to->synchronizer.receive(from->synchronizer.make_message({"127.0.0.1", port}, now), now);
            }
        }
    };
    for (auto* const it : all) {
        it->load_from_store(10, 3, start);
    }
    greet(start);
    greet(start + milliseconds{10});
    {
        SCOPED_TRACE("no router lacks state");
        EXPECT_TRUE(self.synchronizer.pending_recipients(start + milliseconds{20}).empty());
        EXPECT_FALSE(near.synchronizer.has_pending_requests());
    }
    const auto later = start + seconds{2};
    near.load_from_store(20, 4, later);
    far.load_from_store(20, 4, later);
    greet(later);
    {
        SCOPED_TRACE("large state is not sent without a request");
        EXPECT_TRUE(near.synchronizer.make_message(first_address, later).config_text.empty());
        EXPECT_FALSE(near.synchronizer.make_message(first_address, later).list);
        EXPECT_EQ(self.view.config()->version, 3);
    }
    {
        SCOPED_TRACE("the request goes to the peer in the same region, which answers at once");
        const auto now = later + peer_synchronizer::config_request_delay;
        ASSERT_EQ(self.synchronizer.pending_recipients(now), std::vector<socket_address>{second_address});
        near.synchronizer.receive(self.synchronizer.make_message(second_address, now), now);
        ASSERT_TRUE(near.synchronizer.has_pending_requests());
        ASSERT_EQ(near.synchronizer.pending_recipients(now), std::vector<socket_address>{first_address});
        const auto change = self.synchronizer.receive(near.synchronizer.make_message(first_address, now), now);
        EXPECT_TRUE(change.config_adopted);
        EXPECT_TRUE(change.list_refreshed);
        EXPECT_FALSE(near.synchronizer.has_pending_requests());
        EXPECT_TRUE(near.synchronizer.pending_recipients(now).empty());
    }
    {
        SCOPED_TRACE("without an answer the request is sent again after the request interval");
        const auto now = later + seconds{2};
        near.load_from_store(30, 4, now);
        far.load_from_store(30, 4, now);
        self.synchronizer.receive(near.synchronizer.make_message(first_address, now), now);
        self.synchronizer.receive(far.synchronizer.make_message(first_address, now), now);
        ASSERT_EQ(self.synchronizer.pending_recipients(now).size(), 1);
        EXPECT_EQ(self.synchronizer.pending_recipients(now + milliseconds{10}).size(), 1)
            << "the same peer until the message was made";
        std::ignore = self.synchronizer.make_message(second_address, now + milliseconds{10});
        EXPECT_TRUE(self.synchronizer.pending_recipients(now + milliseconds{20}).empty());
        EXPECT_EQ(self.synchronizer.pending_recipients(now + peer_synchronizer::request_interval).size(), 1);
    }
    {
        SCOPED_TRACE("a round sends a request as well");
        const auto now = later + seconds{2} + 2 * peer_synchronizer::request_interval;
        self.synchronizer.begin_round(now);
        const auto to_near = self.synchronizer.make_message(second_address, now);
        const auto to_far = self.synchronizer.make_message(third_address, now);
        EXPECT_EQ(to_near.request.list + to_far.request.list, 1);
    }
    {
        SCOPED_TRACE("a peer that is leaving or has no newer state is not asked");
        const auto now = later + seconds{4};
        far.load_from_store(40, 4, now);
        near.synchronizer.set_leaving();
        self.synchronizer.receive(near.synchronizer.make_message(first_address, now), now);
        self.synchronizer.receive(far.synchronizer.make_message(first_address, now), now);
        EXPECT_EQ(self.synchronizer.pending_recipients(now), std::vector<socket_address>{third_address});
        self.synchronizer.receive(far.synchronizer.make_message(first_address, now + seconds{3}), now + seconds{3});
        std::ignore = self.synchronizer.make_message(third_address, now);
        EXPECT_TRUE(self.synchronizer.pending_recipients(now + seconds{3}).empty());
    }
}

// Guards against messages that grow with the fleet by listing all addresses, and against a new router that does not
// learn all of them.
TEST(peer_synchronizer, addresses_are_sent_in_turn_and_all_to_a_new_process) {
    constexpr std::size_t peers = 20;
    router self{"self", 1};
    const auto address_of = [](std::size_t n) {
        return socket_address{"127.0.0.1", static_cast<std::uint16_t>(n + 2)};
    };
    for (std::size_t n = 0; n < peers; ++n) {
        peer_message hello;
        hello.host = host_id{"r" + std::to_string(n)};
        hello.address = address_of(n);
        self.synchronizer.receive(hello, start);
    }
    EXPECT_EQ(self.synchronizer.make_message(address_of(0), start).peers.size(), peers);
    std::set<socket_address> sent_addresses;
    for (std::size_t n = 0; n < peers; n += peer_synchronizer::max_addresses_per_message) {
        self.synchronizer.begin_round(start);
        const auto some = self.synchronizer.make_message(address_of(0), start).peers;
        EXPECT_EQ(some.size(), peer_synchronizer::max_addresses_per_message);
        sent_addresses.insert(some.begin(), some.end());
    }
    EXPECT_EQ(sent_addresses.size(), peers);
}

// Guards against calls from other routers to an endpoint that reported only to one router that it is leaving, also
// after that router's process was replaced.
TEST(peer_synchronizer, a_leaving_endpoint_is_reported_to_all_routers) {
    router first{"a", 1};
    router second{"b", 2};
    first.load_from_store(10, 3, start);
    second.load_from_store(10, 3, start);
    const endpoint_process leaves{endpoint_id{"e10"}, 0};
    ASSERT_TRUE(first.view.note_leaving(leaves, start));
    const auto change = second.synchronizer.receive(first.synchronizer.make_message(second_address, start), start);
    EXPECT_EQ(change.endpoints_leaving, (std::vector<endpoint_process>{leaves}));
    EXPECT_FALSE(second.view.accepts_work(second.view.endpoints().begin()->second));
    EXPECT_TRUE(second.synchronizer.receive(first.synchronizer.make_message(second_address, start), start)
                    .endpoints_leaving.empty());
    {
        SCOPED_TRACE("a restarted router learns it from any peer");
        router restarted{"a", 1};
        restarted.load_from_store(11, 3, start);
        restarted.view.merge_endpoints(second.view.list(), start, start);
        restarted.load_from_store(12, 3, start);
        restarted.view.merge_endpoints(endpoint_list{13, second.view.list().entries}, start, start);
        restarted.synchronizer.receive(second.synchronizer.make_message(first_address, start), start);
        EXPECT_FALSE(restarted.view.accepts_work(restarted.view.endpoints().begin()->second));
    }
}

// Guards against a call that crashes its endpoints still being run by routers that were not sent the losses, or whose
// connection to the sender broke meanwhile.
TEST(peer_synchronizer, losses_are_sent_until_the_peer_confirms_them) {
    constexpr std::uint64_t call = 42;
    const auto lost_at = [](const std::string& name, time_point ended) {
        return lost_run{{endpoint_id{name}, 1}, ended - milliseconds{10}, ended};
    };
    const auto lose = [&](router& at, const std::string& name, time_point ended) {
        at.losses.record_interrupted_run(call, lost_at(name, ended));
        at.losses.record_process_exit({endpoint_id{name}, 1}, ended);
    };
    const auto skew = seconds{77'000}; // The clocks of the two routers are unrelated.
    router first{"a", 1};
    router second{"b", 2};
    first.synchronizer.receive(second.synchronizer.make_message(first_address, start + skew), start);
    lose(first, "e1", start - seconds{1});
    lose(first, "e2", start);
    std::ignore = first.synchronizer.make_message(second_address, start + milliseconds{25}); // This message is lost.
    const auto message = first.synchronizer.make_message(second_address, start + milliseconds{30});
    second.synchronizer.receive(message, start + skew + milliseconds{31});
    EXPECT_EQ(second.losses.loss_count(call), 2);
    {
        SCOPED_TRACE("confirmed losses are not sent again");
        first.synchronizer.receive(second.synchronizer.make_message(first_address, start + skew + milliseconds{40}),
                                   start + milliseconds{41});
        EXPECT_TRUE(first.synchronizer.make_message(second_address, start + milliseconds{42}).losses.empty());
    }
    {
        SCOPED_TRACE("the third loss, at the peer, refuses the call at both");
        lose(second, "e3", start + skew + seconds{1});
        EXPECT_TRUE(second.losses.is_refused(call));
        const auto change = first.synchronizer.receive(
            second.synchronizer.make_message(first_address, start + skew + milliseconds{1'001}),
            start + milliseconds{1'002});
        EXPECT_EQ(change.newly_refused_calls, std::vector<std::uint64_t>{call});
        EXPECT_TRUE(first.losses.is_refused(call));
    }
    {
        SCOPED_TRACE("a restarted peer is sent all losses");
        router restarted{"b", 2};
        auto hello = restarted.synchronizer.make_message(first_address, start + skew + seconds{2});
        hello.incarnation = 2;
        first.synchronizer.receive(hello, start + seconds{2});
        restarted.synchronizer.receive(first.synchronizer.make_message(second_address, start + seconds{3}),
                                       start + skew + seconds{3});
        EXPECT_TRUE(restarted.losses.is_refused(call));
    }
}

// Guards against messages that can't be decoded, of another version or truncated, crashing the process.
TEST(peer_message, messages_round_trip_and_malformed_ones_are_rejected) {
    peer_message it;
    it.host = host_id{"a"};
    it.incarnation = 7;
    it.address = first_address;
    it.sent_us = 123'456'789;
    it.operators = operator_state{registry_version{5, 10}, 3, {zone_out{zone_id{"z"}, registry_version{5, 9}}}};
    it.operators_age_us = 5;
    it.list_as_of = registry_version{6, 11};
    it.list_age_us = 6;
    it.list = endpoint_list{it.list_as_of,
                            {endpoint_entry{endpoint_id{"e"}, service_id{"s"}, zone_id{"z"}, second_address, 4, true,
                                            milliseconds{3}, 99, registry_version{6, 8}}}};
    it.loads = {endpoint_work_entry{endpoint_id{"e"}, endpoint_work{1.5, 2, 3.5}}};
    it.part_uses = {part_use{endpoint_id{"e"}, prompt_part{77, 5}}, part_use{endpoint_id{"e"}, prompt_part{78, 6}}};
    it.teams = {team_usage_entry{team_id{"t"}, 1.0, 2.0, 3, 0.5, {{1.0, 3.0}, {0.0, 1.0}}}};
    it.queues = {service_queue{service_id{"s"}, 12.0}};
    it.peers = {second_address};
    it.config_text = "version 3";
    it.endpoints_leaving = {endpoint_process{endpoint_id{"e"}, 99}};
    it.losses = {call_losses{42, {lost_run{{endpoint_id{"e"}, 99}, start, start + seconds{1}}}, std::nullopt},
                 call_losses{43, {}, start}};
    it.region = region_id{"west"};
    it.request = {true, false, true};
    it.part_crashes.losses = {{{endpoint_id{"e"}, 99}, start, {{42, {{1, 2}, {1, 3}}, start}, {43, {}}}}};
    it.part_crashes.parts = {{{1, 2}, start, std::nullopt}, {{1, 3}, std::nullopt, start}};
    const auto bytes = encode(it);
    EXPECT_EQ(*decode_peer_message(bytes), it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        EXPECT_FALSE(decode_peer_message(std::string_view{bytes}.substr(0, n)).ok()) << n << " bytes";
    }
    EXPECT_FALSE(decode_peer_message("\x93\x01\x02\x03").ok());
    {
        SCOPED_TRACE("messages of earlier versions, with fewer fields, are accepted during an upgrade");
        it.endpoints_leaving.clear();
        it.losses.clear();
        it.region = {};
        it.request = {};
        it.part_crashes = {};
        auto before = encode(it);
        using namespace std::string_literals;
        // The array header, and the size of the last field in bytes.
        const std::vector<std::pair<std::string, std::size_t>> earlier{
            {"\xdc\x00\x12"s, 3}, {"\xdc\x00\x11"s, 4}, {"\xdc\x00\x10"s, 1}, {"\x9f"s, 1}, {"\x9e"s, 1}};
        std::size_t head_bytes = 3;
        for (const auto& [head, last_bytes] : earlier) {
            before = head + before.substr(head_bytes, before.size() - head_bytes - last_bytes);
            head_bytes = head.size();
            const auto read = decode_peer_message(before);
            ASSERT_TRUE(read.ok()) << read.status();
            EXPECT_EQ(*read, it);
        }
    }
}

// Guards against a message with a cached list of an earlier message, or with the answer to another peer.
TEST(peer_message, a_reused_encoder_writes_the_same_bytes_as_a_new_one) {
    peer_encoder encoder;
    peer_message it;
    it.host = host_id{"a"};
    const auto expect_same = [&](const char* what) {
        SCOPED_TRACE(what);
        const auto bytes = encoder.encode(it);
        EXPECT_EQ(bytes, encode(it));
        EXPECT_EQ(*decode_peer_message(bytes), it);
    };
    expect_same("empty message");
    it.loads = {endpoint_work_entry{endpoint_id{"e"}, endpoint_work{1.5, 2, 3.5}}};
    it.part_uses = {part_use{endpoint_id{"e"}, prompt_part{77, 5}}};
    it.teams = {team_usage_entry{team_id{"t"}, 1.0, 2.0, 3, 0.5, {{1.0, 3.0}, {0.0, 1.0}}}};
    it.queues = {service_queue{service_id{"s"}, 12.0}};
    it.endpoints_leaving = {endpoint_process{endpoint_id{"e"}, 99}};
    expect_same("all lists");
    {
        SCOPED_TRACE("the next message has the same lists and an answer to its receiver only");
        it.sent_us = 2;
        it.echo_us = 1;
        it.peers = {second_address};
        it.config_text = "version 3";
        it.list = endpoint_list{0, {endpoint_entry{endpoint_id{"e"}, {}, {}, second_address, 4, true, {}, 99, 8}}};
        it.losses = {call_losses{43, {}, start}};
        it.request = {true, false, true};
        expect_same("with an answer");
        it.peers.clear();
        it.config_text.clear();
        it.list.reset();
        it.losses.clear();
        it.request = {};
        expect_same("without an answer");
    }
    {
        SCOPED_TRACE("one list differs");
        it.loads.front().work.calls = 3;
        expect_same("loads");
        it.part_uses.push_back(part_use{endpoint_id{"f"}, prompt_part{78, 6}});
        expect_same("uses of prompt parts");
        it.teams.front().refused_cost = 3.0;
        expect_same("teams");
        it.queues.front().prefill_ms = 13.0;
        expect_same("queues");
        it.endpoints_leaving.front().started = 100;
        expect_same("leaving endpoints");
    }
    {
        SCOPED_TRACE("lists become empty and are filled again");
        const auto before = it;
        it.loads.clear();
        it.part_uses.clear();
        it.endpoints_leaving.clear();
        expect_same("empty");
        it = before;
        expect_same("filled again");
    }
}

} // namespace
} // namespace dandelionbay
