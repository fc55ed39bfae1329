#include <algorithm>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "dandelionbay/node/thread_time.hpp"
#include "simulated_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;

/*! Processor time to receive messages that name few of the known endpoints; the minimum of several trials. */
[[nodiscard]] duration measure_messages(std::size_t endpoints) {
    constexpr int trials = 5;
    constexpr int messages = 400;
    constexpr std::size_t named = 10;
    time_point now{std::chrono::seconds{100}};
    simulated_router it{"r1", 1};
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
    peer_message message;
    message.host = host_id{"r2"};
    message.incarnation = 1;
    thread_time time;
    time.note_current_thread();
    auto min_time = duration::max();
    for (int trial = 0; trial < trials; ++trial) {
        const auto before = time.used();
        for (int n = 0; n < messages; ++n) {
            now += milliseconds{1};
            message.sent_us = now.time_since_epoch().count();
            message.loads.clear();
            for (std::size_t k = 0; k < named; ++k) {
                message.loads.push_back({list.entries[(n + k) % endpoints].id, {100.0, 1, 100.0}});
            }
            it.synchronizer.receive(message, now);
        }
        min_time = std::min(min_time, time.used() - before);
    }
    return min_time;
}

// Guards against messages whose cost grows with the number of known endpoints and not with their content: on a small
// host in a large fleet they leave no processor time for callers (FAIR and CONFIG).
TEST(message_cost, cost_depends_on_the_content_of_a_message) {
    constexpr std::size_t few = 50;
    constexpr std::size_t many = 2'000;
    const auto small_fleet = measure_messages(few);
    const auto large_fleet = measure_messages(many);
    EXPECT_LT(large_fleet, small_fleet * 5)
        << small_fleet.count() << " us, and with 40 times the endpoints " << large_fleet.count();
}

/*! Processor time to encode a round of messages on a busy host; the minimum of several trials. */
[[nodiscard]] duration measure_round(bool encoder_per_message) {
    constexpr int trials = 5;
    constexpr int peers = 102;
    constexpr int endpoints = 100;
    constexpr int uses = 250;
    peer_message message;
    message.host = host_id{"r1"};
    for (int n = 0; n < endpoints; ++n) {
        message.loads.push_back({endpoint_id{"endpoint-" + std::to_string(n)}, {100.0, 1, 100.0}});
    }
    for (int n = 0; n < uses; ++n) {
        message.part_uses.push_back({message.loads[n % endpoints].endpoint, {static_cast<std::uint64_t>(n), 300}});
    }
    thread_time time;
    time.note_current_thread();
    auto min_time = duration::max();
    for (int trial = 0; trial < trials; ++trial) {
        peer_encoder encoder;
        const auto before = time.used();
        for (int n = 0; n < peers; ++n) {
            message.echo_us = n;
            const auto bytes = encoder_per_message ? encode(message) : encoder.encode(message);
            EXPECT_FALSE(bytes.empty());
        }
        min_time = std::min(min_time, time.used() - before);
    }
    return min_time;
}

// Guards against a small host encoding the same lists for each of a hundred peers, with processor time that its callers
// need (CONFIG).
TEST(message_cost, lists_sent_to_all_peers_are_encoded_once) {
    const auto each = measure_round(true);
    const auto shared = measure_round(false);
    EXPECT_LT(shared * 4, each) << shared.count() << " us a round, and " << each.count()
                                << " with an encoder for each message";
}

} // namespace
} // namespace dandelionbay
