#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <random>

#include <gtest/gtest.h>

#include "dandelionbay/base/name_hash.hpp"
#include "simulated_host.hpp"

namespace dandelionbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{100}};

/*! Calls of a team in one second. */
struct team_calls_in_second {
    std::size_t asked{};
    std::size_t begun{};
    std::size_t refused{};
};

/**
 * A zone of large and small hosts behind a balancer that hashes callers onto hosts. All calls of the first team come
 * from one address, those of the others from many. A refused caller retries, and reaches the same host while that is in
 * rotation; a caller without a connection is sent to another host.
 */
class simulated_zone {
public:
    static constexpr std::size_t teams = 4;
    static constexpr std::size_t length_s = 20;

    /*! @param seed Of the random numbers. @param load Multiple of what the zone can serve. @param weights Teams' shares
     * of the calls. */
    simulated_zone(std::uint64_t seed, double load, const std::array<double, teams>& weights)
        : random_{seed}, team_of_{weights.begin(), weights.end()} {
        constexpr std::size_t large = 3;
        constexpr std::size_t small = 14;
        double capacity = 0.0;
        for (std::size_t n = 0; n < large + small; ++n) {
            const double share = n < large ? 0.5 : 0.09;
            capacity += work_costs{}.capacity(share);
            hosts_.push_back(std::make_unique<simulated_host>(host_options{.share = share}, start));
            hosts_.back()->on_end([this](const simulated_call& it) { ended(it); });
            rotations_.emplace_back(start);
        }
        while (host_of(single_address_, 0) < large) {
            ++single_address_;
        }
        run(capacity * load);
    }

    /*! Number of calls asked for, begun and refused in each second. */
    [[nodiscard]] const std::array<team_calls_in_second, length_s>& seconds_of(std::size_t team) const {
        return seconds_[team];
    }

private:
    struct caller {
        std::uint64_t address{};
        time_point first_sent{};
        std::size_t failed_connections{};
    };

    static constexpr seconds patience{6};
    static constexpr milliseconds retry_after{500};
    static constexpr milliseconds reconnect_delay{100};
    static constexpr std::size_t addresses = 1'000;

    [[nodiscard]] static team_id name_of(std::size_t team) { return team_id{concat("team-", team)}; }

    void run(double rate) {
        std::exponential_distribution<double> gap{rate};
        const auto end = start + seconds{length_s};
        for (auto at = start; at < end; at += from_ms(gap(random_) * 1e3)) {
            const auto team = team_of_(random_);
            const auto address = team == 0 ? single_address_ : addresses + random_() % addresses;
            callers_.push_back({address, at, 0});
            scheduled_calls_.push({.team = name_of(team), .sent = at, .caller = callers_.size() - 1});
        }
        auto next_report = start;
        while (true) {
            const auto it = std::ranges::min_element(hosts_, {}, [](const auto& host) { return host->now(); });
            const auto now = (*it)->now();
            if (now >= end) {
                return;
            }
            for (; !scheduled_calls_.empty() && scheduled_calls_.top().sent <= now + look_ahead;
                 scheduled_calls_.pop()) {
                send(scheduled_calls_.top());
            }
            if (now >= next_report) {
                next_report += seconds{1};
                report(now);
            }
            (*it)->run_turn();
        }
    }

    /*! The host in use with the largest hash of its number and the address (rendezvous hashing). */
    [[nodiscard]] std::size_t host_of(std::uint64_t address, std::size_t failed_connections) const {
        const auto count_out = static_cast<std::size_t>(std::ranges::count_if(rotations_, &rotation_watch::is_out));
        const bool should_use_all = count_out * 2 > hosts_.size();
        std::size_t best_host = 0;
        std::uint64_t most = 0;
        for (std::size_t n = 0; n < hosts_.size(); ++n) {
            const auto key = mixed_hash(mixed_hash(address, failed_connections), n);
            if ((should_use_all || !rotations_[n].is_out()) && key >= most) {
                most = key;
                best_host = n;
            }
        }
        return best_host;
    }

    void send(const simulated_call& it) {
        for (std::size_t n = 0; n < hosts_.size(); ++n) {
            rotations_[n].probe_until(*hosts_[n], it.sent);
        }
        const auto& from = callers_[it.caller];
        if (auto* const second = second_of(it.team, it.sent)) {
            ++second->asked;
        }
        hosts_[host_of(from.address, from.failed_connections)]->connect(it);
    }

