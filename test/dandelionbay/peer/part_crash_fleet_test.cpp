// A prompt part that crashes endpoints, in fleets of different sizes on a simulated clock.
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "dandelionbay/base/text.hpp"
#include "dandelionbay/peer/peer_transport.hpp"
#include "dandelionbay/proxy/proxy.hpp"
#include "dandelionbay/soak/event_queue.hpp"
#include "simulated_router.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! Size of a fleet and its load. */
struct fleet_size {
    std::size_t routers{};
    std::size_t endpoints{};
    double calls_per_s{};
    std::vector<double> crashing_per_s{}; //!< Calls with each part that crashes endpoints.
    std::size_t own_parts{};              //!< Parts that the calls of one caller share.
    duration length{};
    duration warm_up{seconds{10}}; //!< Time of sound calls alone.
};

/*! Routers before endpoints that exit when they begin an answer to certain parts, and come back 3 s later. */
class crashing_fleet {
    struct running_call {
        unproven_run run{};
        std::size_t router{};
        int runs_left{};
    };
    struct endpoint {
        endpoint_process process{};
        bool is_up{true};
        std::map<std::uint64_t, running_call> runs{};
    };
    struct router {
        std::unique_ptr<simulated_router> state{};
        std::set<service_part> running_suspects{};
        time_point next_round{};
    };

public:
    static constexpr duration network_latency = milliseconds{20};
    static constexpr duration tick = milliseconds{25};
    static constexpr duration absence = seconds{3};
    /*! Time within which routers must know of the fifth exit. */
    static constexpr duration contact = seconds{4};
    static constexpr std::uint64_t first_crashing_part = 1'000'000;

    crashing_fleet(fleet_size size, std::uint64_t seed) : size_{std::move(size)}, random_{seed} {
        for (std::size_t n = 0; n < size_.endpoints; ++n) {
            endpoints_.push_back(endpoint{{endpoint_id{concat("e", n)}, 1}, true, {}});
        }
        for (std::size_t n = 0; n < size_.routers; ++n) {
            routers_.push_back(router{std::make_unique<simulated_router>(concat("r", n), port(n)), {}, {}});
        }
        for (std::size_t n = 0; n < size_.routers; ++n) {
            for (std::size_t other = 0; other < size_.routers; ++other) {
                routers_[n].state->synchronizer.add_address(address(other), events_.now());
            }
            events_.after(milliseconds{1} * n, [this, n] { poll(n); });
            events_.after(milliseconds{1} * n, [this, n] { review(n); });
        }
        send_next(size_.calls_per_s, std::nullopt);
        for (std::size_t n = 0; n < size_.crashing_per_s.size(); ++n) {
            events_.after(size_.warm_up, [this, n] { send_next(size_.crashing_per_s[n], first_crashing_part + n); });
        }
    }

    void run() { events_.run_until(events_.now() + size_.warm_up + size_.length); }

    /*! Ends all endpoints of a fifth of the fleet at once. */
    void end_zone_after(duration time) {
        events_.after(size_.warm_up + time, [this] {
            for (std::size_t n = 0; n < endpoints_.size(); n += 5) {
                exit(endpoints_[n]);
            }
        });
    }

    /*! Lets endpoints exit one by one for no reason of any call. */
    void end_endpoints_every(duration interval) {
        events_.after(interval, [this, interval] {
            exit(endpoints_[random_() % endpoints_.size()]);
            end_endpoints_every(interval);
        });
    }

    [[nodiscard]] std::size_t exits() const { return exits_; }

    /*! Calls with a part that were sent later than the routers may take to know of its fifth crash. */
    [[nodiscard]] std::size_t sent_too_late(std::size_t part) const {
        const auto it = crashes_.find(first_crashing_part + part);
        if (it == crashes_.end() || it->second.size() < 5) {
            return 0;
        }
        const auto sent = sent_.find(first_crashing_part + part);
        return static_cast<std::size_t>(
            std::ranges::count_if(sent->second, [&](time_point at) { return at > it->second[4] + contact; }));
    }
    [[nodiscard]] std::size_t refused_sound_calls() const { return refused_sound_; }
    [[nodiscard]] std::size_t sound_calls() const { return sound_; }

private:
    [[nodiscard]] static std::uint16_t port(std::size_t n) { return static_cast<std::uint16_t>(n + 1); }
    [[nodiscard]] static socket_address address(std::size_t n) { return {"127.0.0.1", port(n)}; }
    [[nodiscard]] double uniform(double from, double to) {
        return std::uniform_real_distribution<double>{from, to}(random_);
    }
    [[nodiscard]] static bool is_crashing(const unproven_run& it) {
        return std::ranges::any_of(it.parts, [](const service_part& part) { return part.id >= first_crashing_part; });
    }

