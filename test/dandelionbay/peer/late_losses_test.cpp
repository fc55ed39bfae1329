// Lost runs of a call at overloaded routers, where calls, connection ends and messages wait before they are handled.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/dispatch/retry_window.hpp"
#include "dandelionbay/proxy/proxy.hpp"
#include "dandelionbay/soak/event_queue.hpp"
#include "simulated_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{500}};
constexpr std::uint64_t call = 42;

[[nodiscard]] endpoint_process process(const std::string& name) {
    return {endpoint_id{name}, 1};
}

[[nodiscard]] socket_address address(std::size_t n) {
    return {"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
}

/*! Records a run that ended with its endpoint's process. */
void lose(simulated_router& at, const std::string& name, time_point began, time_point ended) {
    at.losses.record_interrupted_run(call, lost_run{process(name), began, ended});
    at.losses.record_process_exit(process(name), ended);
}

/*! Sends a message that arrives after 1 ms and waits at the receiver before it is handled. */
void deliver(simulated_router& from, std::size_t from_n, simulated_router& to, std::size_t to_n, time_point sent,
             duration wait) {
    to.synchronizer.add_address(address(from_n), sent);
    to.synchronizer.receive(from.synchronizer.make_message(address(to_n), sent), sent + milliseconds{1} + wait);
}

/*! Times that events wait at a router before they are handled. */
struct handling_delays {
    duration calls{};    //!< Calls of the caller.
    duration ends{};     //!< Ends of runs, seen as broken connections.
    duration messages{}; //!< Messages of peers.
};

/**
 * Routers that handle all events late, with a separate delay for each kind of event, and send without delay. One caller
 * sends the same call repeatedly, to the routers in turn, and each endpoint that runs it ends 50 ms later.
 */
class delayed_routers {
public:
    static constexpr duration network_latency{milliseconds{1}};
    static constexpr duration run_time{milliseconds{50}};
    static constexpr duration between_calls{milliseconds{500}};
    /*! Time within which the routers must learn of the third loss. */
    static constexpr duration max_learning_time{seconds{4}};

    delayed_routers(std::size_t n, const handling_delays& late) : delays_{late} {
        for (std::size_t it = 0; it < n; ++it) {
            routers_.push_back(
                std::make_unique<simulated_router>("r" + std::to_string(it), static_cast<std::uint16_t>(it + 1)));
        }
        for (std::size_t it = 0; it < n; ++it) {
            for (std::size_t other = 0; other < n; ++other) {
                routers_[it]->synchronizer.add_address(address(other), events_.now());
            }
            events_.after(milliseconds{5} * it, [this, it] { send_round(it); });
        }
        events_.after(seconds{5}, [this] { handle_next_call(0); }); // All routers have exchanged messages by then.
    }

    void run_for(duration time) { events_.run_until(events_.now() + time); }

    /*! Number of runs that began after the time within which the routers must learn of the third loss. */
    [[nodiscard]] std::size_t runs_started_too_late() const {
        if (ended_.size() < 3) {
            return 0;
        }
        return static_cast<std::size_t>(std::ranges::count_if(
            ended_, [&](time_point it) { return it - run_time > ended_[2] + max_learning_time; }));
    }
    [[nodiscard]] std::size_t ended() const { return ended_.size(); }
    [[nodiscard]] std::size_t refusing() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(routers_, [](const auto& it) { return it->losses.is_refused(call); }));
    }

