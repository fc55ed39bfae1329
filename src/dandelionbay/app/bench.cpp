#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/app/plot_file.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/bench/run.hpp"

ABSL_FLAG(std::string, scenario, "steady",
          "steady, skew, flood, dossiers, zone-move, cold, store-outage, region-split or rolling-restart");
ABSL_FLAG(std::uint32_t, seconds, 10, "length of the load, from 1 to 3600");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_DECLARE_FLAG(bool, json);

namespace dandelionbay::app {

namespace {

constexpr std::uint32_t longest_s = 3'600;

[[nodiscard]] int run_bench(const argument_list& args) {
    const auto name = absl::GetFlag(FLAGS_scenario);
    const auto* const load = bench::find_scenario(name);
    if (!args.empty() || load == nullptr) {
        return usage_error(concat("bench: unknown scenario or argument: ", args.empty() ? name : args.front()));
    }
    const std::chrono::seconds length{absl::GetFlag(FLAGS_seconds)};
    if (length < load->shortest || length > std::chrono::seconds{longest_s}) {
        return usage_error(
            concat("bench: --seconds is from ", load->shortest.count(), " to ", longest_s, " for ", name));
    }
    plot_file plot;
    if (!plot.usable()) {
        return usage_error(concat("bench: --plot: can't write ", plot.path()));
    }
    const auto figures = bench::run_bench({*load, length, absl::GetFlag(FLAGS_seed)}, std::cerr);
    if (!figures.ok()) {
        return failure(from_absl(figures.status().message()));
    }
    std::cout << figures->dump(absl::GetFlag(FLAGS_json) ? -1 : 2) << '\n';
    return plot.write(concat("Bench ", name), *figures) ? exit_ok
                                                        : failure(concat("bench: writing ", plot.path(), " failed"));
}

} // namespace

command bench_command() {
    return {
        "bench",
        "--scenario=NAME [--seconds=N] [--seed=N] [--json] [--plot=FILE.html]",
        "Runs a development fleet in this process, sends it an open-loop load over HTTP and prints the figures as\n"
        "one JSON object; progress goes to standard error. Scenarios: steady, skew, flood, dossiers, zone-move, cold,\n"
        "store-outage, region-split, rolling-restart.",
        {"scenario", "seconds", "seed", "json", "plot"},
        run_bench};
}

} // namespace dandelionbay::app
