#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "dandelionbay/router/router_core.hpp"
#include "support.hpp"

namespace dandelionbay::bench {
namespace {

/*! @brief An entry router on manual time: agents in turn grant once for each request, the backlog stays as it is. */
class driven_router {
    void take(const router_core::actions& todo) {
        for (const auto& it : todo) {
            const auto* const sent = std::get_if<send_message>(&it);
            if (sent == nullptr) {
                continue;
            }
            double bytes = 0.0;
            if (encode_all) {
                const auto [link, fresh] = links_.try_emplace(sent->to);
                if (fresh) {
                    link->second.set_link({{.host = router_host(0), .role = host_role::router, .incarnation = 1},
                                           {.host = sent->to, .role = host_role::agent, .incarnation = 1}});
                }
                bytes = control_bytes(link->second, sent->body);
            }
            if (const auto* const work = std::get_if<submit>(&sent->body)) {
                started_.emplace_back(sent->to, work->id);
                submit_bytes += count_bytes ? bytes : 0.0;
            } else if (count_bytes) {
                control += bytes;
                if (const auto* const changed = std::get_if<ledger_rows>(&sent->body)) {
                    note_rows(sent->to, *changed, bytes);
                }
                if (std::holds_alternative<demand>(sent->body)) {
                    ++demands;
                    auto& last = told_.try_emplace(sent->to, now_).first->second;
                    longest_gap = std::max(longest_gap, std::chrono::duration<double>{now_ - last}.count());
                    last = now_;
                }
            }
        }
    }

    void note_rows(const host_id& to, const ledger_rows& sent, double bytes) {
        ledger_bytes += bytes;
        rows += static_cast<std::int64_t>(sent.rows.size());
        for (const auto& row : sent.rows) {
            if (row.router == to) {
                // The receiver's own row, sent to repair a lost one; it carries no news.
                continue;
            }
            auto& last = row_sent_.try_emplace(std::pair{to, std::pair{row.router, row.team}}, now_).first->second;
            longest_row_gap = std::max(longest_row_gap, std::chrono::duration<double>{now_ - last}.count());
            last = now_;
        }
    }

    // Each peer charges all backlogged teams in each interval of the exchange, as it does under load.
    void hear_peers() {
        ++heard_;
        for (std::size_t peer = 1; peer <= peers_; ++peer) {
            ledger_rows in;
            for (std::size_t n = 0; n < backlogged_; ++n) {
                in.rows.push_back(
                    {pool, team(n), router_host(peer), 1, heard_, 100.0 * static_cast<double>(heard_), 100.0, 3});
            }
            take(core_.receive(router_host(peer), in, now_));
        }
    }

    void accept(std::size_t number) {
        accepted_request request;
        request.team = team(number);
        request.service = service;
        request.input_tokens = 100;
        request.max_output_tokens = 200;
        request.request.body = "hello";
        request.fingerprint = ++fingerprint_;
        request_id id;
        take(core_.accept(std::move(request), now_, id));
    }

public:
    driven_router(std::size_t agents, std::size_t backlogged, std::size_t rate, std::size_t peers = 1)
        : agents_{agents}, backlogged_{backlogged}, peers_{peers}, step_{duration{seconds{1}} / rate} {
        auto config = std::make_shared<fleet_config>();
        config->revision = 1;
        for (std::size_t n = 0; n < 1'000; ++n) {
            config->teams.push_back({.id = team(n)});
        }
        for (std::size_t n = 0; n < agents; ++n) {
            config->endpoints.push_back({.id = endpoint(n), .zone = zone_id{"z"}});
        }
        config->zones.push_back({.id = zone_id{"z"}, .region = region_id{"r"}});
        config->pools.push_back({.id = pool});
        config->services.push_back({.id = service, .pool = pool});
        config->services.back().queue_timeout_ms = 3'600'000;
        take(core_.apply(std::move(config), now_));
        take(core_.set_fresh(true, now_));
        for (std::size_t n = 0; n < agents; ++n) {
            take(core_.link_up({agent_host(n), host_role::agent, region_id{"r"}, zone_id{"z"}, 1, endpoint(n), 1},
                               now_));
        }
        std::vector<host_id> tree;
        for (std::size_t n = 1; n <= peers; ++n) {
            tree.push_back(router_host(n));
            take(core_.link_up({tree.back(), host_role::router, region_id{"r"}, zone_id{"z"}, 1, {}, 1}, now_));
        }
        take(core_.set_exchange_peers(tree, now_));
        for (std::size_t n = 0; n < 3 * backlogged; ++n) {
            accept(n % backlogged);
        }
    }

