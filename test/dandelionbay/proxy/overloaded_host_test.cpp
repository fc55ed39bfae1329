#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "simulated_host.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};
constexpr seconds call_limit{3};

/*! A host, and callers of two teams that come at random; the first one sends four of five calls. */
class crowded_host {
public:
    crowded_host(const host_options& options, double load) : host_{options, start} {
        run(load * work_costs{}.capacity(options.share));
    }

    [[nodiscard]] const std::vector<seen_call>& calls() const { return host_.calls(); }

    [[nodiscard]] std::size_t served(const team_id& team) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(calls(), [&](const auto& it) { return it.served && it.team == team; }));
    }

    [[nodiscard]] std::size_t came(const team_id& team) const {
        return static_cast<std::size_t>(std::ranges::count(calls(), team, &seen_call::team));
    }

    [[nodiscard]] duration in_rotation() const { return watch_.in_rotation(); }

private:
    static constexpr seconds length{30};

    void run(double rate) {
        std::exponential_distribution<double> gap{rate};
        auto next = start;
        for (const auto end = start + length + seconds{10}; host_.now() < end; host_.turn()) {
            for (; next <= host_.now() && next < start + length; next += from_ms(gap(random_) * 1e3)) {
                const team_id team{std::uniform_real_distribution<double>{}(random_) < 0.8 ? "large" : "small"};
                watch_.follow(host_, next);
                if (!watch_.out()) { // Else the balancer sends it elsewhere.
                    host_.come({.team = team, .sent = next});
                }
            }
        }
    }

    simulated_host host_;
    rotation_watch watch_{start};
    std::mt19937_64 random_{1};
};

struct held_calls {
    std::size_t held{};      //!< Answered more than half a second after their limit, or never.
    std::size_t sent_late{}; //!< Sent on after their limit.
    duration slowest{};
};

[[nodiscard]] held_calls held_by(const crowded_host& host) {
    held_calls out;
    for (const auto& it : host.calls()) {
        const auto took = it.answered ? *it.answered - it.sent : duration{seconds{100}};
        out.slowest = std::max(out.slowest, took);
        out.held += took > call_limit + milliseconds{500} ? 1U : 0U;
        out.sent_late += it.placed && *it.placed - it.sent > call_limit ? 1U : 0U;
    }
    return out;
}

/*! Whether the processor is given in pieces, and the calls that come, as a multiple of what the host can serve. */
struct pressure {
    bool quota{};
    double load{};
};

void PrintTo(const pressure& it, std::ostream* out) {
    *out << (it.quota ? "quota" : "share") << ", load " << it.load;
}

class overloaded_host : public testing::TestWithParam<pressure> {
protected:
    [[nodiscard]] static crowded_host run(const pressure& it, age_rule ages = age_rule::horizon) {
        return {{0.09, it.quota, ages}, it.load};
    }

    [[nodiscard]] static std::size_t served(const crowded_host& host) {
        return host.served(team_id{"large"}) + host.served(team_id{"small"});
    }

    [[nodiscard]] static std::string describe(const crowded_host& host) {
        return concat("calls ", host.calls().size(), ", served ", host.served(team_id{"large"}), " and ",
                      host.served(team_id{"small"}), ", in rotation ", to_ms(host.in_rotation()), " ms");
    }

    [[nodiscard]] static double served_per_s(const crowded_host& host) {
        return static_cast<double>(served(host)) / std::chrono::duration<double>{host.in_rotation()}.count();
    }
};

// Guards against the pattern "more calls than a small host can read": calls that wait unread for many turns of the loop
// count as new, are sent on after their limit, and hold their callers past it (CONFIG).
TEST_P(overloaded_host, no_call_is_held_or_sent_on_past_its_limit) {
    const auto host = run(GetParam());
    const auto held = held_by(host);
    EXPECT_EQ(held.held, 0) << "of " << host.calls().size() << ", the slowest after " << to_ms(held.slowest) << " ms";
    EXPECT_EQ(held.sent_late, 0);
    EXPECT_GT(served(host), 0);
}

// Guards against a model that can't show the fault: with ages of one turn it has to come.
TEST_P(overloaded_host, ages_of_one_turn_hold_calls_past_their_limit) {
    const auto held = held_by(run({GetParam().quota, 8.0}, age_rule::last_turn));
    EXPECT_GT(held.held + held.sent_late, 0);
}

// Guards against the pattern "overload feeds itself": a host that is asked for more serves less, because it spends its
// time on calls that it refuses (FAIR).
TEST_P(overloaded_host, service_stays_level) {
    const auto usual = served_per_s(run({GetParam().quota, 1.0}));
    const auto host = run(GetParam());
    SCOPED_TRACE(describe(host));
    EXPECT_GE(served_per_s(host), 0.8 * usual) << "calls in a second of the rotation; usual " << usual;
}

// Guards against the pattern "first come, first served": the smaller team loses its share at a host that can't serve
// all.
TEST_P(overloaded_host, teams_keep_their_shares) {
    const auto host = run(GetParam());
    SCOPED_TRACE(describe(host));
    const auto large = static_cast<double>(host.served(team_id{"large"}));
    const auto small = static_cast<double>(host.served(team_id{"small"}));
    EXPECT_GE(small, 0.9 * std::min(large, static_cast<double>(host.came(team_id{"small"}))));
}

INSTANTIATE_TEST_SUITE_P(processors, overloaded_host,
                         testing::Values(pressure{false, 1.0}, pressure{false, 2.0}, pressure{false, 4.0},
                                         pressure{false, 8.0}, pressure{true, 1.0}, pressure{true, 2.0},
                                         pressure{true, 4.0}, pressure{true, 8.0}),
                         [](const auto& it) {
                             return concat(it.param.quota ? "quota" : "share", "_load_",
                                           static_cast<int>(it.param.load));
                         });

} // namespace
} // namespace dandelionbay