    void send_next(double per_s, std::optional<std::uint64_t> part) {
        unproven_run run{++last_call_, {{1, random_() % 4}}};
        run.parts.push_back(
            {1, 100 + static_cast<std::uint64_t>(static_cast<double>(size_.own_parts) * uniform(0.0, 1.0))});
        if (part) { // One caller's calls with one opening.
            run.parts = {{1, 0}, {1, 100}, {1, *part}};
        }
        sound_ += part ? 0 : 1;
        arrive(run, random_() % routers_.size(), 2);
        events_.after(from_ms(std::exponential_distribution<double>{per_s / 1'000.0}(random_)),
                      [this, per_s, part] { send_next(per_s, part); });
    }

    void arrive(const unproven_run& run, std::size_t at, int runs_left) {
        auto& parts = routers_[at].state->part_crashes;
        if (parts.is_blocked(run.parts)) {
            refused_sound_ += is_crashing(run) ? 0 : 1;
            return;
        }
        std::vector<service_part> suspects;
        time_point lost_at;
        for (const auto& part : run.parts) {
            if (const auto lost = parts.suspected_since(part)) {
                suspects.push_back(part);
                lost_at = std::max(lost_at, *lost);
            }
        }
        const auto delay = std::min(report_delay(at), proxy::max_suspect_part_delay);
        const auto& running = routers_[at].running_suspects;
        if (events_.now() < lost_at + delay * static_cast<duration::rep>(suspects.size()) ||
            std::ranges::any_of(suspects, [&](const service_part& it) { return running.contains(it); })) {
            events_.after(tick, [this, run, at, runs_left] { arrive(run, at, runs_left); });
            return;
        }
        std::vector<endpoint*> up;
        for (auto& it : endpoints_) {
            if (it.is_up) {
                up.push_back(&it);
            }
        }
        if (up.empty()) {
            return;
        }
        routers_[at].running_suspects.insert(suspects.begin(), suspects.end());
        auto& to = *up[random_() % up.size()];
        const auto ticket = ++last_ticket_;
        to.runs[ticket] = running_call{run, at, runs_left - 1};
        to.runs[ticket].run.sent = events_.now();
        if (is_crashing(run)) {
            sent_[run.parts.back().id].push_back(events_.now());
        }
        events_.after(from_ms(350.0 * uniform(0.4, 1.6)),
                      [this, &to, process = to.process, ticket] { begin(to, process, ticket); });
    }

    void begin(endpoint& at, const endpoint_process& process, std::uint64_t ticket) {
        const auto it = at.runs.find(ticket);
        if (at.process != process || it == at.runs.end()) {
            return;
        }
        if (is_crashing(it->second.run)) {
            crashes_[it->second.run.parts.back().id].push_back(events_.now());
            exit(at);
            return;
        }
        auto& to = routers_[it->second.router];
        to.state->part_crashes.record_proof(it->second.run.parts, events_.now());
        for (const auto& part : it->second.run.parts) {
            to.running_suspects.erase(part);
        }
        at.runs.erase(it);
    }

    void exit(endpoint& it) {
        if (!it.is_up) {
            return;
        }
        ++exits_;
        it.is_up = false;
        const auto process = it.process;
        ++it.process.started;
        for (const auto& [ticket, lost] : std::exchange(it.runs, {})) {
            events_.after(from_ms(uniform(1.0, 25.0)), [this, process, lost = lost] {
                auto& to = routers_[lost.router];
                for (const auto& part : lost.run.parts) {
                    to.running_suspects.erase(part);
                }
                to.state->part_crashes.record_interrupted_run(process, lost.run, events_.now());
                to.state->part_crashes.record_process_exit(process, events_.now());
                if (lost.runs_left > 0) {
                    arrive(lost.run, lost.router, lost.runs_left);
                }
            });
        }
        events_.after(absence, [&it] { it.is_up = true; });
    }

    [[nodiscard]] duration report_delay(std::size_t at) const {
        return routers_[at].state->synchronizer.urgent_delay(peer_transport::max_poll_interval);
    }

    void review(std::size_t at) {
        routers_[at].state->part_crashes.review(report_delay(at), events_.now());
        events_.after(tick, [this, at] { review(at); });
    }

    void poll(std::size_t from) {
        auto& it = routers_[from];
        if (events_.now() >= it.next_round || it.state->synchronizer.has_urgent_changes(events_.now())) {
            it.next_round = events_.now() + it.state->synchronizer.interval();
            send_round(from);
        }
        events_.after(std::min<duration>(it.state->synchronizer.interval(), peer_transport::max_poll_interval),
                      [this, from] { poll(from); });
    }

    void send_round(std::size_t from) {
        auto& it = routers_[from].state->synchronizer;
        it.begin_round(events_.now());
        for (std::size_t to = 0; to < routers_.size(); ++to) {
            if (to != from) {
                const auto state = std::make_shared<peer_message>(it.make_message(address(to), events_.now()));
                events_.after(network_latency,
                              [this, to, state] { routers_[to].state->synchronizer.receive(*state, events_.now()); });
            }
        }
    }

    fleet_size size_;
    std::mt19937_64 random_;
    soak::event_queue events_{};
    std::vector<router> routers_{};
    std::vector<endpoint> endpoints_{};
    std::map<std::uint64_t, std::vector<time_point>> crashes_{}; // By part, when endpoints exited.
    std::map<std::uint64_t, std::vector<time_point>> sent_{};    // By part, when calls were sent.
    std::uint64_t last_call_{};
    std::uint64_t last_ticket_{};
    std::size_t exits_{};
    std::size_t sound_{};
    std::size_t refused_sound_{};
};

const fleet_size small{4, 12, 200.0, {2.7}, 555, seconds{22}};
const fleet_size small_often{4, 12, 200.0, {16.0}, 555, seconds{22}};
const fleet_size small_rare{4, 12, 200.0, {0.5}, 555, seconds{22}};
const fleet_size small_two{4, 12, 200.0, {2.7, 2.7}, 555, seconds{22}};
const fleet_size small_early{4, 12, 200.0, {5.5}, 555, seconds{22}, milliseconds{500}};
const fleet_size medium{21, 44, 700.0, {9.0}, 2'200, seconds{15}};
const fleet_size large{100, 190, 1'500.0, {20.0}, 10'000, seconds{10}};

/*! The allowed sends per part after the routers must know. */
constexpr std::size_t max_sent_too_late = 3;

void expect_blocked(const std::string& name, const fleet_size& size, std::uint64_t seeds, bool with_zone = false) {
    SCOPED_TRACE(name);
    std::size_t exits = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        crashing_fleet fleet{size, seed};
        if (with_zone) {
            fleet.end_zone_after(milliseconds{300});
        }
        fleet.run();
        exits += fleet.exits();
        for (std::size_t part = 0; part < size.crashing_per_s.size(); ++part) {
            EXPECT_LE(fleet.sent_too_late(part), max_sent_too_late);
        }
        EXPECT_EQ(fleet.refused_sound_calls(), 0) << "of " << fleet.sound_calls();
    }
    testing::Test::RecordProperty(name, concat(static_cast<double>(exits) / static_cast<double>(seeds)));
}

// Guards against calls with a part that crashes endpoints being sent for as long as they come, at any size of fleet.
TEST(part_crash_fleet, calls_with_a_part_that_crashes_endpoints_are_refused_soon) {
    expect_blocked("small", small, 6);
    expect_blocked("small_often", small_often, 6);
    expect_blocked("small_rare", small_rare, 6);
    expect_blocked("small_two", small_two, 6);
    expect_blocked("small_zone", small, 6, true);
    expect_blocked("small_early", small_early, 20);
    expect_blocked("small_early_zone", small_early, 20, true);
    expect_blocked("medium", medium, 2);
}

// Guards against the same in a fleet whose routers hear of each other less than once a second.
TEST(part_crash_fleet, calls_with_a_part_that_crashes_endpoints_are_refused_soon_in_a_large_fleet) {
    expect_blocked("large", large, 1);
}

// Guards against a refusal of sound calls in a fleet whose endpoints exit for other reasons.
TEST(part_crash_fleet, sound_calls_are_not_refused_when_endpoints_exit_for_other_reasons) {
    for (const auto interval : {milliseconds{150}, milliseconds{400}, milliseconds{1'500}}) {
        auto size = small;
        size.crashing_per_s.clear();
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            crashing_fleet fleet{size, seed};
            fleet.end_endpoints_every(interval);
            fleet.run();
            EXPECT_GT(fleet.exits(), 10);
            EXPECT_EQ(fleet.refused_sound_calls(), 0) << interval.count() << " ms, seed " << seed;
        }
    }
}

} // namespace
} // namespace dandelionbay
