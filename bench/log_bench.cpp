#include <chrono>
#include <memory>

#include <benchmark/benchmark.h>

#include "dandelionbay/base/bounded_log.hpp"
#include "dandelionbay/proxy/call_record.hpp"
#include "support.hpp"

namespace dandelionbay::bench {
namespace {

/*! The line of a call that was served. */
void log_call_line(benchmark::State& state) {
    manual_clock time;
    const auto log =
        std::make_shared<event_log>(event_log_options{log_level::info, "/dev/null", router_host(0), zone_id{"zone-1"}});
    bounded_log bounded{log, time};
    call_record it;
    it.request = "9f3c1a77d2e04b58";
    it.route = "r-7vpv574";
    it.team = team(3);
    it.service = service;
    it.config_version = 12;
    it.config_age = milliseconds{840};
    it.sends = 1;
    it.runs = 1;
    it.choice.endpoint = endpoint(7);
    it.choice.backlog_ms = 43.0;
    it.choice.unread_tokens = 2'890.0;
    it.waited = milliseconds{3};
    it.list_age = milliseconds{512};
    it.first = milliseconds{171};
    it.total = milliseconds{420};
    for (auto _ : state) {
        time.advance(seconds{1}); // The log's rate never binds.
        log_call_ended(
            bounded, [&] { return it; }, "served", 200);
    }
    state.counters["left_out"] = static_cast<double>(bounded.left_out());
}
BENCHMARK(log_call_line);

} // namespace
} // namespace dandelionbay::bench
