// Lost runs of a call at routers that handle what came to them late: what has come waits unread for several turns.
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

/*! A run is known to have ended with its endpoint. */
void lose(simulated_router& at, const std::string& name, time_point began, time_point ended) {
    at.losses.record_interrupted_run(call, lost_run{process(name), began, ended});
    at.losses.record_process_exit(process(name), ended);
}

/*! A message reaches a router after some way, and waits there until it is read. */
void tell(simulated_router& from, std::size_t from_n, simulated_router& to, std::size_t to_n, time_point sent,
          duration wait) {
    to.board.add_address(address(from_n), sent);
    to.board.receive(from.board.make_message(address(to_n), sent), sent + milliseconds{1} + wait);
}

/*! How long what comes to a router waits until it is handled. */
struct waits {
    duration calls{};    //!< Of the caller.
    duration ends{};     //!< Of runs, as connections that break.
    duration messages{}; //!< Of peers.
};

/**
 * Routers that all handle late what comes to them, each kind with a wait of its own. They send when they decide. One
 * caller sends a call again and again, to the routers in turn, and each endpoint that runs it ends 50 ms later.
 */
class late_routers {
public:
    static constexpr duration way{milliseconds{1}};
    static constexpr duration run_time{milliseconds{50}};
    static constexpr duration between_calls{milliseconds{500}};
    /*! Time that routers may take to learn of the third loss. */
    static constexpr duration contact{seconds{4}};

    late_routers(std::size_t n, const waits& late) : late_{late} {
        for (std::size_t it = 0; it < n; ++it) {
            routers_.push_back(
                std::make_unique<simulated_router>("r" + std::to_string(it), static_cast<std::uint16_t>(it + 1)));
        }
        for (std::size_t it = 0; it < n; ++it) {
            for (std::size_t other = 0; other < n; ++other) {
                routers_[it]->board.add_address(address(other), events_.now());
            }
            events_.after(milliseconds{5} * it, [this, it] { round(it); });
        }
        events_.after(seconds{5}, [this] { come(0); }); // Each router has heard all others by then.
    }

    void run_for(duration time) { events_.run_until(events_.now() + time); }

    /*! Runs of the call that began later than the routers may take to learn of the third loss. */
    [[nodiscard]] std::size_t begun_too_late() const {
        if (ended_.size() < 3) {
            return 0;
        }
        return static_cast<std::size_t>(
            std::ranges::count_if(ended_, [&](time_point it) { return it - run_time > ended_[2] + contact; }));
    }
    [[nodiscard]] std::size_t ended() const { return ended_.size(); }
    [[nodiscard]] std::size_t refusing() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(routers_, [](const auto& it) { return it->losses.is_refused(call); }));
    }

private:
    /*! The caller's next attempt comes to a router, which decides about it when it reads it. */
    void come(std::size_t n) {
        events_.after(between_calls, [this, n] { come(n + 1); });
        events_.after(late_.calls, [this, at = n % routers_.size()] { decide(at, events_.now()); });
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
            events_.after(late_.ends, [this, at, began, name] { lose(*routers_[at], name, began, events_.now()); });
        });
    }

    void round(std::size_t from) {
        auto& it = *routers_[from];
        it.board.begin_round(events_.now());
        for (std::size_t to = 0; to < routers_.size(); ++to) {
            if (to != from) {
                const auto state = std::make_shared<peer_message>(it.board.make_message(address(to), events_.now()));
                events_.after(way + late_.messages,
                              [this, to, state] { routers_[to]->board.receive(*state, events_.now()); });
            }
        }
        events_.after(it.board.interval(), [this, from] { round(from); });
    }

    waits late_;
    soak::event_queue events_{};
    std::vector<std::unique_ptr<simulated_router>> routers_{};
    std::vector<time_point> ended_{}; // Of the endpoints, in the order of time.
};

/*! A call that ends its endpoints comes to twelve routers every 500 ms, for a minute. */
void expect_refused_in_time(const std::string& name, const waits& late) {
    SCOPED_TRACE(name);
    late_routers fleet{12, late};
    fleet.run_for(seconds{60});
    testing::Test::RecordProperty(name, std::to_string(fleet.ended()) + " ended, " +
                                            std::to_string(fleet.begun_too_late()) + " too late");
    EXPECT_GE(fleet.ended(), 3);
    EXPECT_LE(fleet.begun_too_late(), 3) << fleet.ended() << " endpoints ended";
    EXPECT_EQ(fleet.refusing(), 12) << fleet.ended() << " endpoints ended";
}

// Guards against a call that ends its endpoints and goes on at routers that read late, because no bound holds for the
// time between the end of an endpoint and the decision that should know of it.
TEST(late_losses, a_call_that_ends_its_endpoints_is_refused_by_late_routers_too) {
    for (const auto late : {milliseconds{0}, milliseconds{500}, milliseconds{1'000}, milliseconds{2'000},
                            milliseconds{3'500}, milliseconds{4'500}}) {
        expect_refused_in_time("all_" + std::to_string(late.count()), {late, late, late});
    }
}

// Guards against runs that followed each other and count as one loss, because their ends count from their reading.
TEST(late_losses, ends_that_are_read_late_count_one_after_the_other) {
    for (const auto late :
         {milliseconds{500}, milliseconds{1'000}, milliseconds{2'000}, milliseconds{3'500}, milliseconds{4'500}}) {
        expect_refused_in_time("ends_" + std::to_string(late.count()), {{}, late, {}});
    }
}

