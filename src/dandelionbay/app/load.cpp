#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "dandelionbay/app/command.hpp"
#include "dandelionbay/app/plot_file.hpp"
#include "dandelionbay/base/text.hpp"
#include "dandelionbay/load/run.hpp"
#include "dandelionbay/settings/process_settings.hpp"

ABSL_FLAG(std::string, target, "", "URL of the caller API: http://HOST:PORT");
ABSL_FLAG(std::string, profile, "", "load profile file");
ABSL_DECLARE_FLAG(std::uint32_t, seconds);
ABSL_DECLARE_FLAG(std::uint64_t, seed);
ABSL_DECLARE_FLAG(bool, json);

namespace dandelionbay::app {

namespace {

constexpr std::uint32_t longest_s = 3'600;

/*! Reads the flags. Returns InvalidArgument or NotFound with all that is wrong about one of them. */
[[nodiscard]] absl::StatusOr<load::load_options> read_options() {
    load::load_options out;
    auto target = load::parse_target(absl::GetFlag(FLAGS_target));
    if (!target.ok()) {
        return absl::InvalidArgumentError(concat("load: --target: ", from_absl(target.status().message())));
    }
    out.target = *std::move(target);
    out.length = std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
    out.seed = absl::GetFlag(FLAGS_seed);
    if (out.length < std::chrono::seconds{1} || out.length > std::chrono::seconds{longest_s}) {
        return absl::InvalidArgumentError(concat("load: --seconds is from 1 to ", longest_s));
    }
    const auto path = absl::GetFlag(FLAGS_profile);
    const auto text = read_file(path);
    if (!text.ok()) {
        return absl::NotFoundError(concat("load: --profile: ", from_absl(text.status().message())));
    }
    auto profile = load::check_profile(*text);
    if (!profile.ok()) {
        return absl::InvalidArgumentError(concat(path, ":\n", from_absl(profile.status().message())));
    }
    out.profile = *std::move(profile);
    if (out.profile.rate() * static_cast<double>(out.length.count()) > load::max_planned_calls) {
        return absl::InvalidArgumentError(
            concat("load: the rates times --seconds plan more than ", load::max_planned_calls, " calls"));
    }
    return out;
}

[[nodiscard]] int run_load(const argument_list& args) {
    if (!args.empty()) {
        return usage_error(concat("load: unknown argument: ", args.front()));
    }
    const auto options = read_options();
    if (!options.ok()) {
        return usage_error(from_absl(options.status().message()));
    }
    plot_file plot;
    if (!plot.usable()) {
        return usage_error(concat("load: --plot: can't write ", plot.path()));
    }
    const auto figures = load::run_load(*options, std::cerr);
    if (!figures.ok()) {
        return failure(from_absl(figures.status().message()));
    }
    std::cout << figures->dump(absl::GetFlag(FLAGS_json) ? -1 : 2) << '\n';
    if (!plot.write(concat("Load on ", absl::GetFlag(FLAGS_target)), *figures)) {
        return failure(concat("load: writing ", plot.path(), " failed"));
    }
    return (*figures)["complete"] > 0 ? exit_ok : failure("load: no call was complete");
}

} // namespace

command load_command() {
    return {"load",
            "--target=URL --profile=FILE.json [--seconds=N] [--seed=N] [--json] [--plot=FILE.html]",
            "Sends a fleet an open-loop load over its caller API and prints the figures as one JSON object; progress\n"
            "goes to standard error. Ends with status 1 if no call was complete.",
            {"target", "profile", "seconds", "seed", "json", "plot"},
            run_load};
}

} // namespace dandelionbay::app