private:
    /*! Sends the caller's next attempt to a router, which decides on it after the delay of calls. */
    void handle_next_call(std::size_t n) {
        events_.after(between_calls, [this, n] { handle_next_call(n + 1); });
        events_.after(delays_.calls, [this, at = n % routers_.size()] { decide(at, events_.now()); });
    }

    void decide(std::size_t at, time_point read) {
        auto& it = *routers_[at];
        if (it.losses.is_refused(call)) {
            return;
        }
        auto delay = duration{};
        if (it.losses.lost_endpoint_count(call) >= lost_run_registry::min_losses_to_refuse) {
            delay = std::min(proxy::max_copy_delay,
                             proxy::copy_delay_per_rank * static_cast<duration::rep>(it.dispatch.rank_for(call)));
        }
        if (events_.now() < read + delay || it.losses.is_recently_lost(call, events_.now())) {
            events_.after(milliseconds{25}, [this, at, read] { decide(at, read); });
            return;
        }
        const auto began = events_.now();
        events_.after(run_time, [this, at, began] {
            ended_.push_back(events_.now());
            const auto name = "e" + std::to_string(ended_.size());
            events_.after(delays_.ends, [this, at, began, name] { lose(*routers_[at], name, began, events_.now()); });
        });
    }

    void send_round(std::size_t from) {
        auto& it = *routers_[from];
        it.synchronizer.begin_round(events_.now());
        for (std::size_t to = 0; to < routers_.size(); ++to) {
            if (to != from) {
                const auto state =
                    std::make_shared<peer_message>(it.synchronizer.make_message(address(to), events_.now()));
                events_.after(network_latency + delays_.messages,
                              [this, to, state] { routers_[to]->synchronizer.receive(*state, events_.now()); });
            }
        }
        events_.after(it.synchronizer.interval(), [this, from] { send_round(from); });
    }

    handling_delays delays_;
    soak::event_queue events_{};
    std::vector<std::unique_ptr<simulated_router>> routers_{};
    std::vector<time_point> ended_{}; // When endpoints ended, in order.
};

/*! Sends a call that crashes its endpoints to twelve routers, every 500 ms for a minute. */
void expect_refused_in_time(const std::string& name, const handling_delays& late) {
    SCOPED_TRACE(name);
    delayed_routers fleet{12, late};
    fleet.run_for(seconds{60});
    testing::Test::RecordProperty(name, std::to_string(fleet.ended()) + " ended, " +
                                            std::to_string(fleet.runs_started_too_late()) + " too late");
    EXPECT_GE(fleet.ended(), 3);
    EXPECT_LE(fleet.runs_started_too_late(), 3) << fleet.ended() << " endpoints ended";
    EXPECT_EQ(fleet.refusing(), 12) << fleet.ended() << " endpoints ended";
}

// Guards against a call that crashes its endpoints still being run by delayed routers, because the time between the end
// of an endpoint and a decision that must take it into account is unbounded.
TEST(late_losses, delayed_routers_refuse_a_call_that_crashes_endpoints) {
    for (const auto late : {milliseconds{0}, milliseconds{500}, milliseconds{1'000}, milliseconds{2'000},
                            milliseconds{3'500}, milliseconds{4'500}}) {
        expect_refused_in_time("all_" + std::to_string(late.count()), {late, late, late});
    }
}

// Guards against consecutive runs counting as one loss because their ends are dated by when they were handled.
TEST(late_losses, run_ends_handled_late_count_separately) {
    for (const auto late :
         {milliseconds{500}, milliseconds{1'000}, milliseconds{2'000}, milliseconds{3'500}, milliseconds{4'500}}) {
        expect_refused_in_time("ends_" + std::to_string(late.count()), {{}, late, {}});
    }
}

// Guards against a call that crashes its endpoints still being run because messages of peers are handled late.
TEST(late_losses, losses_in_delayed_messages_refuse_a_call) {
    for (const auto late :
         {milliseconds{500}, milliseconds{1'000}, milliseconds{2'000}, milliseconds{3'500}, milliseconds{4'500}}) {
        expect_refused_in_time("messages_" + std::to_string(late.count()), {{}, {}, late});
    }
}

// Guards against refusing a harmless call: one fault ended the endpoints that ran it for several routers, and messages
// were delayed by different times in both directions.
TEST(late_losses, one_fault_in_delayed_messages_counts_once) {
    for (const auto& [end_delay, message_delay] :
         {std::pair{milliseconds{0}, milliseconds{0}}, std::pair{milliseconds{0}, milliseconds{600}},
          std::pair{milliseconds{300}, milliseconds{600}}}) {
        SCOPED_TRACE(testing::Message{} << "ends handled after " << end_delay.count() << " ms or more, messages after "
                                        << message_delay.count() << " ms");
        simulated_router receiver{"receiver", 1};
        for (std::size_t n = 1; n <= 3; ++n) {
            const milliseconds sender_delay{300 * static_cast<int>(n - 1)};
            simulated_router it{"r" + std::to_string(n), static_cast<std::uint16_t>(n + 1)};
            deliver(receiver, 0, it, n, start, sender_delay);
            const auto ended = start + seconds{1} + milliseconds{50};
            lose(it, "e" + std::to_string(n), ended - milliseconds{50},
                 ended + (end_delay > duration{} ? sender_delay : milliseconds{}));
            deliver(it, n, receiver, 0, start + seconds{2}, message_delay);
        }
        EXPECT_EQ(receiver.losses.lost_endpoint_count(call), 3);
        EXPECT_EQ(receiver.losses.loss_count(call), 1);
        EXPECT_FALSE(receiver.losses.is_refused(call));
    }
}