// Guards against a call that ends its endpoints and goes on because messages of peers wait to be read.
TEST(late_losses, losses_in_messages_that_are_read_late_refuse_a_call) {
    for (const auto late :
         {milliseconds{500}, milliseconds{1'000}, milliseconds{2'000}, milliseconds{3'500}, milliseconds{4'500}}) {
        expect_refused_in_time("messages_" + std::to_string(late.count()), {{}, {}, late});
    }
}

// Guards against the refusal of an innocent call: one fault ended endpoints under it at several routers, and messages
// waited for different times on both ways.
TEST(late_losses, one_fault_told_by_messages_that_waited_counts_once) {
    for (const auto& [ends_wait, read_wait] :
         {std::pair{milliseconds{0}, milliseconds{0}}, std::pair{milliseconds{0}, milliseconds{600}},
          std::pair{milliseconds{300}, milliseconds{600}}}) {
        SCOPED_TRACE(testing::Message{} << "ends read after " << ends_wait.count() << " ms or more, messages after "
                                        << read_wait.count() << " ms");
        simulated_router reader{"reader", 1};
        for (std::size_t n = 1; n <= 3; ++n) {
            const milliseconds tellers_wait{300 * static_cast<int>(n - 1)};
            simulated_router it{"r" + std::to_string(n), static_cast<std::uint16_t>(n + 1)};
            tell(reader, 0, it, n, start, tellers_wait);
            const auto ended = start + seconds{1} + milliseconds{50};
            lose(it, "e" + std::to_string(n), ended - milliseconds{50},
                 ended + (ends_wait > duration{} ? tellers_wait : milliseconds{}));
            tell(it, n, reader, 0, start + seconds{2}, read_wait);
        }
        EXPECT_EQ(reader.losses.lost_endpoint_count(call), 3);
        EXPECT_EQ(reader.losses.loss_count(call), 1);
        EXPECT_FALSE(reader.losses.is_refused(call));
    }
}

// Guards against a call that is never refused, because copies that ran at once fill the runs that are kept of it.
TEST(late_losses, losses_after_many_at_once_refuse_a_call) {
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

// Guards against losses that are forgotten because an earlier answer was told by a message that waited.
TEST(late_losses, an_answer_that_is_told_late_clears_no_later_loss) {
    simulated_router reader{"reader", 1};
    simulated_router it{"r1", 2};
    tell(reader, 0, it, 1, start, {});
    lose(it, "e0", start, start + milliseconds{50});
    it.losses.record_answer(call, start + milliseconds{100});
    const auto told = it.board.make_message(address(0), start + milliseconds{110});
    for (const auto n : {1, 2, 3}) {
        const auto ended = start + seconds{n};
        lose(reader, "e" + std::to_string(n), ended - milliseconds{50}, ended);
    }
    ASSERT_TRUE(reader.losses.is_refused(call));
    reader.board.receive(told, start + seconds{4});
    EXPECT_EQ(reader.losses.loss_count(call), 3);
    EXPECT_TRUE(reader.losses.is_refused(call));
}

// Guards against a loss that no peer hears of, because its time is that of the endpoint's last bytes and not that of
// its becoming known, and the peers had confirmed later messages by then.
TEST(late_losses, a_silent_run_that_counts_at_once_is_told) {
    simulated_router teller{"r0", 1};
    simulated_router peer{"r1", 2};
    tell(teller, 0, peer, 1, start, {});
    tell(peer, 1, teller, 0, start + milliseconds{10}, {});
    teller.losses.record_process_exit(process("e1"), start + milliseconds{1'500}); // Known by another call's run.
    for (int n = 0; n < 20; ++n) {
        const auto now = start + seconds{1} + milliseconds{50} * n;
        tell(teller, 0, peer, 1, now, {});
        tell(peer, 1, teller, 0, now + milliseconds{20}, {});
    }
    const auto heard = start + seconds{1};
    EXPECT_TRUE(teller.losses.record_interrupted_run(call, lost_run{process("e1"), heard - milliseconds{50}, heard}));
    for (int n = 0; n < 20; ++n) {
        const auto now = start + seconds{2} + milliseconds{50} * n;
        tell(teller, 0, peer, 1, now, {});
        tell(peer, 1, teller, 0, now + milliseconds{20}, {});
    }
    EXPECT_EQ(teller.losses.loss_count(call), 1);
    EXPECT_EQ(peer.losses.loss_count(call), 1);
}

// Guards against routers that start again, have read one peer's message of many, and each take half of the free
// repeats.
TEST(late_losses, routers_that_start_again_take_no_more_repeats_than_all_may) {
    constexpr std::size_t routers = 12;
    const retry_limits limits{0.2, 50.0, seconds{10}};
    simulated_router teller{"teller", routers + 1};
    int taken = 0;
    for (std::size_t n = 0; n < routers; ++n) {
        simulated_router it{"r" + std::to_string(n), static_cast<std::uint16_t>(n + 1)};
        tell(teller, routers, it, n, start, {});
        retry_window window{limits};
        while (window.try_acquire(it.dispatch.router_count(), start)) {
            ++taken;
        }
    }
    EXPECT_LE(taken, static_cast<int>(limits.slack));
}

} // namespace
} // namespace dandelionbay
