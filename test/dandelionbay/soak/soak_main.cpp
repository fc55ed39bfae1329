#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "soak/options.hpp"

ABSL_FLAG(std::string, seeds, "1..20", "Seeds to run, as FIRST..LAST.");
ABSL_FLAG(std::string, trace, "", "Key of a request whose steps are printed, such as r12 or crash-12.");
ABSL_FLAG(bool, verbose, false, "Prints the figures of every seed.");

namespace {

using namespace dandelionbay::soak;

std::string faults(const options& chosen) {
    const std::pair<bool, const char*> all[] = {{chosen.link_breaks, "link_breaks"},
                                                {chosen.message_faults, "message_faults"},
                                                {chosen.router_restarts, "router_restarts"},
                                                {chosen.agent_restarts, "agent_restarts"},
                                                {chosen.cold_endpoints, "cold_endpoints"},
                                                {chosen.crashing_requests, "crashing_requests"},
                                                {chosen.pauses, "pauses"},
                                                {chosen.link_stalls, "link_stalls"},
                                                {chosen.zone_moves, "zone_moves"},
                                                {chosen.callers_leave, "callers_leave"},
                                                {chosen.graceful_stops, "graceful_stops"},
                                                {chosen.store_outages, "store_outages"},
                                                {chosen.partitions, "partitions"}};
    std::string text;
    for (const auto& [on, name] : all) {
        text += on ? std::string{" "} + name : "";
    }
    return text;
}

void print(std::uint64_t seed, const report& result) {
    std::printf("seed %lu:%s\n", seed, faults(options_for_seed(seed)).c_str());
    std::printf("  %lu requests, %lu complete, %lu not run, %lu unknown, gap %.0f of %.0f, utilisation %.3f\n",
                result.requests, result.complete, result.not_run, result.unknown, result.fairness_gap,
                result.fairness_bound, result.utilisation);
}

} // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("Runs the decision cores under random faults on paused time.");
    absl::ParseCommandLine(argc, argv);
    unsigned long first = 0;
    unsigned long last = 0;
    if (std::sscanf(absl::GetFlag(FLAGS_seeds).c_str(), "%lu..%lu", &first, &last) != 2 || first > last) {
        std::fputs("--seeds needs FIRST..LAST\n", stderr);
        return 2;
    }
    unsigned long failed = 0;
    for (auto seed = first; seed <= last; ++seed) {
        auto chosen = options_for_seed(seed);
        chosen.trace = absl::GetFlag(FLAGS_trace);
        const auto result = run(chosen);
        if (absl::GetFlag(FLAGS_verbose) || !result.violations.empty()) {
            print(seed, result);
        }
        if (!result.violations.empty()) {
            ++failed;
            for (const auto& it : result.violations) {
                std::printf("  %s\n", it.c_str());
            }
            std::printf("  repeat with: tools/soak --seeds=%lu..%lu\n", seed, seed);
        }
    }
    std::printf("%lu seeds, %lu failed\n", last - first + 1, failed);
    return failed == 0 ? 0 : 1;
}