// Guards against a call that is never refused because copies that ran at the same time fill the record of its runs.
TEST(late_losses, losses_after_many_simultaneous_ones_refuse_a_call) {
    simulated_router it{"r0", 1};
    for (std::size_t n = 0; n < lost_run_registry::max_runs_per_call; ++n) {
        lose(it, "copy" + std::to_string(n), start, start + milliseconds{50});
    }
    EXPECT_EQ(it.losses.loss_count(call), 1);
    for (int n = 1; n <= 5; ++n) {
        lose(it, "e" + std::to_string(n), start + seconds{n}, start + seconds{n} + milliseconds{50});
    }
    EXPECT_TRUE(it.losses.is_refused(call)) << it.losses.loss_count(call) << " losses";
}

// Guards against losses that are cleared by an earlier answer in a delayed message.
TEST(late_losses, a_delayed_answer_clears_no_later_loss) {
    simulated_router receiver{"receiver", 1};
    simulated_router it{"r1", 2};
    deliver(receiver, 0, it, 1, start, {});
    lose(it, "e0", start, start + milliseconds{50});
    it.losses.record_answer(call, start + milliseconds{100});
    const auto message = it.synchronizer.make_message(address(0), start + milliseconds{110});
    for (const auto n : {1, 2, 3}) {
        const auto ended = start + seconds{n};
        lose(receiver, "e" + std::to_string(n), ended - milliseconds{50}, ended);
    }
    ASSERT_TRUE(receiver.losses.is_refused(call));
    receiver.synchronizer.receive(message, start + seconds{4});
    EXPECT_EQ(receiver.losses.loss_count(call), 3);
    EXPECT_TRUE(receiver.losses.is_refused(call));
}

// Guards against a loss that is sent to no peer because it is dated by the endpoint's last bytes and not by when it
// became known, and the peers had confirmed later messages by then.
TEST(late_losses, a_silent_run_that_counts_at_once_is_sent_to_peers) {
    simulated_router sender{"r0", 1};
    simulated_router peer{"r1", 2};
    deliver(sender, 0, peer, 1, start, {});
    deliver(peer, 1, sender, 0, start + milliseconds{10}, {});
    sender.losses.record_process_exit(process("e1"), start + milliseconds{1'500}); // Found out by another call's run.
    for (int n = 0; n < 20; ++n) {
        const auto now = start + seconds{1} + milliseconds{50} * n;
        deliver(sender, 0, peer, 1, now, {});
        deliver(peer, 1, sender, 0, now + milliseconds{20}, {});
    }
    const auto last_bytes_at = start + seconds{1};
    EXPECT_TRUE(sender.losses.record_interrupted_run(
        call, lost_run{process("e1"), last_bytes_at - milliseconds{50}, last_bytes_at}));
    for (int n = 0; n < 20; ++n) {
        const auto now = start + seconds{2} + milliseconds{50} * n;
        deliver(sender, 0, peer, 1, now, {});
        deliver(peer, 1, sender, 0, now + milliseconds{20}, {});
    }
    EXPECT_EQ(sender.losses.loss_count(call), 1);
    EXPECT_EQ(peer.losses.loss_count(call), 1);
}

// Guards against restarted routers that have received only one of many peers' messages and each take half of the free
// retries.
TEST(late_losses, restarted_routers_share_the_free_retries) {
    constexpr std::size_t routers = 12;
    const retry_limits limits{0.2, 50.0, seconds{10}};
    simulated_router sender{"sender", routers + 1};
    int acquired = 0;
    for (std::size_t n = 0; n < routers; ++n) {
        simulated_router it{"r" + std::to_string(n), static_cast<std::uint16_t>(n + 1)};
        deliver(sender, routers, it, n, start, {});
        retry_window window{limits};
        while (window.try_acquire(it.dispatch.router_count(), start)) {
            ++acquired;
        }
    }
    EXPECT_LE(acquired, static_cast<int>(limits.slack));
}

} // namespace
} // namespace dandelionbay
