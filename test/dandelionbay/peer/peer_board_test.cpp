#include <gtest/gtest.h>

#include "dandelionbay/peer/peer_board.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{500}};

class silent_listener final : public dispatch_listener {
public:
    void placed(ticket_id /*ticket*/, const endpoint_choice& /*choice*/) override {}
    void refused(ticket_id /*ticket*/, const refusal& /*why*/) override {}
};

/*! Reads "version N". */
[[nodiscard]] absl::StatusOr<route_config> read_config(const std::string& text) {
    route_config it;
    it.version = std::stoull(text.substr(text.find(' ') + 1));
    return make_route_config(std::move(it));
}

/*! A router with its own clock, whose zero differs from that of the others. */
struct router {
    router(const std::string& name, std::uint16_t port)
        : dispatch{view, router_place{host_id{name}, {}, {}, {}}, {}, listener, 1},
          board{host_id{name}, 1, {"127.0.0.1", port}, view, dispatch, read_config} {}

    void read_store(std::uint64_t as_of, std::uint64_t version, time_point at) {
        view.adopt(std::make_shared<const route_config>(*read_config("version " + std::to_string(version))));
        board.set_config_text("version " + std::to_string(version));
        view.confirm(operator_state{as_of, version, {}}, at);
        view.merge(
            endpoint_list{
                as_of, {endpoint_entry{endpoint_id{"e" + std::to_string(as_of)}, {}, {}, {}, 1, false, {}, 0, as_of}}},
            at, at);
    }

    silent_listener listener{};
    registry_view view{{}};
    dispatcher dispatch;
    peer_board board;
};

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
    const auto age = without.view.operator_age(start + skew + milliseconds{51});
    ASSERT_TRUE(age);
    EXPECT_GE(*age, milliseconds{51}) << "the reading is 51 ms old; the way there is counted in full";
    EXPECT_LE(*age, milliseconds{102});
    EXPECT_EQ(without.view.endpoints().size(), 1) << "the list of endpoints came along";
    {
        SCOPED_TRACE("a message that was held up for 4 s does not look fresh");
        without.board.receive(with_store.board.compose(second_address, start + milliseconds{100}),
                              start + skew + milliseconds{4'100});
        EXPECT_GE(*without.view.operator_age(start + skew + milliseconds{4'100}), milliseconds{4'050});
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
    EXPECT_EQ(self.dispatch.routers(), 2);
    self.board.begin_round(start + seconds{5});
    EXPECT_EQ(self.dispatch.routers(), 2);
    EXPECT_EQ(self.board.live(start + seconds{5}), 0);
    other.board.leave();
    self.board.receive(other.board.compose(first_address, start + seconds{6}), start + seconds{6});
    self.board.begin_round(start + seconds{8});
    EXPECT_EQ(self.dispatch.routers(), 1);
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
    it.teams = {team_service{team_id{"t"}, 1.0, 2.0}};
    it.queues = {service_queue{service_id{"s"}, 12.0}};
    it.peers = {second_address};
    it.config_text = "version 3";
    const auto bytes = encode(it);
    EXPECT_EQ(*decode_peer_state(bytes), it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        EXPECT_FALSE(decode_peer_state(std::string_view{bytes}.substr(0, n)).ok()) << n << " bytes";
    }
    EXPECT_FALSE(decode_peer_state("\x93\x01\x02\x03").ok());
}

} // namespace
} // namespace dandelionbay