    /*! @brief One request: it joins the queue, an agent grants, the router submits, the answer comes. */
    void cycle() {
        now_ += step_;
        while (next_tick_ <= now_) {
            take(core_.tick(now_));
            next_tick_ += milliseconds{20};
        }
        if (hears && next_heard_ <= now_) {
            hear_peers();
            next_heard_ = now_ + milliseconds{200};
        }
        ++cycles_;
        accept(cycles_ % backlogged_);
        const auto& agent = agent_host(cycles_ % agents_);
        take(core_.receive(agent, grant{pool, {{1, cycles_}}, 3'000, false, {}}, now_));
        while (!started_.empty()) {
            const auto [from, id] = started_.front();
            started_.pop_front();
            take(core_.receive(from, head{id, 200, {}}, now_));
            take(core_.receive(from, chunk{id, 0, "answer", 100}, now_));
            take(core_.receive(from, finish{id, result_code::ok, executed::yes, 6, 100, 100}, now_));
            ++finished;
        }
    }

    /*! @brief Submits requests that stay running; the backlog stays as it is. */
    void start_runs(std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            accept(n % backlogged_);
            take(core_.receive(agent_host(n % agents_), grant{pool, {{1, ++cycles_}}, 3'000, false, {}}, now_));
        }
        for (const auto& [from, id] : started_) {
            take(core_.receive(from, head{id, 200, {}}, now_));
        }
        offsets_.resize(started_.size());
    }

    /*! @brief One token of the next running request, at 160,000 tokens/s. */
    void token() {
        now_ += duration{6};
        if (next_tick_ <= now_) {
            take(core_.tick(now_));
            next_tick_ = now_ + milliseconds{20};
        }
        turn_ = (turn_ + 1) % started_.size();
        const auto& [from, id] = started_[turn_];
        take(core_.receive(from, chunk{id, offsets_[turn_], "0123456789", 1}, now_));
        offsets_[turn_] += 10;
    }

    /*! @brief Runs for some manual time with counted bytes; the byte budgets' burst is used up before. */
    void count(duration settle, duration time) {
        encode_all = true;
        for (const auto until = now_ + settle; now_ < until;) {
            cycle();
        }
        count_bytes = true;
        for (const auto until = now_ + time; now_ < until;) {
            cycle();
        }
        count_bytes = false;
        encode_all = false;
    }

    [[nodiscard]] std::size_t distinct_rows() const { return row_sent_.size(); }
    [[nodiscard]] std::size_t peers_served() const {
        std::set<host_id> served;
        for (const auto& [key, at] : row_sent_) {
            served.insert(key.first);
        }
        return served.size();
    }
    [[nodiscard]] std::int64_t violations() const { return metrics_.total("invariant_violations_total"); }

    bool count_bytes{};
    bool encode_all{}; //!< Names have numbers from the settling on, as they do on a link.
    bool hears{};
    std::int64_t rows{};
    double ledger_bytes{};
    double longest_row_gap{};
    double control{};
    double submit_bytes{};
    double longest_gap{};
    std::int64_t demands{};
    std::int64_t finished{};

private:
    std::size_t agents_;
    std::size_t backlogged_;
    std::size_t peers_;
    duration step_;
    counters metrics_{};
    time_point now_{seconds{100}};
    time_point next_tick_{seconds{100}};
    router_core core_{{router_host(0), region_id{"r"}, zone_id{"z"}, 1, 1}, metrics_};
    std::deque<std::pair<host_id, request_id>> started_{};
    std::map<host_id, frame_encoder> links_{};
    std::map<host_id, time_point> told_{};
    std::map<std::pair<host_id, std::pair<host_id, team_id>>, time_point> row_sent_{};
    std::vector<std::uint64_t> offsets_{};
    std::size_t turn_{};
    std::uint64_t heard_{};
    time_point next_heard_{};
    std::uint64_t cycles_{};
    std::uint64_t fingerprint_{};
};

void router_cycle(benchmark::State& state) {
    const auto agents = static_cast<std::size_t>(state.range(0));
    const auto backlogged = static_cast<std::size_t>(state.range(1));
    const auto rate = static_cast<std::size_t>(state.range(2));
    constexpr double counted_seconds = 30.0;
    const auto before = heap_bytes();
    driven_router it{agents, backlogged, rate};
    it.count(seconds{20}, seconds{30});
    state.counters["heap_bytes"] = heap_bytes() - before;
    it.finished = 0;
    for (auto _ : state) {
        it.cycle();
    }
    state.counters["control_bytes_per_s"] = it.control / counted_seconds;
    state.counters["submit_frame_bytes_per_s"] = it.submit_bytes / counted_seconds;
    state.counters["demand_round_s"] =
        it.demands > 0 ? counted_seconds * static_cast<double>(agents) / static_cast<double>(it.demands) : 0.0;
    state.counters["longest_gap_s"] = it.longest_gap;
    state.counters["finished_share"] = static_cast<double>(it.finished) / static_cast<double>(state.iterations());
    state.counters["violations"] = static_cast<double>(it.violations());
}
// Agents, backlogged teams, requests per second.
BENCHMARK(router_cycle)->ArgsProduct({{10, 34, 100, 340}, {1, 10, 30, 100}, {340}});
BENCHMARK(router_cycle)->ArgsProduct({{340}, {100}, {34, 100, 200}});

// Bytes of an answer that reach the router, with a number of running requests.
void router_token(benchmark::State& state) {
    const auto before = heap_bytes();
    driven_router it{340, 100, 340};
    it.start_runs(static_cast<std::size_t>(state.range(0)));
    state.counters["heap_bytes"] = heap_bytes() - before;
    for (auto _ : state) {
        it.token();
    }
    state.counters["violations"] = static_cast<double>(it.violations());
}
BENCHMARK(router_token)->Arg(64)->Arg(640)->Arg(2'000)->Arg(6'400);

// The exchange of counters with a number of peers that charge 100 teams each in every interval.
void router_exchange(benchmark::State& state) {
    constexpr double counted_seconds = 120.0;
    driven_router it{10, 100, 340, static_cast<std::size_t>(state.range(0))};
    it.hears = true;
    it.count(seconds{60}, seconds{120});
    for (auto _ : state) {
        it.cycle();
    }
    state.counters["rows_per_s"] = static_cast<double>(it.rows) / counted_seconds;
    state.counters["bytes_per_s"] = it.ledger_bytes / counted_seconds;
    state.counters["longest_row_gap_s"] = it.longest_row_gap;
    state.counters["peers_served"] = static_cast<double>(it.peers_served());
    state.counters["distinct_rows"] = static_cast<double>(it.distinct_rows());
    state.counters["violations"] = static_cast<double>(it.violations());
}
BENCHMARK(router_exchange)->Arg(1)->Arg(3)->Arg(5)->Arg(9);

} // namespace
} // namespace dandelionbay::bench