    void ended(const simulated_call& it) {
        if (it.served) {
            if (auto* const second = second_of(it.team, *it.placed)) {
                ++second->begun;
            }
            return;
        }
        if (auto* const second = second_of(it.team, *it.answered)) {
            ++second->refused;
        }
        auto& from = callers_[it.caller];
        from.failed_connections += it.connected ? 0 : 1;
        const std::uniform_real_distribution<double>::param_type spread{0.8, 1.3};
        const auto delay = it.connected ? retry_after : reconnect_delay;
        const auto at = *it.answered + std::chrono::duration_cast<duration>(delay * factor_(random_, spread));
        if (at - from.first_sent < patience) {
            scheduled_calls_.push({.team = it.team, .sent = at, .caller = it.caller});
        }
    }

    [[nodiscard]] team_calls_in_second* second_of(const team_id& team, time_point at) {
        const auto n = static_cast<std::size_t>(std::chrono::duration_cast<seconds>(at - start).count());
        for (std::size_t it = 0; it < teams; ++it) {
            if (n < length_s && name_of(it) == team) {
                return &seconds_[it][n];
            }
        }
        return nullptr;
    }

    /*! Each host reports to the others what it has served. */
    void report(time_point now) {
        for (std::size_t from = 0; from < hosts_.size(); ++from) {
            const auto own = hosts_[from]->usage().own(now);
            for (std::size_t to = 0; to < hosts_.size(); ++to) {
                if (to != from) {
                    hosts_[to]->usage().update_peer(host_id{concat("host-", from)}, own, now);
                }
            }
        }
    }

    /*! How long before their time calls are passed to a host. */
    static constexpr milliseconds look_ahead{10};

    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> team_of_;
    std::uniform_real_distribution<double> factor_{};
    std::vector<std::unique_ptr<simulated_host>> hosts_{};
    std::vector<rotation_watch> rotations_{};
    std::vector<caller> callers_{};
    std::priority_queue<simulated_call, std::vector<simulated_call>, sent_later> scheduled_calls_{};
    std::uint64_t single_address_{};
    std::array<std::array<team_calls_in_second, length_s>, teams> seconds_{};
};

class overloaded_zone : public testing::TestWithParam<std::uint64_t> {
protected:
    /*! Expects that a team with refused calls in each of six seconds gets half of what it asked for or half of what the
     * best served team got, whichever is less. */
    static void expect_share(const simulated_zone& zone, std::size_t team) {
        constexpr std::size_t window = 6;
        constexpr std::size_t tolerated_calls = 3; // Number of calls.
        for (std::size_t from = 0; from + window <= simulated_zone::length_s; ++from) {
            const auto sum = [&](std::size_t index) {
                std::size_t out = 0;
                for (std::size_t n = from; n < from + window; ++n) {
                    out += zone.seconds_of(index)[n].begun;
                }
                return out;
            };
            std::size_t best_served = 0;
            for (std::size_t it = 0; it < simulated_zone::teams; ++it) {
                best_served = sum(it) > sum(best_served) ? it : best_served;
            }
            std::size_t share = 0;
            bool was_refused = true; // In each second.
            for (std::size_t n = from; n < from + window; ++n) {
                share += std::min(zone.seconds_of(team)[n].asked, zone.seconds_of(best_served)[n].begun);
                was_refused = was_refused && zone.seconds_of(team)[n].refused > 0;
            }
            EXPECT_TRUE(!was_refused || sum(team) + tolerated_calls >= share / 2)
                << "from second " << from << ": the team got " << sum(team) << " and is owed half of " << share
                << ", the best served one got " << sum(best_served);
        }
    }
};

// Guards against a team that gets less than half of its share although other hosts have capacity: all its callers reach
// one small host, which refuses most of them, and they retry at the same host (FAIR).
TEST_P(overloaded_zone, a_team_at_one_address_gets_half_of_its_share_in_any_six_seconds) {
    expect_share({GetParam(), 0.5, {1.0, 1.0, 1.0, 1.0}}, 0);
}

// Guards against a team that asks for little and is refused as often as the others where all hosts of a zone are
// overloaded, though all that it asks for is less than half of what the others get (FAIR).
TEST_P(overloaded_zone, a_small_team_gets_half_of_its_share_where_all_hosts_are_overrun) {
    expect_share({GetParam(), 2.0, {8.0, 8.0, 8.0, 1.0}}, 3);
}

INSTANTIATE_TEST_SUITE_P(seeds, overloaded_zone, testing::Values(1, 2, 3, 4));

} // namespace
} // namespace dandelionbay
