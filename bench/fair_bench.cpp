#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

#include <benchmark/benchmark.h>
#include <unistd.h>

#include "dandelionbay/fair/ledger.hpp"
#include "dandelionbay/fair/team_queues.hpp"
#include "support.hpp"

namespace dandelionbay::bench {
namespace {

// One choice: the lowest team gives its request, moves behind the others and gets a new request.
void choose_next(benchmark::State& state) {
    const auto teams = static_cast<std::size_t>(state.range(0));
    const std::vector<team_queues::group_type> groups{0};
    const auto before = heap_bytes();
    team_queues queues;
    std::uint64_t sequence = 0;
    for (std::size_t n = 0; n < teams; ++n) {
        queues.set_team(team(n), 0, static_cast<double>(n));
        std::ignore = queues.push(team(n), request_id{router_host(0), 1, ++sequence}, {});
    }
    state.counters["heap_bytes"] = heap_bytes() - before;
    for (auto _ : state) {
        const auto lowest = queues.lowest(groups);
        const auto id = queues.pop(lowest->second);
        queues.set_counter(lowest->second, lowest->first + static_cast<double>(teams));
        benchmark::DoNotOptimize(queues.push(lowest->second, id, {}));
    }
}
BENCHMARK(choose_next)->Arg(10)->Arg(100)->Arg(300)->Arg(1'000);

// Merges one message in which each row is newer than the one held. Rows come from one router.
void ledger_merge(benchmark::State& state) {
    const auto rows = static_cast<std::size_t>(state.range(0));
    const time_point now{seconds{1'000}};
    ledger_rows in;
    for (std::size_t n = 0; n < rows; ++n) {
        in.rows.push_back(ledger_row{pool, team(n), router_host(1), 1, 1, 0.0, 10.0, 1});
    }
    const auto before = heap_bytes();
    ledger book{router_host(0), 1};
    std::ignore = book.merge(router_host(1), in, now);
    std::ignore = book.take_changed_teams();
    state.counters["heap_bytes"] = heap_bytes() - before;
    for (auto _ : state) {
        for (auto& row : in.rows) {
            ++row.version;
            row.charged += 100.0;
        }
        benchmark::DoNotOptimize(book.merge(router_host(1), in, now));
        benchmark::DoNotOptimize(book.take_changed_teams());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(ledger_merge)->Arg(10)->Arg(100)->Arg(300)->Arg(1'000);

double resident_bytes() {
    std::ifstream in{"/proc/self/statm"};
    double size{};
    double resident{};
    in >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

// Resident memory of threads that wait: the least that a caller stream with a pool thread of its own occupies.
void waiting_threads(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        const auto before = resident_bytes();
        std::mutex mutex;
        std::condition_variable changed;
        std::size_t started = 0;
        bool done = false;
        std::vector<std::thread> threads;
        for (std::size_t n = 0; n < count; ++n) {
            threads.emplace_back([&] {
                std::unique_lock lock{mutex};
                ++started;
                changed.notify_all();
                changed.wait(lock, [&] { return done; });
            });
        }
        {
            std::unique_lock lock{mutex};
            changed.wait(lock, [&] { return started == count; });
            state.counters["resident_bytes"] = resident_bytes() - before;
            done = true;
        }
        changed.notify_all();
        for (auto& it : threads) {
            it.join();
        }
    }
}
BENCHMARK(waiting_threads)->Arg(16)->Arg(64)->Arg(128)->Arg(256)->Iterations(1);

} // namespace
} // namespace dandelionbay::bench
