#include <set>

#include <gtest/gtest.h>

#include "board_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{500}};

using router = board_router;

const socket_address first_address{"127.0.0.1", 1};
const socket_address second_address{"127.0.0.1", 2};

// Guards against a router without the store that refuses all, or that goes on with withdrawn keys: it follows a peer
// that reads the store, and its trust counts from a moment not after that peer's reading.
TEST(peer_board, a_router_without_the_store_learns_from_its_peer) {
    router with_store{"a", 1};
    router without{"b", 2};
    const auto skew = seconds{77'000}; // The clocks have nothing to do with each other.
    with_store.read_store(10, 3, start);
    // The first messages carry no echo: they hand over the configuration, but no evidence.
    with_store.board.receive(without.board.compose(first_address, start + skew), start + milliseconds{1});
    const auto first = without.board.receive(with_store.board.compose(second_address, start + milliseconds{50}),
                                             start + skew + milliseconds{51});
    EXPECT_TRUE(first.config_adopted);
    EXPECT_EQ(without.view.config()->version, 3);
    EXPECT_TRUE(first.evidence_renewed);
    const auto age = without.view.operator_state_age(start + skew + milliseconds{51});
    ASSERT_TRUE(age);
    EXPECT_GE(*age, milliseconds{51}) << "the reading is 51 ms old; the way there is counted in full";
    EXPECT_LE(*age, milliseconds{102});
    EXPECT_EQ(without.view.endpoints().size(), 1) << "the list of endpoints came along";
    {
        SCOPED_TRACE("a message that was held up for 4 s does not look fresh");
        without.board.receive(with_store.board.compose(second_address, start + milliseconds{100}),
                              start + skew + milliseconds{4'100});
        EXPECT_GE(*without.view.operator_state_age(start + skew + milliseconds{4'100}), milliseconds{4'050});
    }
}

// Guards against a configuration that goes back through a peer, and against messages of a process that has ended.
TEST(peer_board, old_configurations_and_messages_of_earlier_processes_change_nothing) {
    router ahead{"a", 1};
    router behind{"b", 2};
    ahead.read_store(20, 9, start);
    behind.read_store(10, 8, start);
    const auto old = behind.board.compose(first_address, start);
    auto change = ahead.board.receive(old, start);
    EXPECT_FALSE(change.config_adopted);
    EXPECT_EQ(ahead.view.config()->version, 9);
    EXPECT_FALSE(ahead.board.compose(second_address, start).config_text.empty()) << "the peer needs the newer one";
    auto restarted = old;
    restarted.incarnation = 5;
    EXPECT_TRUE(ahead.board.receive(restarted, start).peer_found);
    EXPECT_EQ(ahead.board.receive(old, start), peer_change{});
}

// Guards against shares of cold endpoints that ignore a router which is only cut off from this one.
TEST(peer_board, a_silent_peer_counts_as_a_sender_until_it_says_that_it_leaves) {
    router self{"a", 1};
    router other{"b", 2};
    self.board.receive(other.board.compose(first_address, start), start);
    EXPECT_EQ(self.dispatch.router_count(), 2);
    self.board.begin_round(start + seconds{5});
    EXPECT_EQ(self.dispatch.router_count(), 2);
    EXPECT_EQ(self.board.live(start + seconds{5}), 0);
    other.board.leave();
    self.board.receive(other.board.compose(first_address, start + seconds{6}), start + seconds{6});
    self.board.begin_round(start + seconds{8});
    EXPECT_EQ(self.dispatch.router_count(), 1);
}

// Guards against the crash of cold endpoints when all routers start at once: each one that has heard nobody yet would
// send what an endpoint bears from all of them together.
TEST(peer_board, a_router_that_just_started_knows_its_share_before_it_uses_it) {
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
        SCOPED_TRACE("it has heard of nobody");
        router self{"a", 1};
        EXPECT_EQ(placed_of_20(self, start), 0);
        self.board.begin_round(start);
        EXPECT_EQ(placed_of_20(self, start + milliseconds{100}), 0);
    }
    {
        SCOPED_TRACE("it has read who announced themselves, 20 routers of which half send one call a second each");
        router self{"a", 1};
        std::vector<router_entry> all;
        for (std::uint16_t n = 0; n < 20; ++n) {
            all.push_back(router_entry{host_id{n == 0 ? "a" : "r" + std::to_string(n)}, {"127.0.0.1", n}});
        }
        self.board.announced(all, start);
        EXPECT_EQ(self.dispatch.router_count(), 20);
        EXPECT_LE(placed_of_20(self, start), 1);
    }
    {
        SCOPED_TRACE("the registry does not answer: it is alone if nobody was heard for some time");
        router self{"a", 1};
        self.board.begin_round(start);
        const auto later = start + peer_board::all_heard_after.least;
        self.board.begin_round(later);
        EXPECT_EQ(placed_of_20(self, later), 10);
    }
}

// Guards against links between regions that lists and configurations fill: each router that had them sent them to each
// one whose own looked old, all of them at the same time.
TEST(peer_board, a_router_that_lacks_facts_asks_one_peer_at_a_time) {
    router self{"self", 1, "west"};
    router near{"near", 2, "west"};
    router far{"far", 3, "east"};
    const socket_address third_address{"127.0.0.1", 3};
    const auto all = {&self, &near, &far};
    const auto greet = [&](time_point now) {
        for (auto* const from : all) {
            for (auto* const to : all) {
                const auto port = static_cast<std::uint16_t>(to == &self ? 1 : to == &near ? 2 : 3);
                to->board.receive(from->board.compose({"127.0.0.1", port}, now), now);
            }
        }
    };
    for (auto* const it : all) {
        it->read_store(10, 3, start);
    }
    greet(start);
    greet(start + milliseconds{10});
    {
        SCOPED_TRACE("nobody lacks anything");
        EXPECT_TRUE(self.board.due(start + milliseconds{20}).empty());
        EXPECT_FALSE(near.board.asked());
    }
    const auto later = start + seconds{2};
    near.read_store(20, 4, later);
    far.read_store(20, 4, later);
    greet(later);
    {
        SCOPED_TRACE("what is large is not sent unasked");
        EXPECT_TRUE(near.board.compose(first_address, later).config_text.empty());
        EXPECT_FALSE(near.board.compose(first_address, later).list);
        EXPECT_EQ(self.view.config()->version, 3);
    }
    {
        SCOPED_TRACE("the peer in its own region is asked, and answers at once");
        const auto now = later + peer_board::config_patience;
        ASSERT_EQ(self.board.due(now), std::vector<socket_address>{second_address});
        near.board.receive(self.board.compose(second_address, now), now);
        ASSERT_TRUE(near.board.asked());
        ASSERT_EQ(near.board.due(now), std::vector<socket_address>{first_address});
        const auto change = self.board.receive(near.board.compose(first_address, now), now);
        EXPECT_TRUE(change.config_adopted);
        EXPECT_TRUE(change.list_renewed);
        EXPECT_FALSE(near.board.asked());
        EXPECT_TRUE(near.board.due(now).empty());
    }
    {
        SCOPED_TRACE("without an answer another one is asked, and then again");
        const auto now = later + seconds{2};
        near.read_store(30, 4, now);
        far.read_store(30, 4, now);
        self.board.receive(near.board.compose(first_address, now), now);
        self.board.receive(far.board.compose(first_address, now), now);
        ASSERT_EQ(self.board.due(now).size(), 1);
        EXPECT_EQ(self.board.due(now + milliseconds{10}).size(), 1) << "the same one until the message was sent";
        std::ignore = self.board.compose(second_address, now + milliseconds{10});
        EXPECT_TRUE(self.board.due(now + milliseconds{20}).empty());
        EXPECT_EQ(self.board.due(now + peer_board::ask_interval).size(), 1);
    }
    {
        SCOPED_TRACE("a round asks as well");
        const auto now = later + seconds{2} + 2 * peer_board::ask_interval;
        self.board.begin_round(now);
        const auto to_near = self.board.compose(second_address, now);
        const auto to_far = self.board.compose(third_address, now);
        EXPECT_EQ(to_near.asks.list + to_far.asks.list, 1);
    }
    {
        SCOPED_TRACE("a peer that leaves, or knows no better, is not asked");
        const auto now = later + seconds{4};
        far.read_store(40, 4, now);
        near.board.leave();
        self.board.receive(near.board.compose(first_address, now), now);
        self.board.receive(far.board.compose(first_address, now), now);
        EXPECT_EQ(self.board.due(now), std::vector<socket_address>{third_address});
        self.board.receive(far.board.compose(first_address, now + seconds{3}), now + seconds{3});
        std::ignore = self.board.compose(third_address, now);
        EXPECT_TRUE(self.board.due(now + seconds{3}).empty());
    }
}

// Guards against messages that grow with the fleet by naming all of it, and against a router that does not find it.
TEST(peer_board, addresses_of_peers_are_told_in_turn_and_all_to_a_new_process) {
    constexpr std::size_t peers = 20;
    router self{"self", 1};
    const auto address_of = [](std::size_t n) {
        return socket_address{"127.0.0.1", static_cast<std::uint16_t>(n + 2)};
    };
    for (std::size_t n = 0; n < peers; ++n) {
        peer_state hello;
        hello.host = host_id{"r" + std::to_string(n)};
        hello.address = address_of(n);
        self.board.receive(hello, start);
    }
    EXPECT_EQ(self.board.compose(address_of(0), start).peers.size(), peers);
    std::set<socket_address> told;
    for (std::size_t n = 0; n < peers; n += peer_board::most_peers_told) {
        self.board.begin_round(start);
        const auto some = self.board.compose(address_of(0), start).peers;
        EXPECT_EQ(some.size(), peer_board::most_peers_told);
        told.insert(some.begin(), some.end());
    }
    EXPECT_EQ(told.size(), peers);
}

// Guards against calls from other routers to an endpoint that told only one router that it leaves, also after that
// router's process was replaced.
TEST(peer_board, what_an_endpoint_told_one_router_reaches_the_others) {
    router first{"a", 1};
    router second{"b", 2};
    first.read_store(10, 3, start);
    second.read_store(10, 3, start);
    const endpoint_process leaves{endpoint_id{"e10"}, 0};
    ASSERT_TRUE(first.view.note_leaving(leaves, start));
    const auto change = second.board.receive(first.board.compose(second_address, start), start);
    EXPECT_EQ(change.endpoints_leaving, (std::vector<endpoint_process>{leaves}));
    EXPECT_FALSE(second.view.accepts_work(second.view.endpoints().begin()->second));
    EXPECT_TRUE(second.board.receive(first.board.compose(second_address, start), start).endpoints_leaving.empty());
    {
        SCOPED_TRACE("a router that just started hears it from any of them");
        router restarted{"a", 1};
        restarted.read_store(11, 3, start);
        restarted.view.merge_endpoints(second.view.list(), start, start);
        restarted.read_store(12, 3, start);
        restarted.view.merge_endpoints(endpoint_list{13, second.view.list().entries}, start, start);
        restarted.board.receive(second.board.compose(first_address, start), start);
        EXPECT_FALSE(restarted.view.accepts_work(restarted.view.endpoints().begin()->second));
    }
}

// Guards against a call that ends its endpoints and goes on to run at routers that were not told, or whose connection
// to the teller broke meanwhile.
TEST(peer_board, losses_of_calls_are_told_until_the_peer_has_them) {
    constexpr std::uint64_t call = 42;
    const auto lost_at = [](const std::string& name, time_point ended) {
        return lost_run{{endpoint_id{name}, 1}, ended - milliseconds{10}, ended};
    };
    const auto lose = [&](router& at, const std::string& name, time_point ended) {
        at.losses.record_interrupted_run(call, lost_at(name, ended));
        at.losses.record_process_exit({endpoint_id{name}, 1}, ended);
    };
    const auto skew = seconds{77'000}; // The clocks have nothing to do with each other.
    router first{"a", 1};
    router second{"b", 2};
    first.board.receive(second.board.compose(first_address, start + skew), start);
    lose(first, "e1", start - seconds{1});
    lose(first, "e2", start);
    std::ignore = first.board.compose(second_address, start + milliseconds{25}); // Is lost on the way.
    const auto told = first.board.compose(second_address, start + milliseconds{30});
    second.board.receive(told, start + skew + milliseconds{31});
    EXPECT_EQ(second.losses.loss_count(call), 2);
    {
        SCOPED_TRACE("once the peer has them they are not told again");
        first.board.receive(second.board.compose(first_address, start + skew + milliseconds{40}),
                            start + milliseconds{41});
        EXPECT_TRUE(first.board.compose(second_address, start + milliseconds{42}).losses.empty());
    }
    {
        SCOPED_TRACE("the third loss, at the peer, refuses the call at both");
        lose(second, "e3", start + skew + seconds{1});
        EXPECT_TRUE(second.losses.is_refused(call));
        const auto change = first.board.receive(second.board.compose(first_address, start + skew + milliseconds{1'001}),
                                                start + milliseconds{1'002});
        EXPECT_EQ(change.calls_refused, std::vector<std::uint64_t>{call});
        EXPECT_TRUE(first.losses.is_refused(call));
    }
    {
        SCOPED_TRACE("a peer that starts again is told all");
        router restarted{"b", 2};
        auto hello = restarted.board.compose(first_address, start + skew + seconds{2});
        hello.incarnation = 2;
        first.board.receive(hello, start + seconds{2});
        restarted.board.receive(first.board.compose(second_address, start + seconds{3}), start + skew + seconds{3});
        EXPECT_TRUE(restarted.losses.is_refused(call));
    }
}

// Guards against messages that can't be decoded, of another version or cut short, taking the process down.
TEST(peer_state, messages_survive_the_wire_and_garbage_is_refused) {
    peer_state it;
    it.host = host_id{"a"};
    it.incarnation = 7;
    it.address = first_address;
    it.sent_us = 123'456'789;
    it.operators = operator_state{10, 3, {zone_out{zone_id{"z"}, 9}}};
    it.operators_age_us = 5;
    it.list_as_of = 11;
    it.list_age_us = 6;
    it.list = endpoint_list{11,
                            {endpoint_entry{endpoint_id{"e"}, service_id{"s"}, zone_id{"z"}, second_address, 4, true,
                                            milliseconds{3}, 99, 8}}};
    it.loads = {peer_load{endpoint_id{"e"}, endpoint_work{1.5, 2, 3.5}}};
    it.part_uses = {part_use{endpoint_id{"e"}, prompt_part{77, 5}}, part_use{endpoint_id{"e"}, prompt_part{78, 6}}};
    it.teams = {team_usage_entry{team_id{"t"}, 1.0, 2.0}};
    it.queues = {service_queue{service_id{"s"}, 12.0}};
    it.peers = {second_address};
    it.config_text = "version 3";
    it.endpoints_leaving = {endpoint_process{endpoint_id{"e"}, 99}};
    it.losses = {call_losses{42, {lost_run{{endpoint_id{"e"}, 99}, start, start + seconds{1}}}, std::nullopt},
                 call_losses{43, {}, start}};
    it.region = region_id{"west"};
    it.asks = {true, false, true};
    const auto bytes = encode(it);
    EXPECT_EQ(*decode_peer_state(bytes), it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        EXPECT_FALSE(decode_peer_state(std::string_view{bytes}.substr(0, n)).ok()) << n << " bytes";
    }
    EXPECT_FALSE(decode_peer_state("\x93\x01\x02\x03").ok());
    {
        SCOPED_TRACE("routers are replaced one after the other: those that tell less are heard");
        it.endpoints_leaving.clear();
        it.losses.clear();
        it.region = {};
        it.asks = {};
        auto before = encode(it);
        using namespace std::string_literals;
        // The head of the array, and the bytes of the field that came last.
        const std::vector<std::pair<std::string, std::size_t>> earlier{
            {"\xdc\x00\x11"s, 4}, {"\xdc\x00\x10"s, 1}, {"\x9f"s, 1}, {"\x9e"s, 1}};
        std::size_t head_bytes = 3;
        for (const auto& [head, last_bytes] : earlier) {
            before = head + before.substr(head_bytes, before.size() - head_bytes - last_bytes);
            head_bytes = head.size();
            const auto read = decode_peer_state(before);
            ASSERT_TRUE(read.ok()) << read.status();
            EXPECT_EQ(*read, it);
        }
    }
}

// Guards against peers that are told a list of an earlier message, or another peer's answer.
TEST(peer_state, an_encoder_of_many_messages_writes_what_a_new_one_writes) {
    peer_encoder encoder;
    peer_state it;
    it.host = host_id{"a"};
    const auto expect_same = [&](const char* what) {
        SCOPED_TRACE(what);
        const auto bytes = encoder.encode(it);
        EXPECT_EQ(bytes, encode(it));
        EXPECT_EQ(*decode_peer_state(bytes), it);
    };
    expect_same("nothing to tell");
    it.loads = {peer_load{endpoint_id{"e"}, endpoint_work{1.5, 2, 3.5}}};
    it.part_uses = {part_use{endpoint_id{"e"}, prompt_part{77, 5}}};
    it.teams = {team_usage_entry{team_id{"t"}, 1.0, 2.0}};
    it.queues = {service_queue{service_id{"s"}, 12.0}};
    it.endpoints_leaving = {endpoint_process{endpoint_id{"e"}, 99}};
    expect_same("all lists");
    {
        SCOPED_TRACE("the next peer is told the same lists and what it alone asked for");
        it.sent_us = 2;
        it.echo_us = 1;
        it.peers = {second_address};
        it.config_text = "version 3";
        it.list = endpoint_list{0, {endpoint_entry{endpoint_id{"e"}, {}, {}, second_address, 4, true, {}, 99, 8}}};
        it.losses = {call_losses{43, {}, start}};
        it.asks = {true, false, true};
        expect_same("with its answer");
        it.peers.clear();
        it.config_text.clear();
        it.list.reset();
        it.losses.clear();
        it.asks = {};
        expect_same("without it");
    }
    {
        SCOPED_TRACE("one list differs");
        it.loads.front().work.calls = 3;
        expect_same("loads");
        it.part_uses.push_back(part_use{endpoint_id{"f"}, prompt_part{78, 6}});
        expect_same("uses of parts");
        it.teams.front().refused_cost = 3.0;
        expect_same("teams");
        it.queues.front().prefill_ms = 13.0;
        expect_same("queues");
        it.endpoints_leaving.front().started = 100;
        expect_same("endpoints that leave");
    }
    {
        SCOPED_TRACE("a list is empty again, and back");
        const auto before = it;
        it.loads.clear();
        it.part_uses.clear();
        it.endpoints_leaving.clear();
        expect_same("empty");
        it = before;
        expect_same("back");
    }
}

} // namespace
} // namespace dandelionbay
