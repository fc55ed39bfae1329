#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "simulated_host.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};
constexpr seconds call_time_limit{3};

/*! A host with randomly arriving callers of two teams, of which the first sends four of five calls. */
class loaded_host {
public:
    loaded_host(const host_options& options, double load) : host_{options, start} {
        run(load * work_costs{}.capacity(options.share));
    }

    [[nodiscard]] const std::vector<simulated_call>& calls() const { return host_.calls(); }

    [[nodiscard]] std::size_t served(const team_id& team) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(calls(), [&](const auto& it) { return it.served && it.team == team; }));
    }

    [[nodiscard]] std::size_t received(const team_id& team) const {
        return static_cast<std::size_t>(std::ranges::count(calls(), team, &simulated_call::team));
    }

    [[nodiscard]] duration time_in_rotation() const { return rotation_.time_in_rotation(); }

private:
    static constexpr seconds length{30};

    void run(double rate) {
        std::exponential_distribution<double> gap{rate};
        auto next = start;
        for (const auto end = start + length + seconds{10}; host_.now() < end; host_.run_turn()) {
            for (; next <= host_.now() && next < start + length; next += from_ms(gap(random_) * 1e3)) {
                const team_id team{std::uniform_real_distribution<double>{}(random_) < 0.8 ? "large" : "small"};
                rotation_.probe_until(host_, next);
                if (!rotation_.is_out()) { // Otherwise the balancer sends the call elsewhere.
                    host_.connect({.team = team, .sent = next});
                }
            }
        }
    }

    simulated_host host_;
    rotation_watch rotation_{start};
    std::mt19937_64 random_{1};
};

struct late_calls {
    std::size_t held{};           //!< Answered more than 500 ms after the time limit, or never.
    std::size_t forwarded_late{}; //!< Forwarded to an endpoint after the time limit.
    duration slowest{};
};

[[nodiscard]] late_calls find_late_calls(const loaded_host& host) {
    late_calls out;
    for (const auto& it : host.calls()) {
        const auto response_time = it.answered ? *it.answered - it.sent : duration{seconds{100}};
        out.slowest = std::max(out.slowest, response_time);
        out.held += response_time > call_time_limit + milliseconds{500} ? 1U : 0U;
        out.forwarded_late += it.placed && *it.placed - it.sent > call_time_limit ? 1U : 0U;
    }
    return out;
}

/*! Whether the processor share is a quota, and the load as a multiple of what the host can serve. */
struct load_case {
    bool has_quota{};
    double load{};
};

void PrintTo(const load_case& it, std::ostream* out) {
    *out << (it.has_quota ? "quota" : "share") << ", load " << it.load;
}

class overloaded_host : public testing::TestWithParam<load_case> {
protected:
    [[nodiscard]] static loaded_host run(const load_case& it, age_estimate age = age_estimate::estimator) {
        return {{0.09, it.has_quota, age}, it.load};
    }

    [[nodiscard]] static std::size_t served(const loaded_host& host) {
        return host.served(team_id{"large"}) + host.served(team_id{"small"});
    }

    [[nodiscard]] static std::string describe(const loaded_host& host) {
        return concat("calls ", host.calls().size(), ", served ", host.served(team_id{"large"}), " and ",
                      host.served(team_id{"small"}), ", in rotation ", to_ms(host.time_in_rotation()), " ms");
    }

    [[nodiscard]] static double served_per_s(const loaded_host& host) {
        return static_cast<double>(served(host)) / std::chrono::duration<double>{host.time_in_rotation()}.count();
    }
};

// Guards against calls that a small host forwards after their limit and holds beyond it, because they wait unread for
// many turns of the event loop under overload and count as new when they are read (CONFIG).
TEST_P(overloaded_host, no_call_is_held_or_forwarded_past_its_time_limit) {
    const auto host = run(GetParam());
    const auto late = find_late_calls(host);
    EXPECT_EQ(late.held, 0) << "of " << host.calls().size() << ", the slowest after " << to_ms(late.slowest) << " ms";
    EXPECT_EQ(late.forwarded_late, 0);
    EXPECT_GT(served(host), 0);
}

// Guards against a simulation that can't show that fault: with ages of one turn it must occur.
TEST_P(overloaded_host, ages_of_one_turn_hold_calls_past_their_time_limit) {
    const auto late = find_late_calls(run({GetParam().has_quota, 8.0}, age_estimate::last_turn));
    EXPECT_GT(late.held + late.forwarded_late, 0);
}

// Guards against throughput that drops under overload because the host spends its time on calls that it refuses (FAIR).
TEST_P(overloaded_host, throughput_stays_level) {
    const auto baseline = served_per_s(run({GetParam().has_quota, 1.0}));
    const auto host = run(GetParam());
    SCOPED_TRACE(describe(host));
    EXPECT_GE(served_per_s(host), 0.8 * baseline)
        << "calls served per second in rotation; at nominal load " << baseline;
}

// Guards against serving calls in order of arrival under overload, in which the smaller team loses its share.
TEST_P(overloaded_host, teams_keep_their_shares) {
    const auto host = run(GetParam());
    SCOPED_TRACE(describe(host));
    const auto large = static_cast<double>(host.served(team_id{"large"}));
    const auto small = static_cast<double>(host.served(team_id{"small"}));
    EXPECT_GE(small, 0.9 * std::min(large, static_cast<double>(host.received(team_id{"small"}))));
}

INSTANTIATE_TEST_SUITE_P(processors, overloaded_host,
                         testing::Values(load_case{false, 1.0}, load_case{false, 2.0}, load_case{false, 4.0},
                                         load_case{false, 8.0}, load_case{true, 1.0}, load_case{true, 2.0},
                                         load_case{true, 4.0}, load_case{true, 8.0}),
                         [](const auto& it) {
                             return concat(it.param.has_quota ? "quota" : "share", "_load_",
                                           static_cast<int>(it.param.load));
                         });

} // namespace
} // namespace dandelionbay
