#include <algorithm>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "board_router.hpp"
#include "dandelionbay/node/thread_time.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;

/*! Processor time of messages that name few of the known endpoints; the least of several trials. */
[[nodiscard]] duration cost_of_messages(std::size_t endpoints) {
    constexpr int trials = 5;
    constexpr int messages = 400;
    constexpr std::size_t named = 10;
    time_point now{std::chrono::seconds{100}};
    board_router it{"r1", 1};
    endpoint_list list;
    list.as_of = 1;
    for (std::size_t n = 0; n < endpoints; ++n) {
        endpoint_entry entry;
        entry.id = endpoint_id{"endpoint-" + std::to_string(n)};
        entry.row_version = 1;
        list.entries.push_back(std::move(entry));
    }
    it.view.merge_endpoints(list, now, now);
    for (const auto& entry : list.entries) {
        static_cast<void>(it.dispatch.load(entry.id));
    }
    peer_state message;
    message.host = host_id{"r2"};
    message.incarnation = 1;
    thread_time time;
    time.note_current_thread();
    auto least = duration::max();
    for (int trial = 0; trial < trials; ++trial) {
        const auto before = time.used();
        for (int n = 0; n < messages; ++n) {
            now += milliseconds{1};
            message.sent_us = now.time_since_epoch().count();
            message.loads.clear();
            for (std::size_t k = 0; k < named; ++k) {
                message.loads.push_back({list.entries[(n + k) % endpoints].id, {100.0, 1, 100.0}});
            }
            it.board.receive(message, now);
        }
        least = std::min(least, time.used() - before);
    }
    return least;
}

// Guards against the pattern "a small host in a large fleet": messages of peers that cost by what is known and not by
// what they tell, and leave no time for callers (FAIR and CONFIG).
TEST(message_cost, a_message_costs_by_what_it_names) {
    constexpr std::size_t few = 50;
    constexpr std::size_t many = 2'000;
    const auto small_fleet = cost_of_messages(few);
    const auto large_fleet = cost_of_messages(many);
    EXPECT_LT(large_fleet, small_fleet * 5)
        << small_fleet.count() << " us, and with 40 times the endpoints " << large_fleet.count();
}

/*! Processor time to encode a round of messages on a busy host; the least of several trials. */
[[nodiscard]] duration cost_of_round(bool encoder_for_each) {
    constexpr int trials = 5;
    constexpr int peers = 102;
    constexpr int endpoints = 100;
    constexpr int uses = 250;
    peer_state message;
    message.host = host_id{"r1"};
    for (int n = 0; n < endpoints; ++n) {
        message.loads.push_back({endpoint_id{"endpoint-" + std::to_string(n)}, {100.0, 1, 100.0}});
    }
    for (int n = 0; n < uses; ++n) {
        message.part_uses.push_back({message.loads[n % endpoints].endpoint, {static_cast<std::uint64_t>(n), 300}});
    }
    thread_time time;
    time.note_current_thread();
    auto least = duration::max();
    for (int trial = 0; trial < trials; ++trial) {
        peer_encoder encoder;
        const auto before = time.used();
        for (int n = 0; n < peers; ++n) {
            message.echo_us = n;
            const auto bytes = encoder_for_each ? encode(message) : encoder.encode(message);
            EXPECT_FALSE(bytes.empty());
        }
        least = std::min(least, time.used() - before);
    }
    return least;
}

// Guards against a small host that spends on a hundred encodings of the same lists what its callers need (CONFIG).
TEST(message_cost, lists_that_all_peers_are_told_are_encoded_once) {
    const auto each = cost_of_round(true);
    const auto shared = cost_of_round(false);
    EXPECT_LT(shared * 4, each) << shared.count() << " us a round, and " << each.count()
                                << " with an encoder for each message";
}

} // namespace
} // namespace dandelionbay
